"""A server of the users' platform, as a process that can be killed.

Arguments: address, port, and options as NAME=VALUE. It prints `ready`, then a
JSON object for each request that it begins to run.

It answers as PROTOCOL.md tells: with the id of the request, a seal, and a body
that has a length, or, with `framing=close`, ends with its connection. A request
whose prompt holds the part `poison` ends the process as it begins to answer.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time

ID = 'oleanderdyke-request-id'
PARTS = 'oleanderdyke-prompt-prefix'
_PIECE = 65_536


def tell(**told: object) -> None:
    """Write one line at once, as the process may end right after it."""
    line = json.dumps({'at': time.monotonic(), **told}) + '\n'
    os.write(sys.stdout.fileno(), line.encode())


class Server:
    """Answer the requests of all connections."""

    def __init__(self, options: dict[str, str]) -> None:
        self._is_close = options.get('framing') == 'close'
        self._events = int(options.get('events', '10'))
        self._gap = float(options.get('gap', '0.06'))
        self._first = float(options.get('first', '0.04'))
        self._poison = options.get('poison', '')
        # After the head of a stream come blank lines without end.
        self._is_endless = options.get('endless') == 'yes'
        # What its events hold, besides their number.
        self._word = options.get('word', 'word')
        # The first request is turned away with this `Retry-After`.
        self._pause = options.get('pause', '')

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection until it ends."""
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer the next request; return whether the connection goes on."""
        head = await reader.readuntil(b'\r\n\r\n')
        first, *lines = head.decode('latin-1').split('\r\n')
        headers = dict(line.split(': ', 1) for line in lines if ': ' in line)
        headers = {name.lower(): text for name, text in headers.items()}
        await reader.readexactly(int(headers.get('content-length', '0')))
        path = first.split()[1]
        await self._run(path, headers, writer)
        return not self._is_close

    async def _run(
        self, path: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        parts = [
            part.partition(':')[0] for part in headers.get(PARTS, '').split(',')
        ]
        is_poisoned = bool(self._poison) and self._poison in parts
        if self._pause:
            await self._refuse(headers, writer)
            return
        tell(
            ran=headers.get(ID, ''),
            path=path,
            tenant=headers.get('oleanderdyke-tenant-id', '-'),
            poisoned=is_poisoned,
        )
        await asyncio.sleep(self._first)
        if is_poisoned:
            os._exit(1)
        is_stream = not path.startswith('/receipt')
        if is_stream and self._is_endless:
            await self._send_endless(headers, writer)
        last = int(headers.get('last-event-id') or 0)
        pieces = [
            f'id: {number}\ndata: {self._word}{number}\n\n'.encode()
            if is_stream
            else f'line {number} of {self._events}\n'.encode()
            for number in range(last + 1, self._events + 1)
        ]
        writer.write(self._make_head(headers, pieces, is_stream=is_stream))
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(self._gap)
        tell(ended=headers.get(ID, ''), pieces=len(pieces))

    async def _send_endless(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Send bytes that are no answer until the caller closes."""
        self._is_close = True
        writer.write(self._make_head(headers, [], is_stream=True))
        while True:
            writer.write(b'\n' * _PIECE)
            await writer.drain()

    async def _refuse(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        pause, self._pause = self._pause, ''
        tell(refused=headers.get(ID, ''), pause=pause)
        writer.write(
            (
                'HTTP/1.1 503 Service Unavailable\r\n'
                f'{ID}: {headers.get(ID, "")}\r\n'
                'oleanderdyke-not-executed: 1\r\n'
                f'retry-after: {pause}\r\ncontent-length: 0\r\n\r\n'
            ).encode()
        )
        await writer.drain()

    def _make_head(
        self, headers: dict[str, str], pieces: list[bytes], *, is_stream: bool
    ) -> bytes:
        kind = 'text/event-stream' if is_stream else 'text/plain'
        framing = f'content-length: {sum(map(len, pieces))}'
        if self._is_close:
            framing = 'connection: close'
        return (
            'HTTP/1.1 200 OK\r\n'
            f'{ID}: {headers.get(ID, "")}\r\n'
            'oleanderdyke-response-seal: seal\r\n'
            f'content-type: {kind}\r\n{framing}\r\n\r\n'
        ).encode()


async def main(address: str, port: str, *options: str) -> None:
    """Serve until the process is killed."""
    found = dict(option.split('=', 1) for option in options)
    served = Server(found)
    listener = await asyncio.start_server(served.serve, address, int(port))
    tell(ready=True)
    async with listener:
        await listener.serve_forever()


if __name__ == '__main__':
    asyncio.run(main(*sys.argv[1:]))
