"""Lead requests as an entry's drivers do, in simulated time."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from oleanderdyke.clock import Millis
from oleanderdyke.entry.answers import Answer
from oleanderdyke.entry.calls import Call
from oleanderdyke.entry.delivery import Delivery
from oleanderdyke.entry.edge import CallerGone
from oleanderdyke.entry.inbox import HandedOver, Inbox, Item
from oleanderdyke.entry.requests import RequestDriver
from oleanderdyke.entry.resume import ResumeDriver, ResumeRequest
from oleanderdyke.entry.tokens import make_stream_gone
from oleanderdyke.errors import OleanderError
from oleanderdyke.kernel.attempt_events import DeadlinePassed, MessageReceived
from oleanderdyke.links.messages import Resume
from tests.matrix.loop import Process, drive

if TYPE_CHECKING:
    from tests.matrix.entry import ModelEntry

CLOSED = 'closed'


class _Wake:
    """Stand in for what an inbox wakes its reader by."""

    def __init__(self, process: Process, act: Callable[[], None]) -> None:
        self._process = process
        self._act = act
        self._is_due = False

    def done(self) -> bool:
        """Tell that the reader waits all the time."""
        return False

    def set_result(self, _: None = None) -> None:
        """Act soon, once for all that came."""
        if not self._is_due:
            self._is_due = True
            self._process.after(0, self._run)

    set = set_result

    def _run(self) -> None:
        self._is_due = False
        self._act()


class _Caller:
    """Stand in for the body of a request, which came whole."""

    ended = True


class _Turns:
    """Take the items of an inbox one after the other."""

    def __init__(
        self,
        process: Process,
        inbox: Inbox,
        lead: Callable[[Item | None], Any],
    ) -> None:
        self._inbox = inbox
        self._lead = lead
        self._busy = False
        self.over = False
        inbox._waiting = _Wake(process, self.go_on)  # type: ignore[assignment]

    def go_on(self) -> None:
        """Take what has come, unless an earlier turn still waits."""
        if not self._busy and not self.over:
            self._busy = True
            drive(self._take_all())

    async def _take_all(self) -> None:
        while self._inbox._items and not self.over:
            await self._lead(self._inbox._items.popleft())
        if not self.over:
            await self._lead(None)
        self._busy = False


class ModelRequest(RequestDriver):
    """Lead a call as the driver does, with simulated waits."""

    def __init__(self, entry: ModelEntry, call: Call, answer: Answer) -> None:
        self._entry = entry
        self._answer = answer
        caller: Any = _Caller()
        super().__init__(
            entry.tools, entry.queue, call, body=caller, answer=answer
        )
        self._machine.__class__ = entry.world.variants.machine
        self._turns = _Turns(entry, self._inbox, self._take_turn)
        self._turns._busy = True

    @property
    def effects(self) -> Any:
        """Return what does the actions."""
        return self._effects

    async def begin(self) -> None:
        """Admit, then let the machine begin; raise OleanderError."""
        core, request = self._core, self._call.request
        core.running[request] = self
        try:
            verdict = self._find_verdict()
            left = self._deadline - core.clock.now()
            self._start_timer(DeadlinePassed(), left)
            await self._pass_admission()
            now = core.clock.now()
            await self._effects.execute(self._machine.start(now, verdict))
        except OleanderError:
            self.finish()
            raise
        self._turns._busy = False
        self._turns.go_on()

    def finish(self) -> None:
        """Forget the call."""
        self._turns.over = True
        drive(_close(self._answer))
        self._core.running.pop(self._call.request, None)
        self._clean_up()
        self._entry.stopper.end(self._call.request)

    async def _take_turn(self, item: Item | None) -> None:
        if item is None:
            await self._effects.flush()
        elif isinstance(item, HandedOver):
            if await self._hand_over_stream():
                self.finish()
                return
        else:
            await self._effects.execute(await self._handle_item(item))
        if self._machine.done:
            self.finish()

    def _start_timer(self, item: Item, delay: Millis) -> None:
        self._entry.after(delay, lambda: self._inbox.put(item))


class ModelResume(ResumeDriver):
    """Go on with a stream as the driver does."""

    def __init__(
        self, entry: ModelEntry, ask: ResumeRequest, delivery: Delivery
    ) -> None:
        self._entry = entry
        caller: Any = _Caller()
        super().__init__(entry.tools, ask, body=caller, delivery=delivery)
        self._turns = _Turns(entry, self._inbox, self._take_turn)

    async def begin(self) -> None:
        """Ask for the rest; raise OleanderError."""
        core, ask = self._core, self._resume
        link = core.find_link(ask.stream.agent)
        if link is None:
            self.finish()
            raise make_stream_gone()
        self._link = link
        core.running[ask.request] = self
        start = ask.position.chunk + 1
        self._receiver.expect_rest(1, start)
        token = ask.stream.token
        await link.send(Resume(ask.request, 1, ask.team, token, start))

    def finish(self) -> None:
        """Forget the stream."""
        self._turns.over = True
        drive(_close(self._delivery._answer))
        self._core.running.pop(self._resume.request, None)
        self._entry.stopper.end(self._resume.request)

    async def _take_turn(self, item: Item | None) -> None:
        try:
            await self._take(item)
        except CallerGone:
            self.finish()
            return
        except OleanderError as error:
            await self._delivery.fail(error)
        if self._delivery.ended:
            self.finish()

    async def _take(self, item: Item | None) -> None:
        if item is None:
            await self._flush()
        elif isinstance(item, MessageReceived):
            await self._handlers[type(item.message)](item.message)
        else:
            await self._handle_end(item)


async def _close(answer: Answer) -> None:
    await answer._send({'type': CLOSED})
