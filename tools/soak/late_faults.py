"""Cause the faults of server processes and links."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator, Mapping
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path

import anyio

from tests.processes import Child
from tools.soak.backend_process import Conduct
from tools.soak.backends import Backends
from tools.soak.links import Direction, Link
from tools.soak.plan import Fault, FaultKind

_BOTH = (Direction.FORTH, Direction.BACK)
_DELAY_SECONDS = 0.4
_RESET_PAUSE = 0.3
_TENTHS = 10
# Ends by itself, also if the soak is killed.
_COMPUTE = """
import sys, time
end = time.monotonic() + float(sys.argv[1])
while time.monotonic() < end:
    pass
"""

Cause = Callable[[Fault], Awaitable[None]]


@dataclass
class LateFaults:
    """Disturb servers, their links and the link to the store."""

    backends: Backends
    store_link: Link

    def list_handlers(self) -> Mapping[FaultKind, Cause]:
        """Map each kind of fault to what causes it."""
        return {
            FaultKind.SERVER_PAUSED: self._pause_one,
            FaultKind.SERVERS_PAUSED: self._pause_all,
            FaultKind.SERVER_KILLED: self._restart,
            FaultKind.SERVERS_REFUSE: self._make_conduct(Conduct.REFUSE),
            FaultKind.SERVERS_RESET: self._make_conduct(Conduct.RESET),
            FaultKind.LINK_SILENT: self._make_hold(*_BOTH),
            FaultKind.LINK_CUT_FORTH: self._make_hold(Direction.FORTH),
            FaultKind.LINK_CUT_BACK: self._make_hold(Direction.BACK),
            FaultKind.LINK_DELAYED: self._delay,
            FaultKind.LINK_RESET: self._reset,
            FaultKind.LINKS_SILENT: self._silence_all,
            FaultKind.LINK_PARTLY_SILENT: self._silence_some,
            FaultKind.LINKS_PARTLY_SILENT: self._silence_some_of_all,
            FaultKind.LINK_CLOSES_EARLY: self._close_early,
            FaultKind.LINKS_CLOSE_EARLY: self._close_all_early,
            FaultKind.MACHINE_BUSY: self._keep_busy,
            FaultKind.STORE_LINK_SILENT: self._silence_store,
            FaultKind.STORE_LINK_RESET: self._reset_store,
        }

    async def _pause_one(self, fault: Fault) -> None:
        member = self.backends.find(fault.slot)
        await self.backends.pause([member], fault.duration)

    async def _pause_all(self, fault: Fault) -> None:
        await self.backends.pause(self.backends.members, fault.duration)

    async def _restart(self, fault: Fault) -> None:
        await self.backends.restart(
            self.backends.find(fault.slot), fault.duration
        )

    def _make_conduct(self, conduct: Conduct) -> Cause:
        async def behave(fault: Fault) -> None:
            with self.backends.behaving(conduct):
                await anyio.sleep(fault.duration)

        return behave

    def _make_hold(self, *directions: Direction) -> Cause:
        async def hold(fault: Fault) -> None:
            link = self.backends.find(fault.slot).link
            with link.holding(*directions):
                await anyio.sleep(fault.duration)

        return hold

    async def _delay(self, fault: Fault) -> None:
        with self.backends.find(fault.slot).link.delaying(_DELAY_SECONDS):
            await anyio.sleep(fault.duration)

    async def _reset(self, fault: Fault) -> None:
        for _ in range(fault.count):
            self.backends.find(fault.slot).link.reset()
            await anyio.sleep(_RESET_PAUSE)

    async def _silence_all(self, fault: Fault) -> None:
        with ExitStack() as stack:
            for member in self.backends.members:
                stack.enter_context(member.link.holding(*_BOTH))
            await anyio.sleep(fault.duration)

    async def _silence_some(self, fault: Fault) -> None:
        link = self.backends.find(fault.slot).link
        with link.holding_some(fault.count / _TENTHS):
            await anyio.sleep(fault.duration)

    async def _silence_some_of_all(self, fault: Fault) -> None:
        with ExitStack() as stack:
            for member in self.backends.members:
                stack.enter_context(
                    member.link.holding_some(fault.count / _TENTHS)
                )
            await anyio.sleep(fault.duration)

    async def _close_early(self, fault: Fault) -> None:
        with self.backends.find(fault.slot).link.closing_early():
            await anyio.sleep(fault.duration)

    async def _close_all_early(self, fault: Fault) -> None:
        with ExitStack() as stack:
            for member in self.backends.members:
                stack.enter_context(member.link.closing_early())
            await anyio.sleep(fault.duration)

    async def _keep_busy(self, fault: Fault) -> None:
        """Run processes that compute, so that all others get turns late."""
        with ExitStack() as stack:
            for _ in range(fault.count):
                stack.enter_context(
                    _computing(self.backends.directory, fault.duration)
                )
            await anyio.sleep(fault.duration)

    async def _silence_store(self, fault: Fault) -> None:
        with self.store_link.holding(*_BOTH):
            await anyio.sleep(fault.duration)

    async def _reset_store(self, _fault: Fault) -> None:
        self.store_link.reset()


@contextmanager
def _computing(directory: Path, seconds: float) -> Iterator[None]:
    child = Child('busy', ('-c', _COMPUTE, f'{seconds}'), directory)
    child.start()
    try:
        yield
    finally:
        child.kill()
