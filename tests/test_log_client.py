from __future__ import annotations

from contextlib import asynccontextmanager

import anyio
import cbor2
import pytest

from oleanderdyke.clients.log import LogClient, LogUnavailable
from oleanderdyke.errors import ErrorKind, Ran
from relays import relaying
from tests.standins import log as log_service
from tests.standins import server

HOST = '127.0.0.1'
SHORT = 150.0

pytestmark = pytest.mark.anyio


@asynccontextmanager
async def service(**settings):
    app = log_service.make_app(log_service.LogSettings(**settings))
    async with server.serving(app) as (address,):
        client = LogClient(address)
        yield app, client
        await client.close()


def set_faults(app, **faults):
    app.faults = log_service.LogFaults(**faults)
    app.note_faults()


async def fail_append(client, **options):
    with pytest.raises(LogUnavailable) as caught:
        await client.append('claims', [b'x'], **options)
    assert caught.value.kind is ErrorKind.LOG_UNAVAILABLE
    return caught.value.ran


async def test_records_come_back_in_order_with_their_offsets():
    async with service() as (_, client):
        assert await client.append('a/b', [b'0', b'1']) == 0
        assert await client.append('a/b', [b'2']) == 2
        page = await client.read('a/b', start=0)
        assert [each.offset for each in page.records] == [0, 1, 2]
        assert [each.data for each in page.records] == [b'0', b'1', b'2']
        assert (page.first, page.end) == (0, 3)
        page = await client.read('a/b', start=1, limit=1)
        assert [each.data for each in page.records] == [b'1']
        assert (await client.read('other', start=0)).records == ()


async def test_first_offset_shows_which_records_have_expired():
    async with service(keep_records=2) as (_, client):
        await client.append('claims', [b'0', b'1', b'2'])
        page = await client.read('claims', start=0)
        assert (page.first, page.end) == (1, 3)
        assert [each.offset for each in page.records] == [1, 2]


async def test_a_long_poll_returns_with_the_first_new_record():
    pages = []
    async with service() as (_, client), anyio.create_task_group() as group:

        async def read():
            pages.append(await client.read('claims', start=0, wait=20_000))

        group.start_soon(read)
        await anyio.sleep(0.05)
        assert pages == []
        await client.append('claims', [b'late'])
    assert [each.data for each in pages[0].records] == [b'late']


async def test_a_long_poll_without_records_returns_an_empty_page():
    async with service() as (_, client):
        page = await client.read('claims', start=0, wait=20)
        assert (page.records, page.end) == ((), 0)


async def test_a_refused_connection_did_not_append():
    async with service() as (_, client):
        pass
    assert await fail_append(client) is Ran.NO


async def test_an_unavailable_service_did_not_append():
    async with service() as (app, client):
        set_faults(app, down=True)
        assert await fail_append(client) is Ran.NO
        set_faults(app)
        assert await client.append('claims', [b'x']) == 0


async def test_a_service_that_limits_the_rate_did_not_append():
    async with service(appends_per_second=0.001, burst=1) as (app, client):
        await client.append('claims', [b'x'])
        assert await fail_append(client) is Ran.NO
        assert app.appends == 1


async def test_a_lost_answer_may_have_appended():
    async with service() as (app, client):
        set_faults(app, lose_answers=1)
        assert await fail_append(client) is Ran.MAYBE
        assert app.appends == 1


async def test_a_slow_append_may_have_appended():
    async with service() as (app, client):
        set_faults(app, slow=20_000)
        assert await fail_append(client, timeout=SHORT) is Ran.MAYBE


async def test_a_silent_connection_blocks_neither_its_call_nor_the_next():
    async with service() as (app, client):
        address = client_address(client)
        async with relaying(address) as (relay, through):
            passing = LogClient(through)
            assert await passing.append('claims', [b'0']) == 0
            relay.silence_next()
            assert await fail_append(passing, timeout=SHORT) is Ran.MAYBE
            assert await passing.append('claims', [b'1']) == 1
            await passing.close()
        assert app.appends == 2


def client_address(client):
    return client._http._address


async def test_a_failed_read_has_no_effect():
    async with service() as (app, client):
        set_faults(app, slow=20_000)
        with pytest.raises(LogUnavailable) as caught:
            await client.read('claims', start=0, timeout=SHORT)
        assert caught.value.ran is Ran.NO


@asynccontextmanager
async def answering(head: str, body: bytes):
    async def answer(stream):
        async with stream:
            await stream.receive()
            length = f'content-length: {len(body)}\r\n'
            await stream.send(f'{head}\r\n{length}\r\n'.encode() + body)

    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, answer)
        yield LogClient(f'{HOST}:{port}')
        group.cancel_scope.cancel()
    await listener.aclose()


OK = 'HTTP/1.1 200 OK'


@pytest.mark.parametrize(
    ('head', 'body'),
    [
        (OK, b''),
        (OK, b'{"first": 1}'),
        (OK, cbor2.dumps([1])),
        (OK, cbor2.dumps({'first': -1})),
        (OK, cbor2.dumps({'first': True})),
        (OK, cbor2.dumps({'first': 2**70})),
        ('HTTP/1.1 500 Oops', cbor2.dumps({'first': 1})),
        ('HTTP/1.1 404 Nowhere', b''),
        ('SMTP', b''),
    ],
)
async def test_a_malformed_answer_leaves_the_append_in_doubt(head, body):
    async with answering(head, body) as client:
        assert await fail_append(client) is Ran.MAYBE


@pytest.mark.parametrize(
    'page',
    [
        {'first': 0, 'end': 1},
        {'first': 0, 'end': 'x', 'records': []},
        {'first': 0, 'end': 1, 'records': [[0, 1.0]]},
        {'first': 0, 'end': 1, 'records': [[0, 1.0, 'text']]},
        {'first': 0, 'end': 1, 'records': [[0, None, b'']]},
        {'first': 0, 'end': 2, 'records': [[1, 1.0, b''], [0, 1.0, b'']]},
        {'first': 0, 'end': 2, 'records': [[1, 1.0, b''], [1, 1.0, b'']]},
        {'first': 0, 'end': 1, 'records': [[1, 1.0, b'']]},
        [],
    ],
)
async def test_a_malformed_page_is_refused(page):
    async with answering(OK, cbor2.dumps(page)) as client:
        with pytest.raises(LogUnavailable):
            await client.read('claims', start=0)


async def test_records_before_the_start_are_refused():
    page = {'first': 0, 'end': 2, 'records': [[0, 1.0, b'']]}
    async with answering(OK, cbor2.dumps(page)) as client:
        with pytest.raises(LogUnavailable):
            await client.read('claims', start=1)
