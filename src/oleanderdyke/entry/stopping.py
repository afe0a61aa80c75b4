"""Stop an entry without cutting off a request."""

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
    """Lead one request that a stop has to wait for."""

    def hand_over(self) -> None:
        """Leave the answer to another entry."""

    def stop(self, *, immediate: bool) -> None:
        """Learn that the entry stops."""


class Stoppable(Protocol):
    """Hold what a stop needs to know of a process."""

    @property
    def clock(self) -> Clock:
        """Return the clock."""

    @property
    def log(self) -> EventLog:
        """Return the log."""

    @property
    def drain(self) -> Drain:
        """Return the state of the stop."""

    @property
    def running(self) -> Mapping[str, StoppableRequest]:
        """Return the requests that run."""


def catch_signals() -> AbstractContextManager[AsyncIterator[signal.Signals]]:
    """Keep the signals to stop from ending the process at once."""
    return anyio.open_signal_receiver(*_SIGNALS)


class Stopper:
    """Turn signals and the end of requests into the steps of a stop."""

    def __init__(self, core: Stoppable) -> None:
        self._core = core
        self._requests_notified = False
        self._exit = anyio.Event()
        self._signalled = anyio.Event()

    def begin(self, request: str, duration: Millis | None = None) -> None:
        """Count a request; raise STOPPING when no new one may start.

        `needs` is how long the request lasts, where that is known.
        """
        core = self._core
        now = core.clock.now()
        if not core.drain.start_work(request, now, duration=duration):
            raise OleanderError(
                ErrorKind.STOPPING, 'this entry stops', ran=Ran.NO
            )

    def end(self, request: str) -> None:
        """Forget a request."""
        core = self._core
        self._execute(core.drain.end_work(request, core.clock.now()))

    def mark_resumable(self, request: str) -> None:
        """Note that a request can be resumed through another entry."""
        core = self._core
        self._execute(core.drain.mark_resumable(request, core.clock.now()))

    def mark_not_resumable(self, request: str) -> None:
        """Note that a request can't be resumed through another entry yet."""
        self._core.drain.mark_not_resumable(request)

    def handle_signal(self, name: str) -> None:
        """Begin to stop, or hurry."""
        core = self._core
        core.log.write(EventName.PROCESS_STOPPING, signal=name)
        self._execute(core.drain.signal(core.clock.now()))
        self._signalled.set()

    async def watch(self, signals: AsyncIterator[signal.Signals]) -> None:
        """Take signals until cancelled."""
        async for number in signals:
            self.handle_signal(signal.Signals(number).name)

    async def run(self) -> None:
        """Return when the process should exit."""
        await self._signalled.wait()
        core = self._core
        while not self._exit.is_set():
            self._execute(core.drain.tick(core.clock.now()))
            self._notify_requests()
            with anyio.move_on_after(_TICK_SECONDS):
                await self._exit.wait()

    def _notify_requests(self) -> None:
        """Tell every request once that no new work is taken any more."""
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
