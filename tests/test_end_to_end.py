"""Check requests end to end on a deployment of real processes."""

from __future__ import annotations

import dataclasses
import functools
import hashlib
import re
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from typing import Any

import httpcore
import pytest

from examples.demo import (
    count_cached_tokens,
    count_read_bytes,
    evict,
    publish,
    wait_served,
)
from oleanderdyke.links.messages import BackendKind
from tests.calls import (
    Reply,
    ask,
    call,
    make_chat,
    open_stream,
    read_events,
)
from tests.deployment import (
    Deployment,
    Entry,
    load_layout,
    wait_listening,
)
from tests.processes import wait_until
from tests.scenes import (
    CHAT_PATH,
    MODEL,
    OTHER_TEAM,
    PLAIN,
    STORE,
    TEAM,
    count_corrupt_segments,
    expect_text,
    failing,
)
from tests.standins import cache

# All tests of this file share a deployment, so one xdist worker runs them.
pytestmark = pytest.mark.xdist_group('deployment')

# With a single engine, a repeated prompt always reaches the same cache.
SIZES = {BackendKind.ENGINE: 1, BackendKind.PLAIN: 2, BackendKind.STORE: 1}
LOST = (httpcore.NetworkError, httpcore.ProtocolError)
RULEBOOK = 'The key of room {} opens box {} only.\n'


@pytest.fixture(scope='module')
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Deployment]:
    layout = load_layout('agency')
    small = tuple(
        dataclasses.replace(item, count=SIZES[item.kind])
        for item in layout.backends[:3]
    )
    with Deployment(
        dataclasses.replace(layout, backends=small),
        tmp_path_factory.mktemp('deployment'),
        shared=True,
    ) as running:
        publish(running)
        running.wait_ready()
        wait_served(running, MODEL, 'visitantes')
        yield running


def make_rulebook(title: str) -> str:
    lines = ''.join(RULEBOOK.format(n, n) for n in range(100))
    return f'{title}\n{lines}'


def book(
    deployment: Deployment, entry: int, body: bytes, key: str, token: str = TEAM
) -> Reply:
    return call(
        deployment.entries[entry].address,
        'POST',
        f'/v1/services/{PLAIN}/bookings',
        body,
        token=token,
        headers={'idempotency-key': key},
    )


def count_runs(deployment: Deployment, body: bytes) -> int:
    digest = hashlib.blake2b(body, digest_size=16).hexdigest()
    return sum(
        deployment.read_stats(server.address)['runs'].get(digest, 0)
        for server in deployment.find(PLAIN)
    )


def test_every_entry_answers_a_chat_completely(
    deployment: Deployment,
) -> None:
    for entry in deployment.entries:
        text = make_rulebook(f'asked through {entry.name}')
        reply = ask(entry.address, MODEL, text, token=TEAM)
        assert (reply.status, reply.done) == (200, True), reply
        assert reply.text == expect_text(text)
        assert reply.recomputed_share == 1


def test_a_booking_sent_twice_through_two_entries_runs_once(
    deployment: Deployment,
) -> None:
    first = book(deployment, 0, b'twice', 'key-twice')
    second = book(deployment, 1, b'twice', 'key-twice')
    assert (first.status, second.status) == (201, 201), (first, second)
    assert first.body == second.body
    assert count_runs(deployment, b'twice') == 1


def test_bookings_sent_at_once_through_all_entries_run_once(
    deployment: Deployment,
) -> None:
    send = functools.partial(book, deployment, body=b'race', key='key-race')
    with ThreadPoolExecutor(len(deployment.entries)) as pool:
        replies = list(pool.map(send, range(len(deployment.entries))))
    assert count_runs(deployment, b'race') == 1
    made = {reply.body for reply in replies if reply.status == 201}
    assert len(made) == 1, replies
    for reply in replies:
        assert reply.status == 201 or reply.json['error']['ran'] != 'no', reply


def test_a_key_used_again_for_another_body_is_refused(
    deployment: Deployment,
) -> None:
    assert book(deployment, 0, b'one', 'key-reused').status == 201
    reply = book(deployment, 1, b'two', 'key-reused')
    assert (reply.status, count_runs(deployment, b'two')) == (422, 0), reply


def test_a_status_call_is_answered(deployment: Deployment) -> None:
    path = f'/v1/services/{PLAIN}/bookings/7?view=short'
    reply = call(deployment.entries[1].address, 'GET', path, token=TEAM)
    assert (reply.status, reply.json['status']) == (200, 'received'), reply
    assert reply.json['path'] == '/bookings/7'


def test_another_team_shares_neither_key_nor_context(
    deployment: Deployment,
) -> None:
    ours = book(deployment, 0, b'teams', 'key-teams')
    theirs = book(deployment, 1, b'teams', 'key-teams', OTHER_TEAM)
    assert (ours.status, theirs.status) == (201, 201), (ours, theirs)
    assert count_runs(deployment, b'teams') == 2

    text = make_rulebook('known to one team')
    address = deployment.entries[0].address
    mine, again, other = (
        ask(address, MODEL, text, token=token)
        for token in (TEAM, TEAM, OTHER_TEAM)
    )
    assert (mine.recomputed_share, other.recomputed_share) == (1, 1)
    assert again.recomputed_share < 1


def test_evicted_context_is_fetched_from_the_store(
    deployment: Deployment,
) -> None:
    again = fetch_after_eviction(deployment, 'kept')
    assert again.recomputed_share < 0.5
    assert count_corrupt_segments(deployment) == 0


@pytest.mark.parametrize('damage', ['corrupt', 'truncate', 'lose'])
def test_damaged_context_is_computed_again(
    deployment: Deployment, damage: str
) -> None:
    again = fetch_after_eviction(deployment, damage, **{damage: ['*']})
    assert again.recomputed_share == 1
    assert count_corrupt_segments(deployment) == 0


def fetch_after_eviction(
    deployment: Deployment, title: str, **faults: Any
) -> Reply:
    """Send a prompt, evict it and send it again until the store is read."""
    store = deployment.find(STORE)[0].address
    for attempt in range(5):
        text = make_rulebook(f'{title} {attempt}')
        segments = len(text) // cache.SEGMENT_BYTES
        wanted = count_cached_tokens(deployment) + segments
        first = ask(deployment.entries[0].address, MODEL, text, token=TEAM)
        wait_kept(deployment, wanted)
        evict(deployment)
        deployment.set_faults(store, **faults)
        before = count_read_bytes(deployment)
        # For a few seconds an entry assumes its own dispatches are cached.
        again = ask(deployment.entries[1].address, MODEL, text, token=TEAM)
        assert first.text == again.text == expect_text(text)
        if 'lose' in faults or count_read_bytes(deployment) > before:
            return again
    pytest.fail('no context was fetched from the store')


def wait_kept(deployment: Deployment, wanted: int) -> None:
    wait_until(
        lambda: count_cached_tokens(deployment) >= wanted,
        'the store holds the context',
    )


def test_an_unknown_token_is_refused_as_not_run(
    deployment: Deployment,
) -> None:
    reply = book(deployment, 0, b'stranger', 'key-s', token='guess')
    assert reply.status == 401
    assert reply.json['error']['ran'] == 'no'
    assert count_runs(deployment, b'stranger') == 0


def test_a_booking_whose_answer_was_lost_never_runs_again(
    deployment: Deployment,
) -> None:
    with failing(
        deployment,
        *(server.address for server in deployment.find(PLAIN)),
        lose_answers=True,
    ):
        lost = book(deployment, 0, b'lost', 'key-lost')
    assert lost.status >= 400, lost
    assert lost.json['error']['ran'] == 'maybe', lost
    for entry in range(len(deployment.entries)):
        again = book(deployment, entry, b'lost', 'key-lost')
        assert again.status >= 400, again
        assert again.json['error']['ran'] != 'no', again
    assert count_runs(deployment, b'lost') == 1


def test_without_the_log_chats_succeed_and_bookings_are_not_run(
    deployment: Deployment,
) -> None:
    with failing(deployment, deployment.platform['log'], down=True):
        refused = book(deployment, 0, b'no log', 'key-log')
        text = make_rulebook('log is down')
        asked = ask(deployment.entries[0].address, MODEL, text, token=TEAM)
    assert (asked.status, asked.text) == (200, expect_text(text)), asked
    assert (refused.status, refused.json['error']['ran']) == (503, 'no')
    assert 'retry-after' in refused.headers
    assert count_runs(deployment, b'no log') == 0

    def is_booked() -> bool:
        return book(deployment, 1, b'no log', 'key-log').status == 201

    wait_until(is_booked, 'the booking succeeds once the log is available')
    assert count_runs(deployment, b'no log') == 1


def test_bookings_succeed_while_an_agent_is_killed(
    deployment: Deployment,
) -> None:
    server = deployment.find(PLAIN)[0]
    server.agent.kill()
    for number in range(6):
        body = b'around %d' % number
        reply = book(deployment, number % 3, body, f'key-around-{number}')
        assert reply.status == 201, reply
        assert count_runs(deployment, body) == 1
    server.agent.start()
    wait_listening(server.agent, server.agent_address)


def read_and_kill(entry: Entry, text: str) -> tuple[str, bytes]:
    body = make_chat(MODEL, text, max_tokens=200)
    data = bytearray()
    with (
        httpcore.ConnectionPool() as pool,
        open_stream(
            pool, entry.address, 'POST', CHAT_PATH, body, token=TEAM
        ) as response,
        suppress(*LOST),
    ):
        token = dict(response.headers)[b'oleander-resume'].decode()
        for chunk in response.iter_stream():
            data += chunk
            if data.count(b'data: ') >= 5:
                entry.child.kill()
    assert not read_events(bytes(data))[1], 'the stream ended before the kill'
    return token, bytes(data)


def test_bookings_sent_to_a_frozen_agent_run_at_most_once(
    deployment: Deployment,
) -> None:
    server = deployment.find(PLAIN)[1]
    bodies = [b'frozen %d' % number for number in range(4)]

    def send(number: int) -> Reply:
        key = f'key-frozen-{number}'
        return book(deployment, number % 3, bodies[number], key)

    server.agent.freeze()
    try:
        with ThreadPoolExecutor(len(bodies)) as pool:
            first = list(pool.map(send, range(len(bodies))))
            second = list(pool.map(send, range(len(bodies))))
    finally:
        server.agent.thaw()
    numbers = range(len(bodies))
    wait_until(
        lambda: all(send(number).status == 201 for number in numbers),
        'every booking succeeds once the agent resumes',
    )
    for number in numbers:
        replies = first[number], second[number], send(number)
        assert count_runs(deployment, bodies[number]) == 1, replies
        made = {reply.body for reply in replies if reply.status == 201}
        assert made == {replies[-1].body}, replies
        for reply in replies:
            assert reply.status == 201 or reply.json['error'], reply


def test_a_stream_of_a_killed_entry_resumes_for_its_team_only(
    deployment: Deployment,
) -> None:
    entry, other = deployment.entries[1], deployment.entries[0]
    text = make_rulebook('resumed')
    stream, data = read_and_kill(entry, text)
    whole = data[: data.rindex(b'\n\n') + 2]
    last = re.findall(rb'^id: (\S+)$', whole, re.MULTILINE)[-1].decode()
    path = f'/v1/streams/{stream}?after={last}'
    stolen = call(other.address, 'GET', path, token=OTHER_TEAM)
    rest = call(other.address, 'GET', path, token=TEAM)
    entry.child.start()
    deployment.wait_ready()

    assert stolen.status in {404, 410}, stolen
    assert rest.status == 200, rest
    events, done = read_events(whole + rest.body)
    assert done
    reply = Reply(200, {}, b'', 0.0, events, done)
    assert reply.text == expect_text(text, 200)


@pytest.mark.parametrize('which', ['entry', 'agent'])
def test_an_orderly_stop_does_not_interrupt_a_stream(
    deployment: Deployment, which: str
) -> None:
    entry = deployment.entries[-1]
    server = deployment.find(MODEL)[0]
    child = entry.child if which == 'entry' else server.agent
    text = make_rulebook(f'stopped {which}')
    body = make_chat(MODEL, text, max_tokens=200)
    data = bytearray()
    with (
        httpcore.ConnectionPool() as pool,
        open_stream(
            pool, entry.address, 'POST', CHAT_PATH, body, token=TEAM
        ) as response,
    ):
        for chunk in response.iter_stream():
            if not data:
                child.terminate()
            data += chunk
    events, done = read_events(bytes(data))
    reply = Reply(response.status, {}, bytes(data), 0.0, events, done)
    assert (reply.status, reply.done) == (200, True)
    assert reply.text == expect_text(text, 200)
    assert child.wait() == 0
    assert 'event=request_cut' not in child.log.read_text()
    child.start()
    deployment.wait_ready()
    wait_served(deployment, MODEL, 'visitantes')
