"""Check the protocols and the faults of the stand-ins."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import anyio
import cbor2
import httpcore
import pytest

from tests import calls, processes
from tests.standins import (
    answers,
    cache,
    engine,
    log,
    plain,
    replica,
    server,
    store,
    vms,
    web,
    weights,
)

Client = Callable[..., Awaitable[httpcore.Response]]
LOST = (httpcore.NetworkError, httpcore.ProtocolError)
MODEL = {'model': 'm', 'version': '1', 'adapter': '', 'role': 'serve'}


@asynccontextmanager
async def open_client(address: str) -> AsyncIterator[Client]:
    async with httpcore.AsyncConnectionPool(keepalive_expiry=0) as pool:

        async def call(
            method: str, path: str, body: Any = None, **headers: str
        ) -> httpcore.Response:
            data = (
                body if isinstance(body, bytes) else json.dumps(body).encode()
            )
            return await pool.request(
                method,
                f'http://{address}{path}',
                content=data,
                headers={k.replace('_', '-'): v for k, v in headers.items()},
            )

        yield call


def run(app: Any, scenario: Callable[[Client], Awaitable[None]]) -> None:
    async def main() -> None:
        with anyio.fail_after(20):
            async with (
                server.serving(app) as addresses,
                open_client(addresses[0]) as call,
            ):
                await scenario(call)

    anyio.run(main)


def run_engine(
    scenario: Callable[[Client, engine.Engine], Awaitable[None]],
    die: Callable[[], None] = lambda: None,
    **options: Any,
) -> None:
    async def main() -> None:
        with anyio.fail_after(20):
            async with server.serving(weights.make_app()) as (store_address,):
                settings = engine.EngineSettings(
                    weights=store_address,
                    **{'decode_ms': 1.0, 'load_ms': 1.0, **options},
                )
                app = engine.make_app(settings, die)
                async with (
                    server.serving(app) as addresses,
                    open_client(addresses[0]) as call,
                ):
                    await scenario(call, app)

    anyio.run(main)


def make_chat(text: str, salt: bytes = b'n', **more: Any) -> dict[str, Any]:
    messages = [{'role': 'user', 'content': text}]
    return {'messages': messages, 'cache_salt': salt.hex(), **more}


async def read_log(call: Client, query: str) -> Any:
    return cbor2.loads((await call('GET', f'/logs/c?{query}')).content)


def test_log_numbers_records_and_wakes_a_waiting_reader() -> None:
    async def scenario(call: Client) -> None:
        pages: list[Any] = []

        async def wait() -> None:
            pages.append(await read_log(call, 'from=2&wait=10000'))

        first = await call('POST', '/logs/c', cbor2.dumps([b'a', b'b']))
        async with anyio.create_task_group() as group:
            group.start_soon(wait)
            await anyio.sleep(0.05)
            await call('POST', '/logs/c', cbor2.dumps([b'c']))

        assert cbor2.loads(first.content) == {'first': 0}
        assert [(r[0], r[2]) for r in pages[0]['records']] == [(2, b'c')]
        page = await read_log(call, 'from=0&limit=2')
        assert (page['first'], page['end']) == (0, 3)
        assert [r[2] for r in page['records']] == [b'a', b'b']

    run(log.make_app(), scenario)


def test_log_loses_an_answer_after_the_append() -> None:
    async def scenario(call: Client) -> None:
        await call('PUT', '/faults', {'lose_answers': 1})
        with pytest.raises(LOST):
            await call('POST', '/logs/c', cbor2.dumps([b'a']))
        assert (await read_log(call, 'from=0'))['end'] == 1
        assert (await call('POST', '/logs/c', cbor2.dumps([]))).status == 200

    run(log.make_app(), scenario)


def test_log_refuses_before_the_effect_when_down_or_over_its_rate() -> None:
    async def scenario(call: Client) -> None:
        data = cbor2.dumps([b'a'])
        await call('PUT', '/faults', {'down': True})
        assert (await call('POST', '/logs/c', data)).status == 503
        await call('PUT', '/faults', {})
        statuses = [(await call('POST', '/logs/c', data)).status for _ in '123']
        assert statuses == [200, 200, 429]
        assert (await read_log(call, 'from=0'))['end'] == 2

    settings = log.LogSettings(appends_per_second=0.001, burst=2)
    run(log.make_app(settings), scenario)


def test_log_forgets_by_count_and_when_told() -> None:
    async def scenario(call: Client) -> None:
        await call(
            'POST', '/logs/c', cbor2.dumps([b'%d' % n for n in range(9)])
        )
        page = await read_log(call, 'from=0')
        assert (page['first'], page['records'][0][0]) == (4, 4)
        await call('PUT', '/faults', {'truncate': {'c': 7}})
        page = await read_log(call, 'from=5')
        assert (page['first'], [r[0] for r in page['records']]) == (7, [7, 8])

    run(log.make_app(log.LogSettings(keep_records=5)), scenario)


def test_vm_list_can_be_stale_missing_or_wrong() -> None:
    both = [
        {'name': name, 'address': f'{name}:1', 'data_centre': 'd',
         'leaving': False}
        for name in 'ab'
    ]  # fmt: skip

    async def scenario(call: Client) -> None:
        async def show() -> dict[str, str]:
            vms_now = json.loads((await call('GET', '/vms')).content)
            return {vm['name']: vm['address'] for vm in vms_now}

        await call('PUT', '/vms', both)
        assert await show() == {'a': 'a:1', 'b': 'b:1'}
        await call('PUT', '/faults', {'missing': ['a'], 'wrong': {'b': 'x:9'}})
        assert await show() == {'b': 'x:9'}
        await call('PUT', '/faults', {'stale': True})
        await call('PUT', '/vms', [])
        assert await show() == {'a': 'a:1', 'b': 'b:1'}
        await call('PUT', '/faults', {})
        assert await show() == {}

    run(vms.make_app(), scenario)


def test_weight_store_describes_versions_within_its_rate() -> None:
    async def scenario(call: Client) -> None:
        first = await call('GET', '/weights/m/1')
        digest = json.loads(first.content)['digest']
        assert digest == weights.make_digest('m', '1')
        assert digest != weights.make_digest('m', '2')
        assert (await call('GET', '/weights/m/1')).status == 429

    settings = weights.WeightSettings(requests_per_second=0.001, burst=1)
    run(weights.make_app(settings), scenario)


def test_plain_service_counts_runs_and_streams_both_ways() -> None:
    app = plain.make_app()

    async def scenario(call: Client) -> None:
        receipts = [
            json.loads((await call('POST', '/book', b'x')).content)['receipt']
            for _ in range(2)
        ]
        assert len(set(receipts)) == 2
        assert list(app.runs.values()) == [2]
        body = bytes(range(256)) * 4_096
        assert (await call('POST', '/echo', body)).content == body
        await call('PUT', '/faults', {'big': 200_000})
        assert len((await call('GET', '/any')).content) == 200_000
        assert (await call('PUT', '/faults', {'bigg': 1})).status == 400

    run(app, scenario)


@pytest.mark.parametrize(
    ('fault', 'runs'),
    [('crash_before', 0), ('crash_after', 1), ('lose_answers', 1)],
)
def test_plain_service_fails_before_or_after_the_effect(
    fault: str, runs: int
) -> None:
    def die() -> None:
        raise web.Dropped

    app = plain.make_app(die=die)

    async def scenario(call: Client) -> None:
        await call('PUT', '/faults', {fault: True})
        with pytest.raises(LOST):
            await call('POST', '/book', b'x')
        assert app.runs.total() == runs

    run(app, scenario)


def test_store_refuses_when_full_and_damages_objects() -> None:
    app = store.make_app(store.StoreSettings(capacity_bytes=10))

    async def scenario(call: Client) -> None:
        assert (await call('PUT', '/objects/a', b'123456')).status == 201
        assert (await call('PUT', '/objects/b', b'123456')).status == 507
        assert (await call('PUT', '/objects/a', b'1234567890')).status == 201
        space = json.loads((await call('GET', '/space')).content)
        assert (space['capacity'], space['used']) == (10, 10)
        await call('PUT', '/faults', {'corrupt': ['*']})
        assert (await call('GET', '/objects/a')).content == b'1234567891'
        await call('PUT', '/faults', {'truncate': ['a']})
        assert (await call('GET', '/objects/a')).content == b'123456789'
        await call('PUT', '/faults', {'lose': ['*']})
        assert (await call('GET', '/objects/a')).status == 404
        assert json.loads((await call('GET', '/objects')).content) == {}

    run(app, scenario)


def test_engine_loads_by_order_and_refuses_an_old_fence() -> None:
    async def scenario(call: Client, app: engine.Engine) -> None:
        chat = make_chat('hi')
        path = '/v1/chat/completions'
        assert (await call('POST', path, chat)).status == 503
        order = {**MODEL, 'fence': [5, 'new']}
        assert (await call('POST', '/orders', order)).status == 200
        old = {**MODEL, 'version': '0', 'fence': [4, 'old']}
        assert (await call('POST', '/orders', old)).status == 409
        state = json.loads((await call('GET', '/state')).content)
        assert state['digest'] == weights.make_digest('m', '1')
        assert state['fence'] == [5, 'new']
        answer = json.loads((await call('POST', path, chat)).content)
        text = answer['choices'][0]['message']['content']
        digest = weights.make_digest('m', '1')
        assert text == answers.make_text(chat['messages'], digest)

    run_engine(scenario)


def test_engine_streams_the_same_answer_and_reuses_its_prefix() -> None:
    async def scenario(call: Client, app: engine.Engine) -> None:
        text = 'r' * (3 * cache.SEGMENT_BYTES)
        chat = make_chat(text, stream=True)
        whole = make_chat(text)
        other_team = make_chat(text, salt=b'other')
        path = '/v1/chat/completions'
        streamed = await call('POST', path, chat, x_request_id='r1')
        events = [
            json.loads(line.removeprefix('data: '))
            for line in streamed.content.decode().split('\n\n')
            if line not in {'', 'data: [DONE]'}
        ]
        again = json.loads((await call('POST', path, whole)).content)
        other = json.loads((await call('POST', path, other_team)).content)

        joined = ''.join(
            event['choices'][0]['delta'].get('content', '') for event in events
        )
        assert joined == again['choices'][0]['message']['content']
        assert events[-1]['usage']['cached_tokens'] == 0
        assert again['usage']['cached_tokens'] == 3 * cache.SEGMENT_TOKENS
        assert other['usage']['cached_tokens'] == 0
        stats = json.loads((await call('GET', '/stats')).content)
        assert (stats['runs']['r1'], stats['finished']) == (1, 3)

    run_engine(scenario, model='m', version='1')


def test_engine_evicts_and_counts_corrupt_imports() -> None:
    segments = [bytes([n]) * 32 for n in range(3)]

    async def scenario(call: Client, app: engine.Engine) -> None:
        for segment in segments:
            good = cache.make_kv(segment)
            await call('PUT', f'/kv/{segment.hex()}', good)
        gone = await call('GET', f'/kv/{segments[0].hex()}')
        held = await call('GET', f'/kv/{segments[2].hex()}')
        assert (gone.status, held.content) == (404, cache.make_kv(segments[2]))
        assert app.stats.corrupt_imports == 0
        wrong = cache.make_kv(segments[0])
        await call('PUT', f'/kv/{segments[1].hex()}', wrong)
        assert app.stats.corrupt_imports == 1
        news = json.loads((await call('GET', '/cache/events?after=0')).content)
        numbers = [event[0] for event in news['events']]
        assert (numbers, news['next']) == ([1, 3], 5)

    run_engine(scenario, cache_segments=2, event_lag_ms=0, lose_event_every=2)


def test_engine_cancels_when_the_caller_leaves() -> None:
    async def scenario(call: Client, app: engine.Engine) -> None:
        chat = make_chat('long', max_tokens=100_000)
        await call('GET', '/state')
        for stream in (True, False):
            with anyio.move_on_after(0.2):
                await call(
                    'POST', '/v1/chat/completions', {**chat, 'stream': stream}
                )
        while app.stats.cancelled < 2:
            await anyio.sleep(0.01)
        while json.loads((await call('GET', '/load')).content)['running']:
            await anyio.sleep(0.01)

    run_engine(scenario, model='m', version='1', load_lag_ms=0)


def test_engine_runs_the_more_urgent_first_and_dies_of_poison() -> None:
    deaths: list[None] = []

    async def scenario(call: Client, app: engine.Engine) -> None:
        ended: list[str] = []
        path = '/v1/chat/completions'
        await call('GET', '/state')

        async def ask(text: str, priority: int) -> None:
            await call('POST', path, make_chat(text, priority=priority))
            ended.append(text)

        async with anyio.create_task_group() as group:
            asks = (('first', 5), ('later', 9), ('urgent', 0))
            for count, (text, priority) in enumerate(asks, start=1):
                group.start_soon(ask, text, priority)
                while app.batch.count_open() < count:
                    await anyio.sleep(0.001)
        assert ended == ['first', 'urgent', 'later']
        await ask('some POISON here', 0)
        assert deaths

    run_engine(
        scenario,
        lambda: deaths.append(None),
        model='m',
        version='1',
        slots=1,
        decode_ms=30.0,
    )


def test_engine_process_dies_of_poison_and_restarts_at_its_address(
    tmp_path: Path,
) -> None:
    ports = processes.Ports()
    store_child = processes.Child(
        'weights', ['-m', 'tests.standins.weights'], tmp_path
    )
    store_child.start()
    argv = ['-m', 'tests.standins.engine', '--port', str(ports.reserve())]
    argv += ['--model', 'm', '--version', '1', '--weights']
    child = processes.Child('engine', argv, tmp_path)
    try:
        argv.append(store_child.wait_ready()[0])
        child.start()
        address = child.wait_ready()[0]
        path = '/v1/chat/completions'
        with pytest.raises(LOST):
            calls.call(address, 'POST', path, make_chat('POISON'))
        assert child.wait() == engine.EXIT_CODE
        child.start()
        assert child.wait_ready() == (address,)
        assert calls.call(address, 'POST', path, make_chat('x')).status == 200
        assert child.stop() == 0
    finally:
        child.kill()
        store_child.kill()
        ports.close()


# Guards against tests that fail as daemons of another run call ports that they
# have freed.
@pytest.mark.anyio
async def test_calls_to_the_common_address_reach_no_server() -> None:
    async with replica.serving_replica(lambda peer: peer.answer()) as (
        found,
        address,
    ):
        port = int(address.rpartition(':')[2])
        with suppress(OSError):
            _, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.close()
        await anyio.sleep(0.05)
    assert found.connections == 0
