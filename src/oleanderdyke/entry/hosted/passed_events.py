"""Which events of a stream an attempt has passed on."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from oleanderdyke.logs import LogValue


@dataclass(slots=True)
class PassedEvents:
    """Count numbered events, and keep the first and the last number."""

    first: int | None = None
    last: int | None = None
    count: int = 0

    def record(self, number: int | None) -> None:
        """Add an event, or a part without a number of its own."""
        if number is None:
            return
        if self.first is None:
            self.first = number
        self.last = number
        self.count += 1

    def describe(self) -> Mapping[str, LogValue]:
        """Return the fields of a log line; none without a numbered event."""
        if self.first is None:
            return {}
        return {'events': f'{self.first}-{self.last}', 'count': self.count}
