"""Bring the configuration from the log and from peers into a process."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

from oleanderdyke.clock import HOUR, SECOND, Millis
from oleanderdyke.kernel.catalog import Catalog
from oleanderdyke.links.messages import (
    ConfigurationDifference,
    ConfigurationRequest,
)


class Record(Protocol):
    """See one record of the log."""

    @property
    def offset(self) -> int:
        """Return the place in the log."""

    @property
    def at(self) -> Millis:
        """Return the log's wall time of the append."""

    @property
    def data(self) -> bytes:
        """Return the encoded record."""


class Page(Protocol):
    """See a page read from the log."""

    @property
    def records(self) -> Sequence[Record]:
        """Return records in offset order."""

    @property
    def first(self) -> int:
        """Return the oldest offset that the log keeps."""

    @property
    def end(self) -> int:
        """Return the offset of the next append."""


@dataclass(frozen=True, slots=True)
class ReaderSettings:
    """Pace the spreading of configuration."""

    ask_after: Millis = 0.0
    ask_again: Millis = 2 * SECOND
    stale_after: Millis = 10 * SECOND
    snapshot_records: int = 2_000
    snapshot_age: Millis = 6 * HOUR


@dataclass(frozen=True, slots=True)
class Readiness:
    """Tell whether a process has its configuration, and why not."""

    ready: bool
    reason: str = ''


class ConfigurationReader:
    """Feed a catalog, never backwards and never over a gap."""

    catalog: Catalog

    def __init__(
        self,
        random: Random,
        settings: ReaderSettings | None = None,
        catalog: Catalog | None = None,
    ) -> None:
        raise NotImplementedError

    @property
    def offset(self) -> int:
        """Return the offset of the last applied record, -1 for none."""
        raise NotImplementedError

    @property
    def log_position(self) -> int:
        """Return the offset from which to read the log next."""
        raise NotImplementedError

    def on_page(self, page: Page, now: Millis) -> bool:
        """Take a page of the log; tell whether the offset moved."""
        raise NotImplementedError

    def on_heard(
        self, peer: str, offset: int, now: Millis
    ) -> ConfigurationRequest | None:
        """Learn a peer's offset; return what to ask this peer, if anything."""
        raise NotImplementedError

    def on_peer_gone(self, peer: str) -> None:
        """Forget a peer whose link has ended."""
        raise NotImplementedError

    def on_difference(
        self, peer: str, message: ConfigurationDifference, now: Millis
    ) -> bool:
        """Take a peer's difference; tell whether the offset moved."""
        raise NotImplementedError

    def answer(
        self, request: ConfigurationRequest
    ) -> Iterator[ConfigurationDifference]:
        """Build the messages that bring a peer up to date, one at a time."""
        raise NotImplementedError

    def readiness(self, now: Millis) -> Readiness:
        """Tell whether the configuration may be served from."""
        raise NotImplementedError

    def is_snapshot_due(self, wall: Millis) -> bool:
        """Tell whether the log needs a new snapshot from somebody."""
        raise NotImplementedError
