"""Drive the state machine of one request."""

from __future__ import annotations

import asyncio

import anyio
from anyio.abc import TaskGroup

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.entry import edge
from oleanderdyke.entry.answers import Answer
from oleanderdyke.entry.calls import Call
from oleanderdyke.entry.core import Core
from oleanderdyke.entry.delivery import Delivery
from oleanderdyke.entry.effects import Effects, EntryResources
from oleanderdyke.entry.inbox import (
    CreditDue,
    DeliveryFailed,
    HandedOver,
    Inbox,
    Item,
    PendingActions,
    Released,
    UploadFailed,
)
from oleanderdyke.entry.queue import ReleaseQueue
from oleanderdyke.entry.receiver import AnswerReceiver
from oleanderdyke.entry.sender import AttemptSender
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.events import EventName
from oleanderdyke.kernel.attempt_events import (
    Action,
    CallerGone,
    ClaimSettled,
    DeadlinePassed,
    DeliverChunk,
    IncarnationEnded,
    LinkUp,
    MessageReceived,
    Stopping,
)
from oleanderdyke.kernel.attempts import RequestFacts, RequestStateMachine
from oleanderdyke.kernel.claims import Verdict
from oleanderdyke.kernel.demand import Admitted, Queued, Refusal
from oleanderdyke.kernel.quarantine import QuarantineStatus
from oleanderdyke.links.link import Link
from oleanderdyke.links.messages import (
    AnswerChunk,
    AnswerHead,
    Headers,
    Message,
)
from oleanderdyke.metrics import Timing

_HORIZON_HEADER = 'oleander-horizon'


class RequestDriver:
    """Run one call from admission to the end of its answer."""

    def __init__(
        self,
        resources: EntryResources,
        queue: ReleaseQueue,
        call: Call,
        *,
        body: edge.Body,
        answer: Answer,
    ) -> None:
        core = resources.core
        self._resources = resources
        self._core = core
        self._queue = queue
        self._call = call
        self._body = body
        self._started = core.clock.now()
        limit = min(call.spec.deadline, core.settings.requests.deadline)
        self._deadline = self._started + limit
        self._demand = call.make_demand(
            self._deadline, core.settings.data_centre
        )
        self._inbox = Inbox()
        self._receiver = AnswerReceiver(call.request, self._inbox)
        self._sender = AttemptSender(
            core, call, self._inbox, self._receiver, self._deadline
        )
        self._delivery = Delivery(
            answer,
            request=call.request,
            label=call.label,
            clock=core.clock,
            metrics=core.metrics,
            extra=_make_extra_headers(call),
        )
        self._effects = Effects(
            resources,
            call,
            self._demand,
            inbox=self._inbox,
            sender=self._sender,
            delivery=self._delivery,
            start_upload=self._start_upload,
            start_timer=self._start_timer,
        )
        self._machine = RequestStateMachine(
            _make_facts(core, call),
            settings=core.attempt_settings,
            budget=core.budget,
        )
        self._tasks: TaskGroup | None = None
        self._timers: list[asyncio.TimerHandle] = []
        self._inbox.direct_handler = self._forward_directly

    async def run(self) -> None:
        """Answer the caller; return once the state machine is done.

        Raise OleanderError if the call ended before an attempt was made.
        """
        request = self._call.request
        self._core.running[request] = self
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                if self._body.ended:
                    tasks.start_soon(self._watch_caller)
                await self._drive()
                tasks.cancel_scope.cancel()
        finally:
            del self._core.running[request]
            self._clean_up()

    def take(self, message: Message) -> None:
        """Handle a message of an agent about this request."""
        self._receiver.take(message)

    def handle_link_down(self, link: Link) -> None:
        """Handle the loss of a link."""
        self._sender.handle_link_down(link)

    def handle_link_up(self, link: Link) -> None:
        """Queue the event of a new link."""
        self._inbox.put(LinkUp(link.peer.process, link.peer.incarnation))

    def end_incarnation(self, agent: str, incarnation: str) -> None:
        """Queue the permanent end of an incarnation of an agent."""
        self._inbox.put(IncarnationEnded(agent, incarnation))

    def release(self, decision: Admitted | Refusal) -> None:
        """Queue the admission decision."""
        self._inbox.put(Released(decision))

    def hand_over(self) -> None:
        """Queue the handover of the stream to another entry."""
        self._inbox.put(HandedOver())

    def stop(self, *, immediate: bool) -> None:
        """Queue the stop of the entry."""
        self._inbox.put(Stopping(immediate=immediate))

    def _forward_directly(self, item: Item) -> bool:
        """Forward a chunk without a wake-up of the driver task.

        Return whether the item was handled.
        """
        if (
            type(item) is not MessageReceived
            or type(item.message) is not AnswerChunk
        ):
            return False
        if not self._delivery.can_forward_chunk:
            return False
        actions = self._machine.handle_event(item, self._core.clock.now())
        for index, action in enumerate(actions):
            if not isinstance(action, DeliverChunk):
                self._inbox.put(PendingActions(actions[index:]))
                break
            self._effects.forward_chunk(action)
        return True

    async def _drive(self) -> None:
        core = self._core
        verdict = self._find_verdict()
        self._start_timer(DeadlinePassed(), self._deadline - core.clock.now())
        await self._pass_admission()
        if self._call.key:
            verdict = self._find_verdict()
        await self._effects.execute(
            self._machine.start(core.clock.now(), verdict)
        )
        while not self._machine.done:
            if not self._inbox:
                await self._effects.flush()
            item = await self._inbox.take()
            if isinstance(item, HandedOver):
                if await self._hand_over_stream():
                    return
                continue
            await self._effects.execute(await self._handle_item(item))

    async def _hand_over_stream(self) -> bool:
        """Hand the stream over if it can be resumed; return whether it was."""
        return await self._effects.hand_over(self._machine.hand_over())

    async def _pass_admission(self) -> None:
        core = self._core
        decision = core.admission.admit(
            self._demand, core.fleet, core.clock.now()
        )
        if isinstance(decision, Queued):
            self._effects.log(EventName.REQUEST_QUEUED)
            decision = await self._wait_in_queue()
        waited = core.clock.now() - self._started
        core.metrics.time(Timing.QUEUE_WAIT, waited, self._call.service)
        if isinstance(decision, Refusal):
            raise OleanderError(
                decision.kind,
                decision.reason,
                ran=Ran.NO,
                retry_after=decision.retry_after,
            )

    async def _wait_in_queue(self) -> Admitted | Refusal:
        self._queue.enter()
        try:
            while True:
                item = await self._inbox.take()
                if isinstance(item, Released):
                    return item.decision
                _check_queued(item)
        finally:
            self._queue.leave()

    async def _handle_item(self, item: Item) -> tuple[Action, ...]:
        now = self._core.clock.now()
        self._log_item(item)
        if isinstance(item, Released | HandedOver):
            return ()
        if isinstance(item, CreditDue):
            await self._sender.grant_credit(0)
            return ()
        if isinstance(item, PendingActions):
            return item.actions
        if isinstance(item, UploadFailed | DeliveryFailed):
            await self._fail(item)
            return self._machine.handle_event(CallerGone(), now)
        return self._machine.handle_event(item, now)

    async def _fail(self, item: UploadFailed | DeliveryFailed) -> None:
        fault = item.fault
        if not isinstance(fault, OleanderError):
            return
        if isinstance(item, UploadFailed):
            fault.ran = Ran.MAYBE
        await self._effects.fail(fault)

    def _log_item(self, item: Item) -> None:
        if isinstance(item, MessageReceived):
            if isinstance(item.message, AnswerHead):
                self._effects.log(
                    EventName.ANSWER_RECEIVED,
                    attempt=item.message.attempt,
                    peer=self._sender.agent,
                    status=item.message.status,
                )
        elif isinstance(item, ClaimSettled):
            self._effects.log(
                EventName.CLAIM_SETTLED,
                kind=type(item.verdict).__name__.lower(),
            )

    async def _watch_caller(self) -> None:
        await self._body.wait_disconnected()
        if not self._delivery.ended:
            self._effects.log(EventName.REQUEST_CANCELLED)
            self._effects.report_caller_gone()

    def _start_timer(self, item: Item, delay: Millis) -> None:
        loop = asyncio.get_running_loop()
        seconds = max(delay, 0.0) / SECOND
        self._timers.append(loop.call_later(seconds, self._inbox.put, item))

    def _start_upload(self) -> None:
        if not self._body.ended and self._tasks is not None:
            self._tasks.start_soon(self._upload)

    async def _upload(self) -> None:
        await self._sender.upload(self._body)
        if self._body.ended:
            await self._watch_caller()

    def _find_verdict(self) -> Verdict | None:
        call = self._call
        if not call.key:
            return None
        if not self._resources.claims.is_caught_up:
            raise OleanderError(
                ErrorKind.NOT_READY,
                'the claims log has not been read to its end yet',
                ran=Ran.NO,
            )
        return self._core.claims.get_verdict(call.key, call.digest)

    def _clean_up(self) -> None:
        for timer in self._timers:
            timer.cancel()
        core, request = self._core, self._call.request
        now = core.clock.now()
        self._resources.claims.discard_inbox(self._inbox)
        core.router.record_finished(request, now)
        core.admission.record_finished(request, now)
        self._queue.release()


def _make_facts(core: Core, call: Call) -> RequestFacts:
    status = core.quarantine.get_status(call.digest, core.clock.now())
    if status is QuarantineStatus.QUARANTINED:
        raise OleanderError(
            ErrorKind.QUARANTINED, 'this request crashed backend servers'
        )
    return RequestFacts(
        request=call.request,
        team=call.team,
        service=call.service,
        digest=call.digest,
        appender=core.settings.process,
        idempotent=call.idempotent,
        key=call.key,
        horizon=call.spec.horizon,
        suspect=status is QuarantineStatus.SUSPECT,
    )


def _check_queued(item: Item) -> None:
    """Raise if an event ends the wait in the queue."""
    if isinstance(item, CallerGone):
        raise edge.CallerGone
    if isinstance(item, DeadlinePassed):
        raise OleanderError(
            ErrorKind.DEADLINE, 'the deadline passed in the queue', ran=Ran.NO
        )
    if isinstance(item, Stopping):
        raise OleanderError(
            ErrorKind.STOPPING,
            'this entry is stopping',
            ran=Ran.NO,
            retry_after=0.0,
        )


def _make_extra_headers(call: Call) -> Headers:
    if not call.key:
        return ()
    return ((_HORIZON_HEADER, str(int(call.spec.horizon / SECOND))),)
