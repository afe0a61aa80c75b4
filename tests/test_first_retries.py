"""The first requests after a start of an entry, whose servers fail."""

from __future__ import annotations

import contextlib

import anyio
import pytest

from oleanderdyke.kernel.retries import StartGrants
from tests.hosted import staging_linked, starting
from tests.retry_world import World
from tests.standins.replica import make_event
from tests.standins.scripts import send_events

# How long the store of the platform keeps starts.
KEPT_SECONDS = 20.0
WHOLE = b''.join(make_event(number) for number in range(1, 7))


async def break_off(peer):
    if not peer.request.target.startswith('/stream/'):
        peer.reset()
        return
    await send_events(peer, 1, 3)
    peer.reset()


async def send_rest(peer):
    if not peer.request.target.startswith('/stream/'):
        await peer.answer(body=b'done')
        return
    last = int(peer.request.headers.get('last-event-id') or 0)
    await send_events(peer, last + 1, 6)
    await peer.send(b'0\r\n\r\n')


@contextlib.asynccontextmanager
async def starting_late(directory):
    """Start an entry of a deployment that has been up for a while."""
    scripts = (break_off, send_rest)
    async with (
        staging_linked(directory, *scripts, entries=1) as linked,
        starting(
            directory,
            linked.store,
            linked.ports,
            [],
            name='front-2',
            has_links=True,
        ) as stage,
    ):
        with anyio.fail_after(10):
            while not await is_ready(stage):
                await anyio.sleep(0.02)
        yield stage


async def is_ready(stage):
    with contextlib.suppress(OSError):
        return await stage.is_ready()
    return False


# The first streams after a start were broken off with their server, as budgets
# begin empty.
@pytest.mark.anyio
async def test_first_stream_after_a_start_goes_on_elsewhere(tmp_path):
    async with starting_late(tmp_path) as stage:
        found = [await stage.call('/stream/1') for _ in range(2)]
    assert [each.body for each in found] == [WHOLE, WHOLE]


@pytest.mark.anyio
async def test_first_call_after_a_start_is_retried(tmp_path):
    async with starting_late(tmp_path) as stage:
        found = [await stage.call('/safe/x') for _ in range(2)]
    assert [each.status for each in found] == [200, 200]


def test_starts_in_series_begin_with_few_retries():
    grants = StartGrants(most=3)
    times = [0.0, 1.0, 2.0, 3.0, 19.0, 22.5, 23.5, 24.5]
    granted = []
    for place, at in enumerate(times):
        earlier = grants.find_earlier(place)
        has_expired = earlier is None or at - times[earlier] > KEPT_SECONDS
        if grants.may_grant(has_expired=has_expired):
            granted.append(at)
    assert granted == [0.0, 1.0, 2.0, 22.5, 23.5]


def test_start_after_one_that_the_store_keeps_begins_without_a_retry():
    assert not StartGrants(most=1).may_grant(has_expired=False)
    assert not StartGrants(most=0).may_grant(has_expired=True)


def test_entry_that_starts_while_the_store_is_down_begins_without_a_retry():
    world = World(is_down=True)
    entry = world.start()
    world.send(entry, 1)
    assert not world.seen.retries


def test_entry_that_starts_alone_begins_with_a_retry():
    world = World()
    entry = world.start()
    world.send(entry, 1)
    assert len(world.seen.retries) == 1
