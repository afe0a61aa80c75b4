"""Check the guarantees for requests while real processes fail."""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

import httpcore
import pytest

from tests import scenes
from tests.calls import Reply, call
from tests.deployment import Deployment, Entry, Server, wait_listening
from tests.processes import wait_until

CLOSED = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
NOT_AGAIN = {'in_progress', 'outcome_unknown', 'backend_lost'}


@pytest.fixture(scope='module')
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Deployment]:
    with scenes.deploying(tmp_path_factory.mktemp('requests')) as running:
        yield running


@pytest.fixture(scope='module')
def executor() -> Iterator[ThreadPoolExecutor]:
    with ThreadPoolExecutor(8) as pool:
        yield pool


def restart_entry(deployment: Deployment, entry: Entry) -> None:
    entry.child.start()
    deployment.wait_ready()


def send_unless_closed(send: Callable[[], Reply]) -> Reply | None:
    with suppress(*CLOSED):
        return send()
    return None


def test_a_killed_entry_leaves_a_booking_that_runs_once(
    deployment: Deployment, executor: ThreadPoolExecutor
) -> None:
    entry, other = deployment.entries[:2]
    servers = deployment.find(scenes.PLAIN)
    before = scenes.count_dispatched(servers)
    backends = scenes.list_backends(deployment, scenes.PLAIN)
    with scenes.failing(deployment, *backends, slow=1_500):
        sent = executor.submit(
            send_unless_closed,
            functools.partial(scenes.book, entry, 'entry killed'),
        )
        scenes.wait_dispatched(servers, before)
        entry.child.kill()
        at_once = scenes.book(other, 'entry killed')
        assert sent.result() is None, 'answered before the kill'
    assert (
        at_once.status == 201 or at_once.json['error']['kind'] in NOT_AGAIN
    ), at_once
    send = functools.partial(scenes.book, other, 'entry killed')
    wait_until(scenes.is_ok(send), 'the recorded response is returned')
    assert at_once.status != 201 or at_once.body == send().body
    assert scenes.count_runs(deployment, 'entry killed') == 1
    restart_entry(deployment, entry)


def test_a_booking_whose_agent_was_killed_never_runs_again(
    deployment: Deployment, executor: ThreadPoolExecutor
) -> None:
    name = 'agent killed'
    servers = deployment.find(scenes.PLAIN)
    before = scenes.count_dispatched(servers)
    backends = scenes.list_backends(deployment, scenes.PLAIN)
    with scenes.failing(deployment, *backends, hang=True):
        sent = executor.submit(scenes.book, deployment.entries[0], name)
        server = scenes.wait_dispatched(servers, before)
        wait_until(
            lambda: scenes.count_runs(deployment, name) == 1,
            'the booking has run',
        )
        server.agent.kill()
        first = sent.result()
    assert first.json['error']['ran'] == 'maybe', first
    book = functools.partial(scenes.book, name=name)
    again = list(executor.map(book, deployment.entries))
    server.agent.start()
    wait_listening(server.agent, server.agent_address)
    scenes.wait_condition(deployment.entries, server.name, {'heard'})
    again += list(executor.map(book, deployment.entries))
    for reply in again:
        found = reply.json['error']
        assert (found['kind'], found['ran']) == ('outcome_unknown', 'maybe')
    assert scenes.count_runs(deployment, name) == 1


def test_an_idempotent_call_survives_the_kill_of_its_agent(
    deployment: Deployment, executor: ThreadPoolExecutor
) -> None:
    servers = deployment.find(scenes.PLAIN)
    before = scenes.count_dispatched(servers)
    backends = scenes.list_backends(deployment, scenes.PLAIN)
    with scenes.failing(deployment, *backends, slow=1_000):
        sent = executor.submit(scenes.read_booking, deployment.entries[1])
        server = scenes.wait_dispatched(servers, before)
        server.agent.kill()
        reply = sent.result()
    assert reply.status == 200, reply
    server.agent.start()
    wait_listening(server.agent, server.agent_address)
    scenes.wait_condition(deployment.entries, server.name, {'heard'})


def test_an_agent_frozen_past_every_timeout_runs_no_stale_request(
    deployment: Deployment, executor: ThreadPoolExecutor
) -> None:
    entries = deployment.entries
    frozen = deployment.find(scenes.PLAIN)[0]
    names = [f'frozen agent {number}' for number in range(6)]
    frozen.agent.freeze()
    try:
        sent = [
            executor.submit(scenes.book, entries[number % 3], name)
            for number, name in enumerate(names)
        ]
        scenes.wait_condition(entries, frozen.name, {'dropped', 'unknown'})
        replies = [each.result() for each in sent]
        for number in range(6):
            name = f'while frozen {number}'
            reply = scenes.book(entries[number % 3], name)
            assert reply.status == 201, reply
            assert scenes.count_runs(deployment, name) == 1
    finally:
        frozen.agent.thaw()
    scenes.wait_condition(entries, frozen.name, {'heard'})
    taken = sum(scenes.count_dispatched([frozen]))

    def receives_work() -> bool:
        for entry in entries:
            scenes.read_booking(entry)
        return sum(scenes.count_dispatched([frozen])) > taken

    wait_until(receives_work, 'the agent receives new requests')
    for name, reply in zip(names, replies, strict=True):
        check_at_most_once(deployment, name, reply)


def check_at_most_once(deployment: Deployment, name: str, reply: Reply) -> None:
    again = scenes.book(deployment.entries[0], name)
    assert reply.status == 201 or reply.json['error']['kind'], reply
    runs = scenes.count_runs(deployment, name)
    assert runs <= 1, (reply, again)
    if reply.status == 201:
        assert (again.status, again.body) == (201, reply.body)
    if again.status == 201:
        assert runs == 1


def test_an_entry_frozen_past_every_timeout_serves_again(
    deployment: Deployment, executor: ThreadPoolExecutor
) -> None:
    frozen, other = deployment.entries[2], deployment.entries[0]
    name = 'frozen entry'
    servers = deployment.find(scenes.PLAIN)
    before = scenes.count_dispatched(servers)
    downs = [count_links_down(server, frozen) for server in servers]
    backends = scenes.list_backends(deployment, scenes.PLAIN)
    with scenes.failing(deployment, *backends, slow=1_000):
        sent = executor.submit(
            send_unless_closed, functools.partial(scenes.book, frozen, name)
        )
        scenes.wait_dispatched(servers, before)
        frozen.child.freeze()
        try:
            for server, down in zip(servers, downs, strict=True):
                scenes.wait_event(
                    server.agent, 'link_down', down, peer=frozen.name
                )
            send = functools.partial(scenes.book, other, name)
            wait_until(scenes.is_ok(send), 'the recorded response is returned')
        finally:
            frozen.child.thaw()
    late = sent.result()
    if late is not None and late.status != 201:
        assert late.json['error']['ran'] != 'no', late
    deployment.wait_ready()
    scenes.wait_agents_reachable(frozen)
    scenes.check_served(deployment, [frozen])
    assert scenes.book(frozen, name).body == send().body
    assert scenes.count_runs(deployment, name) == 1


def count_links_down(server: Server, entry: Entry) -> int:
    return len(scenes.list_events(server.agent, 'link_down', peer=entry.name))


@pytest.mark.parametrize('fault', ['down', 'silent'])
def test_without_the_log_idempotent_calls_succeed_and_bookings_fail(
    deployment: Deployment, executor: ThreadPoolExecutor, fault: str
) -> None:
    entries = deployment.entries
    names = [f'log {fault} {number}' for number in range(3)]
    log = deployment.platform['log']
    with scenes.failing(deployment, log, **{fault: True}):
        sent = list(map(executor.submit, [scenes.book] * 3, entries, names))
        scenes.check_served(deployment, entries)
        replies = [each.result() for each in sent]
        for name, reply in zip(names, replies, strict=True):
            found = reply.json['error']
            assert (found['kind'], found['ran']) == ('log_unavailable', 'no')
            assert int(reply.headers['retry-after']) >= 1
            assert scenes.count_runs(deployment, name) == 0
    for entry, name in zip(entries, names, strict=True):
        send = functools.partial(scenes.book, entry, name)
        wait_until(scenes.is_ok(send), 'the booking succeeds again')
        assert scenes.count_runs(deployment, name) == 1


@pytest.mark.parametrize('lost', [1, 2])
def test_a_booking_whose_append_lost_its_answer_runs_once(
    deployment: Deployment, lost: int
) -> None:
    name = f'append lost {lost}'
    log = deployment.platform['log']
    with scenes.failing(deployment, log, lose_answers=lost):
        reply = scenes.book(deployment.entries[0], name)
    send = functools.partial(scenes.book, deployment.entries[1], name)
    wait_until(scenes.is_ok(send), 'the booking has a recorded response')
    assert reply.status != 201 or reply.body == send().body
    assert scenes.count_runs(deployment, name) == 1


def test_a_stream_whose_engine_dies_before_its_first_token_is_whole(
    deployment: Deployment,
) -> None:
    entry = deployment.entries[0]
    servers = deployment.find(scenes.MODEL)
    before = scenes.count_dispatched(servers)
    # The prefill takes seconds, so the kill precedes the first token.
    text = scenes.make_prompt('engine dies' * 20) * 8
    stream = scenes.StreamedChat(entry, text, 8)
    server = scenes.wait_dispatched(servers, before)
    started = 'answer_started'
    request = scenes.list_events(server.agent, 'dispatch_received')[-1][
        'request'
    ]
    scenes.wait_event(server.agent, started, 0, request=request)
    server.backend.kill()
    assert not stream.data, 'the first token came before the kill'
    reply = stream.join()
    assert (reply.status, reply.done) == (200, True), reply
    assert b'event: error' not in reply.body
    assert reply.text == scenes.expect_text(text)
    retried = scenes.list_events(entry.child, 'request_retried')
    assert [each['request'] for each in retried].count(request) == 1
    server.backend.start()
    wait_listening(server.backend, server.address)
    wait_until(
        lambda: is_serving(deployment, server), 'the engine serves again'
    )


def is_serving(deployment: Deployment, server: Server) -> bool:
    for entry in deployment.entries:
        scenes.ask_model(entry, 'there again?')
    return bool(deployment.read_stats(server.address)['finished'])


def test_a_stopping_agent_ends_its_stream_and_refuses_requests(
    deployment: Deployment,
) -> None:
    servers = deployment.find(scenes.MODEL)
    before = scenes.count_dispatched(servers)
    text = scenes.make_prompt('agent stops')
    stream = scenes.StreamedChat(deployment.entries[0], text, 300)
    server = scenes.wait_dispatched(servers, before)
    stream.wait_started()
    ran = deployment.read_stats(server.address)['runs']
    server.agent.terminate()
    scenes.wait_event(server.agent, 'process_stopping', 0)
    for _ in range(2):
        scenes.check_served(deployment, deployment.entries)
    reply = stream.join()
    assert (reply.status, reply.done) == (200, True), reply
    assert reply.text == scenes.expect_text(text, 300)
    assert server.agent.wait() == 0
    assert deployment.read_stats(server.address)['runs'] == ran
    server.agent.start()
    wait_listening(server.agent, server.agent_address)
    scenes.wait_condition(deployment.entries, server.name, {'heard'})


def test_a_stopping_entry_hands_over_a_long_stream(
    deployment: Deployment,
) -> None:
    entry, other = deployment.entries[1], deployment.entries[2]
    text = scenes.make_prompt('entry stops')
    stream = scenes.StreamedChat(entry, text, 500)
    stream.wait_started()
    entry.child.terminate()
    reply = stream.join_and_resume(other)
    assert b'event: resume' in stream.data
    assert reply.done
    assert reply.text == scenes.expect_text(text, 500)
    assert entry.child.wait() == 0
    assert not scenes.list_events(entry.child, 'request_cut')
    restart_entry(deployment, entry)


def test_a_resume_token_of_another_team_is_rejected_as_unknown(
    deployment: Deployment,
) -> None:
    entry, other = deployment.entries[:2]
    text = scenes.make_prompt('whose stream')
    stream = scenes.StreamedChat(entry, text, 200)
    stream.wait_started()
    stolen = scenes.resume(other, stream.resume, '-1', scenes.OTHER_TEAM)
    guessed = scenes.resume(
        other, stream.resume[:-8] + 'AAAAAAAA', '-1', scenes.OTHER_TEAM
    )
    unknown = scenes.resume(other, 'nothing', '-1', scenes.OTHER_TEAM)
    shapes = [strip_request_id(reply) for reply in (stolen, guessed, unknown)]
    assert shapes[0] == shapes[1] == shapes[2], shapes
    assert shapes[0][0] == 410
    reply = stream.join()
    assert reply.text == scenes.expect_text(text, 200)


def strip_request_id(reply: Reply) -> tuple[int, set[str], dict[str, str]]:
    found = dict(reply.json['error'])
    del found['request']
    return reply.status, set(reply.headers), found


def test_no_log_holds_prompts_answers_tokens_or_keys(
    deployment: Deployment,
) -> None:
    entry = deployment.entries[0]
    text = scenes.make_prompt('what logs hold')
    stream = scenes.StreamedChat(entry, text, 50)
    reply = stream.join()
    receipt = scenes.book(entry, 'what logs hold').json
    call(entry.address, 'GET', f'/{scenes.MARK}', token=scenes.MARK)
    secrets = [
        scenes.MARK,
        scenes.TEAM,
        scenes.OTHER_TEAM,
        stream.resume,
        reply.text.split()[0],
        receipt['digest'],
    ]
    assert all(secrets)
    for child in deployment.children.values():
        if child.log.exists():
            held = child.log.read_text(errors='replace')
            assert not [item for item in secrets if item in held], child.name


def test_no_process_failed_and_no_context_was_corrupted(
    deployment: Deployment,
) -> None:
    scenes.check_no_failures(deployment)
