"""Client for JSON documents of the platform's services."""

from __future__ import annotations

import json
import ssl
from typing import Any

from oleanderdyke.clients.buffered import fetch_body
from oleanderdyke.clients.http import HttpBackend, HttpError, HttpSettings
from oleanderdyke.clock import Millis
from oleanderdyke.errors import ErrorKind, OleanderError, Ran

_OK = 200
_NOT_FOUND = 404
_MAX_DOCUMENT_BYTES = 16 * 1024 * 1024


class PlatformUnavailable(OleanderError):
    """A service could not be reached or gave an invalid answer."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorKind.NOT_READY, message, ran=Ran.NO)


class DocumentClient:
    """Client for JSON documents at `host:port`."""

    def __init__(
        self, address: str, *, tls: ssl.SSLContext | None = None
    ) -> None:
        settings = HttpSettings(read=None)
        self._http = HttpBackend(address, settings=settings, tls=tls)

    async def get(self, path: str, timeout: Millis) -> Any:
        """Return a document; raise PlatformUnavailable.

        Raise OleanderError of the kind NOT_FOUND if there is none.
        """
        status, data = await self._exchange(path, timeout)
        if status == _NOT_FOUND:
            raise OleanderError(ErrorKind.NOT_FOUND, f'{path}: not found')
        if status != _OK:
            raise PlatformUnavailable(
                f'GET {path}: found status {status}; expected {_OK}'
            )
        try:
            return json.loads(data)
        except (ValueError, RecursionError) as error:
            raise PlatformUnavailable(
                f'GET {path}: found {len(data)} bytes that are no JSON'
            ) from error

    async def close(self) -> None:
        """Close every connection."""
        await self._http.close()

    async def _exchange(self, path: str, timeout: Millis) -> tuple[int, bytes]:
        try:
            return await fetch_body(
                self._http,
                'GET',
                path,
                body=None,
                within=timeout,
                limit=_MAX_DOCUMENT_BYTES,
            )
        except HttpError as error:
            raise PlatformUnavailable(error.message) from error
