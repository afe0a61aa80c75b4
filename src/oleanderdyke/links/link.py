"""Carry messages over one websocket and notice a silent peer."""

from __future__ import annotations

from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import ErrorKind, OleanderError
from oleanderdyke.links.messages import Hello, Message


class LinkClosed(OleanderError):
    """Tell that a link carries no more messages."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorKind.BACKEND_LOST, message)


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Bound silence, frames and waiting on a link."""

    ping_interval: Millis = SECOND
    missed_pings: int = 3
    max_frame: int = 1024 * 1024
    send_timeout: Millis = 10 * SECOND
    dial_timeout: Millis = 3 * SECOND
    close_timeout: Millis = SECOND


@dataclass(slots=True)
class LinkCounters:
    """Count the bytes of encoded messages on a link."""

    control_in: int = 0
    control_out: int = 0
    data_in: int = 0
    data_out: int = 0


class Link:
    """Send and receive messages to and from one peer.

    The dialer and the listener run the pings; `receive` has one reader.
    """

    peer: Hello
    address: str
    counters: LinkCounters

    @property
    def closed(self) -> bool:
        """Tell whether the link carries no more messages."""
        raise NotImplementedError

    async def send(self, message: Message) -> None:
        """Send, waiting while the peer reads slowly; raise LinkClosed."""
        raise NotImplementedError

    async def receive(self) -> Message:
        """Return the next message; raise LinkClosed."""
        raise NotImplementedError

    async def close(self) -> None:
        """Close the link; safe to repeat."""
        raise NotImplementedError
