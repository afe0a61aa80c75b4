"""Parse HTTP requests of callers and reject malformed ones."""

from __future__ import annotations

import hashlib
import math
import re
import secrets
from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass
from typing import Any, Protocol, TypeAlias
from urllib.parse import unquote_to_bytes

import anyio

from oleanderdyke.clients.http import HOP_BY_HOP
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.links.messages import Headers

Scope: TypeAlias = MutableMapping[str, Any]
Event: TypeAlias = MutableMapping[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[Event]]
Send: TypeAlias = Callable[[Event], Awaitable[None]]

_REQUEST_ID_BYTES = 16
_TOKEN_MAX_CHARS = 512
_KEY_MAX_CHARS = 200
_BLOCK_BYTES = 32 * 1024
_NEVER_FORWARDED = HOP_BY_HOP | {
    'authorization',
    'content-length',
    'cookie',
    'expect',
    'host',
    'idempotency-key',
}
_NEVER_RETURNED = HOP_BY_HOP | {'content-length', 'date', 'server'}
_INTERNAL_PREFIX = 'oleander-'
_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
_VALUE = re.compile(r'[\t\x20-\x7e]*\Z')


class CallerGone(Exception):
    """Raised when the caller has closed its connection."""


@dataclass(frozen=True, slots=True)
class Head:
    """Hold the head of one request; `target` stays percent-encoded."""

    request: str
    method: str
    target: str
    query: str
    headers: Headers

    def find(self, name: str) -> str | None:
        """Return the first value of a header; the name is in lower case."""
        for known, content in self.headers:
            if known == name:
                return content
        return None


def make_request_id() -> str:
    """Return a new unguessable request id."""
    return secrets.token_hex(_REQUEST_ID_BYTES)


def parse_head(scope: Scope, request: str) -> Head:
    """Parse the request head; raise BAD_REQUEST for non-ASCII text."""
    try:
        headers = tuple(
            (name.decode('ascii').lower(), content.decode('ascii'))
            for name, content in scope['headers']
        )
        target = scope['raw_path'].decode('ascii')
        query = scope['query_string'].decode('ascii')
    except UnicodeDecodeError as error:
        fault = 'the path and headers must be ASCII'
        raise OleanderError(ErrorKind.BAD_REQUEST, fault) from error
    return Head(request, scope['method'], target, query, headers)


def split_path(target: str, count: int) -> tuple[str, ...]:
    """Decode the first `count` path segments; leave the rest encoded.

    Raise NOT_FOUND for a segment that is not UTF-8.
    """
    parts = target.split('/', count + 1)[1:]
    try:
        decoded = [
            unquote_to_bytes(part).decode('utf-8') for part in parts[:count]
        ]
    except UnicodeDecodeError as error:
        raise make_not_found() from error
    return (*decoded, *parts[count:])


def make_not_found() -> OleanderError:
    """Return the error for unknown and for forbidden resources alike."""
    return OleanderError(ErrorKind.NOT_FOUND, 'nothing here for this token')


def hash_token(head: Head) -> str:
    """Return the SHA-256 of the bearer token; raise UNAUTHENTICATED."""
    found = head.find('authorization') or ''
    scheme, _, token = found.partition(' ')
    token = token.strip()
    if scheme.lower() != 'bearer' or not 0 < len(token) <= _TOKEN_MAX_CHARS:
        raise make_unauthenticated()
    return hashlib.sha256(token.encode('ascii')).hexdigest()


def make_unauthenticated() -> OleanderError:
    """Return the error for a missing or unknown bearer token."""
    return OleanderError(
        ErrorKind.UNAUTHENTICATED, 'missing or unknown bearer token'
    )


def find_idempotency_key(head: Head) -> str:
    """Return the idempotency key, empty if absent; raise BAD_REQUEST."""
    key = head.find('idempotency-key')
    if key is None:
        return ''
    if not key or len(key) > _KEY_MAX_CHARS:
        fault = f'Idempotency-Key must have 1 to {_KEY_MAX_CHARS} characters'
        raise OleanderError(ErrorKind.BAD_REQUEST, fault)
    return key


def forward_headers(headers: Headers) -> Headers:
    """Drop hop-by-hop, credential and internal request headers."""
    named = _find_connection_names(headers)
    return tuple(
        (name, content)
        for name, content in headers
        if name not in _NEVER_FORWARDED
        and name not in named
        and not name.startswith(_INTERNAL_PREFIX)
    )


def return_headers(headers: Headers) -> Headers:
    """Drop hop-by-hop, internal and malformed response headers."""
    named = _find_connection_names(headers)
    return tuple(
        (name.lower(), content.strip())
        for name, content in headers
        if name.lower() not in _NEVER_RETURNED
        and name.lower() not in named
        and not name.lower().startswith(_INTERNAL_PREFIX)
        and _NAME.match(name)
        and _VALUE.match(content)
    )


def _find_connection_names(headers: Headers) -> frozenset[str]:
    return frozenset(
        part.strip().lower()
        for name, content in headers
        if name.lower() == 'connection'
        for part in content.split(',')
    )


class BodyParts:
    """Collect a body in blocks of similar sizes.

    A buffer that grows would leave a hole for each of its sizes in the memory.
    """

    def __init__(self) -> None:
        self._blocks: list[bytes] = []
        self._tail = bytearray()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def add(self, part: bytes) -> None:
        """Append a part."""
        self._length += len(part)
        if len(part) >= _BLOCK_BYTES and not self._tail:
            self._blocks.append(part)
            return
        self._tail += part
        if len(self._tail) >= _BLOCK_BYTES:
            self._blocks.append(bytes(self._tail))
            self._tail.clear()

    def join(self) -> bytes:
        """Return all parts, and hold them no longer."""
        data = b''.join((*self._blocks, self._tail))
        self.clear()
        return data

    def clear(self) -> None:
        """Drop all parts."""
        self._blocks.clear()
        self._tail.clear()
        self._length = 0


class BodyHolder(Protocol):
    """The connection on which a body arrives."""

    @property
    def has_arrived(self) -> bool:
        """Return whether a part of the body, or its end, can be received."""

    def store(self, part: bytes | BodyParts) -> None:
        """Count what was received of a body until its request has ended."""


class Body:
    """Read the body of one request with a size limit and a timeout.

    `find_left` returns how much time the request has left.
    """

    def __init__(
        self,
        receive: Receive,
        limit: int,
        timeout: Millis,
        head: Head,
        *,
        holder: BodyHolder | None = None,
        find_left: Callable[[], Millis] = lambda: math.inf,
    ) -> None:
        self._receive = receive
        self._limit = limit
        self._timeout = timeout
        self._length = head.find('content-length')
        self._received = 0
        self._holder = holder
        self._find_left = find_left
        self.ended = False
        self._check_length()

    def set_limit(self, limit: int) -> None:
        """Lower the limit to that of the service; raise BODY_TOO_LARGE."""
        self._limit = min(self._limit, limit)
        self._check_length()

    async def read(self) -> bytes:
        """Return the complete body; raise OleanderError or CallerGone."""
        return await self.read_up_to(self._limit + 1)

    async def read_up_to(self, bound: int) -> bytes:
        """Read parts until the body ends or at least `bound` bytes are read."""
        parts = BodyParts()
        self._store(parts)
        while not self.ended and len(parts) < bound:
            parts.add(await self.read_part())
        data = parts.join()
        self._store(data)
        return data

    async def read_part(self) -> bytes:
        """Return the next part; set `ended` on the last one."""
        event = await self._receive_in_time()
        if event['type'] != 'http.request':
            raise CallerGone
        part: bytes = event.get('body', b'')
        self._received += len(part)
        if self._received > self._limit:
            raise self._make_too_large()
        self.ended = not event.get('more_body', False)
        return part

    async def wait_disconnected(self) -> None:
        """Wait until the caller disconnects; call it after the body ended."""
        while (await self._receive())['type'] != 'http.disconnect':
            continue

    def _store(self, part: bytes | BodyParts) -> None:
        if self._holder is not None:
            self._holder.store(part)

    async def _receive_in_time(self) -> Event:
        left = self._find_left()
        if self._received and left <= 0:
            raise _make_late()
        if self._holder is not None and self._holder.has_arrived:
            return await self._receive()
        try:
            with anyio.fail_after(min(self._timeout, left) / SECOND):
                return await self._receive()
        except TimeoutError as error:
            if left <= self._timeout:
                raise _make_late() from error
            raise OleanderError(
                ErrorKind.BAD_REQUEST, 'the body did not arrive in time'
            ) from error

    def _check_length(self) -> None:
        length = self._length or ''
        if length.isdigit() and int(length) > self._limit:
            raise self._make_too_large()

    def _make_too_large(self) -> OleanderError:
        return OleanderError(
            ErrorKind.BODY_TOO_LARGE,
            f'the body is larger than {self._limit} bytes',
            ran=Ran.NO,
        )


def _make_late() -> OleanderError:
    return OleanderError(
        ErrorKind.DEADLINE,
        'the body did not arrive before the deadline',
        ran=Ran.NO,
    )
