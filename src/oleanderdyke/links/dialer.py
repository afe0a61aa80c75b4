"""Outgoing links: connect to listening peers."""

from __future__ import annotations

import ssl

from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from oleanderdyke.clients.addresses import connecting, split_address
from oleanderdyke.clock import Clock
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.links.handshake import HandshakeFailed, exchange_hellos
from oleanderdyke.links.link import Link, LinkSettings
from oleanderdyke.links.messages import Hello
from oleanderdyke.links.sockets import ClientSocket, socket_options


class DialFailed(OleanderError):
    """Raised when no connection to a peer can be opened."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorKind.BACKEND_LOST, message, ran=Ran.NO)


async def dial(
    address: str,
    hello: Hello,
    *,
    settings: LinkSettings,
    clock: Clock,
    tls: ssl.SSLContext | None = None,
) -> Link:
    """Connect to `host:port` and exchange hellos.

    Raises DialFailed if the connection fails, HandshakeFailed if the peer is
    refused or refuses.
    """
    socket = await _connect(address, settings, tls)
    try:
        peer = await exchange_hellos(socket, hello, settings)
    except HandshakeFailed:
        # The closing handshake lets the peer read the `Refused` message.
        await socket.close()
        raise
    except BaseException:
        socket.abort()
        raise
    return Link(
        socket, address=address, peer=peer, settings=settings, clock=clock
    )


async def _connect(
    address: str, settings: LinkSettings, tls: ssl.SSLContext | None
) -> ClientSocket:
    scheme = 'ws' if tls is None else 'wss'
    try:
        with connecting():
            split_address(address)
            socket = await connect(
                f'{scheme}://{address}/',
                ssl=tls,
                proxy=None,
                create_connection=ClientSocket,
                **socket_options(settings),
            )
    except (OSError, WebSocketException) as error:
        reason = type(error).__name__
        raise DialFailed(f'cannot reach {address}: {reason}') from error
    assert isinstance(socket, ClientSocket)  # noqa: S101 - narrows the type
    return socket
