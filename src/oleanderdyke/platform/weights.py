"""Read the digests of weights from the platform's weight store."""

from __future__ import annotations

from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis


@dataclass(frozen=True, slots=True)
class Weights:
    """Identify the content of one set of weights."""

    digest: str
    length: int


class WeightClient:
    """Call the weight store at `host:port`."""

    def __init__(self, address: str) -> None:
        raise NotImplementedError

    async def describe(
        self, model: str, version: str, *, timeout: Millis = 2 * SECOND
    ) -> Weights:
        """Return digest and length; raise OleanderError."""
        raise NotImplementedError

    async def close(self) -> None:
        """Close every connection."""
        raise NotImplementedError
