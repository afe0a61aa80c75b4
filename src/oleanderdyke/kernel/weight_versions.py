"""Know which weights are named, and which older ones may still serve."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from oleanderdyke.clock import SECOND, Millis

# Between the send of a request and its first token lies the engine's queue:
# so long before the time of old weights is over, nothing more is sent to them.
# First tokens took longer than this only where engines had been lost.
FIRST_TOKEN_MARGIN: Millis = 2 * SECOND
# What waits for its first token until then is taken back. A check each 50 ms
# and a cancel that crosses the network have to fit.
CANCEL_MARGIN: Millis = 250.0


@dataclass(slots=True)
class _ModelVersions:
    """Hold one model's newest weights, and when older ones were the newest.

    `seen` has moments of our clock by version, `told` of the engines' clock.
    """

    newest: int = 0
    versions: set[int] = field(default_factory=set)
    seen_newest_at: dict[int, Millis] = field(default_factory=dict)
    reported_newest_at: dict[int, Millis] = field(default_factory=dict)


class WeightVersions:
    """Keep when each model's weights were last known to be the newest.

    No process is told when newer weights were named. But a read that showed
    none puts that moment after the read was asked for: a bound that holds
    whatever is slow, lost or starts anew. Without one, older weights may have
    been replaced long ago.
    """

    def __init__(self) -> None:
        self._models: dict[str, _ModelVersions] = {}
        self._last_read_at: Millis | None = None

    def record_read(self, asked_at: Millis) -> None:
        """Learn that all that was named before a moment has been read."""
        self._last_read_at = asked_at

    def add(self, model: str, version: int) -> bool:
        """Take newly named weights; tell whether they are newer."""
        state = self._models.setdefault(model, _ModelVersions())
        state.versions.add(version)
        if version <= state.newest:
            return False
        if self._last_read_at is not None:
            state.seen_newest_at[state.newest] = self._last_read_at
        state.newest = version
        return True

    def record_newest(self, model: str, version: int, at: Millis) -> None:
        """Learn from another process that weights were the newest then.

        `at` is a moment of the clock that all engines share.
        """
        state = self._models.setdefault(model, _ModelVersions())
        state.reported_newest_at[version] = max(
            state.reported_newest_at.get(version, at), at
        )

    def find_newest(self, model: str) -> int:
        """Return the newest weights of a model, 0 where none are named."""
        state = self._models.get(model)
        return 0 if state is None else state.newest

    def find_next(self, model: str, version: int) -> int:
        """Return the weights that were named next after others, or those."""
        state = self._models.get(model)
        if state is None:
            return version
        later = (each for each in state.versions if each > version)
        return min(later, default=version)

    def list_newest(self) -> dict[str, int]:
        """Return the newest weights of each model that has some named."""
        return {
            model: state.newest
            for model, state in self._models.items()
            if state.newest
        }

    def find_replaced_at(
        self, model: str, held: int, now: Millis, clock_offset: Millis | None
    ) -> Millis | None:
        """Return before when weights newer than those held weren't named.

        None where the held ones are the newest, minus infinity where nothing
        is known. `clock_offset` is the most by which the engines' clock is
        ahead of the local one; reported times in the future are ignored.
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
        """Return whether held weights were replaced at most `within` ago.

        Weights that an engine doesn't tell count as the oldest.
        """
        if math.isinf(within):
            return True
        replaced_at = self.find_replaced_at(model, held or 0, now, clock_offset)
        return replaced_at is None or now - replaced_at < within
