"""Announced weight versions, and which older ones may still serve."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from oleanderdyke.clock import SECOND, Millis

# Requests are not sent to old weights within this time of their expiry, since
# a request waits in the engine's queue before its first token. First tokens
# took longer than this only where engines had been lost.
FIRST_TOKEN_MARGIN: Millis = 2 * SECOND
# Requests on old weights that still have no first token this long before the
# expiry are cancelled. The margin covers the 50 ms check interval and the
# network latency of the cancel.
CANCEL_MARGIN: Millis = 250.0


@dataclass(slots=True)
class _ModelVersions:
    """Hold the announced versions of one model.

    `seen_newest_at` maps a version to the last time at which this process read
    it as the newest (local clock); `reported_newest_at` does so for times that
    other processes reported (engine clock).
    """

    newest: int = 0
    versions: set[int] = field(default_factory=set)
    seen_newest_at: dict[int, Millis] = field(default_factory=dict)
    reported_newest_at: dict[int, Millis] = field(default_factory=dict)


class WeightVersions:
    """Keep when each weight version was last known to be the newest.

    Announcements carry no time. A read that returned no newer version proves
    that any replacement came after that read was requested; this lower bound
    holds regardless of delays, losses and restarts. Without such a read, older
    weights may have been replaced at any time in the past.
    """

    def __init__(self) -> None:
        self._models: dict[str, _ModelVersions] = {}
        self._last_read_at: Millis | None = None

    def record_read(self, asked_at: Millis) -> None:
        """Record that all versions announced by `asked_at` have been read."""
        self._last_read_at = asked_at

    def add(self, model: str, version: int) -> bool:
        """Add an announced version; return whether it is the newest so far."""
        state = self._models.setdefault(model, _ModelVersions())
        state.versions.add(version)
        if version <= state.newest:
            return False
        if self._last_read_at is not None:
            state.seen_newest_at[state.newest] = self._last_read_at
        state.newest = version
        return True

    def record_newest(self, model: str, version: int, at: Millis) -> None:
        """Record another process's report that a version was newest at `at`.

        `at` is a time on the clock that all engines share.
        """
        state = self._models.setdefault(model, _ModelVersions())
        state.reported_newest_at[version] = max(
            state.reported_newest_at.get(version, at), at
        )

    def find_newest(self, model: str) -> int:
        """Return the newest version of a model, 0 if none was announced."""
        state = self._models.get(model)
        return 0 if state is None else state.newest

    def find_next(self, model: str, version: int) -> int:
        """Return the next announced version after `version`, or itself."""
        state = self._models.get(model)
        if state is None:
            return version
        later = (each for each in state.versions if each > version)
        return min(later, default=version)

    def list_newest(self) -> dict[str, int]:
        """Return the newest version of each model with announced versions."""
        return {
            model: state.newest
            for model, state in self._models.items()
            if state.newest
        }

    def find_replaced_at(
        self, model: str, held: int, now: Millis, clock_offset: Millis | None
    ) -> Millis | None:
        """Return the earliest time at which held weights can be replaced.

        None if the held version is the newest, minus infinity if no bound is
        known. `clock_offset` is the most by which the engines' clock is ahead
        of the local one; reported times in the future are ignored.
        """
        state = self._models.get(model)
        if state is None or held >= state.newest:
            return None
        times = [
            at
            for version, at in state.seen_newest_at.items()
            if version <= held
        ]
        if clock_offset is not None:
            times += [
                at - clock_offset
                for version, at in state.reported_newest_at.items()
                if version <= held and at - clock_offset <= now
            ]
        return max(times, default=-math.inf)

    def may_serve(
        self,
        model: str,
        held: int | None,
        *,
        within: Millis,
        now: Millis,
        clock_offset: Millis | None,
    ) -> bool:
        """Return whether held weights were replaced less than `within` ago.

        `held` is None if the engine does not report its version; it then counts
        as the oldest.
        """
        if math.isinf(within):
            return True
        replaced_at = self.find_replaced_at(model, held or 0, now, clock_offset)
        return replaced_at is None or now - replaced_at < within
