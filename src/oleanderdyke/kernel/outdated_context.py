"""Know which kept context no engine can be using any more."""

from __future__ import annotations

from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.context_stores import VIEW_MAX_AGE

# The list of servers is read every half second, and a read may fail.
_MARGIN: Millis = 2 * SECOND


@dataclass(frozen=True, slots=True)
class _Settled:
    """Hold since when every engine has some weights or newer ones."""

    version: int
    since: Millis


class OutdatedContext:
    """Tell before which weights context may be freed.

    An engine fetches context only under the weights that it holds, and under
    a view that is no older than VIEW_MAX_AGE. So once no engine has held older
    weights for longer than that, no fetch under those can be running. An
    engine that comes back on older weights must not use stores at all.
    """

    def __init__(self) -> None:
        self._settled: dict[str, _Settled] = {}

    def update(
        self, model: str, newest: int, oldest: int | None, now: Millis
    ) -> None:
        """Learn the newest weights, and the oldest that an engine holds.

        `oldest` is None where that is not known now.
        """
        if oldest is None or oldest < newest:
            self._settled.pop(model, None)
            return
        known = self._settled.get(model)
        if known is None or known.version != newest:
            self._settled[model] = _Settled(newest, now)

    def list_oldest_usable(self, now: Millis) -> dict[str, int]:
        """Return for each model the weights before which all may be freed."""
        before = now - VIEW_MAX_AGE - _MARGIN
        return {
            model: settled.version
            for model, settled in self._settled.items()
            if settled.since < before
        }
