"""Stop a process gracefully, without aborting running requests."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TypeAlias

from oleanderdyke.clock import SECOND, Millis


class DrainPhase(enum.StrEnum):
    """List the phases of a graceful stop."""

    SERVING = 'serving'
    ANNOUNCED = 'announced'
    DRAINING = 'draining'
    HANDING_OVER = 'handing_over'
    DONE = 'done'


@dataclass(frozen=True, slots=True)
class DrainSettings:
    """Set the times of a graceful stop, each counted from the first signal.

    `accept` is how long new requests are still accepted, `announce` the
    minimum time before the exit, `drain` when streams are handed over, and
    `limit` when the remaining requests are aborted. An entry accepts requests
    until the load balancer's next probe, an agent accepts none.
    """

    accept: Millis = 0.0
    announce: Millis = 1 * SECOND
    drain: Millis = 20 * SECOND
    limit: Millis = 90 * SECOND


ENTRY_DRAIN = DrainSettings(accept=2 * SECOND, announce=2 * SECOND)


@dataclass(frozen=True, slots=True)
class Announce:
    """Report `not ready` to the load balancer, or LEAVING on every link."""


@dataclass(frozen=True, slots=True)
class HandOver:
    """End a stream here, so that it is resumed elsewhere by its token."""

    request: str


@dataclass(frozen=True, slots=True)
class CutOff:
    """Abort the requests at once and log each of them."""

    requests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Exit:
    """Close all connections and exit; `cut` lists the aborted requests."""

    cut: tuple[str, ...] = ()


DrainAction: TypeAlias = Announce | HandOver | CutOff | Exit


class Drain:
    """Decide the actions of a graceful stop from signals, requests and time."""

    def __init__(self, settings: DrainSettings) -> None:
        self._settings = settings
        self.phase = DrainPhase.SERVING
        self._stopped_at: Millis = 0.0
        # Whether each running request can be resumed elsewhere.
        self._requests: dict[str, bool] = {}
        self._handed_over: set[str] = set()
        self._cut: tuple[str, ...] = ()

    @property
    def is_leaving(self) -> bool:
        """Return whether a stop has been announced."""
        return self.phase is not DrainPhase.SERVING

    @property
    def running(self) -> tuple[str, ...]:
        """Return the names of the requests that have not ended."""
        return tuple(self._requests)

    def has_work(self, request: str) -> bool:
        """Return whether the request is running."""
        return request in self._requests

    def accepts(self, now: Millis, deadline: Millis | None = None) -> bool:
        """Return whether a new request may start.

        `deadline` is the time at which the request ends at the latest, if there
        is one. A request that ends before streams are handed over may start
        after `accept` too: during a rolling stop callers find no better
        process. How long others took is no bound, as servers may slow down.
        """
        if self.phase is DrainPhase.SERVING:
            return True
        if self.phase not in {DrainPhase.ANNOUNCED, DrainPhase.DRAINING}:
            return False
        if now < self._stopped_at + self._settings.accept:
            return True
        if deadline is None:
            return False
        return deadline < self._stopped_at + self._settings.drain

    def start_work(
        self,
        request: str,
        now: Millis,
        *,
        resumable: bool = False,
        deadline: Millis | None = None,
    ) -> bool:
        """Add a running request; return False if no new one may start."""
        if not self.accepts(now, deadline):
            return False
        self._requests[request] = resumable
        return True

    def mark_resumable(
        self, request: str, now: Millis
    ) -> tuple[DrainAction, ...]:
        """Mark a running request as resumable by another process."""
        if request not in self._requests:
            return ()
        self._requests[request] = True
        return self.tick(now)

    def mark_not_resumable(self, request: str) -> None:
        """Mark a running request as not, or not yet, resumable elsewhere."""
        if request in self._requests:
            self._requests[request] = False
        self._handed_over.discard(request)

    def end_work(self, request: str, now: Millis) -> tuple[DrainAction, ...]:
        """Remove a request that has ended or was handed over."""
        self._requests.pop(request, None)
        self._handed_over.discard(request)
        return self.tick(now)

    def signal(self, now: Millis) -> tuple[DrainAction, ...]:
        """Start the stop, or go on with one that has begun.

        Signals may come in series: the platform ends a process itself once its
        grace time is over.
        """
        if self.is_leaving:
            return self.tick(now)
        self.phase = DrainPhase.ANNOUNCED
        self._stopped_at = now
        return (Announce(), *self.tick(now))

    def interrupt(self, now: Millis) -> tuple[DrainAction, ...]:
        """Start the stop, or abort all running requests if it has begun."""
        if self.phase is DrainPhase.DONE:
            return ()
        return self._stop_now() if self.is_leaving else self.signal(now)

    def tick(self, now: Millis) -> tuple[DrainAction, ...]:
        """Return the actions that are due at the given time."""
        if self.phase in {DrainPhase.SERVING, DrainPhase.DONE}:
            return ()
        elapsed = now - self._stopped_at
        if elapsed < self._get_announce_time():
            return ()
        if elapsed >= self._settings.limit:
            return self._stop_now()
        return self._drain(elapsed)

    def next_time(self) -> Millis | None:
        """Return the time of the next `tick`, None if no time is pending."""
        times = {
            DrainPhase.ANNOUNCED: self._get_announce_time(),
            DrainPhase.DRAINING: self._settings.drain,
            DrainPhase.HANDING_OVER: self._settings.limit,
        }
        due = times.get(self.phase)
        return None if due is None else self._stopped_at + due

    def _get_announce_time(self) -> Millis:
        return max(self._settings.announce, self._settings.accept)

    def _drain(self, elapsed: Millis) -> tuple[DrainAction, ...]:
        if not self._requests:
            return self._exit()
        if elapsed < self._settings.drain:
            self.phase = DrainPhase.DRAINING
            return ()
        self.phase = DrainPhase.HANDING_OVER
        ready = [
            request
            for request, resumable in self._requests.items()
            if resumable and request not in self._handed_over
        ]
        self._handed_over.update(ready)
        return tuple(HandOver(request) for request in ready)

    def _stop_now(self) -> tuple[DrainAction, ...]:
        self._cut = tuple(self._requests)
        self._requests.clear()
        if not self._cut:
            return self._exit()
        return (CutOff(self._cut), *self._exit())

    def _exit(self) -> tuple[DrainAction, ...]:
        self.phase = DrainPhase.DONE
        return (Exit(self._cut),)


def make_agent_drain(settings: DrainSettings | None = None) -> Drain:
    """Return a drain with the defaults of an agent, or other settings."""
    return Drain(settings or DrainSettings())
