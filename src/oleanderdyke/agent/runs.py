"""The attempts of an agent, from admission to the delivered response."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Protocol, cast

import anyio
from anyio.abc import TaskGroup

from oleanderdyke.agent.body import RequestBody
from oleanderdyke.agent.failures import (
    address_to_reader,
    check_not_replaced,
    classify_ran,
    make_broken_answer_error,
    make_deadline_error,
    may_have_run,
)
from oleanderdyke.agent.forward import Forwarder
from oleanderdyke.agent.outbox import Outbox
from oleanderdyke.agent.process_watch import ProcessStatus
from oleanderdyke.agent.readers import Readers
from oleanderdyke.agent.run import Run, RunKey
from oleanderdyke.agent.settings import RunSettings
from oleanderdyke.clients.http import HttpError
from oleanderdyke.clock import SECOND, Clock
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.events import EventName
from oleanderdyke.kernel.claim_runs import RunAnswer
from oleanderdyke.kernel.gate import Accepted, Gate
from oleanderdyke.kernel.scheduling.request_bytes import RequestBytes
from oleanderdyke.kernel.stream_buffer import Reader, StreamBuffer
from oleanderdyke.links.messages import (
    BodyChunk,
    Cancel,
    Dispatch,
    Failed,
    Message,
)
from oleanderdyke.logs import EventLog


class WorkTracker(Protocol):
    """Track the work that a drain waits for."""

    def start_work(self, work_id: str) -> None:
        """Record the start of work."""

    def end_work(self, work_id: str) -> None:
        """Record the end of work."""


class Runs:
    """Admit attempts, execute them and deliver their responses.

    `diagnose_loss` finds out, after a broken connection, whether the process
    of the backend server has ended. `report_suspects` sends a heartbeat with
    the current suspects.
    """

    def __init__(
        self,
        gate: Gate,
        readers: Readers,
        *,
        settings: RunSettings,
        body_limit: int,
        clock: Clock,
        tasks: TaskGroup,
        events: EventLog,
        work_tracker: WorkTracker,
        diagnose_loss: Callable[[], Awaitable[ProcessStatus]],
        has_ended: Callable[[], bool],
        report_suspects: Callable[[], None],
    ) -> None:
        self._gate = gate
        self._readers = readers
        self._settings = settings
        self._body_limit = body_limit
        self._clock = clock
        self._tasks = tasks
        self._events = events
        self._work_tracker = work_tracker
        self._diagnose_loss = diagnose_loss
        self._has_ended = has_ended
        self._report_suspects = report_suspects
        self._forwarder: Forwarder | None = None
        self._runs: dict[RunKey, Run] = {}
        self._bodies = RequestBytes(settings.body_bytes)
        self._progress = anyio.Event()

    def set_forwarder(self, forwarder: Forwarder) -> None:
        """Set the forwarder, which needs this object to be built first."""
        self._forwarder = forwarder

    def dispatch(self, outbox: Outbox, message: Dispatch) -> None:
        """Start a run, or refuse it and report that it did not run."""
        now = self._clock.now()
        self._events.write(
            EventName.DISPATCH_RECEIVED,
            request=message.request,
            attempt=message.attempt,
            peer=outbox.peer.process,
            team=message.team,
        )
        admittance = self._gate.admit(message, now)
        if isinstance(admittance, Failed):
            self._refuse(outbox, admittance)
            return
        if not isinstance(admittance, Accepted):
            return
        run = Run(
            message,
            outbox,
            RequestBody(self._body_limit),
            deadline=now + message.deadline,
            record_limit=self._settings.record_bytes,
        )
        self._runs[run.key] = run
        self._work_tracker.start_work(run.work_id)
        self._tasks.start_soon(self._execute, run)

    def add_body(self, outbox: Outbox, chunk: BodyChunk) -> None:
        """Append a chunk to the body of a run; ignore it if the run is gone."""
        run = self._runs.get((chunk.request, chunk.attempt))
        if run is None or run.outbox is not outbox or run.stopped:
            return
        try:
            run.body.put(chunk)
        except OleanderError as error:
            self._stop(run, error)
            return
        self._count_body(run)

    def cancel(self, outbox: Outbox, message: Cancel) -> None:
        """Stop a run whose caller is gone; with a claim, complete it unread."""
        reader = Reader(outbox.name, message.request, message.attempt)
        run = self._readers.find_run(reader)
        if run is None:
            self._gate.cancel(message.request, message.attempt)
            run = self._runs.get((message.request, message.attempt))
        if run is None or run.reader != reader:
            return
        self._events.write(
            EventName.REQUEST_CANCELLED,
            request=message.request,
            attempt=message.attempt,
        )
        self._abandon(run, cancel=run.dispatch.claim is None)

    def drop_link(self, link: str) -> None:
        """Detach the streams of a closed link.

        Cancels its runs without a stream that are safe to cancel.
        """
        self._readers.drop_link(link)
        for run in tuple(self._runs.values()):
            if run.outbox.name != link:
                continue
            run.body.fail()
            if run.buffer is None and run.is_cancellable:
                self._abandon(run, cancel=True)

    def expire(self) -> None:
        """Close expired streams; cancel their runs where that is safe."""
        for run in self._readers.expire():
            self._abandon(run, cancel=run.is_cancellable)

    def end_lost_runs(self) -> tuple[tuple[Reader, Failed], ...]:
        """End all runs on a lost backend server.

        Returns the failure to send to each reader.
        """
        failures = []
        for failed in self._gate.finish_crashed(self._clock.now()):
            run = self._runs.get((failed.request, failed.attempt))
            if run is None:
                continue
            failures.append((run.reader, address_to_reader(failed, run.reader)))
            self._log_suspect(run)
            self._break_stream(run, failed.kind)
        return tuple(failures)

    def cut(self, work_ids: Iterable[str]) -> None:
        """Cut off the runs that the drain waits for no longer."""
        wanted = set(work_ids)
        for run in tuple(self._runs.values()):
            if run.work_id in wanted:
                self._events.write(
                    EventName.REQUEST_CUT,
                    request=run.dispatch.request,
                    attempt=run.dispatch.attempt,
                )
                error = OleanderError(
                    ErrorKind.STOPPING,
                    'the agent is stopping and cut off the run',
                )
                self._stop(run, error)

    async def wait_started(self) -> None:
        """Wait until every run has begun to answer or has ended."""
        while any(not run.started for run in self._runs.values()):
            await self._progress.wait()

    def check_status(self, status: int) -> None:
        """Raise HttpError if another server process has answered."""
        check_not_replaced(status, ended=self._has_ended())

    def notify_progress(self) -> None:
        """Wake `wait_started` after a run has begun to answer or has ended."""
        self._progress.set()
        self._progress = anyio.Event()

    def attach(self, run: Run, buffer: StreamBuffer) -> None:
        """Register the reader of a new stream."""
        self._readers.attach(run, buffer)

    def send(self, reader: Reader, messages: Iterable[Message]) -> None:
        """Queue messages for a reader; discard them if it is disconnected."""
        self._readers.send(reader, messages)

    async def push(self, reader: Reader, messages: Sequence[Message]) -> None:
        """Send messages to a reader; discard them if it is disconnected."""
        await self._readers.push(reader, messages)

    async def _execute(self, run: Run) -> None:
        try:
            await self._run(run)
            await self._deliver(run)
        finally:
            self._remove(run)

    async def _run(self, run: Run) -> None:
        try:
            with anyio.CancelScope() as run.scope:
                run.scope.deadline = self._find_deadline(run)
                if run.stopped:
                    return
                answer = await self._require_forwarder().forward(run)
                self._finish(run, answer)
                return
        except OleanderError as error:
            await self._handle_error(run, error)
            return
        if not run.stopped:
            self._stop(run, make_deadline_error(run))

    def _find_deadline(self, run: Run) -> float:
        bound = self._settings.limit
        if run.dispatch.claim is None:
            bound = min(bound, run.deadline - self._clock.now())
        return anyio.current_time() + bound / SECOND

    def _finish(self, run: Run, answer: RunAnswer | None) -> None:
        self._gate.finish(*run.key, answer)
        self._require_forwarder().finish(run)

    async def _deliver(self, run: Run) -> None:
        while run.buffer is not None and not run.buffer.is_sent:
            await run.wait_changed()

    async def _handle_error(self, run: Run, error: OleanderError) -> None:
        if not isinstance(error, HttpError) or run.stopped:
            self._stop(run, error)
            return
        # After a crash, `end_lost_runs` ends this run together with all
        # others, as a suspect.
        ending = await self._diagnose_loss()
        if not may_have_run(run, error):
            self._stop(run, error)
            return
        if ending is ProcessStatus.ALIVE:
            self._stop(run, make_broken_answer_error())
            return
        self._mark_suspect(run)
        self._stop(run, error)

    def _mark_suspect(self, run: Run) -> None:
        self._gate.finish_disconnected(*run.key, self._clock.now())
        self._log_suspect(run)
        # A peer may retry the request as soon as it is told of the lost run,
        # so it must know the suspect before.
        self._report_suspects()

    def _log_suspect(self, run: Run) -> None:
        dispatch = run.dispatch
        now = self._clock.now()
        quarantined = self._gate.is_quarantined(dispatch.digest, now)
        self._events.write(
            EventName.REQUEST_QUARANTINED
            if quarantined
            else EventName.REQUEST_SUSPECTED,
            request=dispatch.request,
            attempt=dispatch.attempt,
            team=dispatch.team,
            service=dispatch.service,
        )

    def _stop(self, run: Run, error: OleanderError) -> None:
        if run.stopped:
            return
        reader = run.reader
        ran = classify_ran(run, error)
        if ran is Ran.NO:
            self._gate.finish_unsent(*run.key)
        self._gate.finish(*run.key, None, served=False)
        self._break_stream(run, error.kind)
        failed = Failed(*run.key, error.kind, ran, error.message)
        self.send(reader, (address_to_reader(failed, reader),))

    def _break_stream(self, run: Run, kind: ErrorKind) -> None:
        run.stopped = True
        self._readers.close_stream(run)
        run.scope.cancel()
        self._events.write(
            EventName.ANSWER_BROKEN,
            request=run.dispatch.request,
            attempt=run.dispatch.attempt,
            kind=kind.value,
        )

    def _abandon(self, run: Run, *, cancel: bool) -> None:
        run.discarded = True
        self._readers.close_stream(run)
        if cancel and not run.stopped:
            run.stopped = True
            self._gate.finish(*run.key, None, served=False)
            run.scope.cancel()

    def _remove(self, run: Run) -> None:
        self._runs.pop(run.key, None)
        self._bodies.forget(run.key)
        self._readers.remove(run)
        self._work_tracker.end_work(run.work_id)
        self.notify_progress()

    def _count_body(self, run: Run) -> None:
        """Count what has arrived of a body; stop runs if all hold too much.

        Bodies that stand still go first, and a whole one only if it has not
        been forwarded.
        """
        received = run.body.received
        if run.body.ended:
            self._bodies.finish(run.key, received)
        else:
            self._bodies.hold(run.key, received, received, self._clock.now())
        while (found := self._bodies.find_excess()) is not None:
            self._stop_excess(self._runs[cast('RunKey', found)])
        if run.body.ended and self._bodies.is_full and not run.forwarded:
            self._stop_excess(run)

    def _stop_excess(self, run: Run) -> None:
        self._bodies.forget(run.key)
        fault = f'request bodies exceed {self._settings.body_bytes} bytes'
        self._stop(run, OleanderError(ErrorKind.OVERLOADED, fault))

    def _require_forwarder(self) -> Forwarder:
        if self._forwarder is None:
            raise OleanderError(
                ErrorKind.NOT_READY,
                'the agent is not initialized: no forwarder is set',
            )
        return self._forwarder

    def _refuse(self, outbox: Outbox, failed: Failed) -> None:
        self._events.write(
            EventName.DISPATCH_REFUSED,
            request=failed.request,
            attempt=failed.attempt,
            peer=outbox.peer.process,
            kind=failed.kind.value,
            ran=failed.ran.value,
        )
        outbox.put(failed)
