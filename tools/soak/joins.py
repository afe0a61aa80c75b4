"""Servers of new versions join while one entry is out of step with the rest.

Streams begin elsewhere meanwhile; their clients break off and take them up at
that entry, just as it is back or some time later.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import anyio

from tools.soak.attempts import Attempt, Spell
from tools.soak.callers import Callers
from tools.soak.fleet import EntryProcess
from tools.soak.links import Direction, Link
from tools.soak.plan import Fault
from tools.soak.service import Service
from tools.soak.streams import find_decided

# Seconds after the entry is back. The first is sent while it is still away.
_TAKE_UPS = (*[-0.05] * 4, 0.1, 0.5, 1.0, 2.0, 5.0)
_STREAMS_EACH = 6
_LEAVE_AFTER = 2
_JOIN_SECONDS = 0.5
_SERVERS = 2
# So long before the entry is back streams begin.
_BEGIN_SECONDS = 1.2
_DRAIN_SECONDS = 1.0
_AWAY_SECONDS = 0.4
_WAYS = (
    (Direction.FORTH,),
    (Direction.BACK,),
    (Direction.FORTH, Direction.BACK),
)
_REFUSALS = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class LateShares:
    """Count streams taken up at an entry that was out of step.

    `refused` are those that a server of their version could have gone on with.
    """

    taken_up: int = 0
    resumed: int = 0
    refused: int = 0

    def describe(self) -> str:
        """Return the counts as a part of a line."""
        return (
            f'{self.resumed}/{self.taken_up} went on, '
            f'{self.refused} refused with a server of their version'
        )


@dataclass
class Joins:
    """Let versions join in series while an entry is frozen or cut off.

    `link` leads from the first entry to the store.
    """

    service: Service
    callers: Callers
    link: Link
    now: Callable[[], float]
    _late: list[tuple[Attempt, str]] = field(default_factory=list)

    async def freeze(self, fault: Fault) -> None:
        """Freeze the first entry; the store may be away a little longer.

        Requests of new connections are read after a list that lies ready.
        """
        process = self._find_entry()
        if process is None:
            return
        frozen = process

        async def freeze(seconds: float) -> None:
            spell = Spell(self.now())
            frozen.life.freezes.append(spell)
            with self.link.holding(Direction.FORTH, Direction.BACK):
                await frozen.freeze(seconds)
                await anyio.sleep(_AWAY_SECONDS * fault.slot)
            spell.end = self.now()

        await self._run(process, fault, freeze)

    async def cut(self, fault: Fault) -> None:
        """Cut the first entry from the store, one way or both."""
        process = self._find_entry()
        if process is None:
            return
        life = process.life

        async def hold(seconds: float) -> None:
            # Nothing is expected of an entry out of touch.
            spell = Spell(self.now())
            life.freezes.append(spell)
            with self.link.holding(*_WAYS[fault.slot % len(_WAYS)]):
                await anyio.sleep(seconds)
            spell.end = self.now()

        await self._run(process, fault, hold)

    def describe(self) -> str:
        """Return what became of the streams at the entry out of step."""
        named, unnamed = (
            self.count_shares(is_named=each).describe()
            for each in (True, False)
        )
        return f'named: {named}; unnamed: {unnamed}'

    def count_shares(self, *, is_named: bool) -> LateShares:
        """Count streams whose clients told what began them, or did not."""
        late = [each for each in self._late if each[0].is_named is is_named]
        refused = [each for each in late if each[0].status in _REFUSALS]
        return LateShares(
            len(late),
            sum(attempt.goes_on for attempt, _ in late),
            sum(self._is_served(*each) for each in refused),
        )

    def _find_entry(self) -> EntryProcess | None:
        process = self.callers.fleet.slots[0]
        return process if process is not None and process.is_alive else None

    async def _run(
        self,
        process: EntryProcess,
        fault: Fault,
        disturb: Callable[[float], Coroutine[Any, Any, None]],
    ) -> None:
        back = self.now() + fault.duration
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(disturb, fault.duration)
            for _ in range(fault.count):
                await anyio.sleep(_JOIN_SECONDS)
                await self.service.start(_SERVERS, self.service.make_version())
            await anyio.sleep(back - _BEGIN_SECONDS - self.now())
            for after in _TAKE_UPS:
                for number in range(_STREAMS_EACH):
                    tasks.start_soon(
                        self._take_up, process, back + after, number
                    )
        await self.service.retire_old(_DRAIN_SECONDS)

    async def _take_up(
        self, process: EntryProcess, at: float, number: int
    ) -> None:
        """Begin a stream at another entry, and take it up at this one."""
        stream = self.callers.make_late_stream()
        stream.leave_after = _LEAVE_AFTER
        # Some clients don't tell which request began their stream.
        stream.is_named = bool(number % 2)
        while not stream.events and self.now() < at:
            await self.callers.try_stream(stream, self._choose_other(process))
        stream.leave_after = 0
        await anyio.sleep(at - self.now())
        if not stream.events or stream.is_done:
            return
        attempt = await self.callers.try_stream(stream, process)
        if attempt is not None and attempt.after:
            self._late.append((attempt, stream.events[0].version))
        await self.callers.follow(stream)

    def _choose_other(self, process: EntryProcess) -> EntryProcess | None:
        alive = self.callers.fleet.list_alive()
        others = [each for each in alive if each is not process]
        return self.callers.random.choice(others) if others else None

    def _is_served(self, attempt: Attempt, version: str) -> bool:
        history, decided = self.service.history, find_decided(attempt)
        return history.count(version, attempt.sent, decided) > 0
