"""Write the events of a stream at a server, and read them at a client."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from dataclasses import dataclass

from oleanderdyke.event_streams import split_events
from tools.soak.attempts import StreamEvent

_RESUMABLE, _UNRESUMABLE = 'stream', 'letter'
_STREAM_TYPE = 'text/event-stream'


@dataclass(frozen=True, slots=True)
class StreamPath:
    """What a path on a route of streams asks for.

    `pause` is the mean time between events in seconds. Only some of the streams
    may be taken up again.
    """

    name: str
    events: int
    pause: float
    is_resumable: bool = True

    def format(self) -> str:
        """Return the path, which is the same for all tries of a stream."""
        route = _RESUMABLE if self.is_resumable else _UNRESUMABLE
        pause = f'{self.pause * 1000:.0f}'
        return f'/{route}/{self.name}/{self.events}/{pause}'

    @staticmethod
    def parse(path: str) -> StreamPath:
        """Read a path as a server receives it."""
        _, route, name, events, pause = path.split('/')
        return StreamPath(
            name, int(events), int(pause) / 1000, route == _RESUMABLE
        )

    @staticmethod
    def is_match(path: str) -> bool:
        """Return whether a path asks for a stream."""
        return path.split('/')[1] in {_RESUMABLE, _UNRESUMABLE}


@dataclass
class AnswerHead:
    """The status line and the headers, with names in lower case."""

    status: int
    headers: dict[str, str]

    @property
    def is_stream(self) -> bool:
        """Return whether events follow."""
        kind = self.headers.get('content-type', '')
        return self.status == 200 and kind.lower().startswith(_STREAM_TYPE)


def encode_event(number: int, version: str, request: str) -> bytes:
    """Build an event whose data tells which run wrote it."""
    data = json.dumps({'version': version, 'request': request, 'n': number})
    return f'id: {number}\ndata: {data}\n\n'.encode()


def decode_event(data: bytes, at: float) -> StreamEvent | None:
    """Read an event; return None if it is none that a server wrote."""
    lines = data.decode('latin-1').strip('\r\n').splitlines()
    if len(lines) != 2 or not lines[1].startswith('data: '):
        return None
    try:
        number = int(lines[0].removeprefix('id: '))
        found = json.loads(lines[1].removeprefix('data: '))
        event = StreamEvent(number, found['version'], found['request'], at)
    except (ValueError, KeyError, TypeError):
        return None
    return event if found.get('n') == number else None


class EventReader:
    """Split the bytes of a stream into whole events."""

    def __init__(self) -> None:
        self._pending = b''

    @property
    def has_rest(self) -> bool:
        """Return whether bytes of an event that has not ended are left."""
        return bool(self._pending.strip())

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes; return the events that they complete."""
        *events, self._pending = split_events(self._pending + data)
        return [each for each in events if each.strip()]


async def read_head(reader: asyncio.StreamReader) -> AnswerHead:
    """Read the head of one answer; raise EOFError if it is cut."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = dict(
        line.lower().split(': ', 1) for line in lines if ': ' in line
    )
    return AnswerHead(int(first.split()[1]), headers)


async def read_body(
    reader: asyncio.StreamReader, head: AnswerHead
) -> AsyncIterator[bytes]:
    """Yield the body as it arrives; raise EOFError if it is cut."""
    if 'content-length' in head.headers:
        yield await reader.readexactly(int(head.headers['content-length']))
        return
    while length := int(await reader.readuntil(b'\r\n') or b'0', 16):
        yield (await reader.readexactly(length + 2))[:-2]
    await reader.readexactly(2)
