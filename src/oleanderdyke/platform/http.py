"""Speak HTTP to one server, and tell whether a request may have reached it."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.links.messages import Headers

Body = bytes | AsyncIterator[bytes] | None


class HttpError(OleanderError):
    """Tell that an exchange failed; `ran` is NO where nothing was sent."""

    def __init__(self, message: str, *, ran: Ran) -> None:
        super().__init__(ErrorKind.BACKEND_LOST, message, ran=ran)


@dataclass(frozen=True, slots=True)
class HttpSettings:
    """Bound the waits of one exchange.

    `read` bounds the wait for each piece of the answer; None never gives up.
    """

    connect: Millis = 2 * SECOND
    write: Millis = 10 * SECOND
    read: Millis | None = 30 * SECOND
    connections: int = 512


@dataclass(slots=True)
class HttpAnswer:
    """Hold the head of an answer and the stream of its body."""

    status: int
    headers: Headers
    body: AsyncIterator[bytes]

    async def read(self, limit: int) -> bytes:
        """Return the whole body; raise HttpError when it passes `limit`."""
        raise NotImplementedError


class HttpBackend:
    """Stream requests and answers to and from one HTTP server."""

    def __init__(
        self, address: str, *, settings: HttpSettings | None = None
    ) -> None:
        raise NotImplementedError

    @asynccontextmanager
    async def request(
        self,
        method: str,
        path: str,
        *,
        headers: Sequence[tuple[str, str]] = (),
        body: Body = None,
    ) -> AsyncIterator[HttpAnswer]:
        """Send and give the answer; leaving early closes the connection.

        Raise HttpError.
        """
        raise NotImplementedError
        yield HttpAnswer(0, (), aiter(()))  # type: ignore[arg-type]

    async def close(self) -> None:
        """Close every connection."""
        raise NotImplementedError
