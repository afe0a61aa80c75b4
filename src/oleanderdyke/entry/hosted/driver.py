"""Lead one call on the users' platform to its answer."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, cast

import anyio

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.entry.edge import Body
from oleanderdyke.entry.hosted.attempt import DirectAttempt
from oleanderdyke.entry.hosted.call import HostedCall
from oleanderdyke.entry.hosted.call_log import CallLog, Progress
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.entry.hosted.events import EventSplitter
from oleanderdyke.entry.hosted.placing import PAUSE, Placing, SentBack
from oleanderdyke.entry.hosted.reply import Reply
from oleanderdyke.entry.inbox import Inbox, Item
from oleanderdyke.kernel.attempt_events import (
    Action,
    CallerGone,
    DeadlinePassed,
    DeliverChunk,
    DeliverEnd,
    DeliverHead,
    Done,
    Event,
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
from oleanderdyke.kernel.placement import SILENCE_LIMIT, Choice
from oleanderdyke.kernel.servers import ServerStart
from oleanderdyke.links.messages import AgentPhase, BackendKind, Load
from oleanderdyke.metrics import Count, Timing

# Servers that refuse without running are passed over at most so often; each
# try draws on the allowance that all entries share.
_MAX_REFUSALS = 2
# Where nobody else may run a request, a server that sends nothing to anyone is
# waited for so long with the first byte: a fetch of context may wait two
# seconds, and no caller of a stream waits less. It gets its final answer then,
# not when its own patience ends, up to a second later or more.
_GIVE_UP_AFTER: Millis = 2 * SECOND
# How often a call that waits for a server looks for one.
_LOOK_PERIOD: Millis = 20.0


class BrokenAnswer(Exception):
    """The connection of a broken answer has to be closed."""


class HostedDriver:
    """Drive the machine of one call with what its attempts report."""

    def __init__(
        self, core: HostedCore, call: HostedCall, body: Body, reply: Reply
    ) -> None:
        self._core = core
        self._call = call
        self._body = body
        self._reply = reply
        self._told = CallLog(core, call)
        self._inbox = Inbox()
        self._timers: list[asyncio.TimerHandle] = []
        self._attempt: DirectAttempt | None = None
        # The start that was chosen last of each server: the machine of the
        # request knows servers by name.
        self._starts: dict[str, ServerStart] = {}
        self._chosen_at: Millis = 0.0
        self._splitter = _make_splitter(call)
        self._first: Millis | None = None
        # Who had the request last, or would have had it.
        self._peer: str | None = None
        self._pause = PAUSE
        self._placing = Placing(core, call)
        self._machine = RequestStateMachine(
            _make_facts(core, call),
            settings=_make_settings(call),
            budget=core.find_budget(call.service),
        )
        self._handlers = self._make_handlers()

    async def run(self, key: str) -> None:
        """Answer the caller; raise BrokenAnswer where that ended early.

        A stop of the entry finds the request by `key`.
        """
        self._core.running[key] = self
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch_caller)
                await self._lead()
                tasks.cancel_scope.cancel()
        finally:
            del self._core.running[key]
            self._forget()
        if not self._reply.ended and self._reply.status:
            raise BrokenAnswer

    def stop(self, *, immediate: bool) -> None:
        """Learn that the entry stops."""
        if immediate:
            self._inbox.put(Stopping(immediate=True))

    def hand_over(self) -> None:
        """Do nothing: callers of the platform go on by themselves."""

    def check_attempt(self, now: Millis) -> None:
        """Give up what is silent, superseded, or waits on old weights."""
        attempt = self._attempt
        if attempt is None:
            return
        attempt.withdraw_superseded()
        attempt.withdraw_late()
        if self._is_given_up(attempt.find_overdue_time(now)):
            attempt.fail('the server is silent')

    def _is_given_up(self, silence: Millis) -> bool:
        """Return whether to wait no longer for what a server owes.

        An answer that has begun and can't go on elsewhere is only ended by its
        caller or its deadline: a crowded server may send the rest after any
        pause, and a caller that still waits would lose it.
        """
        if silence < SILENCE_LIMIT:
            return False
        if self._machine.reserve_retry():
            return True
        return silence >= _GIVE_UP_AFTER and not self._reply.status

    async def _lead(self) -> None:
        now = self._core.clock.now()
        self._put_later(DeadlinePassed(), self._call.deadline - now)
        await self._carry_out(self._machine.start(now))
        while not self._machine.done:
            # Nothing but events of the machine comes here in this mode.
            event = cast('Event', await self._inbox.take())
            await self._carry_out(
                self._machine.handle_event(event, self._core.clock.now())
            )

    async def _carry_out(self, actions: tuple[Action, ...]) -> None:
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
        if self._call.asked.demand is not None:
            await self._core.contexts_known.wait()
        self._choose(action)

    def _choose(self, action: Route) -> None:
        """Choose a server, or look again later where none takes anything."""
        if self._machine.done:
            return
        tried = frozenset(self._starts[server] for server in action.exclude)
        outcome = self._placing.look(tried)
        if outcome is None:
            look_again = functools.partial(self._choose, action)
            self._call_later(look_again, _LOOK_PERIOD)
        elif isinstance(outcome, SentBack):
            self._send_back(outcome)
        else:
            self._take(outcome)

    def _take(self, choice: Choice) -> None:
        record = choice.backend.record
        self._starts[record.server] = record.start
        core = self._core
        self._chosen_at = core.clock.now()
        core.limits.record_sent(choice.backend, self._chosen_at)
        self._told.tell_routed(choice)
        reason = f'{choice.score:.1f} ms of {choice.candidates}'
        plan = Plan(agent=record.server, reason=reason)
        self._inbox.put(Routed(plan, _make_replica(choice.backend)))

    def _send_back(self, outcome: SentBack) -> None:
        self._peer = outcome.server or self._peer
        self._pause = outcome.pause
        # How long the caller waits is drawn where it is told.
        refusal = Refusal(outcome.kind, outcome.reason, outcome.pause.most)
        self._inbox.put(NoRoute(refusal))

    async def _dispatch(self, action: SendDispatch) -> None:
        if action.attempt > 1:
            self._core.metrics.add(Count.RETRIES, label=self._call.service)
            self._told.tell_retried(action.attempt, action.agent)
        self._peer = action.agent
        self._attempt = DirectAttempt(
            self._core,
            self._call,
            action,
            start=self._starts[action.agent],
            chosen_at=self._chosen_at,
            inbox=self._inbox,
            splitter=self._splitter,
            reserve_retry=self._machine.reserve_retry,
        )
        await self._attempt.start()

    async def _cancel(self, _: SendCancel) -> None:
        if self._attempt is not None:
            self._attempt.cancel()

    async def _deliver_head(self, action: DeliverHead) -> None:
        await self._reply.start(action.status, action.headers)

    async def _deliver_chunk(self, action: DeliverChunk) -> None:
        if self._first is None:
            self._first = self._core.clock.now() - self._call.started
        await self._reply.send(action.data)

    async def _deliver_end(self, _: DeliverEnd) -> None:
        await self._reply.end()
        self._log_end()

    async def _refuse(self, action: Refuse) -> None:
        core = self._core
        core.metrics.add(Count.REFUSALS, label=action.kind.value)
        self._told.tell_refused(action, self._find_progress())
        if self._reply.status:
            return
        await self._reply.refuse(
            action.kind,
            action.ran,
            action.detail,
            self._pause.draw(core.random),
        )

    async def _start_timer(self, action: StartTimer) -> None:
        self._put_later(TimerFired(action.kind, action.number), action.delay)

    async def _finish(self, _: Done) -> None:
        """Do nothing: the loop sees that the machine is done."""

    async def _watch_caller(self) -> None:
        await self._body.wait_disconnected()
        if not self._reply.ended:
            self._told.tell_cancelled(self._find_progress())
            self._inbox.put(CallerGone())

    def _put_later(self, item: Item, delay: Millis) -> None:
        self._call_later(functools.partial(self._inbox.put, item), delay)

    def _call_later(self, act: Callable[[], None], delay: Millis) -> None:
        loop = asyncio.get_running_loop()
        self._timers.append(loop.call_later(max(delay, 0.0) / SECOND, act))

    def _log_end(self) -> None:
        core, call = self._core, self._call
        duration = core.clock.now() - call.started
        core.durations.record(call.route.name, duration)
        core.metrics.time(Timing.REQUEST, duration, call.service)
        if self._first is not None:
            core.metrics.time(Timing.FIRST_TOKEN, self._first, call.service)
        progress = self._find_progress()
        self._told.tell_finished(self._reply.status, duration, progress)

    def _find_progress(self) -> Progress:
        return Progress(self._peer, self._first)

    def _forget(self) -> None:
        for timer in self._timers:
            timer.cancel()
        if self._attempt is not None:
            self._attempt.cancel()


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


def _make_splitter(call: HostedCall) -> EventSplitter | None:
    if not call.route.is_resumable:
        return None
    last = call.asked.last_event
    return EventSplitter(int(last) if last.isdigit() else None)


def _make_replica(backend: Backend) -> Replica:
    """Show a backend server as the machine of a request knows replicas."""
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
