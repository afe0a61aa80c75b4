"""Check that requests survive link and agent failures on real processes."""

from __future__ import annotations

import contextlib
import functools
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from typing import Any

import pytest
from anyio.from_thread import start_blocking_portal

from tests import scenes
from tests.deployment import Deployment, Entry, Server, wait_listening
from tests.processes import LOOPBACK, Ports, wait_until
from tests.relays import Relay, relaying
from tests.scenes import MODEL, PLAIN

# Covers several polls of the VM list.
LIST_SECONDS = 1.5


@pytest.fixture(scope='module')
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Deployment]:
    directory = tmp_path_factory.mktemp('links')
    with scenes.deploying(directory) as running:
        yield running


def map_addresses(deployment: Deployment, choose: Callable[[int], str]) -> Any:
    names = [server.name for server in deployment.servers]
    return {name: choose(number) for number, name in enumerate(names)}


@pytest.mark.parametrize(
    'fault', ['down', 'silent', 'missing', 'closed', 'swapped']
)
def test_requests_succeed_while_the_vm_list_is_down_or_wrong(
    deployment: Deployment, fault: str
) -> None:
    ports = Ports()
    addresses = [server.agent_address for server in deployment.servers]
    closed = [f'{LOOPBACK}:{ports.reserve()}' for _ in addresses]
    faults: dict[str, dict[str, Any]] = {
        'down': {'down': True},
        'silent': {'silent': True},
        'missing': {'missing': [item.name for item in deployment.servers]},
        'closed': {'wrong': map_addresses(deployment, lambda n: closed[n])},
        'swapped': {
            'wrong': map_addresses(deployment, lambda n: addresses[n - 1])
        },
    }
    vms = deployment.platform['vms']
    with scenes.failing(deployment, vms, **faults[fault]):
        time.sleep(LIST_SECONDS)
        for number in range(3):
            scenes.check_served(deployment, deployment.entries)
            entry = deployment.entries[0]
            reply = scenes.book(entry, f'list {fault} {number}')
            assert reply.status == 201, reply
    ports.close()
    for server in deployment.servers:
        scenes.wait_condition(deployment.entries, server.name, {'heard'})


def test_requests_succeed_while_a_stale_vm_list_names_a_dead_agent(
    deployment: Deployment,
) -> None:
    server = deployment.find(PLAIN)[0]
    vms = deployment.platform['vms']
    with scenes.failing(deployment, vms, stale=True):
        with killing_agent(server):
            for number in range(6):
                name = f'stale list {number}'
                reply = scenes.book(deployment.entries[number % 3], name)
                assert reply.status == 201, reply
                assert scenes.count_runs(deployment, name) == 1
            scenes.check_served(deployment, deployment.entries)
        scenes.wait_condition(deployment.entries, server.name, {'heard'})


@contextmanager
def killing_agent(server: Server) -> Iterator[None]:
    """Kill an agent and restart it on exit."""
    server.agent.kill()
    try:
        yield
    finally:
        server.agent.start()
        wait_listening(server.agent, server.agent_address)


@contextmanager
def relaying_links(
    deployment: Deployment, entry: Entry
) -> Iterator[dict[str, Relay]]:
    servers = deployment.find(MODEL) + deployment.find(PLAIN)
    vms = deployment.platform['vms']
    with contextlib.ExitStack() as stack:
        portal = stack.enter_context(start_blocking_portal())
        found = [
            stack.enter_context(
                portal.wrap_async_context_manager(
                    relaying(server.agent_address)
                )
            )
            for server in servers
        ]
        wrong = {
            server.name: address
            for server, (_, address) in zip(servers, found, strict=True)
        }
        relays = {
            server.name: relay
            for server, (relay, _) in zip(servers, found, strict=True)
        }
        with scenes.failing(deployment, vms, wrong=wrong):
            restart(deployment, entry)
            wait_until(
                lambda: all(relay.accepted for relay in relays.values()),
                'the entry has a link through every relay',
            )
            yield relays
    restart(deployment, entry)


def restart(deployment: Deployment, entry: Entry) -> None:
    entry.child.kill()
    entry.child.start()
    deployment.wait_ready()
    scenes.wait_agents_reachable(entry)


@pytest.fixture(scope='module')
def relays(deployment: Deployment) -> Iterator[dict[str, Relay]]:
    with relaying_links(deployment, deployment.entries[1]) as found:
        yield found


def count_links_down(entry: Entry, *names: str) -> int:
    events = scenes.list_events(entry.child, 'link_down')
    return sum(item['peer'] in names for item in events)


def test_slow_links_and_backend_servers_are_not_reported_down(
    deployment: Deployment, relays: dict[str, Relay]
) -> None:
    entry = deployment.entries[1]
    before = count_links_down(entry, *relays)
    engines = scenes.list_backends(deployment, MODEL)
    text = scenes.make_prompt('slow')
    with scenes.failing(deployment, *engines, slow=1_200):
        reply = scenes.ask_model(entry, text)
    assert reply.text == scenes.expect_text(text)
    for relay in relays.values():
        relay.piece, relay.pause = 512, 0.05
    try:
        reply = scenes.StreamedChat(entry, text, 100).join()
    finally:
        for relay in relays.values():
            relay.piece, relay.pause = 64 * 1024, 0.0
    assert (reply.status, reply.done) == (200, True), reply
    assert reply.text == scenes.expect_text(text, 100)
    assert count_links_down(entry, *relays) == before


def test_a_stopping_agent_refuses_requests_of_an_uninformed_entry(
    deployment: Deployment, relays: dict[str, Relay]
) -> None:
    servers = deployment.find(MODEL)
    before = scenes.count_dispatched(servers)
    text = scenes.make_prompt('leaving')
    stream = scenes.StreamedChat(deployment.entries[0], text, 300)
    server = scenes.wait_dispatched(servers, before)
    stream.wait_started()
    ran = deployment.read_stats(server.address)['runs']
    asked = [scenes.make_prompt(f'leaving {number}') for number in range(6)]
    ask = functools.partial(scenes.ask_model, deployment.entries[1])
    relays[server.name].pause = 0.5
    server.agent.terminate()
    with ThreadPoolExecutor(len(asked)) as pool:
        replies = list(pool.map(ask, asked))
    relays[server.name].pause = 0.0
    assert [reply.text for reply in replies] == list(
        map(scenes.expect_text, asked)
    )
    reply = stream.join()
    assert reply.text == scenes.expect_text(text, 300)
    assert deployment.read_stats(server.address)['runs'] == ran
    assert server.agent.wait() == 0
    server.agent.start()
    wait_listening(server.agent, server.agent_address)
    scenes.wait_condition(deployment.entries, server.name, {'heard'})


def test_silent_links_are_replaced_and_their_streams_continue(
    deployment: Deployment, relays: dict[str, Relay]
) -> None:
    entry = deployment.entries[1]
    servers = deployment.find(MODEL)
    before = scenes.count_dispatched(servers)
    text = scenes.make_prompt('silent')
    stream = scenes.StreamedChat(entry, text, 200)
    server = scenes.wait_dispatched(servers, before)
    stream.wait_started()
    silent = {server.name, deployment.find(PLAIN)[0].name}
    downs = {name: count_links_down(entry, name) for name in silent}
    accepted = {name: relays[name].accepted for name in silent}
    for name in silent:
        relays[name].silence()
    for _ in range(3):
        assert scenes.read_booking(entry).status == 200
    reply = stream.join()
    assert (reply.status, reply.done) == (200, True), reply
    assert reply.text == scenes.expect_text(text, 200)
    for name in silent:
        scenes.wait_event(entry.child, 'link_down', downs[name], peer=name)
        child = deployment.children[name]
        scenes.wait_event(child, 'link_down', 0, peer=entry.name)
        wait_until(
            lambda name=name: relays[name].accepted > accepted[name],
            'the silent link is replaced',
        )
        scenes.wait_condition([entry], name, {'heard'})
    scenes.check_served(deployment, [entry])


def test_no_process_failed_and_no_context_was_corrupted(
    deployment: Deployment,
) -> None:
    scenes.check_no_failures(deployment)
