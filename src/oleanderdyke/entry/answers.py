"""Send answers and typed errors to callers."""

from __future__ import annotations

import json
import math
from collections.abc import Iterable
from typing import Protocol

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.entry.edge import BodyHolder, Send
from oleanderdyke.errors import OleanderError
from oleanderdyke.links.messages import Headers

REQUEST_HEADER = 'oleander-request'
JSON_TYPE = 'application/json'
# The ASGI scope extension under which the server offers its PartWriter.
WRITER_EXTENSION = 'oleander.part_writer'
# The extension under which it offers the CallerConnection.
CONNECTION_EXTENSION = 'oleander.connection'


def encode_error(error: OleanderError, request: str) -> bytes:
    """Return the JSON body of an error; `request` is the request id."""
    described = {
        'kind': error.kind.value,
        'message': error.message,
        'ran': error.ran.value,
        'request': request,
    }
    return json.dumps({'error': described}).encode()


def make_error_headers(error: OleanderError) -> Headers:
    """Return the content type and, if set, the retry-after header."""
    headers = [('content-type', JSON_TYPE)]
    if error.retry_after is not None:
        seconds = math.ceil(error.retry_after / SECOND)
        headers.append(('retry-after', str(seconds)))
    return tuple(headers)


class CallerConnection(BodyHolder, Protocol):
    """The connection on which a request was read."""

    @property
    def is_whole(self) -> bool:
        """Return whether the whole request has arrived."""

    def find_idle_time(self) -> Millis:
        """Return for how long an arriving request has made no progress."""

    def refuse_rest(self, error: OleanderError) -> None:
        """End an arriving request, and release what was received of it."""

    def has_next(self) -> bool:
        """Return whether bytes were read behind the running request."""

    async def flush(self) -> None:
        """Wait until all that was written was passed to the system."""


class PartWriter(Protocol):
    """Write parts of a response body without blocking."""

    def is_ready(self) -> bool:
        """Return whether `write_part` can be called now."""

    def write_part(self, part: bytes) -> None:
        """Write one non-empty part of the body."""


class Answer:
    """Send one HTTP response with flow control.

    The server closes the connection of a caller that stops reading.
    """

    def __init__(
        self, send: Send, request: str, writer: PartWriter | None = None
    ) -> None:
        self._send = send
        self._writer = writer
        self._request = request
        self.status = 0
        self.ended = False

    @property
    def started(self) -> bool:
        """Return whether the response head has been sent."""
        return self.status != 0

    @property
    def is_writable(self) -> bool:
        """Return whether `write` can send a part without blocking."""
        if self.ended or not self.started or self._writer is None:
            return False
        return self._writer.is_ready()

    def write(self, part: bytes) -> None:
        """Send a part of the body without blocking; requires `is_writable`."""
        if self._writer is not None:
            self._writer.write_part(part)

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and the headers."""
        self.status = status
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': list(self._encode(headers)),
            }
        )

    async def send(self, part: bytes) -> None:
        """Send a part of the body; wait while the connection is congested."""
        await self._send(
            {'type': 'http.response.body', 'body': part, 'more_body': True}
        )

    async def end(self, part: bytes = b'') -> None:
        """Send the last part of the body."""
        self.ended = True
        await self._send({'type': 'http.response.body', 'body': part})

    async def send_whole(
        self, status: int, body: bytes, headers: Headers = ()
    ) -> None:
        """Send a complete response with a content-length header."""
        length = ('content-length', str(len(body)))
        await self.start(status, (*headers, length))
        await self.end(body)

    async def send_json(self, status: int, body: bytes) -> None:
        """Send a complete response with an encoded JSON body."""
        await self.send_whole(status, body, (('content-type', JSON_TYPE),))

    async def send_error(self, error: OleanderError) -> None:
        """Send an error as a complete response."""
        body = encode_error(error, self._request)
        await self.send_whole(error.status, body, make_error_headers(error))

    def _encode(self, headers: Headers) -> Iterable[tuple[bytes, bytes]]:
        yield REQUEST_HEADER.encode(), self._request.encode()
        for name, content in headers:
            yield name.encode('ascii'), content.encode('ascii')
