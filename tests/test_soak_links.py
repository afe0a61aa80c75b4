"""Links of a soak: what they hold back, delay and reset."""

from __future__ import annotations

import asyncio
import contextlib

import anyio
import pytest

from tools.soak.links import Direction, linking

pytestmark = pytest.mark.anyio


@contextlib.asynccontextmanager
async def echoing():
    """Yield a link before a server that sends back what it gets."""

    async def serve(reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(100):
                got.append(data)
                writer.write(data)
        writer.close()

    got = []
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    async with linking(port) as (link, address):
        host, _, own_port = address.partition(':')
        reader, writer = await asyncio.open_connection(host, int(own_port))
        yield link, got, reader, writer
        writer.close()
    server.close()


async def read_within(reader, seconds):
    with anyio.move_on_after(seconds):
        return await reader.read(100)
    return None


@pytest.mark.parametrize('direction', Direction)
async def test_link_delivers_what_it_held(direction):
    async with echoing() as (link, got, reader, writer):
        with link.holding(direction):
            writer.write(b'late')
            assert await read_within(reader, 0.2) is None
            assert got == ([b'late'] if direction is Direction.BACK else [])
        assert await read_within(reader, 2) == b'late'


async def test_link_delivers_what_it_held_after_its_sender_has_reset():
    async with echoing() as (link, got, _, writer):
        with link.holding(Direction.FORTH):
            writer.write(b'late')
            await anyio.sleep(0.1)
            writer.transport.abort()
            await anyio.sleep(0.1)
        with anyio.fail_after(2):
            while not got:
                await anyio.sleep(0.01)


async def test_link_delays():
    async with echoing() as (link, _, reader, writer):
        with link.delaying(0.15):
            writer.write(b'slow')
            assert await read_within(reader, 0.2) is None
            assert await read_within(reader, 2) == b'slow'


async def test_link_resets_both_ends():
    async with echoing() as (link, _, reader, writer):
        writer.write(b'one')
        assert await read_within(reader, 2) == b'one'
        link.reset()
        with pytest.raises(ConnectionResetError):
            await reader.read(100)
