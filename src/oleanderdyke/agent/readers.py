"""Delivery of streams to the entries that read them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from oleanderdyke.agent.failures import make_unread_failure
from oleanderdyke.agent.outbox import Outbox
from oleanderdyke.agent.run import Run
from oleanderdyke.clock import Clock
from oleanderdyke.events import EventName
from oleanderdyke.kernel.stream_buffer import Reader, StreamBuffer
from oleanderdyke.kernel.stream_table import StreamTable
from oleanderdyke.links.messages import Credit, Failed, Message, Resume
from oleanderdyke.logs import EventLog


class Readers:
    """Map streams to their readers and to the runs that fill them."""

    def __init__(
        self,
        streams: StreamTable,
        outboxes: Mapping[str, Outbox],
        *,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._streams = streams
        self._outboxes = outboxes
        self._clock = clock
        self._events = events
        self._runs: dict[StreamBuffer, Run] = {}
        self._buffers: dict[Reader, StreamBuffer] = {}

    def find_run(self, reader: Reader) -> Run | None:
        """Return the run that fills the stream of a reader, if any."""
        buffer = self._buffers.get(reader)
        return None if buffer is None else self._runs.get(buffer)

    def attach(self, run: Run, buffer: StreamBuffer) -> None:
        """Register the reader of a new stream.

        The stream starts detached if the link of the reader has closed.
        """
        self._runs[buffer] = run
        if run.outbox.name in self._outboxes:
            self._buffers[run.reader] = buffer
            return
        buffer.detach(run.outbox.name, self._clock.now())

    def grant(self, outbox: Outbox, credit: Credit) -> None:
        """Apply the credit of a reader and send what it allows."""
        reader = Reader(outbox.name, credit.request, credit.attempt)
        buffer = self._buffers.get(reader)
        if buffer is None:
            return
        self.send(reader, buffer.grant(credit, self._clock.now()))
        self._update_progress(buffer)

    def resume(self, outbox: Outbox, message: Resume) -> None:
        """Move a stream to the reader that resumes it."""
        now = self._clock.now()
        resumed = self._streams.resume(message, outbox.name, now)
        if isinstance(resumed, Failed):
            outbox.put(resumed)
            return
        reader = Reader(outbox.name, message.request, message.attempt)
        if resumed.superseded is not None:
            self._buffers.pop(resumed.superseded, None)
            notice = () if resumed.notice is None else (resumed.notice,)
            self.send(resumed.superseded, notice)
        self._buffers[reader] = resumed.stream
        self.send(reader, resumed.messages)
        self._events.write(
            EventName.STREAM_RESUMED,
            request=message.request,
            attempt=message.attempt,
            peer=outbox.peer.process,
        )
        self._update_progress(resumed.stream)

    def drop_link(self, link: str) -> None:
        """Detach the streams of a closed link, so that they can be resumed."""
        self._streams.detach(link, self._clock.now())
        for reader in [each for each in self._buffers if each.link == link]:
            del self._buffers[reader]

    def expire(self) -> Iterable[Run]:
        """Close the streams whose readers made no progress in time.

        Yields the runs that filled them.
        """
        for buffer in self._streams.expire(self._clock.now()):
            reader = buffer.reader
            run = self._runs.pop(buffer, None)
            if reader is not None:
                self._buffers.pop(reader, None)
                self.send(reader, (make_unread_failure(reader),))
            if run is not None:
                run.buffer = None
                yield run

    def close_stream(self, run: Run) -> None:
        """Close the stream of a run and wake the task that waits for it."""
        buffer = run.buffer
        run.buffer = None
        if buffer is not None:
            self._streams.close(buffer)
            self._runs.pop(buffer, None)
            if buffer.reader is not None:
                self._buffers.pop(buffer.reader, None)
        run.notify()

    def remove(self, run: Run) -> None:
        """Remove a finished run; an unsent stream stays for a new reader."""
        if run.buffer is not None:
            self._runs.pop(run.buffer, None)

    def send(self, reader: Reader, messages: Iterable[Message]) -> None:
        """Queue messages for a reader; discard them if it is disconnected."""
        outbox = self._outboxes.get(reader.link)
        if outbox is None:
            return
        for message in messages:
            outbox.put(message)

    async def push(self, reader: Reader, messages: Sequence[Message]) -> None:
        """Send messages to a reader; discard them if it is disconnected."""
        outbox = self._outboxes.get(reader.link)
        if outbox is not None:
            await outbox.push(messages)

    def _update_progress(self, buffer: StreamBuffer) -> None:
        if buffer.is_sent and buffer.reader is not None:
            self._buffers.pop(buffer.reader, None)
        run = self._runs.get(buffer)
        if run is not None:
            run.notify()
