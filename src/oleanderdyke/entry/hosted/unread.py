"""Hold back the servers of streams whose callers read slowly."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from oleanderdyke.clock import Millis
from oleanderdyke.events import EventName
from oleanderdyke.kernel.scheduling.unread_bytes import UnreadBytes, find_bound
from oleanderdyke.metrics import Count, Gauge

if TYPE_CHECKING:
    from oleanderdyke.entry.hosted.core import HostedCore
    from oleanderdyke.entry.inbox import Inbox


class Source(Protocol):
    """The attempt that receives a stream from its server."""

    def pause(self) -> None:
        """Stop reading from the server."""

    def resume(self) -> None:
        """Read from the server again."""


class StreamFlow:
    """Pause and resume the server of one stream."""

    def __init__(
        self,
        unread: UnreadAnswers,
        inbox: Inbox,
        request: str,
        end: Callable[[], None],
    ) -> None:
        self._unread = unread
        self._inbox = inbox
        self._end = end
        self.request = request
        self._source: Source | None = None
        self._is_closed = False

    @property
    def held(self) -> int:
        """Return how many bytes the caller hasn't taken."""
        return self._inbox.unread

    def hold(self, source: Source) -> None:
        """Pause the source of a part that was just received, if needed."""
        if self._is_closed:
            return
        self._source = source
        if self._unread.ledger.hold(self, self.held, self._unread.now()):
            source.pause()
            self._unread.end_stalled()

    def record_read(self) -> None:
        """Resume the source if the caller has taken enough."""
        may_resume = self._unread.ledger.read(
            self, self.held, self._unread.now()
        )
        if may_resume and self._source is not None:
            self._source.resume()

    def close(self) -> None:
        """Release what the stream held."""
        self._is_closed = True
        self._unread.ledger.forget(self)

    def end(self) -> None:
        """End the stream so that it doesn't look complete."""
        self.close()
        self._end()


class UnreadAnswers:
    """Bound the unread bytes of all streams of an entry."""

    def __init__(self, core: HostedCore) -> None:
        self._core = core
        self.ledger = UnreadBytes(find_bound(core.settings.memory))

    def make_flow(
        self, inbox: Inbox, request: str, end: Callable[[], None]
    ) -> StreamFlow:
        """Make the flow of one stream; `end` ends it at once."""
        return StreamFlow(self, inbox, request, end)

    def now(self) -> Millis:
        """Return the time of the entry's clock."""
        return self._core.clock.now()

    def end_stalled(self) -> None:
        """End streams that aren't read until the rest is within the bound."""
        now = self.now()
        while (flow := self.ledger.find_stalled(now)) is not None:
            if isinstance(flow, StreamFlow):
                self._log_ended(flow, self.ledger.find_idle_time(flow, now))
                flow.end()

    def update_gauge(self) -> None:
        """Set the gauge of the bytes held."""
        self._core.metrics.set_gauge(Gauge.UNREAD_BYTES, self.ledger.total)

    def _log_ended(self, flow: StreamFlow, idle: Millis) -> None:
        self._core.metrics.add(Count.UNREAD_ENDED)
        self._core.log.write(
            EventName.UNREAD_ENDED,
            request=flow.request,
            length=flow.held,
            duration=round(idle),
            limit=self.ledger.bound,
        )
