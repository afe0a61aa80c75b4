"""Drive one call on the users' platform to its response."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from dataclasses import replace
from typing import TYPE_CHECKING, Any, cast

import anyio
from anyio.abc import TaskGroup

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.entry.edge import Body
from oleanderdyke.entry.hosted.attempt import DirectAttempt
from oleanderdyke.entry.hosted.call import HostedCall
from oleanderdyke.entry.hosted.call_log import CallLog, Progress
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.entry.hosted.events import EventSplitter
from oleanderdyke.entry.hosted.reply import Reply
from oleanderdyke.entry.hosted.selection import (
    RETRY_DELAY,
    Rejection,
    ServerSelector,
)
from oleanderdyke.entry.inbox import Inbox, Item
from oleanderdyke.errors import ErrorKind, Ran
from oleanderdyke.event_streams import count_events, parse_number
from oleanderdyke.kernel.attempt_events import (
    Action,
    CallerGone,
    DeadlinePassed,
    DeliverChunk,
    DeliverEnd,
    DeliverHead,
    Done,
    Event,
    MessageReceived,
    NoRoute,
    Refuse,
    Route,
    Routed,
    SendCancel,
    SendDispatch,
    StartTimer,
    Stopping,
    TimerFired,
)
from oleanderdyke.kernel.attempts import (
    AttemptSettings,
    RequestFacts,
    RequestStateMachine,
)
from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.demand import Plan, Refusal, Replica
from oleanderdyke.kernel.deployment import CallKind
from oleanderdyke.kernel.poison import PoisonStatus
from oleanderdyke.kernel.scheduling.placement import SILENCE_LIMIT, Choice
from oleanderdyke.kernel.servers import ServerStart
from oleanderdyke.links.messages import (
    AgentPhase,
    AnswerChunk,
    BackendKind,
    Load,
)
from oleanderdyke.metrics import Count, Timing

if TYPE_CHECKING:
    from oleanderdyke.entry.hosted.unread import StreamFlow

# Limit on retries after refusals that ran nothing; each of them draws on the
# retry budget that all entries share.
_MAX_REFUSALS = 2
# Wait for the first byte of a server that sends nothing to anyone, if the
# request can't be retried. Fetching context may take two seconds, and callers
# of streams wait at least as long. Giving up then gives the caller a final
# answer a second or more before its own timeout.
_SILENCE_TIMEOUT: Millis = 2 * SECOND
# Interval between selection attempts while no server can take the call.
_SELECTION_PERIOD: Millis = 20.0


class BrokenAnswer(Exception):
    """The response was truncated, so its connection must be closed."""


class HostedDriver:
    """Run the state machine of one call and carry out its actions."""

    def __init__(
        self, core: HostedCore, call: HostedCall, body: Body, reply: Reply
    ) -> None:
        self._core = core
        self._call = call
        self._body = body
        self._reply = reply
        self._call_log = CallLog(core, call)
        self._inbox = Inbox()
        self._timers: list[asyncio.TimerHandle] = []
        self._attempt: DirectAttempt | None = None
        self._flow: StreamFlow | None = None
        self._tasks: TaskGroup | None = None
        # The incarnation chosen last for each server; the state machine knows
        # servers only by name.
        self._starts: dict[str, ServerStart] = {}
        self._chosen_at: Millis = 0.0
        self._splitter = _make_splitter(core, call)
        self._copies = core.scheduling.make_copies(call)
        self._first_byte: Millis | None = None
        self._event_count = 0
        # The server that had the request last, or was considered last.
        self._last_server: str | None = None
        self._retry_delay = RETRY_DELAY
        self._pin = core.make_pin(call)
        self._selector = ServerSelector(core, call, self._pin)
        self._retries = core.scheduling.open_retries(call, core)
        self._machine = RequestStateMachine(
            _make_facts(core, call),
            settings=_make_settings(call),
            budget=self._retries,
        )
        self._handlers = self._make_handlers()

    async def run(self, key: str) -> None:
        """Answer the caller; raise BrokenAnswer if the response is truncated.

        `key` identifies the request among the running ones.
        """
        self._core.running[key] = self
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(self._watch_caller)
                await self._run_machine()
                tasks.cancel_scope.cancel()
        finally:
            del self._core.running[key]
            self._clean_up()
        if not self._reply.ended and self._reply.status:
            raise BrokenAnswer

    def stop(self, *, immediate: bool) -> None:
        """End the request if the entry must stop at once."""
        if immediate:
            self._inbox.put(Stopping(immediate=True))

    def hand_over(self) -> None:
        """Do nothing: callers on this platform resume streams themselves."""

    def check_attempt(self, now: Millis) -> None:
        """Abort an attempt that is silent, superseded or on old weights."""
        attempt = self._attempt
        if attempt is None:
            return
        attempt.abort_if_superseded()
        attempt.abort_if_outdated()
        if self._should_give_up(attempt.find_overdue_time(now)):
            attempt.fail('server sent nothing for too long')

    def _should_give_up(self, silence: Millis) -> bool:
        """Return whether to abort the attempt at a silent server.

        A response that has begun and can't be resumed elsewhere is ended only
        by its caller or its deadline: an overloaded server may send the rest
        after any pause, and the waiting caller would lose it.
        """
        if silence < SILENCE_LIMIT or not self._can_go_on_elsewhere():
            return False
        if self._reserve_retry():
            return True
        return silence >= _SILENCE_TIMEOUT and not self._reply.status

    def _reserve_retry(self) -> bool:
        """Reserve a retry, unless the request may not be sent again."""
        status = self._core.crashes.find_status(self._call)
        if status is not PoisonStatus.CLEAN:
            return False
        return self._machine.reserve_retry()

    def _can_go_on_elsewhere(self) -> bool:
        """Return whether a response that has begun could be resumed."""
        if self._pin is None or not self._reply.status:
            return True
        if self._last_server is None:
            return True
        now = self._core.clock.now()
        return self._pin.has_alternative(self._starts[self._last_server], now)

    async def _run_machine(self) -> None:
        now = self._core.clock.now()
        self._post_later(DeadlinePassed(), self._call.deadline - now)
        await self._execute(self._machine.start(now))
        while not self._machine.done:
            item = await self._inbox.take()
            # In this mode the others are events of the state machine.
            event = cast('Event', item)
            if isinstance(event, MessageReceived) and event.copy:
                event = await self._check_copy(event)
            await self._execute(
                self._machine.handle_event(event, self._core.clock.now())
            )
            self._record_read(event)

    def _record_read(self, event: Event) -> None:
        """Release a part that the caller has taken or will not get."""
        if not isinstance(event, MessageReceived):
            return
        if isinstance(event.message, AnswerChunk):
            self._inbox.unread -= len(event.message.data)
            if self._flow is not None:
                self._flow.record_read()

    async def _check_copy(self, event: MessageReceived) -> MessageReceived:
        """Keep the copy of a failed run only if that run has ended."""
        if self._copies is None or not await self._copies.has_run_ended():
            return replace(event, copy='')
        return event

    async def _execute(self, actions: tuple[Action, ...]) -> None:
        for action in actions:
            await self._handlers[type(action)](action)

    def _make_handlers(
        self,
    ) -> Mapping[type[Any], Callable[[Any], Awaitable[None]]]:
        return {
            Route: self._route,
            SendDispatch: self._dispatch,
            SendCancel: self._cancel,
            DeliverHead: self._deliver_head,
            DeliverChunk: self._deliver_chunk,
            DeliverEnd: self._deliver_end,
            Refuse: self._refuse,
            StartTimer: self._start_timer,
            Done: self._finish,
        }

    async def _route(self, action: Route) -> None:
        await self._core.crashes.history_read.wait()
        if self._call.parameters.demand is not None:
            await self._core.contexts_ready.wait()
        if action.copy:
            if not self._is_kept_back():
                self._choose_copy()
            return
        if self._copies is not None:
            self._copies.leave()
        self._choose(action)

    def _is_kept_back(self) -> bool:
        """Refuse a request that crashes servers; return whether it was.

        One that only may do so is not sent a second time.
        """
        status = self._core.crashes.find_status(self._call)
        may_have_run = self._machine.ran is not Ran.NO
        is_refused = status is PoisonStatus.QUARANTINED or (
            may_have_run and status is not PoisonStatus.CLEAN
        )
        if is_refused:
            reason = 'servers crash on a part of this request'
            refusal = Refusal(ErrorKind.QUARANTINED, reason, 0.0)
            self._inbox.put(NoRoute(refusal))
        return is_refused

    def _choose_copy(self) -> None:
        """Go on at the engine that holds a copy of the run, if it may be."""
        backend = None if self._copies is None else self._copies.take()
        if backend is None:
            reason = 'the copy of the run cannot be used'
            refusal = Refusal(ErrorKind.STREAM_BROKEN, reason, 0.0)
            self._inbox.put(NoRoute(refusal))
            return
        self._accept_server(backend, 'copy of the run')

    def _choose(self, action: Route) -> None:
        """Select a server, and retry later while none accepts requests."""
        if self._machine.done or self._is_kept_back():
            return
        outcome = self._select(action)
        if outcome is None:
            retry = functools.partial(self._choose, action)
            self._call_later(retry, _SELECTION_PERIOD)
        elif isinstance(outcome, Rejection):
            self._reject(outcome)
        else:
            self._use_choice(outcome)

    def _select(self, action: Route) -> Choice | Rejection | None:
        status = self._core.crashes.find_status(self._call)
        if status is PoisonStatus.WAITING:
            return self._selector.wait_for_trial()
        tried = frozenset(self._starts[server] for server in action.exclude)
        return self._selector.select(tried)

    def _use_choice(self, choice: Choice) -> None:
        self._call_log.log_routed(choice)
        reason = f'{choice.score:.1f} ms of {choice.candidates}'
        self._accept_server(choice.backend, reason)

    def _accept_server(self, backend: Backend, reason: str) -> None:
        record, core = backend.record, self._core
        self._starts[record.server] = record.start
        self._chosen_at = core.clock.now()
        core.limits.record_sent(backend, self._chosen_at)
        plan = Plan(agent=record.server, reason=reason)
        self._inbox.put(Routed(plan, _make_replica(backend)))

    def _reject(self, outcome: Rejection) -> None:
        self._last_server = outcome.server or self._last_server
        self._retry_delay = outcome.retry_delay
        # The retry delay is randomized when the refusal is sent.
        refusal = Refusal(
            outcome.kind, outcome.reason, outcome.retry_delay.maximum
        )
        self._inbox.put(NoRoute(refusal))

    async def _dispatch(self, action: SendDispatch) -> None:
        if action.attempt > 1:
            self._core.metrics.add(Count.RETRIES, label=self._call.service)
            self._call_log.log_retried(
                action.attempt,
                action.agent,
                source=self._retries.find_source(
                    self._machine.take_retry_source()
                ),
                left=self._retries.tokens,
                sends=self._retries.sends.service,
            )
        self._last_server = action.agent
        self._attempt = DirectAttempt(
            self._core,
            self._call,
            action,
            start=self._starts[action.agent],
            chosen_at=self._chosen_at,
            inbox=self._inbox,
            splitter=self._splitter,
            pin=self._pin,
            reserve_retry=self._reserve_retry,
            sends=self._retries.sends,
            copies=self._copies,
            find_flow=self._find_flow,
            run_soon=self._run_soon,
        )
        await self._attempt.start()

    async def _cancel(self, _: SendCancel) -> None:
        if self._attempt is not None:
            self._attempt.cancel()

    async def _deliver_head(self, action: DeliverHead) -> None:
        await self._reply.start(action.status, action.headers)

    async def _deliver_chunk(self, action: DeliverChunk) -> None:
        if self._first_byte is None:
            self._first_byte = self._core.clock.now() - self._call.started
        self._event_count += count_events(action.data)
        await self._reply.send(action.data)

    def _find_flow(self) -> StreamFlow:
        if self._flow is None:
            self._flow = self._core.find_unread().make_flow(
                self._inbox, self._call.request, self._end_unread
            )
        return self._flow

    def _run_soon(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a task of the latest attempt while its delivery may wait."""
        if self._tasks is not None:
            self._tasks.start_soon(work)

    def _end_unread(self) -> None:
        """End a stream that isn't read, while its delivery waits."""
        if self._tasks is not None:
            self._tasks.cancel_scope.cancel()

    async def _deliver_end(self, _: DeliverEnd) -> None:
        await self._reply.end()
        self._log_end()

    async def _refuse(self, action: Refuse) -> None:
        core = self._core
        core.metrics.add(Count.REFUSALS, label=action.kind.value)
        retries_left = None
        if self._machine.is_retry_denied:
            core.metrics.add(Count.RETRIES_DENIED, label=self._call.service)
            retries_left = self._retries.tokens
        self._call_log.log_refused(
            action, self._find_progress(), retries_left=retries_left
        )
        if self._reply.status:
            return
        delay = None
        if action.kind is not ErrorKind.QUARANTINED:
            delay = self._retry_delay.draw(core.random)
        await self._reply.refuse(action.kind, action.ran, action.detail, delay)

    async def _start_timer(self, action: StartTimer) -> None:
        self._post_later(TimerFired(action.kind, action.number), action.delay)

    async def _finish(self, _: Done) -> None:
        """Do nothing: the event loop of the call checks `done` itself."""

    async def _watch_caller(self) -> None:
        await self._body.wait_disconnected()
        if not self._reply.ended:
            self._call_log.log_cancelled(self._find_progress())
            self._inbox.put(CallerGone())

    def _post_later(self, item: Item, delay: Millis) -> None:
        self._call_later(functools.partial(self._inbox.put, item), delay)

    def _call_later(self, act: Callable[[], None], delay: Millis) -> None:
        loop = asyncio.get_running_loop()
        self._timers.append(loop.call_later(max(delay, 0.0) / SECOND, act))

    def _log_end(self) -> None:
        core, call = self._core, self._call
        duration = core.clock.now() - call.started
        core.metrics.time(Timing.REQUEST, duration, call.service)
        if self._first_byte is not None:
            core.metrics.time(
                Timing.FIRST_TOKEN, self._first_byte, call.service
            )
            core.scheduling.record_answer(
                call, self._event_count, duration - self._first_byte
            )
        progress = self._find_progress()
        self._call_log.log_finished(self._reply.status, duration, progress)

    def _find_progress(self) -> Progress:
        attempt = self._attempt
        if attempt is None:
            return Progress(self._last_server, self._first_byte)
        return Progress(
            self._last_server,
            self._first_byte,
            attempt.framing,
            {'attempt': attempt.number, **attempt.describe_events()},
        )

    def _clean_up(self) -> None:
        self._core.scheduling.record_left(self._call)
        for timer in self._timers:
            timer.cancel()
        if self._attempt is not None:
            self._attempt.cancel()
        self._break_cycles()
        self._retries.sends.close()
        if self._flow is not None:
            self._flow.close()

    def _break_cycles(self) -> None:
        """Free the body of the request now, not at a garbage collection."""
        self._attempt = None
        self._handlers = {}


def _make_facts(core: HostedCore, call: HostedCall) -> RequestFacts:
    return RequestFacts(
        request=call.request,
        team=call.team,
        service=call.service,
        digest='',
        appender=core.settings.process,
        idempotent=call.route.kind is CallKind.IDEMPOTENT,
        resumable=call.route.is_resumable,
    )


def _make_settings(call: HostedCall) -> AttemptSettings:
    return AttemptSettings(
        max_attempts=max(call.route.attempts, 1), max_refusals=_MAX_REFUSALS
    )


def _make_splitter(core: HostedCore, call: HostedCall) -> EventSplitter | None:
    route = call.route
    if not route.is_resumable and route.kind is not CallKind.STREAM:
        return None
    last = parse_number(call.parameters.last_event.encode('latin-1'))
    return EventSplitter(
        last,
        is_resumable=route.is_resumable,
        steps=core.find_steps(call.service),
    )


def _make_replica(backend: Backend) -> Replica:
    """Convert a backend server to the replica type of the state machine."""
    record = backend.record
    return Replica(
        agent=record.server,
        address=record.address,
        incarnation=record.server,
        backend=BackendKind.ENGINE if record.versions else BackendKind.PLAIN,
        service=record.service,
        data_centre=record.data_centre,
        phase=AgentPhase.SERVING,
        load=Load(),
        beat=0,
        heard=backend.last_heard_at,
    )
