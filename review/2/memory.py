"""A store of kept KV cache, as a process that a case can kill.

Replicas save parts with `POST /save`, which stands for their transfers.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import secrets
import sys
import time
from typing import Any

from review.stage import read_body, read_head
from tests.processes import LOOPBACK

_LONGEST_WAIT = 1_000
_MILLIS = 1_000


class Memory:
    """Keep parts, and tell of each that comes or goes."""

    def __init__(self) -> None:
        self._boot = secrets.randbelow(2**31)
        self._parts: dict[tuple[str, str], int] = {}
        self._events: list[list[Any]] = []
        self._changed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one call at a time on a connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                status, found = await self._answer(
                    first.split()[1], headers, body
                )
                text = json.dumps(found).encode()
                writer.write(
                    f'HTTP/1.1 {status} Told\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(text)}\r\n\r\n'.encode()
                    + text
                )
                await writer.drain()
        writer.close()

    async def _answer(
        self, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        path, _, query = target.partition('?')
        match path:
            case '/api/kv-events':
                since = int(query.removeprefix('since='))
                wait = min(int(headers.get('wait-ms', 0)), _LONGEST_WAIT)
                return 200, await self._list_events(since, wait)
            case '/api/kv-free':
                return self._free(json.loads(body))
            case '/save':
                self._save(json.loads(body))
                return 200, {}
        return 404, {}

    async def _list_events(self, since: int, wait: int) -> dict[str, Any]:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait / _MILLIS):
                while since >= len(self._events):
                    await self._changed.wait()
        return {
            'bootEpoch': self._boot,
            'next': len(self._events),
            'lost': False,
            'clock_ms': time.monotonic() * _MILLIS,
            'events': self._events[since:],
        }

    def _free(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        is_late = call.get('until_ms', 0) < time.monotonic() * _MILLIS
        if call.get('bootEpoch') != self._boot or is_late:
            return 409, {}
        for salt, part in call['parts']:
            if self._parts.pop((salt, part), None) is not None:
                self._tell('-', salt, part, 0)
        return 200, {}

    def _save(self, saved: dict[str, Any]) -> None:
        key = saved['salt'], saved['part']
        if key not in self._parts:
            self._parts[key] = saved['tokens']
            self._tell('+', *key, saved['tokens'])

    def _tell(self, sign: str, salt: str, part: str, tokens: int) -> None:
        number = len(self._events) + 1
        self._events.append([number, sign, salt, part, tokens, ''])
        self._changed.set()
        self._changed = asyncio.Event()


async def _serve(port: int) -> None:
    listener = await asyncio.start_server(Memory().serve, LOOPBACK, port)
    async with listener:
        await listener.serve_forever()


if __name__ == '__main__':
    asyncio.run(_serve(int(sys.argv[1])))
