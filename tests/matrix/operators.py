"""Simulate operators that publish configuration changes via an entry."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from oleanderdyke.clients.log import LogUnavailable
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import Ran
from oleanderdyke.kernel.catalog import Outcome
from oleanderdyke.kernel.objects import Change, ObjectKind
from oleanderdyke.kernel.records import encode_change
from tests.matrix.entry import LogPort, ModelEntry
from tests.matrix.loop import drive
from tests.matrix.world import CHAT, ENTRIES, SERVICE, World

_POLL: Millis = 250.0
_TIMEOUT: Millis = 2 * SECOND
# An operator without a response appends the same record again.
_REPEAT: Millis = 12 * SECOND


class Operator:
    """Publish one change and track its result."""

    def __init__(
        self,
        world: World,
        name: str,
        *,
        version: str = 'v2',
        first: int = 0,
    ) -> None:
        self.world = world
        self.name = name
        self.change = Change(
            f'by-{name}',
            name,
            ObjectKind.SERVICE,
            CHAT,
            1,
            replace(SERVICE, version=version),
        )
        self.found: Outcome | None = None
        self.outcome = ''
        self.done = False
        self._entry_index = first
        self._sent_at: Millis = -_REPEAT
        world.callers.append(self)
        world.operators.append(self)

    def begin(self) -> None:
        """Schedule the first attempt to publish."""
        self.world.outside.after(0, self._poll)

    def on_process_killed(self, process: object) -> None:
        """Do nothing: the next poll uses another entry."""

    def _poll(self) -> None:
        entry = self._choose()
        if entry is not None:
            self.found = entry.core.catalog.find_outcome(self.change.record_id)
            if self.found is not None:
                self.outcome = type(self.found).__name__
                self.done = True
                return
            if self.world.now - self._sent_at >= _REPEAT:
                self._sent_at = self.world.now
                entry.do(lambda: drive(self._publish(entry)))
        self.world.outside.after(_POLL, self._poll)

    def _choose(self) -> ModelEntry | None:
        for step in range(len(ENTRIES)):
            name = ENTRIES[(self._entry_index + step) % len(ENTRIES)]
            entry = self.world.entries[name]
            if entry.ready:
                return entry
        return None

    async def _publish(self, entry: ModelEntry) -> None:
        port: Any = LogPort(entry)
        record = encode_change(self.change)
        try:
            await port.append('configuration', [record], timeout=_TIMEOUT)
        except LogUnavailable as error:
            if error.ran is Ran.NO:
                self._sent_at = -_REPEAT
