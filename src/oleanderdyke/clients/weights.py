"""Read the digests of weights from the platform's weight store."""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from urllib.parse import quote

from oleanderdyke.clients.documents import DocumentClient, PlatformUnavailable
from oleanderdyke.clock import SECOND, Millis


@dataclass(frozen=True, slots=True)
class Weights:
    """Identify the content of one set of weights."""

    digest: str
    length: int


class WeightClient:
    """Call the weight store at `host:port`."""

    def __init__(
        self, address: str, *, tls: ssl.SSLContext | None = None
    ) -> None:
        self._documents = DocumentClient(address, tls=tls)

    async def describe(
        self, model: str, version: str, *, timeout: Millis = 2 * SECOND
    ) -> Weights:
        """Return digest and length; raise OleanderError.

        Its kind is NOT_FOUND where the store does not know the weights.
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
        raise PlatformUnavailable('the weights are no map')
    digest, length = document.get('digest'), document.get('length')
    if not isinstance(digest, str) or type(length) is not int:
        raise PlatformUnavailable('the weights lack digest or length')
    return Weights(digest, length)
