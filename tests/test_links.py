from __future__ import annotations

import pathlib
import ssl
import time
from contextlib import asynccontextmanager
from functools import partial

import anyio
import cbor2
import pytest
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed

from oleanderdyke.clock import make_clock
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.links.codec import decode, encode
from oleanderdyke.links.dialer import DialFailed, dial
from oleanderdyke.links.handshake import HandshakeFailed
from oleanderdyke.links.keepalive import KeepaliveMonitor
from oleanderdyke.links.link import LinkClosed, LinkSettings
from oleanderdyke.links.listener import serve_links
from oleanderdyke.links.messages import (
    PROTOCOL_VERSION,
    AnswerChunk,
    Cancel,
    Credit,
    Hello,
    Ping,
    Pong,
    Refused,
    Role,
)
from oleanderdyke.links.tls import (
    TlsPaths,
    make_client_context,
    make_server_context,
)
from relays import relaying

HOST = '127.0.0.1'
INTERVAL = 40.0
MISSED = 3
BUDGET = INTERVAL * MISSED / 1000
QUICK = LinkSettings(ping_interval=INTERVAL, missed_pings=MISSED)
CALM = LinkSettings(ping_interval=60_000)
CLOCK = make_clock()
TLS = pathlib.Path(__file__).parent / 'tls'

pytestmark = pytest.mark.anyio


def make_hello(name: str) -> Hello:
    return Hello(PROTOCOL_VERSION, Role.AGENT, name, 'i1', 'hall', 7)


async def echo(link):
    while True:
        await link.send(await link.receive())


async def hold(links, link):
    links.append(link)
    await anyio.sleep_forever()


async def keep_reading(links, link):
    links.append(link)
    await receive_forever(link)


@asynccontextmanager
async def listening(handle, *, settings=CALM, tls=None):
    async with serve_links(
        HOST,
        0,
        lambda: make_hello('server'),
        handle,
        settings=settings,
        clock=CLOCK,
        tls=tls,
    ) as port:
        yield f'{HOST}:{port}'


async def call(address, *, settings=CALM, tls=None):
    hello = make_hello('client')
    return await dial(address, hello, settings=settings, clock=CLOCK, tls=tls)


async def wait_until(condition):
    while not condition():
        await anyio.sleep(0.005)


async def receive_into(link, received):
    while True:
        received.append(await link.receive())


async def receive_forever(link):
    while True:
        await link.receive()


async def send_forever(link):
    while True:
        await link.send(AnswerChunk('r', 1, 0, bytes(50_000)))


async def read_until_closed(link):
    with pytest.raises(LinkClosed) as caught:
        await receive_forever(link)
    return caught.value.message


async def test_both_sides_receive_the_hello_of_the_other():
    links = []
    async with listening(partial(hold, links)) as address:
        link = await call(address)
        await wait_until(lambda: links)
        assert link.peer == make_hello('server')
        assert links[0].peer == make_hello('client')
        assert link.address == address


async def test_bytes_of_control_and_data_are_counted_apart():
    async with listening(echo) as address:
        link = await call(address)
        for message in (Cancel('r', 1), AnswerChunk('r', 1, 0, b'x')):
            await link.send(message)
            assert await link.receive() == message
    control = len(encode(Cancel('r', 1)))
    data = len(encode(AnswerChunk('r', 1, 0, b'x')))
    assert link.counters.control_out == link.counters.control_in == control
    assert link.counters.data_out == link.counters.data_in == data


async def test_closing_one_side_ends_the_other():
    links = []
    async with listening(partial(keep_reading, links)) as address:
        link = await call(address)
        await wait_until(lambda: links)
        await link.close()
        await link.close()
        await wait_until(lambda: links[0].closed)
        with pytest.raises(LinkClosed):
            await link.send(Cancel('r', 1))
        with pytest.raises(LinkClosed):
            await link.receive()


async def test_leaving_the_listener_closes_its_links():
    async with listening(echo) as address:
        link = await call(address)
    await read_until_closed(link)
    assert link.closed
    with pytest.raises(DialFailed):
        await call(address)


async def test_leaving_the_listener_does_not_wait_for_a_silent_peer():
    links = []
    async with relaying('') as (relay, through):
        async with listening(partial(hold, links)) as address:
            relay.target = address
            link = await call(through)
            await wait_until(lambda: links)
            relay.silence()
        assert links[0].closed
        assert not link.closed


async def test_a_refused_connection_is_typed_and_did_not_run():
    async with listening(echo) as address:
        pass
    with pytest.raises(DialFailed) as caught:
        await call(address)
    assert caught.value.ran is Ran.NO


async def test_the_handshake_times_out_without_a_hello():
    async def say_nothing(socket):
        await socket.wait_closed()

    settings = LinkSettings(dial_timeout=50)
    async with serve(say_nothing, HOST, 0) as server:
        port = next(iter(server.sockets)).getsockname()[1]
        with pytest.raises(HandshakeFailed, match='no hello in time'):
            await call(f'{HOST}:{port}', settings=settings)


async def test_an_error_of_a_handler_closes_its_link_only():
    async def fail_on_cancel(link):
        while not isinstance(await link.receive(), Cancel):
            pass
        raise OleanderError(ErrorKind.PROTOCOL, 'no')

    links = []
    async with listening(fail_on_cancel) as address:
        first, second = await call(address), await call(address)
        await first.send(Cancel('r', 1))
        await read_until_closed(first)
        await second.send(Ping(1))
        links.append(second)
        with anyio.move_on_after(0.1):
            await second.receive()
        assert not second.closed


async def test_a_silent_connection_is_closed_at_both_ends():
    links = []
    handle = partial(keep_reading, links)
    async with (
        listening(handle, settings=QUICK) as address,
        relaying(address) as (relay, through),
    ):
        link = await call(through, settings=QUICK)
        await wait_until(lambda: links)
        relay.silence()
        assert await read_until_closed(link) == 'the peer is silent'
        await wait_until(lambda: links[0].closed)
        assert not (await call(through, settings=QUICK)).closed


async def test_pings_alone_keep_a_link_open():
    links = []
    handle = partial(keep_reading, links)
    async with listening(handle, settings=QUICK) as address:
        link = await call(address, settings=QUICK)
        with anyio.move_on_after(5 * BUDGET):
            await link.receive()
        assert not link.closed
        assert not links[0].closed
        assert link.counters.control_in > 0


async def test_a_busy_link_needs_hardly_any_pings():
    beats = 100
    async with listening(echo, settings=QUICK) as address:
        link = await call(address, settings=QUICK)
        for sequence in range(beats):
            await anyio.sleep(INTERVAL / 5000)
            await link.send(Cancel('r', sequence))
            assert await link.receive() == Cancel('r', sequence)
    beaten = sum(len(encode(Cancel('r', each))) for each in range(beats))
    pinged = link.counters.control_out - beaten
    assert pinged < beats / 5 / 2 * len(encode(Ping(1)))


async def test_a_peer_that_only_answers_pings_is_alive():
    async def answer_pings(socket):
        await socket.send(encode(make_hello('server')))
        await socket.recv()
        async for data in socket:
            message = decode(data)
            assert isinstance(message, Ping)
            await socket.send(encode(Pong(message.nonce)))

    async with serve(answer_pings, HOST, 0) as server:
        port = next(iter(server.sockets)).getsockname()[1]
        link = await call(f'{HOST}:{port}', settings=QUICK)
        with anyio.move_on_after(5 * BUDGET):
            await link.receive()
        assert not link.closed
        await link.close()


async def test_a_long_frame_on_a_slow_connection_counts_as_activity():
    async with (
        listening(echo, settings=QUICK) as address,
        relaying(address) as (relay, through),
    ):
        link = await call(through, settings=QUICK)
        relay.piece, relay.pause = 4096, INTERVAL / 4000
        chunk = AnswerChunk('r', 1, 0, bytes(250_000))
        await link.send(chunk)
        assert await link.receive() == chunk


async def test_a_reader_that_pauses_does_not_close_the_link_as_silent():
    resumed = anyio.Event()
    received = []

    async def read_late(link):
        await resumed.wait()
        while True:
            received.append(await link.receive())

    async def send_all(link):
        for sequence in range(200):
            await link.send(AnswerChunk('r', 1, sequence, bytes(50_000)))

    async with listening(read_late, settings=QUICK) as address:
        link = await call(address, settings=QUICK)
        async with anyio.create_task_group() as group:
            group.start_soon(send_all, link)
            with anyio.move_on_after(5 * BUDGET):
                await link.receive()
            assert not link.closed
            resumed.set()
            await wait_until(lambda: len(received) == 200)
            group.cancel_scope.cancel()
    assert [chunk.sequence for chunk in received] == list(range(200))


async def test_a_sender_waits_for_a_reader_that_stops():
    links, sent = [], []

    async def send_all(link):
        for sequence in range(2000):
            await link.send(AnswerChunk('r', 1, sequence, bytes(50_000)))
            sent.append(sequence)

    async with listening(partial(hold, links)) as address:
        link = await call(address)
        async with anyio.create_task_group() as group:
            group.start_soon(send_all, link)
            await anyio.sleep(0.5)
            group.cancel_scope.cancel()
    # The buffers of both kernels and sockets hold far less than 100 MB.
    assert len(sent) < 1000


async def test_a_link_to_a_peer_that_reads_no_bytes_is_closed():
    settings = LinkSettings(
        ping_interval=INTERVAL, missed_pings=10_000, send_timeout=2 * INTERVAL
    )
    links = []
    async with listening(partial(hold, links)) as address:
        link = await call(address, settings=settings)
        with pytest.raises(LinkClosed, match='takes no bytes'):
            await send_forever(link)
        assert link.closed


async def test_a_frozen_process_does_not_treat_its_peers_as_silent():
    links = []
    handle = partial(keep_reading, links)
    async with listening(handle, settings=QUICK) as address:
        link = await call(address, settings=QUICK)
        await wait_until(lambda: links)
        for _ in range(3):
            time.sleep(3 * BUDGET)
            with anyio.move_on_after(INTERVAL / 1000):
                await link.receive()
        assert not link.closed
        assert not links[0].closed


HEARD, QUIET, PAUSED, LATE = 'heard', 'quiet', 'paused', 'late'


@pytest.mark.parametrize(
    ('ticks', 'silent'),
    [
        ([QUIET] * 3, True),
        ([QUIET] * 2, False),
        ([QUIET, QUIET, HEARD, QUIET, QUIET], False),
        ([QUIET, QUIET, PAUSED, QUIET, QUIET], False),
        ([PAUSED] * 9, False),
        ([QUIET, QUIET, LATE, QUIET, QUIET], False),
        ([LATE] * 9, False),
        ([LATE, QUIET, QUIET, QUIET], True),
        ([HEARD] * 9, False),
    ],
)
def test_silence_is_counted_only_while_the_socket_is_read(ticks, silent):
    now = 0.0
    watch = KeepaliveMonitor(interval=10, allowed=3, now=now)
    now += 10
    watch.tick(now, reading=True)
    verdict = False
    for tick in ticks:
        now += 1000 if tick == LATE else 10
        if tick == HEARD:
            watch.record_activity()
        verdict = watch.tick(now, reading=tick != PAUSED)
    assert verdict is silent


@asynccontextmanager
async def raw_link(address):
    async with connect(f'ws://{address}', proxy=None) as socket:
        await socket.send(encode(make_hello('raw')))
        assert isinstance(decode(await socket.recv()), Hello)
        yield socket


@pytest.mark.parametrize(
    'data',
    [
        cbor2.dumps({'type': 'Teleport', 'nonce': 1}),
        cbor2.dumps({'type': 'Cancel', 'request': 7}),
        b'\xff\x00',
        b'',
    ],
)
async def test_an_invalid_message_is_refused_and_the_link_stays_open(data):
    async with (
        listening(echo) as address,
        raw_link(address) as socket,
    ):
        await socket.send(data)
        refused = decode(await socket.recv())
        assert isinstance(refused, Refused)
        assert refused.kind is ErrorKind.PROTOCOL
        await socket.send(encode(Cancel('r', 1)))
        assert decode(await socket.recv()) == Cancel('r', 1)


async def send_rubbish(socket):
    for _ in range(10_000):
        await socket.send(b'\xff')
        await socket.recv()


async def test_a_link_with_only_invalid_messages_is_closed():
    async with (
        listening(echo) as address,
        raw_link(address) as socket,
    ):
        with pytest.raises(ConnectionClosed):
            await send_rubbish(socket)


async def test_a_frame_too_large_ends_only_its_link():
    async with listening(echo) as address:
        other = await call(address)
        async with raw_link(address) as socket:
            await socket.send(bytes(2 * CALM.max_frame))
            with pytest.raises(ConnectionClosed):
                await socket.recv()
        await other.send(Credit('r', 1, 1))
        assert await other.receive() == Credit('r', 1, 1)
        with pytest.raises(OleanderError):
            await other.send(AnswerChunk('r', 1, 0, bytes(CALM.max_frame)))
        assert not other.closed


NEWER = cbor2.dumps({'type': 'Hello', 'version': 2, 'node': {'name': 'n'}})


async def test_a_peer_of_another_version_is_told_both_versions():
    async with (
        listening(echo) as address,
        connect(f'ws://{address}', proxy=None) as socket,
    ):
        await socket.send(NEWER)
        assert isinstance(decode(await socket.recv()), Hello)
        refused = decode(await socket.recv())
        assert isinstance(refused, Refused)
        assert 'version 2' in refused.detail
        assert f'version {PROTOCOL_VERSION}' in refused.detail


async def test_dialing_another_version_fails_and_names_both():
    heard = []

    async def speak_newer(socket):
        await socket.send(NEWER)
        heard.extend([await socket.recv(), await socket.recv()])

    async with serve(speak_newer, HOST, 0) as server:
        port = next(iter(server.sockets)).getsockname()[1]
        with pytest.raises(HandshakeFailed, match='version 2') as caught:
            await call(f'{HOST}:{port}')
        assert f'version {PROTOCOL_VERSION}' in caught.value.message
        await wait_until(lambda: heard)
        assert isinstance(decode(heard[1]), Refused)


async def test_a_link_that_starts_with_another_message_is_refused():
    async with (
        listening(echo) as address,
        connect(f'ws://{address}', proxy=None) as socket,
    ):
        await socket.send(encode(Cancel('r', 1)))
        await socket.recv()
        assert isinstance(decode(await socket.recv()), Refused)


def make_paths(node='node', ca='ca'):
    return TlsPaths(
        certificate=str(TLS / f'{node}.pem'),
        key=str(TLS / f'{node}.key'),
        ca=str(TLS / f'{ca}.pem'),
    )


async def test_tls_links_verify_both_sides():
    server = make_server_context(make_paths())
    async with listening(echo, tls=server) as address:
        link = await call(address, tls=make_client_context(make_paths()))
        await link.send(Cancel('r', 1))
        assert await link.receive() == Cancel('r', 1)


@pytest.mark.parametrize(
    'client',
    [
        make_paths('other_node', 'ca'),
        make_paths('node', 'other_ca'),
        TlsPaths(ca=str(TLS / 'ca.pem')),
        TlsPaths(),
        None,
    ],
    ids=['foreign', 'distrusting', 'anonymous', 'public', 'plain'],
)
async def test_tls_refuses_a_client_it_cannot_verify(client):
    links = []
    server = make_server_context(make_paths())
    context = None if client is None else make_client_context(client)
    handle = partial(hold, links)
    async with listening(handle, tls=server) as address:
        with pytest.raises(OleanderError):
            await call(address, tls=context)
        assert links == []


async def test_a_silent_tls_connection_is_closed():
    server = make_server_context(make_paths())
    client = make_client_context(make_paths())
    links = []
    handle = partial(keep_reading, links)
    async with (
        listening(handle, settings=QUICK, tls=server) as address,
        relaying(address) as (relay, through),
    ):
        link = await call(through, settings=QUICK, tls=client)
        await wait_until(lambda: links)
        relay.silence()
        assert await read_until_closed(link) == 'the peer is silent'
        await wait_until(lambda: links[0].closed)


def test_a_server_context_needs_its_certificate():
    with pytest.raises((OSError, ssl.SSLError)):
        make_server_context(TlsPaths(certificate='nowhere.pem'))


async def test_messages_of_an_inline_handler_keep_their_order():
    links, taken = [], []
    async with listening(partial(hold, links)) as address:
        link = await call(address)
        await wait_until(lambda: links)
        link.handle_inline(taken.append)
        sent = [Cancel('r', number) for number in range(200)]
        async with anyio.create_task_group() as group:
            # Messages that arrive before `receive` is called do not go to the
            # inline handler.
            for message in sent[:20]:
                await links[0].send(message)
            await anyio.wait_all_tasks_blocked()
            group.start_soon(receive_into, link, taken)
            for message in sent[20:]:
                await links[0].send(message)
            await wait_until(lambda: len(taken) == len(sent))
            group.cancel_scope.cancel()
        assert taken == sent
        await link.close()


async def test_an_exception_of_an_inline_handler_is_raised_by_receive():
    def refuse(_message):
        raise KeyError('fault')

    links = []
    async with listening(partial(hold, links)) as address:
        link = await call(address)
        await wait_until(lambda: links)
        link.handle_inline(refuse)
        async with anyio.create_task_group() as group:
            group.start_soon(links[0].send, Cancel('r', 1))
            with pytest.raises(KeyError, match='fault'):
                await link.receive()
        await link.close()


async def test_link_tells_how_long_a_message_was_on_its_way():
    async with listening(echo) as address:
        link = await call(address)
        assert link.peer_clock.find_delay(CLOCK.now(), CLOCK.now()) is None
        link.ask_time(CLOCK.now())
        await link.send(Cancel('r', 1))
        await link.receive()
        now = CLOCK.now()
        late = link.peer_clock.find_delay(now - 3_000.0, now)
        fresh = link.peer_clock.find_delay(now, now)
        assert late == pytest.approx(fresh + 3_000.0)
        assert fresh < 2_000.0
        await link.close()
