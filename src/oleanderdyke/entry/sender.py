"""Send the messages of one request to agents."""

from __future__ import annotations

from oleanderdyke.clock import Millis
from oleanderdyke.entry.calls import Call
from oleanderdyke.entry.core import Core
from oleanderdyke.entry.dispatches import make_dispatch, split_body
from oleanderdyke.entry.edge import Body, CallerGone
from oleanderdyke.entry.inbox import Inbox, UploadFailed
from oleanderdyke.entry.receiver import AnswerReceiver
from oleanderdyke.errors import OleanderError
from oleanderdyke.events import EventName
from oleanderdyke.kernel.attempt_events import (
    DispatchNotSent,
    IncarnationEnded,
    LinkLost,
    QueryClaim,
    SendCancel,
    SendDispatch,
    SendResume,
)
from oleanderdyke.kernel.blocks import make_hint
from oleanderdyke.links.link import Link
from oleanderdyke.links.messages import (
    BodyChunk,
    Cancel,
    Credit,
    Message,
    Resume,
)
from oleanderdyke.links.messages.claims import ClaimQuery


class AttemptSender:
    """Send dispatches, bodies, credit and cancellations of a request."""

    def __init__(
        self,
        core: Core,
        call: Call,
        inbox: Inbox,
        receiver: AnswerReceiver,
        deadline: Millis,
    ) -> None:
        self._core = core
        self._call = call
        self._inbox = inbox
        self._receiver = receiver
        self._deadline = deadline
        self._link: Link | None = None
        self._attempt = 0
        self._sequence = 0
        self._ungranted = 0
        self._use_recorded = False

    @property
    def agent(self) -> str:
        """Return the agent of the latest attempt, empty before the first."""
        return '' if self._link is None else self._link.peer.process

    async def dispatch(self, action: SendDispatch) -> bool:
        """Send the dispatch and body; return False if there is no link."""
        link = self._find_link(action.agent, action.incarnation)
        if link is None:
            self._inbox.put(DispatchNotSent(action.attempt))
            return False
        self._link, self._attempt, self._ungranted = link, action.attempt, 0
        self._receiver.expect(action.attempt)
        self._log(EventName.DISPATCH_SENT)
        await self._send(link, self._make_dispatch(action))
        chunks = split_body(
            self._call.request,
            action.attempt,
            self._call.body,
            whole=self._call.whole,
        )
        for chunk in chunks:
            self._sequence = chunk.sequence + 1
            await self._send(link, chunk)
        return True

    async def upload(self, body: Body) -> None:
        """Forward the rest of a streamed body as it arrives."""
        link, attempt = self._link, self._attempt
        try:
            while link is not None and not body.ended:
                data = await body.read_part()
                chunk = BodyChunk(
                    self._call.request,
                    attempt,
                    self._sequence,
                    data,
                    body.ended,
                )
                self._sequence += 1
                await self._send(link, chunk)
        except (OleanderError, CallerGone) as fault:
            self._inbox.put(UploadFailed(fault))

    async def cancel(self, action: SendCancel) -> None:
        """Cancel an attempt if there is a link to its agent."""
        link = self._find_link(action.agent, action.incarnation)
        if link is not None:
            await self._send(link, Cancel(self._call.request, action.attempt))

    async def resume(self, action: SendResume) -> None:
        """Request the rest of a stream, or report that the link is lost."""
        link = self._find_link(action.agent, action.incarnation)
        if link is None:
            self._inbox.put(LinkLost(action.agent, action.incarnation))
            return
        self._link, self._attempt, self._ungranted = link, action.attempt, 0
        self._receiver.expect_rest(action.attempt, action.sequence)
        message = Resume(
            self._call.request,
            action.attempt,
            self._call.team,
            action.token,
            action.sequence,
        )
        await self._send(link, message)

    async def query_claim(self, action: QueryClaim) -> None:
        """Ask an agent for the state of a claim."""
        link = self._core.find_link(action.agent)
        if link is None:
            return
        incarnation = action.claim.incarnation
        if link.peer.incarnation != incarnation:
            self._inbox.put(IncarnationEnded(action.agent, incarnation))
            return
        query = ClaimQuery(self._call.request, self._call.team, action.claim)
        await self._send(link, query)

    async def grant_credit(self, chunks: int) -> None:
        """Count delivered chunks and send credit for more when due."""
        self._ungranted += chunks
        if self._link is None or not self._is_grant_due():
            return
        credit = Credit(self._call.request, self._attempt, self._ungranted)
        self._ungranted = 0
        await self._send(self._link, credit)

    def count_forwarded_chunk(self) -> bool:
        """Count a delivered chunk; return whether credit is due."""
        self._ungranted += 1
        return self._is_grant_due()

    def handle_link_down(self, link: Link) -> None:
        """Report the loss of the link of the latest attempt."""
        if link is self._link:
            peer = link.peer
            self._inbox.put(LinkLost(peer.process, peer.incarnation))

    def _is_grant_due(self) -> bool:
        return self._ungranted >= self._core.settings.requests.credit // 2

    def _find_link(self, agent: str, incarnation: str) -> Link | None:
        link = self._core.find_link(agent)
        if link is None or link.peer.incarnation != incarnation:
            return None
        return link

    async def _send(self, link: Link, message: Message) -> None:
        try:
            await link.send(message)
        except OleanderError:
            self.handle_link_down(link)

    def _make_dispatch(self, action: SendDispatch) -> Message:
        core = self._core
        return make_dispatch(
            self._call,
            action,
            core.fleet,
            offset=core.reader.offset,
            deadline=max(self._deadline - core.clock.now(), 0.0),
            export_count=self._count_exportable(),
        )

    def _count_exportable(self) -> int:
        """Return how many segments to export.

        The use of the prompt is recorded once, however often it is sent.
        """
        exports = self._core.exports
        hints = [make_hint(segment) for segment in self._call.segments]
        if not self._use_recorded:
            exports.record_use(hints)
        self._use_recorded = True
        return exports.count_worth_exporting(hints)

    def _log(self, event: EventName) -> None:
        self._core.log.write(
            event,
            request=self._call.request,
            attempt=self._attempt,
            peer=self.agent,
        )
