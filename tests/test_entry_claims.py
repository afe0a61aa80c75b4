from __future__ import annotations

import json
from dataclasses import replace

import pytest

from oleanderdyke.errors import Ran
from oleanderdyke.kernel.claim_records import (
    ClaimRecord,
    RenewalRecord,
    decode_batch,
)
from oleanderdyke.links.messages import (
    Dispatch,
    Message,
)
from tests.edges import Edge
from tests.entry_scene import (
    BOOKINGS,
    KEY,
    Agent,
    bounded,
    follow_log,
    is_last,
    make_plain,
    send_answer,
    serving,
    wait,
)

pytestmark = pytest.mark.anyio


def list_claims(edge: Edge) -> list[ClaimRecord]:
    return [
        record
        for batch in edge.log.batches
        for record in decode_batch(batch)
        if isinstance(record, ClaimRecord)
    ]


async def test_concurrent_claims_share_appends():
    async with serving(claims=True) as (edge, link):
        Agent(edge, link, [b'ok'])
        replies: list[int] = []

        async def call(number: int) -> None:
            key = [(b'idempotency-key', b'%d' % number)]
            reply = await edge.call('POST', BOOKINGS, headers=key)
            replies.append(reply.status)

        for number in range(40):
            edge.core.spawn(call, number)
        await wait(lambda: len(replies) == 40)
        assert set(replies) == {200}
        assert len(list_claims(edge)) == 40
        assert edge.log.appends < 40
        assert all(item.claim for item in link.find(Dispatch))


async def test_same_key_runs_once():
    async with serving(claims=True) as (edge, link):
        Agent(edge, link, [b'receipt'])
        for _ in range(3):
            reply = await edge.call('POST', BOOKINGS, headers=KEY, body=[b'a'])
            assert (reply.status, reply.body) == (200, b'receipt')
            assert reply.headers['oleander-horizon'] == '86400'
            end = len(edge.log.batches)
            await wait(lambda end=end: edge.core.claims.next_offset == end)
        other = await edge.call('POST', BOOKINGS, headers=KEY, body=[b'b'])
        assert other.status == 422
        assert len(link.find(Dispatch)) == 1


@pytest.mark.parametrize(
    ('faults', 'status', 'runs'),
    [
        ([Ran.MAYBE], 200, 1),
        ([Ran.NO], 503, 0),
    ],
)
async def test_claim_of_a_failed_append(
    faults: list[Ran], status: int, runs: int
):
    async with serving(claims=True) as (edge, link):
        Agent(edge, link, [b'ok'])
        edge.log.faults = list(faults)
        reply = await edge.call('POST', BOOKINGS, headers=KEY)
        assert reply.status == status
        assert len(link.find(Dispatch)) == runs
        if status != 200:
            assert json.loads(reply.body)['error']['ran'] == 'no'


async def test_outcome_append_is_retried_until_it_succeeds():
    async with bounded() as tasks:
        edge, link = make_plain()
        edge.core.settings = replace(
            edge.core.settings, log=replace(edge.core.settings.log, retry=1.0)
        )
        edge.start(tasks)
        tasks.start_soon(follow_log, edge)
        await wait(lambda: edge.claims.is_caught_up)

        def fail_outcome(message: Message) -> None:
            if is_last(message):
                edge.log.faults = [Ran.NO] * 3
                send_answer(edge, link.find(Dispatch)[0], [b'ok'])

        link.react = fail_outcome
        reply = await edge.call('POST', BOOKINGS, headers=KEY)
        assert reply.status == 200
        await wait(lambda: len(edge.log.batches) == 2)


async def test_live_claims_are_renewed_before_their_records_expire():
    async with serving(claims=True) as (edge, link):
        Agent(edge, link, [b'ok'])
        await edge.call('POST', BOOKINGS, headers=KEY)
        await wait(lambda: edge.core.claims.next_offset == 2)
        edge.claims.append_due_renewals(1_000.0)
        await wait(lambda: len(edge.log.batches) == 3)
        (renewed,) = decode_batch(edge.log.batches[2])
        assert isinstance(renewed, RenewalRecord)
        assert renewed.outcome is not None
