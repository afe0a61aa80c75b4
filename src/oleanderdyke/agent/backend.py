"""HTTP client for the backend server that an agent runs beside."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from typing import Any, TypeAlias

import anyio

from oleanderdyke.agent.settings import BackendSettings
from oleanderdyke.clients.addresses import connecting, split_address
from oleanderdyke.clients.exchange import Body
from oleanderdyke.clients.http import (
    HOP_BY_HOP,
    HttpAnswer,
    HttpBackend,
    HttpError,
    HttpSettings,
)
from oleanderdyke.clients.keep_alive import KeepAliveHttp, KeepAliveSettings
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.links.messages import Headers

JsonObject: TypeAlias = Mapping[str, Any]

_JSON_LIMIT_BYTES = 16 * 1024 * 1024
_OK = 200
_REDIRECT = 300
_RESPONSE_EXCLUDED_HEADERS = HOP_BY_HOP | {'host'}
_REQUEST_EXCLUDED_HEADERS = _RESPONSE_EXCLUDED_HEADERS | {
    'authorization',
    'expect',
}


class Backend:
    """Send requests to the backend server.

    `open` has no read timeout: the deadline of the run bounds it. Every other
    method has a timeout of its own.
    """

    def __init__(self, settings: BackendSettings) -> None:
        self._address = settings.address
        self._timeout = settings.probe_timeout
        self._connect_timeout = settings.connect_timeout
        self._http = HttpBackend(
            settings.address,
            settings=HttpSettings(connect=settings.connect_timeout, read=None),
        )
        self.keep_alive = KeepAliveHttp(
            settings.address,
            KeepAliveSettings(connect=settings.connect_timeout),
        )

    @asynccontextmanager
    async def open(
        self, method: str, path: str, headers: Headers, body: Body
    ) -> AsyncIterator[HttpAnswer]:
        """Send a request and yield the open response; raise HttpError."""
        async with self._http.request(
            method, path, headers=headers, body=body
        ) as answer:
            yield answer

    async def get_json(self, path: str) -> JsonObject:
        """Return the JSON object in a GET response; raise OleanderError."""
        data = await self.get_bytes(path, _JSON_LIMIT_BYTES)
        return _parse_object(data)

    async def get_bytes(
        self, path: str, limit: int, *, timeout: Millis | None = None
    ) -> bytes:
        """Return the body of a successful GET; raise OleanderError.

        A body longer than `limit` bytes is an error.
        """
        status, data = await self.call(
            'GET', path, limit=limit, timeout=timeout
        )
        _check_status(status, path)
        return data

    async def call(
        self,
        method: str,
        path: str,
        *,
        body: Body = None,
        headers: Headers = (),
        limit: int = _JSON_LIMIT_BYTES,
        timeout: Millis | None = None,
    ) -> tuple[int, bytes]:
        """Return the status and the complete body; raise HttpError.

        The default timeout is that of a probe.
        """
        bound = self._timeout if timeout is None else timeout
        with anyio.move_on_after(bound / SECOND):
            async with self._http.request(
                method, path, headers=headers, body=body
            ) as answer:
                return answer.status, await answer.read(limit)
        raise HttpError(f'no answer within {bound:.0f} ms', ran=Ran.MAYBE)

    async def connect(self) -> None:
        """Open and close a TCP connection; raise HttpError on failure."""
        limit = self._connect_timeout / SECOND
        try:
            with connecting(), anyio.fail_after(limit):
                host, port = split_address(self._address)
                stream = await anyio.connect_tcp(host, port)
        except OSError as error:
            raise HttpError(
                'cannot connect to the backend server', ran=Ran.NO
            ) from error
        await stream.aclose()

    async def close(self) -> None:
        """Close all connections to the backend server."""
        await self._http.close()
        await self.keep_alive.close()


def filter_request_headers(headers: Headers) -> Headers:
    """Return the request headers that may go to the backend server.

    Removes hop-by-hop headers and the caller's credentials.
    """
    named = _list_connection_headers(headers)
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _REQUEST_EXCLUDED_HEADERS
        and name.lower() not in named
    )


def filter_response_headers(headers: Headers) -> Headers:
    """Remove the hop-by-hop headers of a response of the backend server."""
    named = _list_connection_headers(headers)
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _RESPONSE_EXCLUDED_HEADERS
        and name.lower() not in named
    )


def _list_connection_headers(headers: Headers) -> frozenset[str]:
    return frozenset(
        part.strip().lower()
        for name, value in headers
        if name.lower() == 'connection'
        for part in value.split(',')
    )


def _parse_object(data: bytes) -> JsonObject:
    try:
        found = json.loads(data)
    except ValueError as error:
        raise _make_answer_error() from error
    if not isinstance(found, dict):
        raise _make_answer_error()
    return found


def _make_answer_error() -> OleanderError:
    return OleanderError(
        ErrorKind.BACKEND_FAILED, 'the response body is not a JSON object'
    )


def _check_status(status: int, path: str) -> None:
    if _OK <= status < _REDIRECT:
        return
    directory = path.split('?', 1)[0].rsplit('/', 1)[0]
    raise OleanderError(
        ErrorKind.BACKEND_FAILED,
        f'got status {status} for a request under {directory}/',
    )
