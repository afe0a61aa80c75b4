"""Execute the actions of the state machine of a request."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any

from oleanderdyke.clock import Millis
from oleanderdyke.entry import edge
from oleanderdyke.entry.calls import Call
from oleanderdyke.entry.claims import ClaimLog
from oleanderdyke.entry.core import Core
from oleanderdyke.entry.delivery import Delivery
from oleanderdyke.entry.inbox import CreditDue, DeliveryFailed, Inbox, Item
from oleanderdyke.entry.routes import choose_route
from oleanderdyke.entry.sender import AttemptSender
from oleanderdyke.entry.stopping import Stopper
from oleanderdyke.entry.targets import evaluate_answered, evaluate_refused
from oleanderdyke.entry.tokens import StreamToken, encode_token
from oleanderdyke.errors import OleanderError
from oleanderdyke.events import EventName
from oleanderdyke.kernel.attempt_events import (
    Action,
    AppendClaim,
    AppendOutcome,
    AppendRelease,
    CallerGone,
    ClearSuspect,
    DeliverChunk,
    DeliverEnd,
    DeliverHead,
    Done,
    MarkResumable,
    QueryClaim,
    Refuse,
    Route,
    Routed,
    SendCancel,
    SendDispatch,
    SendResume,
    StartTimer,
    TimerFired,
)
from oleanderdyke.kernel.demand import Demand
from oleanderdyke.logs import LogValue
from oleanderdyke.metrics import Count, Timing


@dataclass(frozen=True, slots=True)
class EntryResources:
    """Hold the services of an entry that every request uses."""

    core: Core
    claims: ClaimLog
    stopper: Stopper


class Effects:
    """Execute the actions of one request; report results to its inbox."""

    def __init__(
        self,
        resources: EntryResources,
        call: Call,
        demand: Demand,
        *,
        inbox: Inbox,
        sender: AttemptSender,
        delivery: Delivery,
        start_upload: Callable[[], None],
        start_timer: Callable[[Item, Millis], None],
    ) -> None:
        self._core = resources.core
        self._claims = resources.claims
        self._stopper = resources.stopper
        self._call = call
        self._demand = demand
        self._inbox = inbox
        self._sender = sender
        self._delivery = delivery
        self._start_upload = start_upload
        self._schedule = start_timer
        self._started = resources.core.clock.now()
        self._caller_gone = False
        self._handlers = self._make_handlers()

    async def execute(self, actions: tuple[Action, ...]) -> None:
        """Execute actions in order."""
        for action in actions:
            await self._handlers[type(action)](action)

    def forward_chunk(self, chunk: DeliverChunk) -> None:
        """Forward a chunk of a started answer without blocking."""
        try:
            self._delivery.forward_chunk(chunk)
        except OleanderError as error:
            self._inbox.put(DeliveryFailed(error))
            return
        if self._sender.count_forwarded_chunk():
            self._inbox.put(CreditDue())

    async def flush(self) -> None:
        """Send the queued chunks to the caller; grant credit for them."""
        chunks = self._delivery.unsent_count
        await self._guard(self._delivery.flush())
        if chunks:
            await self._sender.grant_credit(chunks)

    async def fail(self, error: OleanderError) -> None:
        """Answer with an error that did not come from the state machine."""
        await self._guard(self._delivery.fail(error))

    async def hand_over(self, actions: tuple[Action, ...] | None) -> bool:
        """Hand the stream over to another entry; return whether it was.

        `actions` start an answer whose head was held back. They are None if
        there is no resumable run.
        """
        if actions is None:
            self._stopper.mark_not_resumable(self._call.request)
            return False
        await self.execute(actions)
        await self._guard(self._delivery.hand_over())
        return True

    def report_caller_gone(self) -> None:
        """Report the disconnect of the caller to the state machine, once."""
        if not self._caller_gone:
            self._caller_gone = True
            self._inbox.put(CallerGone())

    def log(self, event: EventName, **values: LogValue) -> None:
        """Write a log event with the fields of this request."""
        self._core.log.write(
            event,
            request=self._call.request,
            team=self._call.team,
            service=self._call.service,
            **values,
        )

    def _make_handlers(
        self,
    ) -> Mapping[type[Action], Callable[[Any], Awaitable[None]]]:
        return {
            Route: self._route,
            AppendClaim: self._append_claim,
            AppendRelease: self._append_release,
            AppendOutcome: self._append_outcome,
            QueryClaim: self._sender.query_claim,
            SendDispatch: self._dispatch,
            SendCancel: self._sender.cancel,
            SendResume: self._resume,
            MarkResumable: self._mark_resumable,
            DeliverHead: self._deliver_head,
            DeliverChunk: self._deliver_chunk,
            DeliverEnd: self._deliver_end,
            Refuse: self._refuse,
            StartTimer: self._start_timer,
            ClearSuspect: self._clear_suspect,
            Done: self._finish,
        }

    async def _route(self, action: Route) -> None:
        event = choose_route(self._core, self._demand, action)
        if isinstance(event, Routed):
            self.log(
                EventName.REQUEST_ROUTED,
                agent=event.plan.agent,
                reason=event.plan.reason,
            )
        self._inbox.put(event)

    async def _append_claim(self, action: AppendClaim) -> None:
        self._claims.append_claim(action, self._call.digest, self._inbox)

    async def _append_release(self, action: AppendRelease) -> None:
        self._claims.append_release(action)

    async def _append_outcome(self, action: AppendOutcome) -> None:
        self._claims.append_outcome(action, self._inbox)

    async def _dispatch(self, action: SendDispatch) -> None:
        if action.attempt > 1:
            self._core.metrics.add(Count.RETRIES, label=self._call.service)
            self.log(EventName.REQUEST_RETRIED, attempt=action.attempt)
        self._core.router.record_sent(
            self._demand, action.plan, self._core.clock.now()
        )
        if await self._sender.dispatch(action):
            self._start_upload()

    async def _resume(self, action: SendResume) -> None:
        self.log(EventName.STREAM_RESUMED, attempt=action.attempt)
        await self._sender.resume(action)

    async def _mark_resumable(self, _: MarkResumable) -> None:
        self._stopper.mark_resumable(self._call.request)

    async def _deliver_head(self, action: DeliverHead) -> None:
        token = action.resume and encode_token(
            StreamToken(self._sender.agent, action.resume)
        )
        head = DeliverHead(action.status, action.headers, token)
        self._delivery.put_head(head)

    async def _deliver_chunk(self, action: DeliverChunk) -> None:
        first = self._delivery.first_token is None
        try:
            self._delivery.put_chunk(action)
        except OleanderError as error:
            await self.fail(error)
            self.report_caller_gone()
        if first:
            self._core.router.record_first_token(
                self._call.request, self._core.clock.now()
            )
        if (
            self._delivery.unsent_count
            >= self._core.settings.requests.credit // 2
        ):
            await self.flush()

    async def _deliver_end(self, action: DeliverEnd) -> None:
        await self._guard(self._delivery.send_end(action))
        self._record_end(action)

    async def _refuse(self, action: Refuse) -> None:
        core, call = self._core, self._call
        log_refusal(core, call.request, action)
        evaluate_refused(
            core,
            call,
            action.kind,
            duration=core.clock.now() - self._started,
            delivery=self._delivery,
        )
        await self._guard(self._delivery.refuse(action))

    async def _start_timer(self, action: StartTimer) -> None:
        self._schedule(TimerFired(action.kind, action.number), action.delay)

    async def _clear_suspect(self, action: ClearSuspect) -> None:
        self._core.quarantine.clear(action.digest)

    async def _finish(self, _: Done) -> None:
        """Do nothing: the driver checks the state machine for its end."""

    async def _guard(self, sending: Awaitable[None]) -> None:
        """Await a send to the caller; report its failure."""
        try:
            await sending
        except edge.CallerGone:
            self.report_caller_gone()
        except OleanderError as error:
            await self.fail(error)
            self.report_caller_gone()

    def _record_end(self, action: DeliverEnd) -> None:
        duration = self._core.clock.now() - self._started
        metrics, service = self._core.metrics, self._call.service
        metrics.time(Timing.REQUEST, duration, service)
        end = action.end
        if end is not None:
            metrics.add(Count.PROMPT_TOKENS, end.prompt_tokens, service)
            metrics.add(Count.RECOMPUTED_TOKENS, end.recomputed_tokens, service)
            metrics.add(Count.LINK_BYTES, end.link_bytes, service)
        evaluate_answered(self._core, self._call, self._delivery, end)
        self.log(
            EventName.REQUEST_FINISHED,
            status=self._delivery.status,
            duration=round(duration, 3),
            first_token=_round(self._delivery.first_token),
            chunks=self._delivery.chunks,
            tokens=None if end is None else end.prompt_tokens,
            recomputed=None if end is None else end.recomputed_tokens,
        )


def log_refusal(
    core: Core, request: str, refused: Refuse | OleanderError
) -> None:
    """Log and count a refused request."""
    core.metrics.add(Count.REFUSALS, label=refused.kind.value)
    detail = refused.detail if isinstance(refused, Refuse) else str(refused)
    core.log.write(
        EventName.REQUEST_REFUSED,
        request=request,
        kind=refused.kind.value,
        ran=refused.ran.value,
        detail=detail or None,
        retry_after=refused.retry_after,
    )


def _round(duration: Millis | None) -> Millis | None:
    return None if duration is None else round(duration, 3)
