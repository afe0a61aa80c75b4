"""Append to and read the logs of the platform's log service."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import ErrorKind, OleanderError, Ran


class LogUnavailable(OleanderError):
    """Tell that a call failed, and whether it may have taken effect."""

    def __init__(self, message: str, *, ran: Ran) -> None:
        super().__init__(ErrorKind.LOG_UNAVAILABLE, message, ran=ran)


@dataclass(frozen=True, slots=True)
class LogRecord:
    """Hold one record; `at` is the service's wall clock."""

    offset: int
    at: Millis
    data: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """Hold records in offset order.

    `first` is the oldest offset kept, `end` the next one to be given out.
    """

    records: tuple[LogRecord, ...]
    first: int
    end: int


class LogClient:
    """Call the log service at `host:port`."""

    def __init__(self, address: str) -> None:
        raise NotImplementedError

    async def append(
        self,
        log: str,
        records: Sequence[bytes],
        *,
        timeout: Millis = 2 * SECOND,
    ) -> int:
        """Append in one step, return the offset of the first.

        Raise LogUnavailable.
        """
        raise NotImplementedError

    async def read(
        self,
        log: str,
        *,
        start: int,
        limit: int = 1000,
        wait: Millis = 0.0,
        timeout: Millis = 2 * SECOND,
    ) -> LogPage:
        """Return records from `start`, waiting up to `wait` for the first.

        `timeout` is counted on top of `wait`. Raise LogUnavailable.
        """
        raise NotImplementedError

    async def close(self) -> None:
        """Close every connection."""
        raise NotImplementedError
