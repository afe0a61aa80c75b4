"""Weight versions whose stored context no engine can still use."""

from __future__ import annotations

from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.context_stores import VIEW_MAX_AGE

# The list of servers is read every 0.5 s, and reads may fail.
_MARGIN: Millis = 2 * SECOND


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
