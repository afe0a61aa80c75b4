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
    """Time a planned stop; each time counts from the first signal.

    `accept` is how long new work is still taken after the announcement: an
    entry waits for the balancer's next probe, an agent takes nothing.
    """

    accept: Millis = 0.0
    announce: Millis = 1 * SECOND
    drain: Millis = 20 * SECOND
    limit: Millis = 90 * SECOND


ENTRY_DRAIN = DrainSettings(accept=2 * SECOND, announce=2 * SECOND)


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
    """Close what is open and leave the process; name what was cut off."""

    cut: tuple[str, ...] = ()


DrainAction: TypeAlias = Announce | HandOver | CutOff | Exit


class Drain:
    """Drive a planned stop by signals, work and time."""

    def __init__(self, settings: DrainSettings) -> None:
        self._settings = settings
        self.phase = DrainPhase.SERVING
        self._stopped_at: Millis = 0.0
        # Whether each running request can be resumed elsewhere.
        self._work: dict[str, bool] = {}
        self._handed: set[str] = set()
        self._cut: tuple[str, ...] = ()

    @property
    def is_leaving(self) -> bool:
        """Return whether a stop has been announced."""
        return self.phase is not DrainPhase.SERVING

    @property
    def running(self) -> tuple[str, ...]:
        """List the requests that have not ended."""
        return tuple(self._work)

    def has_work(self, request: str) -> bool:
        """Return whether a request of this name has not ended."""
        return request in self._work

    def accepts(self, now: Millis, duration: Millis | None = None) -> bool:
        """Return whether new work may start; `duration` is how long it lasts.

        What surely ends in time may start after the announcement too: while
        every process of a deployment is stopped in turn, callers have nowhere
        better to go.
        """
        if self.phase is DrainPhase.SERVING:
            return True
        if self.phase not in {DrainPhase.ANNOUNCED, DrainPhase.DRAINING}:
            return False
        if now < self._stopped_at + self._settings.accept:
            return True
        if duration is None:
            return False
        return now + duration < self._stopped_at + self._settings.drain

    def start_work(
        self,
        request: str,
        now: Millis,
        *,
        resumable: bool = False,
        duration: Millis | None = None,
    ) -> bool:
        """Count a request; False when no new work may start."""
        if not self.accepts(now, duration):
            return False
        self._work[request] = resumable
        return True

    def mark_resumable(
        self, request: str, now: Millis
    ) -> tuple[DrainAction, ...]:
        """Note that a running request can be resumed elsewhere."""
        if request not in self._work:
            return ()
        self._work[request] = True
        return self.tick(now)

    def mark_not_resumable(self, request: str) -> None:
        """Note that a request can't be resumed elsewhere, or not yet."""
        if request in self._work:
            self._work[request] = False
        self._handed.discard(request)

    def end_work(self, request: str, now: Millis) -> tuple[DrainAction, ...]:
        """Forget a request that has ended or was handed over."""
        self._work.pop(request, None)
        self._handed.discard(request)
        return self.tick(now)

    def signal(self, now: Millis) -> tuple[DrainAction, ...]:
        """Take a stop signal; the second one hurries."""
        if self.phase is DrainPhase.DONE:
            return ()
        if self.phase is not DrainPhase.SERVING:
            return self._hurry()
        self.phase = DrainPhase.ANNOUNCED
        self._stopped_at = now
        return (Announce(), *self.tick(now))

    def tick(self, now: Millis) -> tuple[DrainAction, ...]:
        """Act on the time that has passed."""
        if self.phase in {DrainPhase.SERVING, DrainPhase.DONE}:
            return ()
        elapsed = now - self._stopped_at
        if elapsed < self._announce_time():
            return ()
        if elapsed >= self._settings.limit:
            return self._hurry()
        return self._drain(elapsed)

    def next_time(self) -> Millis | None:
        """Return when `tick` is due next, or None."""
        times = {
            DrainPhase.ANNOUNCED: self._announce_time(),
            DrainPhase.DRAINING: self._settings.drain,
            DrainPhase.HANDING_OVER: self._settings.limit,
        }
        due = times.get(self.phase)
        return None if due is None else self._stopped_at + due

    def _announce_time(self) -> Millis:
        return max(self._settings.announce, self._settings.accept)

    def _drain(self, elapsed: Millis) -> tuple[DrainAction, ...]:
        if not self._work:
            return self._exit()
        if elapsed < self._settings.drain:
            self.phase = DrainPhase.DRAINING
            return ()
        self.phase = DrainPhase.HANDING_OVER
        ready = [
            request
            for request, resumable in self._work.items()
            if resumable and request not in self._handed
        ]
        self._handed.update(ready)
        return tuple(HandOver(request) for request in ready)

    def _hurry(self) -> tuple[DrainAction, ...]:
        self._cut = tuple(self._work)
        self._work.clear()
        if not self._cut:
            return self._exit()
        return (CutOff(self._cut), *self._exit())

    def _exit(self) -> tuple[DrainAction, ...]:
        self.phase = DrainPhase.DONE
        return (Exit(self._cut),)


def make_agent_drain(settings: DrainSettings | None = None) -> Drain:
    """Build the drain of an agent."""
    return Drain(settings or DrainSettings())
