"""Exchange of hellos and check of the protocol version."""

from __future__ import annotations

import contextlib
from typing import NoReturn

import anyio
from websockets.exceptions import ConnectionClosed

from oleanderdyke.clock import SECOND
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.links.codec import decode, decode_version, encode
from oleanderdyke.links.link import LinkSettings, Socket
from oleanderdyke.links.messages import (
    PROTOCOL_VERSION,
    Hello,
    Message,
    Refused,
)


class HandshakeFailed(OleanderError):
    """Raised when a link is not set up; no request was sent over it."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorKind.PROTOCOL, message, ran=Ran.NO)


async def exchange_hellos(
    socket: Socket, hello: Hello, settings: LinkSettings
) -> Hello:
    """Send a hello and return the peer's.

    Raises HandshakeFailed if either side refuses or the dial timeout expires.
    """
    try:
        with anyio.fail_after(settings.dial_timeout / SECOND):
            await socket.send(encode(hello))
            data = await socket.recv()
            return await _read_hello(socket, data)
    except TimeoutError as error:
        raise HandshakeFailed(
            'the peer sent no hello in time: '
            f'waited {settings.dial_timeout:g} ms'
        ) from error
    except ConnectionClosed as error:
        raise HandshakeFailed(
            'the peer closed the connection before it sent a hello'
        ) from error


async def _read_hello(socket: Socket, data: bytes | str) -> Hello:
    if isinstance(data, str):
        await _refuse(
            socket, 'a hello must be a binary frame; found a text frame'
        )
    message = await _decode_opening(socket, data)
    if isinstance(message, Refused):
        raise HandshakeFailed(message.detail)
    if not isinstance(message, Hello):
        await _refuse(
            socket,
            f'the first message must be Hello; found {type(message).__name__}',
        )
    return message


async def _decode_opening(socket: Socket, data: bytes) -> Message:
    try:
        version = decode_version(data)
        if version not in {None, PROTOCOL_VERSION}:
            await _refuse(
                socket,
                f'protocol version {version} of the peer is not supported; '
                f'this process supports version {PROTOCOL_VERSION}',
            )
        return decode(data)
    except HandshakeFailed:
        raise
    except OleanderError as error:
        await _refuse(socket, error.message)


async def _refuse(socket: Socket, detail: str) -> NoReturn:
    refused = Refused(ErrorKind.PROTOCOL, detail)
    with contextlib.suppress(ConnectionClosed):
        await socket.send(encode(refused))
    raise HandshakeFailed(detail)
