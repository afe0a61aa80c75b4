"""Serve stand-ins on loopback, in this loop or as a process."""

from __future__ import annotations

import argparse
import contextlib
import dataclasses
import signal
import socket
from collections.abc import AsyncGenerator, Callable, Generator, Sequence
from typing import Any, TypeVar

import anyio
import uvicorn

LOOPBACK = '127.0.0.1'
_BACKLOG = 512
_KEEP_ALIVE_SECONDS = 600
_SHUTDOWN_SECONDS = 1
_START_POLL_SECONDS = 0.005

SettingsT = TypeVar('SettingsT')


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        yield


def _make_server(app: Any) -> _Server:
    return _Server(
        uvicorn.Config(
            app,
            lifespan='off',
            log_level='critical',
            access_log=False,
            proxy_headers=False,
            ws='none',
            timeout_keep_alive=_KEEP_ALIVE_SECONDS,
            timeout_graceful_shutdown=_SHUTDOWN_SECONDS,
        )
    )


def _listen(port: int) -> socket.socket:
    # asyncio turns Nagle's algorithm off only where the protocol is named.
    listener = socket.socket(proto=socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((LOOPBACK, port))
    listener.listen(_BACKLOG)
    return listener


def _address(listener: socket.socket) -> str:
    host, port = listener.getsockname()
    return f'{host}:{port}'


@contextlib.asynccontextmanager
async def serving(
    *apps: Any, ports: Sequence[int] = ()
) -> AsyncGenerator[tuple[str, ...], None]:
    """Serve apps on this loop; yield their addresses in order."""
    listeners = [_listen(port) for port in ports or (0,) * len(apps)]
    servers = [_make_server(app) for app in apps]
    async with anyio.create_task_group() as group:
        for server, listener in zip(servers, listeners, strict=True):
            group.start_soon(server.serve, [listener])
        while not all(server.started for server in servers):
            await anyio.sleep(_START_POLL_SECONDS)
        try:
            yield tuple(_address(listener) for listener in listeners)
        finally:
            for server in servers:
                server.should_exit = True


def add_settings(
    parser: argparse.ArgumentParser, settings_type: type[Any]
) -> None:
    """Add an option for each field of a settings class."""
    for item in dataclasses.fields(settings_type):
        option = f'--{item.name.replace("_", "-")}'
        parser.add_argument(
            option, type=type(item.default), default=item.default
        )


def run_main(
    name: str,
    settings_type: type[SettingsT],
    make_app: Callable[[SettingsT], Any],
    argv: Sequence[str] | None = None,
) -> None:
    """Run one app for each `--port` until SIGTERM; print the addresses."""
    parser = argparse.ArgumentParser(prog=name)
    parser.add_argument('--port', type=int, action='append')
    add_settings(parser, settings_type)
    options = vars(parser.parse_args(argv))
    ports = options.pop('port') or [0]
    apps = [make_app(settings_type(**options)) for _ in ports]
    anyio.run(_serve_until_signal, apps, ports)


async def _serve_until_signal(apps: list[Any], ports: list[int]) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with serving(*apps, ports=ports) as addresses:
            for address in addresses:
                print(f'ready {address}', flush=True)
            async for _ in signals:
                break
