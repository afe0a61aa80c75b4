"""Serve stand-ins on loopback, in the current loop or as a process."""

from __future__ import annotations

import argparse
import contextlib
import ctypes
import dataclasses
import os
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
_DEATH_SIGNAL = 1

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
    # asyncio sets TCP_NODELAY only if the socket's protocol is given.
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
    *apps: Any,
    ports: Sequence[int] = (),
    sockets: Sequence[socket.socket] = (),
) -> AsyncGenerator[tuple[str, ...], None]:
    """Serve apps on the current loop; yield their addresses in order."""
    wanted = ports or (0,) * len(apps)
    listeners = sockets or [_listen(port) for port in wanted]
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
    """Add a command-line option for each field of a settings class."""
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
    """Run one app for each `--port` until SIGTERM; print the addresses.

    With `--respawn 1` a crashed process is replaced immediately while its ports
    stay open, and each crash is printed.
    """
    parser = argparse.ArgumentParser(prog=name)
    parser.add_argument('--port', type=int, action='append')
    parser.add_argument('--respawn', type=int, default=0)
    add_settings(parser, settings_type)
    options = vars(parser.parse_args(argv))
    ports = options.pop('port') or [0]
    sockets = [_listen(port) for port in ports]
    if options.pop('respawn'):
        _fork_until_stopped()
    apps = [make_app(settings_type(**options)) for _ in ports]
    anyio.run(_serve_until_signal, apps, sockets)


def _fork_until_stopped() -> None:
    """Fork children; return in each one, exit the parent after the last."""
    while True:
        child = os.fork()
        if not child:
            # The kernel ends the child when its parent ends for any reason.
            ctypes.CDLL(None).prctl(_DEATH_SIGNAL, signal.SIGKILL)
            return
        if _wait_child(child) <= 0:
            os._exit(0)
        print('crashed', flush=True)


def _wait_child(child: int) -> int:
    signal.signal(signal.SIGTERM, lambda *_: os.kill(child, signal.SIGTERM))
    return os.waitstatus_to_exitcode(os.waitpid(child, 0)[1])


async def _serve_until_signal(
    apps: list[Any], sockets: list[socket.socket]
) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with serving(*apps, sockets=sockets) as addresses:
            for address in addresses:
                print(f'ready {address}', flush=True)
            async for _ in signals:
                break
