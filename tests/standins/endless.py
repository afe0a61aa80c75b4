"""Provide scripts of servers that send bytes without end."""

from __future__ import annotations

import contextlib
import enum
import itertools
from collections.abc import Iterator

import anyio

from tests.standins.replica import Peer, make_chunk, make_event, make_head

_PIECE = 32 * 1024
_EVENTS = 4_000


class Pour(enum.StrEnum):
    """What a server sends until its caller closes the connection."""

    HEAD = 'head'
    NO_HTTP = 'no http'
    INTERIM = 'interim'
    FOREIGN = 'foreign'
    UNSEALED = 'unsealed'
    REJECTION = 'rejection'
    FAILURE = 'failure'
    TINY_CHUNKS = 'tiny chunks'
    TINY_EVENTS = 'tiny events'
    RISING_EVENTS = 'rising events'
    BLANK_LINES = 'blank lines'
    COMMENTS = 'comments'
    LONG_EVENT = 'long event'
    TRAILER = 'trailer'


_CHUNKED = {'transfer_encoding': 'chunked'}
_STREAM = {'content_type': 'text/event-stream', **_CHUNKED}
_TINY = make_chunk(b'x')
_HEADERS: dict[Pour, dict[str, str]] = {
    Pour.FOREIGN: {'oleanderdyke_request_id': 'of-another', **_CHUNKED},
    Pour.UNSEALED: {'oleanderdyke_response_seal': '', **_CHUNKED},
    Pour.REJECTION: {'oleanderdyke_not_executed': '1', **_CHUNKED},
    Pour.FAILURE: _CHUNKED,
    Pour.TINY_CHUNKS: _CHUNKED,
    Pour.TINY_EVENTS: _STREAM,
    Pour.RISING_EVENTS: _STREAM,
    Pour.BLANK_LINES: _STREAM,
    Pour.COMMENTS: _STREAM,
    Pour.LONG_EVENT: _STREAM,
    Pour.TRAILER: _CHUNKED,
}
_STATUSES = {Pour.REJECTION: 503, Pour.FAILURE: 500}
_REPEATED: dict[Pour, bytes] = {
    Pour.HEAD: b'x-more: of the same\r\n',
    Pour.NO_HTTP: b'\x00\xff of no protocol ',
    Pour.INTERIM: b'HTTP/1.1 103 Early Hints\r\n\r\n',
    Pour.TINY_EVENTS: make_chunk(make_event(1)),
    Pour.LONG_EVENT: make_chunk(b'data: of one event ' * 50),
    Pour.TRAILER: b'x-more: of the same\r\n',
}
# What streams repeat within long chunks.
_LINES = {Pour.BLANK_LINES: b'\n', Pour.COMMENTS: b':\n'}


def begin(peer: Peer, kind: Pour) -> bytes:
    """Return what a server sends first."""
    if kind in _HEADERS:
        status = _STATUSES.get(kind, 200)
        head = make_head(peer.request, status, **_HEADERS[kind])
        return head + b'0\r\n' if kind is Pour.TRAILER else head
    return b'HTTP/1.1 200 OK\r\n' if kind is Pour.HEAD else b''


async def pour(peer: Peer, kind: Pour, *, limit: int | None = None) -> int:
    """Send bytes until the caller closes; return how many were sent.

    Stop after `limit` bytes.
    """
    pieces = _make_pieces(kind)
    sent = 0
    with contextlib.suppress(ConnectionError):
        await peer.send(begin(peer, kind))
        while (limit is None or sent < limit) and not peer.writer.is_closing():
            piece = next(pieces)
            await peer.send(piece)
            sent += len(piece)
            await anyio.sleep(0)
    return sent


def _make_pieces(kind: Pour) -> Iterator[bytes]:
    """Yield what a server sends behind its beginning, piece by piece."""
    if kind is Pour.RISING_EVENTS:
        yield from _count_events()
    unit = _LINES.get(kind) or _REPEATED.get(kind, _TINY)
    piece = unit * (_PIECE // len(unit))
    yield from itertools.repeat(make_chunk(piece) if kind in _LINES else piece)


def _count_events() -> Iterator[bytes]:
    for first in itertools.count(1, _EVENTS):
        events = (b'id: %d\n\n' % (first + each) for each in range(_EVENTS))
        yield make_chunk(b''.join(events))
