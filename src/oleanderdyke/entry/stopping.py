"""Stop an entry gracefully."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Mapping
from contextlib import AbstractContextManager
from typing import Protocol

import anyio

from oleanderdyke.clock import Clock, Millis
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.events import EventName
from oleanderdyke.kernel.drain import (
    Announce,
    CutOff,
    Drain,
    DrainAction,
    DrainPhase,
    Exit,
    HandOver,
)
from oleanderdyke.logs import EventLog

_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_TICK_SECONDS = 0.05


class StoppableRequest(Protocol):
    """Control one running request during a stop."""

    def hand_over(self) -> None:
        """Direct the caller to resume its stream through another entry."""

    def stop(self, *, immediate: bool) -> None:
        """Handle the stop; `immediate` cuts the request off."""


class Stoppable(Protocol):
    """Provide the state of a process that a stop needs."""

    @property
    def clock(self) -> Clock:
        """Return the clock of the process."""

    @property
    def log(self) -> EventLog:
        """Return the event log of the process."""

    @property
    def drain(self) -> Drain:
        """Return the state machine of the stop."""

    @property
    def running(self) -> Mapping[str, StoppableRequest]:
        """Return the running requests by id."""


def catch_signals() -> AbstractContextManager[AsyncIterator[signal.Signals]]:
    """Receive SIGTERM and SIGINT instead of ending the process."""
    return anyio.open_signal_receiver(*_SIGNALS)


class Stopper:
    """Run a graceful stop, driven by signals and finished requests."""

    def __init__(self, core: Stoppable) -> None:
        self._core = core
        self._requests_notified = False
        self._exit = anyio.Event()
        self._signalled = anyio.Event()

    def begin(self, request: str, deadline: Millis | None = None) -> None:
        """Register a request; raise STOPPING if no new one may start.

        `deadline` is the time at which the request ends at the latest.
        """
        core = self._core
        now = core.clock.now()
        if not core.drain.start_work(request, now, deadline=deadline):
            raise OleanderError(
                ErrorKind.STOPPING, 'this entry is stopping', ran=Ran.NO
            )

    def end(self, request: str) -> None:
        """Unregister a finished request."""
        core = self._core
        self._execute(core.drain.end_work(request, core.clock.now()))

    def mark_resumable(self, request: str) -> None:
        """Mark a request as resumable through another entry."""
        core = self._core
        self._execute(core.drain.mark_resumable(request, core.clock.now()))

    def mark_not_resumable(self, request: str) -> None:
        """Mark a request as not resumable through another entry."""
        self._core.drain.mark_not_resumable(request)

    def handle_signal(self, name: str) -> None:
        """Start the stop; a further interrupt makes it immediate."""
        core = self._core
        core.log.write(EventName.PROCESS_STOPPING, signal=name)
        is_interrupt = name == signal.SIGINT.name
        act = core.drain.interrupt if is_interrupt else core.drain.signal
        self._execute(act(core.clock.now()))
        self._signalled.set()

    async def watch(self, signals: AsyncIterator[signal.Signals]) -> None:
        """Handle signals until cancelled."""
        async for number in signals:
            self.handle_signal(signal.Signals(number).name)

    async def run(self) -> None:
        """Wait for a signal, run the stop and return when it is finished."""
        await self._signalled.wait()
        core = self._core
        while not self._exit.is_set():
            self._execute(core.drain.tick(core.clock.now()))
            self._notify_requests()
            with anyio.move_on_after(_TICK_SECONDS):
                await self._exit.wait()

    def _notify_requests(self) -> None:
        """Notify every request once that the entry no longer accepts work."""
        accepting = (DrainPhase.SERVING, DrainPhase.ANNOUNCED)
        if self._requests_notified or self._core.drain.phase in accepting:
            return
        self._requests_notified = True
        for running in tuple(self._core.running.values()):
            running.stop(immediate=False)

    def _execute(self, actions: tuple[DrainAction, ...]) -> None:
        for action in actions:
            self._execute_one(action)

    def _execute_one(self, action: DrainAction) -> None:
        match action:
            case Announce():
                self._core.log.write(EventName.DRAIN_STARTED)
            case HandOver(request):
                self._hand_over(request)
            case CutOff(requests):
                self._cut(requests)
            case Exit(cut):
                self._core.log.write(EventName.DRAIN_FINISHED, count=len(cut))
                self._exit.set()

    def _hand_over(self, request: str) -> None:
        running = self._core.running.get(request)
        if running is not None:
            self._core.log.write(EventName.STREAM_HANDED_OVER, request=request)
            running.hand_over()

    def _cut(self, requests: tuple[str, ...]) -> None:
        for request in requests:
            self._core.log.write(EventName.REQUEST_CUT, request=request)
            running = self._core.running.get(request)
            if running is not None:
                running.stop(immediate=True)
