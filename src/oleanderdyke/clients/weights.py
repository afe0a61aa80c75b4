"""Client for the digests of weights in the platform's weight store."""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from urllib.parse import quote

from oleanderdyke.clients.documents import DocumentClient, PlatformUnavailable
from oleanderdyke.clock import SECOND, Millis


@dataclass(frozen=True, slots=True)
class Weights:
    """Hold the digest of the weights and their length in bytes."""

    digest: str
    length: int


class WeightClient:
    """Client for the weight store at `host:port`."""

    def __init__(
        self, address: str, *, tls: ssl.SSLContext | None = None
    ) -> None:
        self._documents = DocumentClient(address, tls=tls)

    async def describe(
        self, model: str, version: str, *, timeout: Millis = 2 * SECOND
    ) -> Weights:
        """Return the digest and length of weights; raise OleanderError.

        The kind of the error is NOT_FOUND if the store doesn't know them.
        """
        names = (quote(model, safe=''), quote(version, safe=''))
        path = '/'.join(('/weights', *names))
        document = await self._documents.get(path, timeout)
        return _make_weights(document)

    async def close(self) -> None:
        """Close every connection."""
        await self._documents.close()


def _make_weights(document: object) -> Weights:
    if not isinstance(document, dict):
        raise PlatformUnavailable(
            f'weights: found {type(document).__name__}; allowed: an object'
        )
    digest, length = document.get('digest'), document.get('length')
    if not isinstance(digest, str) or type(length) is not int:
        raise PlatformUnavailable(
            f'weights: found digest {type(digest).__name__} and length '
            f'{type(length).__name__}; allowed: text and an integer'
        )
    return Weights(digest, length)
