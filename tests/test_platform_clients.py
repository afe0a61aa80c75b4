from __future__ import annotations

import asyncio
import json
import pathlib
import ssl
from contextlib import asynccontextmanager

import anyio
import pytest

from oleanderdyke.clients.http import HttpBackend, HttpError, HttpSettings
from oleanderdyke.clients.vms import Vm, VmClient
from oleanderdyke.clients.weights import WeightClient, Weights
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from tests.standins import plain, server, vms, weights

HOST = '127.0.0.1'
TLS = pathlib.Path(__file__).parent / 'tls'
HALL = {
    'name': 'vm-1',
    'address': '127.0.0.1:9',
    'data_centre': 'hall',
    'leaving': True,
}

pytestmark = pytest.mark.anyio


@asynccontextmanager
async def serving_tcp(answer):
    """Run `answer` for each TCP connection and yield the address."""
    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, answer)
        yield f'{HOST}:{port}'
        group.cancel_scope.cancel()
    await listener.aclose()


async def catch_failure(backend, *call, **options):
    with pytest.raises(HttpError) as caught:
        async with backend.request(*call, **options) as answer:
            await answer.read(1000)
    return caught.value.ran


async def test_the_vm_list_is_read():
    app = vms.make_app()
    app._current = [HALL]
    async with server.serving(app) as (address,):
        client = VmClient(address)
        assert await client.list() == (Vm(**HALL),)


@pytest.mark.parametrize(
    'shown',
    [
        [7],
        [{**HALL, 'name': 7}],
        [{**HALL, 'address': None}],
        [{**HALL, 'leaving': 'no'}],
    ],
)
async def test_a_malformed_vm_list_is_refused(shown):
    app = vms.make_app()
    app._show = lambda vm: vm
    app._list = lambda: shown
    async with server.serving(app) as (address,):
        with pytest.raises(OleanderError):
            await VmClient(address).list()


@pytest.mark.parametrize('faults', [{'down': True}, {'silent': True}])
async def test_an_unavailable_vm_list_raises_a_typed_error_in_time(faults):
    app = vms.make_app()
    app.faults = vms.VmFaults(**faults)
    async with server.serving(app) as (address,):
        with pytest.raises(OleanderError) as caught:
            await VmClient(address).list(timeout=150)
    assert caught.value.kind is ErrorKind.NOT_READY


async def test_weights_are_described():
    async with server.serving(weights.make_app()) as (address,):
        client = WeightClient(address)
        described = await client.describe('claims', 'v1')
        digest = weights.make_digest('claims', 'v1')
        assert described == Weights(digest, described.length)


async def test_unknown_weights_are_not_found():
    app = weights.make_app()
    app.faults = weights.WeightFaults(missing=['claims/v2'])
    async with server.serving(app) as (address,):
        with pytest.raises(OleanderError) as caught:
            await WeightClient(address).describe('claims', 'v2')
    assert caught.value.kind is ErrorKind.NOT_FOUND


async def test_an_exchange_carries_method_headers_and_body():
    async with server.serving(plain.make_app()) as (address,):
        backend = HttpBackend(address)
        headers = (('X-Request-Id', 'r1'),)
        async with backend.request(
            'POST', '/book?room=1', headers=headers, body=b'two tickets'
        ) as answer:
            assert answer.status == 201
            receipt = json.loads(await answer.read(1000))
        assert receipt['receipt'] == 'plain-1'
        assert ('content-type', 'application/json') in answer.headers


async def count_up(parts, size):
    for number in range(parts):
        yield bytes([number]) * size


async def test_bodies_are_streamed_both_ways():
    async with server.serving(plain.make_app()) as (address,):
        backend = HttpBackend(address)
        body = count_up(20, 1000)
        async with backend.request('POST', '/echo', body=body) as answer:
            echoed = await answer.read(100_000)
    assert echoed == b''.join([part async for part in count_up(20, 1000)])


async def test_a_long_answer_arrives_in_chunks_and_may_be_left():
    app = plain.make_app()
    app.faults = plain.PlainFaults(big=50_000_000)
    async with server.serving(app) as (address,):
        backend = HttpBackend(address)
        async with backend.request('GET', '/big') as answer:
            async for piece in answer.body:
                assert len(piece) < 1_000_000
                break
        assert await catch_failure(backend, 'GET', '/big') is Ran.MAYBE
        app.faults = plain.PlainFaults()
        async with backend.request('GET', '/status') as answer:
            assert answer.status == 200


async def test_a_refused_connection_ran_nothing():
    async with serving_tcp(lambda stream: stream.aclose()) as address:
        pass
    assert (
        await catch_failure(HttpBackend(address), 'POST', '/', body=b'x')
        is Ran.NO
    )


async def test_a_request_that_cannot_be_written_did_not_run():
    reached = []

    async def note(stream):
        async with stream:
            reached.append(await stream.receive())

    async with serving_tcp(note) as address:
        headers = (('bad name', 'x'),)
        ran = await catch_failure(
            HttpBackend(address), 'GET', '/', headers=headers
        )
    assert ran is Ran.NO
    assert reached == []


OK = b'HTTP/1.1 200 OK\r\n'


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'rubbish\r\n\r\n',
        OK,
        OK + b'content-length: 9\r\n\r\nshort',
        OK + b'transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n',
    ],
    ids=['closed', 'rubbish', 'no_head', 'short', 'no_last_chunk'],
)
async def test_an_answer_cut_off_leaves_the_request_in_doubt(data):
    async def cut(stream):
        async with stream:
            await stream.receive()
            await stream.send(data)

    async with serving_tcp(cut) as address:
        backend = HttpBackend(address)
        assert await catch_failure(backend, 'POST', '/', body=b'x') is Ran.MAYBE


@pytest.mark.parametrize(
    ('data', 'part', 'ended'),
    [
        (b'1\r\na\r\n2\r\nbc\r\n', b'abc', False),
        (b'1\r\na\r\n2\r\nbc\r\n0\r\n\r\n', b'abc', True),
        (b'1\r\na\r\nrubbish\r\n', b'a', None),
    ],
    ids=['more_to_come', 'whole', 'then_rubbish'],
)
async def test_data_received_together_is_one_part_even_before_a_fault(
    data, part, ended
):
    async def answer_and_hold(stream):
        async with stream:
            await stream.receive()
            head = OK + b'transfer-encoding: chunked\r\n\r\n'
            await stream.send(head + data)
            await anyio.sleep_forever()

    async with serving_tcp(answer_and_hold) as address:
        backend = HttpBackend(address)
        async with backend.request('GET', '/') as answer:
            with anyio.fail_after(20):
                assert await anext(answer.body) == part
                if ended:
                    assert [piece async for piece in answer.body] == []
                elif ended is None:
                    with pytest.raises(HttpError):
                        await anext(answer.body)


async def test_an_answer_before_the_end_of_the_request_is_accepted():
    async def refuse(stream):
        await stream.send(OK + b'content-length: 2\r\n\r\nno')
        await stream.send_eof()
        async with stream:
            async for _ in stream:
                pass

    async with serving_tcp(refuse) as address:
        body = count_up(3, 1000)
        backend = HttpBackend(address)
        async with backend.request('POST', '/', body=body) as answer:
            assert await answer.read(10) == b'no'


@asynccontextmanager
async def answering_with_tls(*, closes):
    async def answer_once(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(OK + b'content-length: 2\r\n\r\nok')
        if not closes:
            await reader.read()
        writer.close()

    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(TLS / 'node.pem', TLS / 'node.key')
    listener = await asyncio.start_server(answer_once, HOST, 0, ssl=context)
    async with listener:
        yield f'{HOST}:{listener.sockets[0].getsockname()[1]}'


@pytest.mark.parametrize('closes', [False, True])
async def test_an_exchange_with_tls_ends_whoever_closes_first(closes):
    client = ssl.create_default_context(cafile=TLS / 'ca.pem')
    async with answering_with_tls(closes=closes) as address:
        backend = HttpBackend(address, tls=client)
        for _ in range(2):
            async with backend.request('GET', '/') as answer:
                assert await answer.read(10) == b'ok'
                await backend.close()


async def test_an_unverified_server_ran_nothing():
    client = ssl.create_default_context(cafile=TLS / 'other_ca.pem')
    async with answering_with_tls(closes=False) as address:
        backend = HttpBackend(address, tls=client)
        assert await catch_failure(backend, 'POST', '/', body=b'x') is Ran.NO


async def test_a_server_that_never_answers_leaves_the_request_in_doubt():
    async def hold(stream):
        async with stream:
            await anyio.sleep_forever()

    async with serving_tcp(hold) as address:
        backend = HttpBackend(address, settings=HttpSettings(read=100))
        assert await catch_failure(backend, 'GET', '/') is Ran.MAYBE


async def test_each_request_has_its_own_connection():
    connections = []

    async def answer_once(stream):
        connections.append(stream)
        await stream.receive()
        await stream.send(OK + b'content-length: 0\r\n\r\n')
        # The connection stays open: a client that reused it would wait forever.
        await anyio.sleep_forever()

    async with serving_tcp(answer_once) as address:
        backend = HttpBackend(address, settings=HttpSettings(read=5000))
        for _ in range(3):
            async with backend.request('GET', '/') as answer:
                assert await answer.read(10) == b''
    assert len(connections) == 3


async def test_leaving_an_answer_closes_its_connection():
    closed = anyio.Event()

    async def stream_forever(stream):
        async with stream:
            await stream.receive()
            await stream.send(OK + b'transfer-encoding: chunked\r\n\r\n')
            await stream.send(b'1\r\nx\r\n')
            with pytest.raises(anyio.EndOfStream):
                await stream.receive()
            closed.set()

    async with serving_tcp(stream_forever) as address:
        async with HttpBackend(address).request('GET', '/') as answer:
            assert await anext(answer.body) == b'x'
        with anyio.fail_after(20):
            await closed.wait()


async def test_closing_the_backend_aborts_its_exchanges():
    async def hold(stream):
        async with stream:
            await stream.receive()
            await stream.send(OK + b'content-length: 9\r\n\r\n')
            await anyio.sleep_forever()

    async with serving_tcp(hold) as address:
        backend = HttpBackend(address)
        async with backend.request('GET', '/') as answer:
            await backend.close()
            with pytest.raises(HttpError):
                await answer.read(10)


async def test_an_error_of_the_body_ends_the_request():
    async def break_off():
        yield b'some'
        raise OleanderError(ErrorKind.CANCELLED, 'the caller left')

    async with server.serving(plain.make_app()) as (address,):
        backend = HttpBackend(address)
        with pytest.raises(OleanderError) as caught:
            async with backend.request('POST', '/', body=break_off()):
                pass
    assert caught.value.kind is ErrorKind.CANCELLED
