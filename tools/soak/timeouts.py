"""The timeouts that may be in force while the configuration changes."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from tools.soak.configuration import Timeouts

# An entry may use a configuration for this long after the next one.
_APPLY_SECONDS = 5.0


@dataclass
class TimeoutHistory:
    """Keep every configuration's timeouts and when they were published."""

    _published: list[tuple[float, Timeouts]] = field(default_factory=list)

    def record(self, timeouts: Timeouts, now: float) -> None:
        """Record a configuration that the store has taken."""
        self._published.append((now, timeouts))

    @property
    def newest(self) -> Timeouts:
        """Return the timeouts published last."""
        return self._published[-1][1]

    def find_call(self, now: float) -> float:
        """Return the shortest timeout of calls that may be in force."""
        return min(each.call for each in self._list_possible(now))

    def find_stream(self, now: float) -> float:
        """Return the shortest timeout of streams that may be in force."""
        return min(each.stream for each in self._list_possible(now))

    def _list_possible(self, now: float) -> Iterator[Timeouts]:
        for number, (_, timeouts) in enumerate(self._published):
            later = self._published[number + 1 :]
            if not later or later[0][0] + _APPLY_SECONDS > now:
                yield timeouts
