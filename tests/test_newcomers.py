"""Connections whose peers are not known yet."""

from __future__ import annotations

import pytest

from oleanderdyke.links.newcomers import Newcomers, find_newcomer_limit

LIMIT = 3
MIB = 1024 * 1024


class Connection:
    is_closed = False

    def abort(self):
        self.is_closed = True


def connect(newcomers, count):
    found = [Connection() for _ in range(count)]
    for each in found:
        newcomers.add(each)
    return found


def list_closed(connections):
    return [number for number, each in enumerate(connections) if each.is_closed]


def test_the_oldest_makes_room_for_a_new_one():
    assert list_closed(connect(Newcomers(LIMIT), LIMIT + 2)) == [0, 1]


def test_known_peers_and_closed_connections_take_no_place():
    newcomers = Newcomers(LIMIT)
    known, gone, *_ = first = connect(newcomers, LIMIT)
    newcomers.remove(known)
    newcomers.remove(gone)
    assert list_closed(first + connect(newcomers, 2)) == []


def test_the_one_that_sent_most_is_closed_first():
    newcomers = Newcomers(LIMIT)
    connections = connect(newcomers, LIMIT)
    for size, each in zip((2, 3, 2), connections, strict=True):
        newcomers.receive(each, size * MIB)
    assert list_closed(connections) == []
    newcomers.receive(connections[0], 2 * MIB)
    assert list_closed(connections) == [0]


def test_bytes_of_a_known_peer_do_not_count():
    newcomers = Newcomers(LIMIT)
    known, *_ = connections = connect(newcomers, LIMIT)
    newcomers.remove(known)
    newcomers.receive(known, 64 * MIB)
    assert list_closed(connections) == []


@pytest.mark.parametrize(
    ('descriptors', 'limit'), [(float('inf'), 256), (4_100, 243), (200, 8)]
)
def test_limit_follows_the_descriptors(descriptors, limit, monkeypatch):
    monkeypatch.setattr('os.sysconf', lambda _: -1)
    assert find_newcomer_limit(descriptors) == limit
