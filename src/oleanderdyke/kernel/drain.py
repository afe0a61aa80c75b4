"""Stop a process without cutting off a request."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TypeAlias

from oleanderdyke.clock import SECOND, Millis


class DrainPhase(enum.StrEnum):
    """Name the phase of a planned stop."""

    SERVING = 'serving'
    ANNOUNCED = 'announced'
    DRAINING = 'draining'
    HANDING_OVER = 'handing_over'
    DONE = 'done'


@dataclass(frozen=True, slots=True)
class DrainSettings:
    """Time a planned stop.

    `accept` is how long new work is still taken after the announcement: an
    entry waits for the balancer's next probe, an agent takes nothing.
    """

    accept: Millis = 0.0
    announce: Millis = 1 * SECOND
    drain: Millis = 20 * SECOND
    limit: Millis = 90 * SECOND


@dataclass(frozen=True, slots=True)
class Announce:
    """Tell the balancer `not ready`, or every link LEAVING."""


@dataclass(frozen=True, slots=True)
class HandOver:
    """Let a stream go on through its resume token, then end it here."""

    request: str


@dataclass(frozen=True, slots=True)
class CutOff:
    """End the requests at once and log each of them."""

    requests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Exit:
    """Close what is open and leave the process."""

    cut: tuple[str, ...] = ()


DrainAction: TypeAlias = Announce | HandOver | CutOff | Exit


class Drain:
    """Drive a planned stop by signals, work and time."""

    def __init__(self, settings: DrainSettings) -> None:
        self._settings = settings
        self.phase = DrainPhase.SERVING

    @property
    def is_leaving(self) -> bool:
        """Tell whether a stop has been announced."""
        return self.phase is not DrainPhase.SERVING

    def start_work(
        self, request: str, now: Millis, *, resumable: bool = False
    ) -> bool:
        """Count a request; False when no new work may start."""
        raise NotImplementedError

    def mark_resumable(self, request: str) -> None:
        """Note that a running request can be resumed elsewhere."""
        raise NotImplementedError

    def end_work(self, request: str, now: Millis) -> tuple[DrainAction, ...]:
        """Forget a request that has ended or was handed over."""
        raise NotImplementedError

    def signal(self, now: Millis) -> tuple[DrainAction, ...]:
        """Take a stop signal; the second one hurries."""
        raise NotImplementedError

    def tick(self, now: Millis) -> tuple[DrainAction, ...]:
        """Act on the time that has passed."""
        raise NotImplementedError

    def next_time(self) -> Millis | None:
        """Return when `tick` is due next, or None."""
        raise NotImplementedError


def make_entry_drain() -> Drain:
    """Build the drain of an entry."""
    return Drain(DrainSettings(accept=2 * SECOND, announce=2 * SECOND))


def make_agent_drain() -> Drain:
    """Build the drain of an agent."""
    return Drain(DrainSettings())
