"""Incoming links: listen and accept."""

from __future__ import annotations

import contextlib
import ssl
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial
from typing import cast

import anyio
from anyio.abc import TaskGroup
from websockets.asyncio.server import ServerConnection, serve

from oleanderdyke.clock import Clock
from oleanderdyke.errors import OleanderError
from oleanderdyke.links.handshake import HandshakeFailed, exchange_hellos
from oleanderdyke.links.link import Link, LinkSettings
from oleanderdyke.links.messages import Hello
from oleanderdyke.links.newcomers import Newcomers
from oleanderdyke.links.sockets import ServerSocket, socket_options


@asynccontextmanager
async def serve_links(
    host: str,
    port: int,
    make_hello: Callable[[], Hello],
    handle: Callable[[Link], Awaitable[None]],
    *,
    settings: LinkSettings,
    clock: Clock,
    tls: ssl.SSLContext | None = None,
) -> AsyncIterator[int]:
    """Listen and run `handle` for each link in a task; yield the bound port.

    A link closes when its handler returns or raises OleanderError; any other
    exception stops the listener. Leaving the context closes every link.
    """
    newcomers = Newcomers(settings.newcomers)
    acceptor = _Acceptor(make_hello, handle, settings, clock, newcomers)
    async with anyio.create_task_group() as group:
        server = await serve(
            partial(acceptor.accept, group),
            host,
            port,
            ssl=tls,
            create_connection=cast(
                'type[ServerSocket]', partial(ServerSocket, newcomers)
            ),
            **socket_options(settings),
        )
        try:
            yield next(iter(server.sockets)).getsockname()[1]
        finally:
            group.cancel_scope.cancel()
            server.close()
            with anyio.CancelScope(shield=True):
                await server.wait_closed()


class _Acceptor:
    """Set up links on accepted sockets."""

    def __init__(
        self,
        make_hello: Callable[[], Hello],
        handle: Callable[[Link], Awaitable[None]],
        settings: LinkSettings,
        clock: Clock,
        newcomers: Newcomers,
    ) -> None:
        self._newcomers = newcomers
        self._make_hello = make_hello
        self._handle = handle
        self._settings = settings
        self._clock = clock

    async def accept(self, group: TaskGroup, socket: ServerConnection) -> None:
        """Run one link until it ends, as the library then closes the socket."""
        assert isinstance(socket, ServerSocket)  # noqa: S101 - narrows type
        try:
            peer = await exchange_hellos(
                socket, self._make_hello(), self._settings
            )
        except HandshakeFailed:
            return
        self._newcomers.remove(socket)
        link = Link(
            socket,
            address=_show_address(socket),
            peer=peer,
            settings=self._settings,
            clock=self._clock,
        )
        finished = anyio.Event()
        group.start_soon(self._run, link, finished)
        await finished.wait()

    async def _run(self, link: Link, finished: anyio.Event) -> None:
        try:
            with contextlib.suppress(OleanderError):
                await self._handle(link)
        finally:
            with anyio.CancelScope(shield=True):
                await link.close()
            finished.set()


def _show_address(socket: ServerSocket) -> str:
    host, port, *_ = socket.remote_address
    return f'{host}:{port}'
