"""Resume a stream that was started through this or another entry."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any

import anyio

from oleanderdyke.entry import edge
from oleanderdyke.entry.delivery import Delivery
from oleanderdyke.entry.effects import EntryResources
from oleanderdyke.entry.inbox import HandedOver, Inbox, Item
from oleanderdyke.entry.receiver import AnswerReceiver
from oleanderdyke.entry.sse import Position
from oleanderdyke.entry.tokens import (
    StreamToken,
    encode_token,
    make_stream_gone,
)
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.events import EventName
from oleanderdyke.kernel.attempt_events import (
    CallerGone,
    DeliverChunk,
    DeliverEnd,
    DeliverHead,
    IncarnationEnded,
    LinkLost,
    MessageReceived,
    Stopping,
)
from oleanderdyke.kernel.demand import Admitted, Refusal
from oleanderdyke.links.link import Link
from oleanderdyke.links.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    Credit,
    Failed,
    Message,
    Resume,
)

_ATTEMPT = 1


@dataclass(frozen=True, slots=True)
class ResumeRequest:
    """Identify a stream to resume and the position of its caller."""

    request: str
    team: str
    stream: StreamToken
    position: Position


class ResumeDriver:
    """Deliver the rest of one stream to its caller."""

    def __init__(
        self,
        resources: EntryResources,
        resume: ResumeRequest,
        *,
        body: edge.Body,
        delivery: Delivery,
    ) -> None:
        self._core = resources.core
        self._stopper = resources.stopper
        self._resume = resume
        self._body = body
        self._delivery = delivery
        self._inbox = Inbox()
        self._receiver = AnswerReceiver(resume.request, self._inbox)
        self._link: Link | None = None
        self._ungranted = 0
        self._credit = resources.core.settings.requests.credit // 2
        self._handlers: Mapping[type[Message], Callable[[Any], Awaitable[None]]]
        self._handlers = {
            AnswerHead: self._pass_head,
            AnswerChunk: self._pass_chunk,
            AnswerEnd: self._pass_end,
            Failed: self._pass_failure,
        }

    async def run(self) -> None:
        """Deliver the stream; raise OleanderError or CallerGone."""
        link = self._core.find_link(self._resume.stream.agent)
        if link is None:
            raise make_stream_gone()
        self._link = link
        self._core.running[self._resume.request] = self
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch_caller)
                await self._drive(link)
                tasks.cancel_scope.cancel()
        finally:
            del self._core.running[self._resume.request]

    def take(self, message: Message) -> None:
        """Handle a message of the agent about this stream."""
        self._receiver.take(message)

    def handle_link_down(self, link: Link) -> None:
        """Queue the loss of the link to the agent."""
        if link is self._link:
            peer = link.peer
            self._inbox.put(LinkLost(peer.process, peer.incarnation))

    def handle_link_up(self, link: Link) -> None:
        """Ignore a new link: the caller resumes a broken stream itself."""

    def end_incarnation(self, agent: str, incarnation: str) -> None:
        """Queue the permanent end of an incarnation of the agent."""
        if agent == self._resume.stream.agent:
            self._inbox.put(IncarnationEnded(agent, incarnation))

    def release(self, decision: Admitted | Refusal) -> None:
        """Ignore the admission: the stream was admitted when it started."""

    def hand_over(self) -> None:
        """Queue the handover of the stream to another entry."""
        self._inbox.put(HandedOver())

    def stop(self, *, immediate: bool) -> None:
        """Queue an immediate stop; otherwise the stream goes on."""
        if immediate:
            self._inbox.put(Stopping(immediate=True))

    async def _drive(self, link: Link) -> None:
        start = self._resume.position.chunk + 1
        self._receiver.expect_rest(_ATTEMPT, start)
        self._core.log.write(
            EventName.STREAM_RESUMED,
            request=self._resume.request,
            team=self._resume.team,
            agent=self._resume.stream.agent,
        )
        await link.send(
            Resume(
                self._resume.request,
                _ATTEMPT,
                self._resume.team,
                self._resume.stream.token,
                start,
            )
        )
        while not self._delivery.ended:
            if not self._inbox:
                await self._flush()
            item = await self._inbox.take()
            if isinstance(item, MessageReceived):
                await self._handlers[type(item.message)](item.message)
            else:
                await self._handle_end(item)

    async def _handle_end(self, item: Item) -> None:
        if isinstance(item, CallerGone):
            raise edge.CallerGone
        if isinstance(item, HandedOver | Stopping):
            await self._delivery.hand_over()
            return
        raise OleanderError(
            ErrorKind.BACKEND_LOST, 'the link to the agent was lost'
        )

    async def _pass_head(self, head: AnswerHead) -> None:
        token = encode_token(self._resume.stream)
        self._stopper.mark_resumable(self._resume.request)
        self._delivery.put_head(DeliverHead(head.status, head.headers, token))

    async def _pass_chunk(self, chunk: AnswerChunk) -> None:
        self._delivery.put_chunk(DeliverChunk(chunk.data))
        if self._delivery.unsent_count >= self._credit:
            await self._flush()

    async def _flush(self) -> None:
        """Send the queued chunks, then grant the agent credit for more."""
        self._ungranted += self._delivery.unsent_count
        await self._delivery.flush()
        if self._ungranted < self._credit or self._link is None:
            return
        credit = Credit(self._resume.request, _ATTEMPT, self._ungranted)
        self._ungranted = 0
        await self._link.send(credit)

    async def _pass_end(self, end: AnswerEnd) -> None:
        await self._delivery.send_end(DeliverEnd(end))

    async def _pass_failure(self, failed: Failed) -> None:
        if failed.kind is ErrorKind.STREAM_GONE:
            raise make_stream_gone()
        await self._delivery.fail(
            OleanderError(
                failed.kind,
                'the stream cannot be continued',
                ran=Ran.MAYBE if failed.ran is Ran.NO else failed.ran,
                retry_after=failed.retry_after,
            )
        )

    async def _watch_caller(self) -> None:
        await self._body.wait_disconnected()
        if not self._delivery.ended:
            self._inbox.put(CallerGone())
