"""Clients of a soak that leave their requests unfinished."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from random import Random

import anyio

from tests.hosted import make_request
from tests.standins.replica import make_chunk

_BODY_BYTES = 1024 * 1024
_PIECE_BYTES = 64 * 1024
_TRICKLE_SECONDS = 0.2


async def run_crowd(
    address: tuple[str, int], *, count: int, seconds: float, random: Random
) -> None:
    """Let clients come at once, each of a drawn kind, and leave together."""
    with anyio.move_on_after(seconds):
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(_stay, address, random.choice(_KINDS))


async def _stay(
    address: tuple[str, int], kind: Callable[[], tuple[bytes, bytes]]
) -> None:
    """Send a beginning, then a piece now and then until the end."""
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection(*address)
        try:
            begin, piece = kind()
            for start in range(0, len(begin), _PIECE_BYTES):
                writer.write(begin[start : start + _PIECE_BYTES])
                await writer.drain()
            while not writer.is_closing():
                writer.write(piece)
                await writer.drain()
                await anyio.sleep(_TRICKLE_SECONDS)
        finally:
            writer.transport.abort()


def _stop_short() -> tuple[bytes, bytes]:
    return _make_head(_BODY_BYTES) + bytes(_BODY_BYTES - 1), b''


def _trickle() -> tuple[bytes, bytes]:
    return _make_head(_BODY_BYTES) + bytes(_BODY_BYTES // 2), b'x'


def _announce() -> tuple[bytes, bytes]:
    return _make_head(_BODY_BYTES), b''


def _send_tiny_chunks() -> tuple[bytes, bytes]:
    return _make_head(None), make_chunk(b'x') * 10_000


def _be_silent() -> tuple[bytes, bytes]:
    return b'', b''


def _make_head(length: int | None) -> bytes:
    if length is None:
        headers = {'content_length': '', 'transfer_encoding': 'chunked'}
    else:
        headers = {'content_length': str(length)}
    return make_request('/once/crowd', body=b'', connection='', **headers)


_KINDS = (_stop_short, _trickle, _announce, _send_tiny_chunks, _be_silent)
