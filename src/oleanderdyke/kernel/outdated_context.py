"""Weight versions whose stored context no engine can still use."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.context_stores import VIEW_MAX_AGE

# The list of servers is read every 0.5 s, and reads may fail.
_MARGIN: Millis = 2 * SECOND
# Random delay so that entries don't all free the same parts at once.
_JITTER: Millis = 1.5 * SECOND
# Events of freed parts arrive late. Until then the parts still look outdated.
_CONFIRMATION_TIME: Millis = 2 * SECOND
_RETRY_PAUSE: Millis = 1 * SECOND
_MAX_RETRY_PAUSE: Millis = 15 * SECOND


@dataclass(frozen=True, slots=True)
class _Settled:
    """Hold since when all engines hold at least this version."""

    version: int
    since: Millis


class OutdatedContext:
    """Find the version below which stored context may be freed.

    An engine fetches context only for the weights that it holds, and by a view
    no older than VIEW_MAX_AGE. Once no engine has held older weights for longer
    than that, no fetch for them can be running. An engine that comes back with
    older weights must not use stores at all.
    """

    def __init__(self) -> None:
        self._settled: dict[str, _Settled] = {}

    def update(
        self, model: str, newest: int, oldest: int | None, now: Millis
    ) -> None:
        """Update the newest version, and the oldest that any engine holds.

        `oldest` is None if it is currently unknown.
        """
        if oldest is None or oldest < newest:
            self._settled.pop(model, None)
            return
        current = self._settled.get(model)
        if current is None or current.version != newest:
            self._settled[model] = _Settled(newest, now)

    def list_oldest_usable(self, now: Millis) -> dict[str, int]:
        """Return the oldest version of each model that may still be in use."""
        cutoff = now - VIEW_MAX_AGE - _MARGIN
        return {
            model: settled.version
            for model, settled in self._settled.items()
            if settled.since < cutoff
        }


class FreeSchedule:
    """Choose when to free the outdated parts of one store.

    A call that got no answer may have freed them, so the next one waits until
    the store has reported the parts as removed.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._due_at: Millis | None = None
        self._retry_pause = _RETRY_PAUSE

    def is_due(self, now: Millis, *, has_outdated: bool) -> bool:
        """Return whether to free parts now."""
        if not has_outdated:
            self._due_at = None
            self._retry_pause = _RETRY_PAUSE
            return False
        if self._due_at is None:
            self._due_at = now + self._random.uniform(0, _JITTER)
        return now >= self._due_at

    def record_answer(self, now: Millis, *, is_freed: bool) -> None:
        """Wait for the events of freed parts; try again if it was refused."""
        if not is_freed:
            self.record_failure(now)
            return
        self._due_at = now + _CONFIRMATION_TIME + self._draw_jitter()

    def record_failure(self, now: Millis) -> None:
        """Try again after a pause that doubles with each failure."""
        self._due_at = now + self._retry_pause + self._draw_jitter()
        self._retry_pause = min(2 * self._retry_pause, _MAX_RETRY_PAUSE)

    def _draw_jitter(self) -> Millis:
        return self._random.uniform(0, _JITTER)
