"""Check with real processes that poison crashes at most two servers."""

from __future__ import annotations

import contextlib
import dataclasses
from collections.abc import Iterable, Iterator
from concurrent.futures import Executor, ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from examples.demo import publish, wait_served
from oleanderdyke.links.messages import BackendKind
from tests.calls import Reply, call, make_chat
from tests.deployment import Deployment, load_layout
from tests.processes import wait_until
from tests.scenes import (
    MODEL,
    TEAM,
    VERSION,
    failing,
    list_backends,
    read_status,
)

pytestmark = pytest.mark.xdist_group('poison')

# Two engines may crash and reload their weights at once; a third serves.
SIZES = {BackendKind.ENGINE: 3, BackendKind.PLAIN: 1, BackendKind.STORE: 1}
INNOCENTS = 6


@contextlib.contextmanager
def deploying(directory: Path) -> Iterator[Deployment]:
    layout = load_layout('agency')
    small = tuple(
        dataclasses.replace(item, count=SIZES[item.kind])
        for item in layout.backends[:3]
    )
    # A crashed engine answers the next probe, since its port stays open.
    with Deployment(
        dataclasses.replace(layout, backends=small),
        directory,
        entries=2,
        options={'engine': {'respawn': 1}},
    ) as running:
        publish(running)
        running.wait_ready()
        wait_served(running, MODEL, 'visitantes')
        yield running


@pytest.fixture(scope='module')
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Deployment]:
    with deploying(tmp_path_factory.mktemp('deployment')) as running:
        yield running


@pytest.fixture
def untouched(tmp_path: Path) -> Iterator[Deployment]:
    """Run servers of which none is reserved for a suspect of another test.

    A reserved server refuses other requests for some heartbeats after the last
    attempt of its suspect.
    """
    with deploying(tmp_path) as running:
        yield running


def send(deployment: Deployment, entry: int, text: str, count: int) -> Reply:
    return call(
        deployment.entries[entry % 2].address,
        'POST',
        '/v1/chat/completions',
        make_chat(MODEL, text, max_tokens=count, stream=False),
        token=TEAM,
    )


def count_crashes(deployment: Deployment) -> int:
    return sum(
        server.backend.output.read_text().count('crashed')
        for server in deployment.find(MODEL)
    )


def count_running(deployment: Deployment) -> int:
    return sum(
        call(server.address, 'GET', '/load').json['running']
        for server in deployment.find(MODEL)
    )


def is_each_loaded(deployment: Deployment) -> bool:
    """Return whether all servers have weights and all entries list them."""
    servers = deployment.find(MODEL)
    states = [call(each.address, 'GET', '/state').json for each in servers]
    if not all(each['digest'] for each in states):
        return False
    wanted = {(each.name, 'serving', 'heard', VERSION) for each in servers}
    return all(
        wanted <= list_agents(read_status(entry)['agents'])
        for entry in deployment.entries
    )


def list_agents(agents: Iterable[Any]) -> set[tuple[str, ...]]:
    keys = ('agent', 'phase', 'condition', 'weight_version')
    return {tuple(each[key] for key in keys) for each in agents}


def are_all_served(deployment: Deployment, pool: Executor) -> bool:
    sent = [
        pool.submit(send, deployment, each, f'ready {each}', 8)
        for each in range(INNOCENTS)
    ]
    return all(each.result().status == 200 for each in sent)


def wait_settled(deployment: Deployment) -> None:
    """Wait until all servers are loaded and idle after a crash.

    Only requests that were running at a crash are guaranteed to be served;
    new ones may be refused as not run until servers have recovered. The router
    need not use every server, so each server is queried directly.
    """
    wait_until(lambda: is_each_loaded(deployment), 'every server is loaded')
    with ThreadPoolExecutor(INNOCENTS) as pool:
        wait_until(
            lambda: are_all_served(deployment, pool), 'ordinary requests run'
        )
    wait_until(lambda: count_running(deployment) == 0, 'every server is idle')


def is_refused(
    deployment: Deployment, pool: Executor, text: str, at_once: int
) -> bool:
    """Send a poison request to every entry; return whether all refuse it."""
    kinds = set()
    for start in range(0, 2, at_once):
        sent = [
            pool.submit(send, deployment, start + each, text, 8)
            for each in range(at_once)
        ]
        for each in sent:
            assert each.result().status != 200
            kinds.add(each.result().json['error']['kind'])
    return kinds == {'quarantined'}


@pytest.mark.parametrize('at_once', [1, 2])
def test_poison_crashes_two_servers_at_most_and_innocents_are_served(
    deployment: Deployment, at_once: int
) -> None:
    wait_settled(deployment)
    before = count_crashes(deployment)
    servers = list_backends(deployment, MODEL)
    with ThreadPoolExecutor(INNOCENTS + at_once) as pool:
        # No request ends before the last one has started, however late.
        with failing(deployment, *servers, hold=True):
            innocents = [
                pool.submit(
                    send, deployment, each, f'innocent {each} of {at_once}', 100
                )
                for each in range(INNOCENTS)
            ]
            wait_until(
                lambda: count_running(deployment) == INNOCENTS,
                'all innocents run',
            )
        wait_until(
            lambda: is_refused(deployment, pool, f'POISON {at_once}', at_once),
            'every entry refuses the poison',
        )
        answers = [each.result() for each in innocents]
    refused = [each.json['error'] for each in answers if each.status != 200]
    assert not refused
    assert 1 <= count_crashes(deployment) - before <= 2


def test_a_living_server_that_breaks_off_makes_no_suspect(
    untouched: Deployment,
) -> None:
    wait_settled(untouched)
    before = count_crashes(untouched)
    servers = list_backends(untouched, MODEL)
    with failing(untouched, *servers, cut_after=2):
        replies = [send(untouched, each, 'cut off', 8) for each in range(4)]
    kinds = {each.json['error']['kind'] for each in replies}
    assert kinds == {'backend_failed'}
    for entry in range(2):
        assert send(untouched, entry, 'cut off', 8).status == 200
    assert count_crashes(untouched) == before
