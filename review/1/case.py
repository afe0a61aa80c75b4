"""Bookings at a replica that repeats a few of its answers late."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from review.stage import (
    BROKEN,
    HELD,
    HOST,
    KEY,
    OPERATOR,
    SERVERS,
    TEAM,
    UNABLE,
    Record,
    is_disturbed,
    make_server_record,
    read_body,
    read_head,
    send_call,
    staging,
)
from tests.processes import LOOPBACK

_FOLDER = Path(__file__).parent
_SLOTS, _QUEUE = 6, 4
_WORK_SECONDS = (0.03, 0.09)
# Requests a second: a little more than the replica can serve.
_RATE = 120.0
_OTHER_RATE = 10.0
_SECONDS = 46.0
# Windows of the disruption, in seconds from the start of the traffic, and the
# share of all its answers that the replica repeats meanwhile. They are among
# those that reject: it writes some of them twice.
_WINDOWS = tuple((start, start + 5.0) for start in range(6, 46, 8))
_REPEATED_SHARE = 0.02
_CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'booking-create',
            'host': HOST,
            'pathPrefix': '/defi252/',
            'kind': 'non_idempotent',
            'timeoutMs': 800,
            'targetLatencyMs': 300,
            'priority': 2,
            'service': 'taquilla',
            'maxAttempts': 1,
        },
        {
            'name': 'report-read',
            'host': HOST,
            'pathPrefix': '/bobo563/',
            'kind': 'idempotent',
            'timeoutMs': 800,
            'targetLatencyMs': 300,
            'priority': 2,
            'service': 'informes',
            'maxAttempts': 2,
        },
    ],
    'services': [
        {'name': 'taquilla', 'maxConnections': 96},
        {'name': 'informes', 'maxConnections': 96},
    ],
    'limits': {
        'maxHeaderBytes': 16_384,
        'maxBodyBytes': 4_194_304,
        'headerTimeoutMs': 3_000,
        'idleTimeoutMs': 15_000,
    },
    'tenants': [{'name': TEAM, 'apiKeys': [KEY]}],
}


@dataclass
class Replica:
    """A plain replica that sheds what it has no room for.

    An extra answer arrives late: where the next one is expected.
    """

    name: str
    record: Record
    random: Random
    is_faulty: bool = False
    began: float = 0.0
    waiting: int = 0
    runs: Counter[str] = field(default_factory=Counter)
    answers: int = 0
    # Of the answers in the windows of the disruption.
    meanwhile: int = 0
    repeated: int = 0
    slots: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(_SLOTS)
    )

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one request at a time on a connection."""
        extra = b''
        port = writer.get_extra_info('peername')[1]
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                _, headers = await read_head(reader)
                await read_body(reader, headers)
                request = headers['oleanderdyke-request-id']
                self.record.add('arrived', request, f'connection={port}')
                if extra:
                    self.record.add('extra', request, f'connection={port}')
                    writer.write(extra)
                status = await self._decide(request, headers)
                answer = _make_answer(request, status, self.name)
                extra = answer if self._is_repeated(status) else b''
                writer.write(answer)
                await writer.drain()
        writer.close()

    async def _decide(self, request: str, headers: dict[str, str]) -> int:
        """Run a request, or reject it; return the status."""
        self.answers += 1
        if headers['oleanderdyke-expect-instance'] != self.name:
            return 421
        if self.waiting >= _QUEUE:
            self.record.add('rejected', request)
            return 503
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.runs[request] += 1
            self.record.add('runs', request, f'times={self.runs[request]}')
            await asyncio.sleep(self.random.uniform(*_WORK_SECONDS))
        return 200

    def _is_repeated(self, status: int) -> bool:
        """Return whether an answer is written a second time, later."""
        now = time.monotonic() - self.began
        is_due = any(begin <= now < end for begin, end in _WINDOWS)
        if not (self.is_faulty and is_due):
            return False
        self.meanwhile += 1
        most = self.meanwhile * _REPEATED_SHARE
        if status != 503 or self.repeated + 1 > most:
            return False
        self.repeated += 1
        return True


def _make_answer(request: str, status: int, server: str) -> bytes:
    body = b'booked' if status == 200 else b'full'
    lines = [
        f'HTTP/1.1 {status} Told',
        f'Oleanderdyke-Request-Id: {request}',
        f'Oleanderdyke-Instance-Id: {server}',
        f'Content-Length: {len(body)}',
    ]
    if status == 200:
        lines.append('Oleanderdyke-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1')
    else:
        lines.append('Oleanderdyke-Not-Executed: 1')
    return '\r\n'.join((*lines, '', '')).encode() + body


async def _book(
    address: tuple[str, int],
    request: str,
    record: Record,
    answers: dict[str, int | None],
) -> None:
    record.add('sent', request)
    status, _, _ = await send_call(
        address, '/defi252/2f', request, body=b'two seats'
    )
    answers[request] = status
    record.add('answered', request, f'status={status}')


async def _read(address: tuple[str, int], request: str) -> None:
    await send_call(address, '/bobo563/2f', request, method='GET')


async def _run(record: Record) -> int:
    random = Random()
    replica = Replica('i-7f3a91c2', record, random, is_faulty=is_disturbed())
    other = Replica('i-02d9e6b4', record, random)
    answers: dict[str, int | None] = {}
    async with AsyncExitStack() as stack:
        stage = await stack.enter_async_context(staging())
        stage.store.put(OPERATOR, 'config', _CONFIGURATION)
        for each, service in ((replica, 'taquilla'), (other, 'informes')):
            listener = await asyncio.start_server(each.serve, LOOPBACK, 0)
            await stack.enter_async_context(listener)
            port = listener.sockets[0].getsockname()[1]
            entry = make_server_record(f'{LOOPBACK}:{port}', service=service)
            stage.store.put(SERVERS, each.name, entry)
        entries = [stage.start_entry(f'front-{n}') for n in (1, 2)]
        for program in entries:
            await stage.wait_ready(program)
        replica.began = began = time.monotonic()
        share = _RATE / (_RATE + _OTHER_RATE)
        async with asyncio.TaskGroup() as tasks:
            number, at = 0, began
            while at - began < _SECONDS:
                at += random.expovariate(_RATE + _OTHER_RATE)
                await asyncio.sleep(max(at - time.monotonic(), 0))
                number += 1
                name, address = f'{number:016x}', random.choice(entries).callers
                if random.random() < share:
                    tasks.create_task(_book(address, name, record, answers))
                else:
                    tasks.create_task(_read(address, name))
        await asyncio.sleep(1)
    return _judge(replica, answers, record)


def _judge(
    replica: Replica, answers: dict[str, int | None], record: Record
) -> int:
    twice = [name for name, count in replica.runs.items() if count > 1]
    refused = [
        name
        for name, status in answers.items()
        if status in {408, 421, 429, 503} and replica.runs[name]
    ]
    served = sum(status == 200 for status in answers.values())
    summary = (
        f'{len(answers)} bookings sent, {served} answered 200, '
        f'{len(replica.runs)} run; {replica.repeated} of {replica.answers} '
        f'answers repeated, {replica.meanwhile} in the windows; '
        f'TWICE: {len(twice)} bookings ran more than once; '
        f'REFUSED: {len(refused)} bookings that ran were answered 503'
    )
    record.add(summary)
    for name in twice:
        record.add('TWICE', name)
    for name in refused:
        record.add('REFUSED', name)
    print(summary)
    if served < len(answers) / 4:
        return UNABLE
    return BROKEN if twice or refused else HELD


def main() -> int:
    """Run the case; return its exit code."""
    record = Record(_FOLDER / 'record.txt')
    try:
        return asyncio.run(_run(record))
    except (OSError, TimeoutError) as error:
        print(f'the case could not run: {error!r}')
        return UNABLE
    finally:
        record.write()


if __name__ == '__main__':
    sys.exit(main())
