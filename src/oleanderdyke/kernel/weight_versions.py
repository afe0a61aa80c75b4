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
class _Model:
    """Hold one model's newest weights, and when older ones were the newest.

    `seen` has moments of our clock by version, `told` of the engines' clock.
    """

    newest: int = 0
    named: set[int] = field(default_factory=set)
    seen: dict[int, Millis] = field(default_factory=dict)
    told: dict[int, Millis] = field(default_factory=dict)


class WeightVersions:
    """Keep when each model's weights were last known to be the newest.

    No process is told when newer weights were named. But a read that showed
    none puts that moment after the read was asked for: a bound that holds
    whatever is slow, lost or starts anew. Without one, older weights may have
    been replaced long ago.
    """

    def __init__(self) -> None:
        self._models: dict[str, _Model] = {}
        self._read_at: Millis | None = None

    def record_read(self, asked_at: Millis) -> None:
        """Learn that all that was named before a moment has been read."""
        self._read_at = asked_at

    def add(self, model: str, version: int) -> bool:
        """Take newly named weights; tell whether they are newer."""
        known = self._models.setdefault(model, _Model())
        known.named.add(version)
        if version <= known.newest:
            return False
        if self._read_at is not None:
            known.seen[known.newest] = self._read_at
        known.newest = version
        return True

    def record_newest(self, model: str, version: int, at: Millis) -> None:
        """Learn from another process that weights were the newest then.

        `at` is a moment of the clock that all engines share.
        """
        known = self._models.setdefault(model, _Model())
        known.told[version] = max(known.told.get(version, at), at)

    def find_newest(self, model: str) -> int:
        """Return the newest weights of a model, 0 where none are named."""
        known = self._models.get(model)
        return 0 if known is None else known.newest

    def find_next(self, model: str, version: int) -> int:
        """Return the weights that were named next after others, or those."""
        known = self._models.get(model)
        if known is None:
            return version
        later = (each for each in known.named if each > version)
        return min(later, default=version)

    def list_newest(self) -> dict[str, int]:
        """Return the newest weights of each model that has some named."""
        return {
            model: known.newest
            for model, known in self._models.items()
            if known.newest
        }

    def find_replaced_at(
        self, model: str, held: int, now: Millis, clock_offset: Millis | None
    ) -> Millis | None:
        """Return before when weights newer than those held weren't named.

        None where the held ones are the newest, minus infinity where nothing
        is known. `clock_offset` is the most by which the engines' clock is
        ahead of the local one; reported times in the future are ignored.
        """
        known = self._models.get(model)
        if known is None or held >= known.newest:
            return None
        moments = [at for version, at in known.seen.items() if version <= held]
        if clock_offset is not None:
            moments += [
                at - clock_offset
                for version, at in known.told.items()
                if version <= held and at - clock_offset <= now
            ]
        return max(moments, default=-math.inf)

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
        replaced = self.find_replaced_at(model, held or 0, now, clock_offset)
        return replaced is None or now - replaced < within
