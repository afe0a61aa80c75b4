"""Speak HTTP to the one backend server that an agent guards."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from typing import Any, TypeAlias

import anyio

from oleanderdyke.agent.settings import BackendSettings
from oleanderdyke.clients.addresses import split_address
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

Json: TypeAlias = Mapping[str, Any]

_JSON_LIMIT = 16 * 1024 * 1024
_OK = 200
_REDIRECT = 300
_NOT_RETURNED = HOP_BY_HOP | {'host'}
_NOT_FORWARDED = _NOT_RETURNED | {'authorization', 'expect'}


class Backend:
    """Call the backend server; the waits of runs are bounded by their runs."""

    def __init__(self, settings: BackendSettings) -> None:
        self._address = settings.address
        self._timeout = settings.probe_timeout
        self._connect_timeout = settings.connect_timeout
        self._http = HttpBackend(
            settings.address,
            settings=HttpSettings(connect=settings.connect_timeout, read=None),
        )
        self.kept = KeepAliveHttp(
            settings.address,
            KeepAliveSettings(connect=settings.connect_timeout),
        )

    @asynccontextmanager
    async def open(
        self, method: str, path: str, headers: Headers, body: Body
    ) -> AsyncIterator[HttpAnswer]:
        """Send a request and give its answer; raise HttpError."""
        async with self._http.request(
            method, path, headers=headers, body=body
        ) as answer:
            yield answer

    async def get_json(self, path: str) -> Json:
        """Return a JSON object; raise OleanderError."""
        data = await self.get_bytes(path, _JSON_LIMIT)
        return _parse_object(data)

    async def get_bytes(
        self, path: str, limit: int, *, timeout: Millis | None = None
    ) -> bytes:
        """Return the body of a successful GET; raise OleanderError."""
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
        limit: int = _JSON_LIMIT,
        timeout: Millis | None = None,
    ) -> tuple[int, bytes]:
        """Return status and whole body within a time; raise HttpError."""
        bound = self._timeout if timeout is None else timeout
        with anyio.move_on_after(bound / SECOND):
            async with self._http.request(
                method, path, headers=headers, body=body
            ) as answer:
                return answer.status, await answer.read(limit)
        raise HttpError(f'no answer within {bound:.0f} ms', ran=Ran.MAYBE)

    async def connect(self) -> None:
        """Prove that the server accepts connections; raise HttpError."""
        host, port = split_address(self._address)
        try:
            with anyio.fail_after(self._connect_timeout / SECOND):
                stream = await anyio.connect_tcp(host, port)
        except OSError as error:
            raise HttpError('cannot connect', ran=Ran.NO) from error
        await stream.aclose()

    async def close(self) -> None:
        """Close every connection."""
        await self._http.close()
        await self.kept.close()


def clean_headers(headers: Headers) -> Headers:
    """Drop what belongs to one hop or to the caller's credentials."""
    named = _find_connection_names(headers)
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _NOT_FORWARDED and name.lower() not in named
    )


def clean_answer_headers(headers: Headers) -> Headers:
    """Drop what belongs to the hop between agent and backend server."""
    named = _find_connection_names(headers)
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _NOT_RETURNED and name.lower() not in named
    )


def _find_connection_names(headers: Headers) -> frozenset[str]:
    return frozenset(
        part.strip().lower()
        for name, value in headers
        if name.lower() == 'connection'
        for part in value.split(',')
    )


def _parse_object(data: bytes) -> Json:
    try:
        found = json.loads(data)
    except ValueError as error:
        raise _make_answer_error() from error
    if not isinstance(found, dict):
        raise _make_answer_error()
    return found


def _make_answer_error() -> OleanderError:
    return OleanderError(
        ErrorKind.BACKEND_FAILED, 'the answer is not a JSON object'
    )


def _check_status(status: int, path: str) -> None:
    if _OK <= status < _REDIRECT:
        return
    place = path.split('?', 1)[0].rsplit('/', 1)[0]
    raise OleanderError(
        ErrorKind.BACKEND_FAILED, f'status {status} under {place}/'
    )
