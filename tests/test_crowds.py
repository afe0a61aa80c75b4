"""What clients outside our control can do to a real entry process.

The machine of these tests has 64 MiB above what an entry takes at rest.
"""

from __future__ import annotations

import signal

import anyio
import pytest

from tests.crowds import (
    GIVE_UP_SECONDS,
    KIB,
    MIB,
    Client,
    Limits,
    make_frame,
    make_head,
    make_upgrade,
    play,
    scene_of,
    send_all,
    send_without_end,
    split_bytes,
    split_pieces,
)
from tests.hosted import make_request
from tests.standins.replica import Peer, make_chunk
from tests.standins.scripts import answer_well

pytestmark = pytest.mark.anyio

MACHINE = Limits(memory=100 * MIB)
BODY = bytes(MACHINE.body)
# Together they send over twice the memory that is left at rest.
CROWD = 140
SMALL_BODY = bytes(300 * KIB)
SMALL_CROWD = 480
TINY_CHUNKS = make_chunk(b'x') * 10_000

UNFINISHED = make_head(len(BODY)) + BODY[:-1]
CHUNKED = make_head(None)
FIRST = make_request('/once/1', connection='', body=b'first')

# The failure each of the crowds guards against, by the name of the case: what
# clients sent was held without a bound on their sum.
HELD = {
    'whole-but-last-byte': (CROWD, send_all(UNFINISHED)),
    'in-pieces': (CROWD, send_all(*split_pieces(UNFINISHED))),
    'one-large-chunk': (
        CROWD,
        send_all(CHUNKED, make_chunk(BODY)[:-3]),
    ),
    'chunks-of-16-kib': (
        CROWD,
        send_all(CHUNKED, *map(make_chunk, split_pieces(BODY))),
    ),
    'behind-a-whole-request': (CROWD, send_all(FIRST, UNFINISHED)),
    'smaller-bodies': (
        SMALL_CROWD,
        send_all(make_head(len(SMALL_BODY)) + SMALL_BODY[:-1]),
    ),
    'streams': (
        CROWD,
        send_all(make_head(len(BODY), path='/stream/1') + BODY[:-1]),
    ),
    'complete': (CROWD, send_all(make_head(len(BODY)) + BODY)),
}
LINES = b'a:b\r\n' * 2_600
# These were within bounds, and stay there.
GUARDED = {
    'whole-requests-with-thousands-of-lines': (
        8,
        send_without_end(b'', FIRST.replace(b'\r\n', b'\r\n' + LINES, 1), 100),
    ),
    'whole-requests-without-a-key': (
        8,
        send_without_end(
            b'',
            make_request('/once/1', connection='', oleanderdyke_key=''),
            500,
        ),
    ),
    'expecting-to-continue': (
        CROWD,
        send_all(make_head(len(BODY), expect='100-continue'), BODY[:-1]),
    ),
    'heads-a-byte-at-a-time': (40, send_all(*split_bytes(UNFINISHED[:200]))),
    'over-the-limit-announced': (
        40,
        send_all(make_head(10**12), *split_pieces(BODY * 4)),
    ),
    'over-the-limit-sent': (
        40,
        send_all(CHUNKED, *map(make_chunk, split_pieces(BODY * 4))),
    ),
    'chunk-size-of-15-digits': (
        40,
        send_all(CHUNKED, b'f' * 15 + b'\r\n', *split_pieces(BODY * 4)),
    ),
    'chunk-extension-without-end': (
        40,
        send_without_end(CHUNKED + b'1;', b'x' * KIB, 4 * KIB),
    ),
    'heads-without-end': (
        400,
        send_all(b'GET / HTTP/1.1\r\nx: ' + b'x' * 16_000),
    ),
    'trailers-without-end': (
        8,
        send_without_end(CHUNKED + b'0\r\n', b'a: b\r\n' * 100, 100),
    ),
    'http-1-0': (
        40,
        send_all(UNFINISHED.replace(b'HTTP/1.1', b'HTTP/1.0', 1)),
    ),
}
# What clients sent took all of the processor time.
BUSY = {
    'one-with-tiny-chunks': (1, send_without_end(CHUNKED, TINY_CHUNKS, 60)),
    'twelve-with-tiny-chunks': (
        12,
        send_without_end(CHUNKED, TINY_CHUNKS, 60),
    ),
    'tiny-chunks-without-a-key': (
        8,
        send_without_end(make_head(None, oleanderdyke_key=''), TINY_CHUNKS, 60),
    ),
    'tiny-chunks-without-a-route': (
        8,
        send_without_end(make_head(None, path='/none/'), TINY_CHUNKS, 60),
    ),
}

FRAME = make_frame(BODY)
# What strangers send to the port for links, which other entries open.
STRANGERS = {
    'silent': send_all(b''),
    'half-an-upgrade': send_all(make_upgrade()[:-2]),
    'heads-without-end': send_all(
        make_upgrade()[:-2], *[b'x: ' + b'x' * 8_000 + b'\r\n'] * 200
    ),
    'silent-behind-the-upgrade': send_all(make_upgrade()),
    'a-frame-but-its-last-byte': send_all(make_upgrade(), FRAME[:-1]),
    'whole-frames': send_all(make_upgrade(), *[FRAME] * 8),
    'an-empty-frame-and-others': send_all(
        make_upgrade(), make_frame(b''), *[FRAME] * 8
    ),
}


# Bodies whose last byte was missing were held without a bound on their sum.
@pytest.mark.parametrize('name', HELD)
async def test_memory_stays_in_bounds_under_bodies(tmp_path, name):
    count, behave = HELD[name]
    async with scene_of(tmp_path, MACHINE) as scene:
        await play(scene, count, behave)


# Guards what already held when the others were found.
@pytest.mark.parametrize('name', GUARDED)
async def test_memory_stays_in_bounds_under_malformed_requests(tmp_path, name):
    count, behave = GUARDED[name]
    async with scene_of(tmp_path, MACHINE) as scene:
        await play(scene, count, behave)


# One client with chunks of one byte left ordinary calls without an answer.
@pytest.mark.parametrize('name', BUSY)
async def test_ordinary_calls_are_answered_beside_tiny_chunks(tmp_path, name):
    count, behave = BUSY[name]
    async with scene_of(tmp_path, MACHINE) as scene:
        await play(scene, count, behave)


# Silent connections took every descriptor, and new callers weren't served.
async def test_silent_connections_do_not_shut_out_callers(tmp_path):
    limits = Limits(memory=100 * MIB, descriptors=400)
    async with scene_of(tmp_path, limits) as scene:
        await play(scene, 500, send_all(b''))


# As the silent ones, with a whole request first, and with half a head.
@pytest.mark.parametrize('sent', [FIRST, b'POST /once/1 HTTP/1.1\r\n'])
async def test_idle_connections_do_not_shut_out_callers(tmp_path, sent):
    limits = Limits(memory=100 * MIB, descriptors=400)
    async with scene_of(tmp_path, limits) as scene:
        await play(scene, 500, send_all(sent))


# Strangers at the port for links took memory and descriptors without a bound.
@pytest.mark.parametrize('name', STRANGERS)
async def test_strangers_at_the_links_take_no_more_than_their_share(
    tmp_path, name
):
    limits = Limits(memory=100 * MIB, descriptors=400)
    async with scene_of(tmp_path, limits) as scene:
        await scene.wait_links()
        await play(scene, 500, STRANGERS[name], scene.links)


# Each running call opened a connection beside its own, over the descriptors.
async def test_waiting_calls_stay_within_the_descriptors(tmp_path):
    limits = Limits(memory=100 * MIB, descriptors=800)
    waiting = make_request('/once/slow', connection='')

    async def answer(peer: Peer) -> None:
        if peer.request.target == '/once/slow':
            await anyio.sleep_forever()
        await answer_well(peer)

    async with scene_of(tmp_path, limits, answer) as scene:
        await play(scene, 700, send_all(waiting))


# A crowd that only announces its bodies must not shut others out.
async def test_announced_bodies_do_not_shut_out_callers(tmp_path):
    async with scene_of(tmp_path, MACHINE) as scene:
        await play(scene, SMALL_CROWD, send_all(make_head(len(BODY))))


# The smallest machine of a deployment has 150 MB, bodies may have 4 MiB.
@pytest.mark.parametrize('is_chunked', [False, True])
async def test_largest_body_is_served_on_the_smallest_machine(
    tmp_path, is_chunked
):
    limits = Limits(memory=150 * MIB, body=4 * MIB)
    body = bytes(limits.body)
    sent = [make_head(len(body)), body]
    if is_chunked:
        pieces = map(make_chunk, split_pieces(body))
        sent = [CHUNKED, *pieces, b'0\r\n\r\n']
    async with scene_of(tmp_path, limits) as scene:
        client = await scene.connect()
        for part in sent:
            assert await client.send(part)
        assert await client.read_status() == 200
        assert scene.replica.received[-1].body == body
        scene.check_bounds()


# A limit on small chunks must not hit honest clients.
async def test_slow_client_with_small_chunks_is_served(tmp_path):
    async with scene_of(tmp_path, MACHINE) as scene:
        client = await scene.connect()
        await client.send(CHUNKED)
        for _ in range(300):
            assert await client.send(make_chunk(b'x') * 2)
            await anyio.sleep(0.01)
        await client.send(b'0\r\n\r\n')
        assert await client.read_status() == 200
        assert scene.replica.received[-1].body == b'x' * 600


# A body that came too slowly was waited for long after its deadline.
@pytest.mark.parametrize('is_chunked', [False, True])
async def test_body_that_is_late_is_refused_at_its_deadline(
    tmp_path, is_chunked
):
    piece = make_chunk(b'x') if is_chunked else b'x'
    head = make_head(
        None if is_chunked else KIB, oleanderdyke_deadline_ms='2000'
    )
    async with scene_of(tmp_path, MACHINE) as scene:
        client = await scene.connect()
        await client.send(head)

        async def trickle() -> None:
            while await client.send(piece):
                await anyio.sleep(0.5)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(trickle)
            status = await client.read_status()
            tasks.cancel_scope.cancel()
        assert status in {408, 503}
        assert not scene.replica.received


# Bodies that don't move were waited for until the grace time was over, and
# answered with 500.
async def test_stop_refuses_bodies_that_do_not_move(tmp_path):
    async with scene_of(tmp_path, MACHINE) as scene:
        await scene.gather(20, send_all(make_head(KIB) + bytes(KIB - 1)))
        await anyio.sleep(0.5)
        statuses: list[int] = []

        async def read(client: Client) -> None:
            statuses.append(await client.read_status())

        async with anyio.create_task_group() as tasks:
            for client in scene.clients:
                tasks.start_soon(read, client)
            scene.process.send_signal(signal.SIGTERM)
        with anyio.fail_after(GIVE_UP_SECONDS):
            assert await scene.process.wait() == 0
        assert statuses == [503] * 20
        log = (tmp_path / 'entry.log').read_text()
        assert 'event=request_cut' not in log
