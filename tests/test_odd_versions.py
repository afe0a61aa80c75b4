"""Weights that one record tells, and that its server does not hold."""

from __future__ import annotations

from oleanderdyke.kernel.backends import BackendRegistry
from oleanderdyke.kernel.servers import ServerRecord, ServerStart

MOST = 2**53 - 1


def make(revision, version) -> ServerRecord:
    return ServerRecord(
        'a', 'desk', 'a:1', 'hall', revision=revision, versions={'m': version}
    )


def make_registry() -> BackendRegistry:
    registry = BackendRegistry()
    registry.put(make(7, 3), 0.0)
    return registry


def find_version(registry) -> int:
    return registry.find('a').record.versions['m']


# Guards against one record or notice of weights beyond all others, after which
# a real server would refuse all that is sent to it, for good.
def test_weights_that_a_server_never_held_last_for_two_of_its_records():
    registry = make_registry()
    registry.put(make(MOST, MOST), 1.0)
    for number in (8, 9):
        registry.put(make(number, 3), 2.0)
        assert find_version(registry) == MOST
    registry.put(make(10, 3), 3.0)
    assert find_version(registry) == 3
    registry.record_version(ServerStart('a'), 'm', MOST)
    for number in (11, 12, 13):
        registry.put(make(number, 3), 4.0)
    assert find_version(registry) == 3


def test_newer_weights_of_an_answer_outlast_records_that_were_under_way():
    registry = make_registry()
    registry.record_version(ServerStart('a'), 'm', 4)
    for number in (8, 8, 9, 9, 9):
        registry.put(make(number, 3), 1.0)
    assert find_version(registry) == 4
    registry.put(make(10, 4), 2.0)
    for number in (11, 12):
        registry.put(make(number, 3), 3.0)
    assert find_version(registry) == 4
