"""Weights are named, and stores of KV cache fall as parts are freed."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from review.stage import (
    BROKEN,
    HELD,
    HOST,
    KEY,
    MODEL,
    OPERATOR,
    SERVERS,
    TEAM,
    UNABLE,
    ZONES,
    Program,
    Record,
    Stage,
    is_disturbed,
    make_server_record,
    read_body,
    read_head,
    staging,
)
from tests.processes import LOOPBACK, ROOT, accepts, wait_until

_FOLDER = Path(__file__).parent
_ENGINE, _DESKS = 'i-7f3a91c2', ('i-02d9e6b4', 'i-5b77c0e1')
_MEMORIES = ('memoria-reglas', 'memoria-cartas')
_BOOKING_SECONDS = (0.1, 0.2)
_LOAD_SECONDS = 1.8
_HEARTBEAT_SECONDS = 1.2
_CLIENTS = 20
# Weights are named so often, this long after the parts were saved.
_ROUNDS, _SAVE_SECONDS = 4, 7.0
# The stores fall one after the other, so long after the last replica told of
# its newest weights, and are down for so long.
_FALLS_SECONDS, _DOWN_SECONDS = (6.9, 7.7), 2.0
_RESTART_SECONDS = 0.5
# The rule allows so many.
_ALLOWED = 3
# A fault: processes end by themselves so often, on so many machines.
_MOST_ENDS, _FEWEST_MACHINES = 3, 2
_SEAL = 'Oleanderdyke-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1'


def _make_configuration(memories: list[str]) -> dict[str, Any]:
    common = {'host': HOST, 'authExempt': False, 'priority': 1}
    return {
        'version': 7,
        'routes': [
            {
                **common,
                'name': 'rule-lookup',
                'pathPrefix': '/puxa400/',
                'kind': 'streaming',
                'timeoutMs': 4000,
                'targetLatencyMs': 400,
                'service': 'asistente',
                'maxAttempts': 2,
                'sessionAffinity': True,
                'resumable': True,
                'gapTargetMs': 300,
            },
            {
                **common,
                'name': 'booking-create',
                'pathPrefix': '/defi252/',
                'kind': 'non_idempotent',
                'timeoutMs': 800,
                'targetLatencyMs': 300,
                'service': 'taquilla',
                'maxAttempts': 1,
            },
        ],
        'services': [
            {
                'name': 'asistente',
                'maxConnections': 610,
                'engine': {
                    'slots': 128,
                    'kvCapacity': 65_637,
                    'kvTokenBytes': 18_432,
                    'linkMbps': 180_000.0,
                    'models': [{'name': MODEL}],
                },
            },
            *(
                {
                    'name': name,
                    'kvStoreAddr': memory,
                    'zone': zone,
                    'kvCapacity': 145_001,
                    'linkMbps': 200_000.0,
                    'maxConcurrency': 12,
                    'managed': True,
                    'first_ms': 0.5,
                }
                for name, memory, zone in zip(
                    _MEMORIES, memories, ZONES[1:], strict=True
                )
            ),
            {'name': 'taquilla', 'maxConnections': 96},
        ],
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 4_194_304,
            'headerTimeoutMs': 3_000,
            'idleTimeoutMs': 15_000,
        },
        'tenants': [{'name': TEAM, 'apiKeys': [KEY]}],
    }


class MemoryProcess:
    """The store of KV cache, which comes back empty after a fall."""

    def __init__(self, name: str, port: int, record: Record) -> None:
        self._name = name
        self.address = f'{LOOPBACK}:{port}'
        self._port = port
        self._record = record
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start it, and wait until it listens."""
        command = [sys.executable, '-S', '-m', 'review.2.memory']
        self._process = subprocess.Popen(  # noqa: S603 - a module of the case
            [*command, str(self._port)], cwd=ROOT
        )
        wait_until(lambda: accepts(self.address), 'the store listens')
        self._record.add(self._name, 'up')

    def kill(self) -> None:
        """Kill it."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self._record.add(self._name, 'down')


@dataclass
class Engine:
    """A model replica: it loads weights on order and saves what it reads."""

    stage: Stage
    memories: list[MemoryProcess]
    address: str = ''
    version: int = 1
    busy: bool = False
    orders: int = 0
    fence: int = -1
    seq: int = 3
    told_at: float = 0.0

    def tell(self) -> None:
        """Write its entry on the list."""
        self.seq += 1
        self.stage.store.put(
            SERVERS,
            _ENGINE,
            make_server_record(
                self.address,
                service='asistente',
                slots=128,
                stage='unified',
                models=[{'name': MODEL, 'version': self.version}],
                seq=self.seq,
            ),
        )
        self.told_at = time.monotonic()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one call or request at a time on a connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                target = first.split()[1]
                if target == '/api/report':
                    writer.write(_make_answer(200, json.dumps(self._report())))
                elif target == '/api/order':
                    status = self._take_order(headers, json.loads(body))
                    writer.write(_make_answer(status, ''))
                else:
                    await self._run(headers, writer)
                await writer.drain()
        writer.close()

    def _report(self) -> dict[str, Any]:
        return {
            'stage': 'unified',
            'models': [
                {'name': MODEL, 'version': self.version, 'adapters': []}
            ],
            'busy': self.busy,
            'seq': self.orders,
            'clock_ms': time.monotonic() * 1_000,
        }

    def _take_order(
        self, headers: dict[str, str], order: dict[str, Any]
    ) -> int:
        if headers['oleanderdyke-expect-instance'] != _ENGINE:
            return 421
        if order['fence'] < self.fence:
            return 412
        self.fence = order['fence']
        if self.busy or order.get('precondition', self.orders) != self.orders:
            return 409
        if order['version'] == self.version:
            return 200
        self.orders += 1
        self.busy = True
        asyncio.get_running_loop().call_later(
            _LOAD_SECONDS, self._finish_load, order['version']
        )
        return 202

    def _finish_load(self, version: int) -> None:
        self.version, self.busy = version, False
        self.tell()

    async def _run(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        request = headers['oleanderdyke-request-id']
        expected = headers.get('oleanderdyke-expect-version')
        is_own = headers['oleanderdyke-expect-instance'] == _ENGINE
        if not is_own or expected not in {None, str(self.version)}:
            writer.write(_make_answer(421, '', request, _ENGINE))
            return
        if self.busy:
            writer.write(_make_answer(503, '', request, _ENGINE))
            return
        await self._save(headers)
        events = b''.join(
            f'id: {number}\ndata: word\n\n'.encode() for number in range(1, 5)
        )
        writer.write(
            _make_head(200, request, _ENGINE)
            + f'Oleanderdyke-Weight-Versions: {self.version}\r\n'.encode()
            + b'Content-Type: text/event-stream\r\n'
            + f'Content-Length: {len(events)}\r\n\r\n'.encode()
            + events
        )

    async def _save(self, headers: dict[str, str]) -> None:
        sinks = headers.get('oleanderdyke-kv-sink', '').split(',')
        parts = headers['oleanderdyke-prompt-prefix'].split(',')
        for sink, part in zip(sinks, parts, strict=False):
            address = sink.strip()
            if address not in {each.address for each in self.memories}:
                continue
            name, _, tokens = part.partition(':')
            saved = {
                'salt': headers['oleanderdyke-cache-salt'],
                'part': name.strip(),
                'tokens': int(tokens),
            }
            with contextlib.suppress(OSError):
                await _post(address, '/save', saved)


@dataclass
class Desk:
    """A plain replica that books, never at fault."""

    name: str
    record: Record
    random: Random
    arrived: Counter[str] = field(default_factory=Counter)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one request at a time on a connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                _, headers = await read_head(reader)
                await read_body(reader, headers)
                request = headers['oleanderdyke-request-id']
                self.arrived[request] += 1
                self.record.add('runs', request, self.name)
                await asyncio.sleep(self.random.uniform(*_BOOKING_SECONDS))
                writer.write(_make_answer(200, 'booked', request, self.name))
                await writer.drain()
        writer.close()


@dataclass
class Bookings:
    """What the clients saw."""

    record: Record
    numbers: Iterator[int] = field(default_factory=itertools.count)
    sent: int = 0
    served: int = 0
    failed: int = 0
    # On kept connections that were closed without an answer.
    closed: list[str] = field(default_factory=list)

    async def book(self, address: tuple[str, int]) -> None:
        """Book again and again on kept connections until cancelled."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*address)
            except OSError:
                await asyncio.sleep(0.2)
                continue
            try:
                await self._use(reader, writer)
            finally:
                writer.close()

    async def _use(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        is_kept = False
        while True:
            request = f'{next(self.numbers):016x}'
            self.sent += 1
            self.record.add('sent', request, 'kept' if is_kept else 'new')
            writer.write(_make_booking(request))
            try:
                async with asyncio.timeout(2.5):
                    first, headers = await read_head(reader)
                    await read_body(reader, headers)
            except TimeoutError:
                self.record.add('silent', request)
                return
            except (OSError, asyncio.IncompleteReadError):
                self.record.add('closed', request)
                if is_kept:
                    self.closed.append(request)
                return
            status = int(first.split()[1])
            self.served += status == 200
            self.failed += status == 500
            self.record.add('answered', request, f'status={status}')
            if headers.get('connection', '').lower() == 'close':
                return
            is_kept = True
            await asyncio.sleep(0.05)


def _make_booking(request: str) -> bytes:
    return (
        'POST /defi252/2f HTTP/1.1\r\n'
        f'Host: {HOST}\r\nOleanderdyke-Request-Id: {request}\r\n'
        f'Oleanderdyke-Deadline-Ms: 1500\r\nOleanderdyke-Key: {KEY}\r\n'
        'Content-Length: 9\r\n\r\ntwo seats'
    ).encode()


def _make_head(status: int, request: str, server: str) -> bytes:
    mark = _SEAL if status == 200 else 'Oleanderdyke-Not-Executed: 1'
    return (
        f'HTTP/1.1 {status} Told\r\nOleanderdyke-Request-Id: {request}\r\n'
        f'Oleanderdyke-Instance-Id: {server}\r\n{mark}\r\n'
    ).encode()


def _make_answer(
    status: int, body: str, request: str = '', server: str = ''
) -> bytes:
    head = f'HTTP/1.1 {status} Told\r\n'.encode()
    if request:
        head = _make_head(status, request, server)
    data = body.encode()
    return head + f'Content-Length: {len(data)}\r\n\r\n'.encode() + data


async def _post(address: str, path: str, value: object) -> None:
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        body = json.dumps(value).encode()
        writer.write(
            f'POST {path} HTTP/1.1\r\nHost: {address}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'.encode()
            + body
        )
        await read_head(reader)
    finally:
        writer.close()


async def _look_up(entries: list[Program], random: Random) -> None:
    """Send streams, each with a part of its own, until cancelled."""
    for number in itertools.count():
        request = f's{number:015x}'
        prefix = f'5c1e07a2:800,{number % 40 + 10:x}:410,{number + 9999:x}:250'
        address = random.choice(entries).callers
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError
        ):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(
                (
                    'POST /puxa400/2f HTTP/1.1\r\n'
                    f'Host: {HOST}\r\nOleanderdyke-Request-Id: {request}\r\n'
                    'Oleanderdyke-Deadline-Ms: 4000\r\n'
                    f'Oleanderdyke-Key: {KEY}\r\n'
                    f'Oleanderdyke-Model: {MODEL}\r\n'
                    'Oleanderdyke-Token-Usage: 1460,80\r\n'
                    f'Oleanderdyke-Prompt-Prefix: {prefix}\r\n'
                    'Connection: close\r\nContent-Length: 2\r\n\r\nhi'
                ).encode()
            )
            async with asyncio.timeout(5):
                await reader.read()
            writer.close()
        await asyncio.sleep(0.1)


async def _keep_started(
    entries: list[Program], record: Record, ends: list[str]
) -> None:
    """Start a process again a little after it has ended by itself."""
    while True:
        for program in entries:
            code = program.find_exit()
            if code is None:
                continue
            line = _find_failure(program)
            record.add('ended', program.name, f'code={code}', line)
            ends.append(program.name)
            await asyncio.sleep(_RESTART_SECONDS)
            program.restart()
        await asyncio.sleep(0.02)


def _find_failure(program: Program) -> str:
    lines = program.log.read_text(errors='replace').splitlines()
    failures = [line for line in lines if 'process_failed' in line]
    return failures[-1].partition(' reason=')[2] if failures else ''


async def _name_weights(
    stage: Stage,
    engine: Engine,
    memories: list[MemoryProcess],
    record: Record,
) -> None:
    for version in range(2, 2 + _ROUNDS):
        await asyncio.sleep(_SAVE_SECONDS)
        named = {'model': MODEL, 'version': version}
        stage.store.put(OPERATOR, f'version/{MODEL}', named)
        record.add('version named', version)
        async with asyncio.timeout(15):
            while engine.version != version:
                await asyncio.sleep(0.02)
        record.add('version held', version)
        async with asyncio.TaskGroup() as tasks:
            for memory, seconds in zip(memories, _FALLS_SECONDS, strict=True):
                tasks.create_task(_fall(memory, seconds))


async def _fall(memory: MemoryProcess, seconds: float) -> None:
    """Let a store fall after a while, and come back empty."""
    await asyncio.sleep(seconds)
    if is_disturbed():
        memory.kill()
    await asyncio.sleep(_DOWN_SECONDS)
    if is_disturbed():
        await asyncio.to_thread(memory.start)


async def _beat(engine: Engine) -> None:
    while True:
        engine.tell()
        await asyncio.sleep(_HEARTBEAT_SECONDS)


async def _run(record: Record) -> int:
    random = Random()
    ends: list[str] = []
    bookings = Bookings(record)
    desks = [Desk(name, record, random) for name in _DESKS]
    async with AsyncExitStack() as stack:
        stage = await stack.enter_async_context(staging())
        memories = [
            MemoryProcess(name, stage.ports.reserve(), record)
            for name in _MEMORIES
        ]
        for each in memories:
            stack.callback(each.kill)
            await asyncio.to_thread(each.start)
        configuration = _make_configuration([each.address for each in memories])
        stage.store.put(OPERATOR, 'config', configuration)
        stage.store.put(
            OPERATOR, f'version/{MODEL}', {'model': MODEL, 'version': 1}
        )
        engine = Engine(stage, memories)
        engine.address = await _listen(stack, engine)
        engine.tell()
        for each in desks:
            address = await _listen(stack, each)
            entry = make_server_record(address, service='taquilla', slots=64)
            stage.store.put(SERVERS, each.name, entry)
        stage.start_agent('side-1', engine.address)
        entries = [
            stage.start_entry(f'front-{zone}', zone=zone) for zone in ZONES
        ]
        for program in entries:
            await stage.wait_ready(program)
        tasks = [
            asyncio.create_task(each)
            for each in (
                _keep_started(entries, record, ends),
                _beat(engine),
                *(_look_up(entries, random) for _ in range(2)),
                *(
                    bookings.book(program.callers)
                    for program in entries
                    for _ in range(_CLIENTS)
                ),
            )
        ]
        await asyncio.sleep(6)
        await _name_weights(stage, engine, memories, record)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return _judge(bookings, desks, ends, record)


async def _listen(stack: AsyncExitStack, replica: Engine | Desk) -> str:
    listener = await asyncio.start_server(replica.serve, LOOPBACK, 0)
    await stack.enter_async_context(listener)
    return f'{LOOPBACK}:{listener.sockets[0].getsockname()[1]}'


def _judge(
    bookings: Bookings,
    desks: list[Desk],
    ends: list[str],
    record: Record,
) -> int:
    passed_on = [
        request
        for request in bookings.closed
        if any(each.arrived[request] for each in desks)
    ]
    often = [
        name for name, count in Counter(ends).items() if count >= _MOST_ENDS
    ]
    summary = (
        f'{bookings.sent} bookings sent, {bookings.served} answered 200, '
        f"{bookings.failed} the entries' own 500; LOST: {len(passed_on)} of "
        'kept connections were passed on and closed without an answer, '
        f'allowed {_ALLOWED}; Fault: {len(ends)} entries ended by '
        f'themselves, on {len(often)} machines {_MOST_ENDS} times or more'
    )
    record.add(summary)
    for request in passed_on:
        record.add('LOST', request)
    print(summary)
    if bookings.served < bookings.sent / 4:
        return UNABLE
    is_fault = len(often) >= _FEWEST_MACHINES
    return BROKEN if len(passed_on) > _ALLOWED or is_fault else HELD


def main() -> int:
    """Run the case; return its exit code."""
    record = Record(_FOLDER / 'record.txt')
    try:
        return asyncio.run(_run(record))
    except (OSError, TimeoutError, AssertionError) as error:
        print(f'the case could not run: {error!r}')
        return UNABLE
    finally:
        record.write()


if __name__ == '__main__':
    sys.exit(main())
