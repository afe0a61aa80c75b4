"""Send one attempt of a call directly to a backend server."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Mapping
from typing import TYPE_CHECKING, Any

from h11 import Request

from oleanderdyke.clients.direct import (
    HEAD_FAULTS,
    BackendConnection,
    make_head,
    set_idle_limit,
)
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.entry.hosted.answers import (
    continues_stream,
    drop_length,
    find_answer_fault,
    is_own_answer,
)
from oleanderdyke.entry.hosted.backend_updates import BackendUpdates
from oleanderdyke.entry.hosted.call import HostedCall, make_salt
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.entry.hosted.crashes import name_request
from oleanderdyke.entry.hosted.dispatch import (
    Weights,
    describe_dispatch,
    find_weights,
    may_begin,
    plan_contexts,
)
from oleanderdyke.entry.hosted.events import (
    EventFramer,
    EventSplitter,
    PassedEvents,
    ServerSentEvent,
)
from oleanderdyke.entry.inbox import Inbox
from oleanderdyke.errors import ErrorKind, Ran
from oleanderdyke.event_streams import EventFault, is_event_stream
from oleanderdyke.events import EventName
from oleanderdyke.kernel.attempt_events import (
    DispatchNotSent,
    MessageReceived,
    SendDispatch,
)
from oleanderdyke.kernel.backend import Backend, PendingAttempt
from oleanderdyke.kernel.context_stores import NO_CONTEXTS
from oleanderdyke.kernel.outstanding_sends import (
    RequestSends,
    Send,
    SendEnd,
)
from oleanderdyke.kernel.poison import PoisonStatus
from oleanderdyke.kernel.servers import AnswerMetadata, ServerStart
from oleanderdyke.kernel.weight_versions import (
    CANCEL_MARGIN,
    FIRST_TOKEN_MARGIN,
)
from oleanderdyke.links.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    Failed,
    Headers,
)
from oleanderdyke.logs import LogValue
from oleanderdyke.platform.requests import (
    Dispatch,
    decode_answer,
    encode_request,
    find_request,
)

if TYPE_CHECKING:
    from oleanderdyke.entry.hosted.copies import CallCopies
    from oleanderdyke.entry.hosted.scheduler import Scheduler
    from oleanderdyke.entry.hosted.speed_samples import StreamSamples
    from oleanderdyke.entry.hosted.stream_pin import StreamPin
    from oleanderdyke.entry.hosted.unread import StreamFlow

_SERVER_ERROR = 500
# The list of servers is read within some 100 ms on request.
_LISTING_LIMIT: Millis = 1 * SECOND
# What is known of a request that must not be sent now.
_UNSENT = frozenset({PoisonStatus.QUARANTINED, PoisonStatus.WAITING})
_CLOSE_FRAMING = 'close'
# A server that crashes on a request does so soon after it began to answer.
_BEGINNING: Millis = 250.0
# One that has answered a request for longer doesn't crash on it.
_PROVEN_AFTER: Millis = 500.0
# An engine that goes on from a copy sends events after this one.
_NO_EVENT = 0
# Bodies up to this size in bytes are buffered until they are complete, so that
# a truncated one can be retried and never reaches the caller.
_BUFFER_LIMIT = 256 * 1024
# Unread bytes of a stream that are not limited: as many as the connection to
# the caller buffers.
_FREE_BYTES = 64 * 1024


class DirectAttempt:
    """Send a request to one incarnation of a server and report its response.

    The request head names the chosen server, and any other server refuses to
    run the request. The head can't name the incarnation, so the attempt is
    aborted once the server is known to have restarted.
    """

    def __init__(
        self,
        core: HostedCore,
        call: HostedCall,
        action: SendDispatch,
        *,
        start: ServerStart,
        chosen_at: Millis,
        inbox: Inbox,
        splitter: EventSplitter | None,
        reserve_retry: Callable[[], bool],
        sends: RequestSends,
        copies: CallCopies | None = None,
        pin: StreamPin | None = None,
        find_flow: Callable[[], StreamFlow] | None = None,
        run_soon: Callable[[Callable[[], Coroutine[Any, Any, None]]], None],
    ) -> None:
        self._core = core
        self._call = call
        self._inbox = inbox
        self._splitter = splitter
        # Where the events of a stream end, also of one that can't go on.
        self._framer: EventFramer | None = None
        self._pin = pin
        self._reserve_retry = reserve_retry
        self._sends = sends
        self._send_record: Send | None = None
        self._copies = copies
        self._find_flow = find_flow
        self._run_soon = run_soon
        self._is_paused = False
        # The server with a copy of this run, once its connection is lost.
        self._lost_copy = ''
        self._is_silent = False
        self.number = action.attempt
        self._start = start
        self._chosen_at = chosen_at
        self.server = start.server
        self._updates = BackendUpdates(core, call, start)
        self._attempt_id = f'{id(self):x}'
        self._connection: BackendConnection | None = None
        self._sequence = 0
        self._memory_tokens = 0
        self._samples: StreamSamples | None = None
        self._scheduler: Scheduler | None = None
        self._weights: Weights = {}
        self._buffered: bytearray | None = bytearray()
        self._head: AnswerHead | None = None
        self._is_stream = False
        self._has_answered = False
        # Set by the first body bytes for streams, whose head may be sent
        # earlier, and by the head for all other responses.
        self._has_started = False
        self._address = ''
        # The version of the server's software as the request was sent.
        self._software = ''
        self._has_events = False
        self._passed = PassedEvents()
        # When the first part of the body arrived.
        self._began_at: Millis | None = None
        self._is_proven = False
        # Names the whole request in the log if its server broke off.
        self._lost_digest: str | None = None
        self._sent_at: Millis | None = None
        self._sent = False
        self._done = False

    async def start(self) -> None:
        """Send the request on an idle connection or a new one."""
        core = self._core
        backend = core.backends.find_start(self._start)
        if backend is None or core.backends.is_leaving_or_gone(self._start):
            self._report_unsent('server is leaving or gone')
            return
        address = self._address = backend.record.address
        connection = core.pool.take_idle(address, self._call.request)
        try:
            if connection is None:
                connection = await core.pool.open(address)
        except OSError as error:
            core.backends.record_failure(self._start, core.clock.now())
            core.pool.drop_idle(address)
            self._report_unsent(f'cannot connect: {type(error).__name__}')
            return
        try:
            fault = await self._find_listing_fault(connection, backend)
        except BaseException:
            connection.close()
            raise
        fault = fault or self._find_send_fault(backend)
        if fault:
            connection.close()
            self._report_unsent(fault)
            return
        self._send(connection, backend)

    async def _find_listing_fault(
        self, connection: BackendConnection, backend: Backend
    ) -> str:
        """Return why a stream may not go on over a connection, or ''.

        A server is listed before it accepts connections. One that accepted this
        connection after the last list was read may have started anew, with
        another version of the software.
        """
        core = self._core
        if connection.opened_at is None:
            connection.opened_at = core.clock.now()
        if self._pin is None or self._pin.software is None:
            return ''
        limit = min(_LISTING_LIMIT, self._call.deadline - core.clock.now())
        if await core.wait_listed(connection.opened_at, limit):
            return ''
        # Without the store a server counts as the listed one until it fails.
        if not backend.failures:
            return ''
        return 'the server may have started anew since it was listed'

    def abort_if_outdated(self) -> None:
        """Abort a request still queued on weights that are about to expire.

        A request that has produced its first token continues.
        """
        if self._done or not self._sent or self._has_started:
            return
        if not may_begin(self._core, self._weights, CANCEL_MARGIN):
            self._close_failed(
                ErrorKind.STREAM_BROKEN,
                Ran.MAYBE,
                'request was still queued on outdated weights',
            )

    def abort_if_superseded(self) -> None:
        """Abort a request sent to an incarnation that has ended.

        No response can follow, but the dead connection may not show it.
        """
        if self._done or not self._sent:
            return
        if self._core.backends.is_superseded(self._start):
            self._lost_copy = self._find_copy(is_ended=True)
            if self._send_record is not None:
                self._send_record.arrive(SendEnd.SERVER_ENDED)
            if not self._has_written_for(_BEGINNING):
                self._core.crashes.record_lost_run(self._start, self._call)
            self._close_failed(
                ErrorKind.STREAM_BROKEN, Ran.MAYBE, 'server restarted'
            )

    @property
    def framing(self) -> str | None:
        """Return how the response was framed, if by its connection alone."""
        connection = self._connection
        if connection is None or not connection.has_ended_answer:
            return None
        return _CLOSE_FRAMING

    def describe_events(self) -> Mapping[str, LogValue]:
        """Return log fields of the passed events and the start they are of."""
        passed = self._passed.describe()
        if not passed:
            return {}
        return {
            'incarnation': self._start.born,
            'software': self._software or None,
            **passed,
        }

    def cancel(self) -> None:
        """Stop the server's run by closing the connection."""
        if not self._done:
            self._finish()
            if self._connection is not None:
                self._connection.close()

    def fail(self, reason: str) -> None:
        """Abort an attempt whose silent server may still respond."""
        if not self._done:
            self._is_silent = True
            self._record_loss()
            self._close_failed(ErrorKind.STREAM_BROKEN, Ran.MAYBE, reason)

    def pause(self) -> None:
        """Stop reading from the server until `resume`."""
        if self._done or self._is_paused or self._connection is None:
            return
        self._is_paused = True
        backend = self._core.backends.find_start(self._start)
        if backend is not None:
            backend.paused += 1
        self._connection.pause_reading()

    def resume(self) -> None:
        """Read from the server again, which could send nothing meanwhile."""
        if not self._is_paused or self._connection is None:
            return
        self._is_paused = False
        backend = self._core.backends.find_start(self._start)
        if backend is not None:
            backend.paused -= 1
            backend.last_heard_at = self._core.clock.now()
        self._connection.resume_reading()

    def find_overdue_time(self, now: Millis) -> Millis:
        """Return for how long the server has sent nothing while work is due."""
        backend = self._core.backends.find_start(self._start)
        if self._done or self._is_paused or backend is None:
            return 0.0
        return backend.find_overdue_time(now)

    def find_other_request(self, headers: Headers) -> str:
        """Return the id of the other request that an answer names, or ''."""
        named = find_request(headers)
        return '' if named == self._call.request else named

    def take_head(self, status: int, headers: Headers) -> None:
        """Validate the response head and accept it or report a failure."""
        metadata = decode_answer(status, headers)
        self._record_metadata(metadata)
        if self._done:
            return
        fault = self._find_answer_fault(status, metadata)
        if fault:
            self._close_failed(ErrorKind.STREAM_BROKEN, Ran.MAYBE, fault)
        elif metadata.is_not_executed:
            self._take_refusal(status, metadata)
        elif status >= _SERVER_ERROR and self._reserve_retry():
            self._core.backends.record_error(self._start)
            self._report_failure(ErrorKind.STREAM_BROKEN, Ran.YES, f'{status}')
            self._drain()
        elif self._is_continuation() and not continues_stream(status, headers):
            reason = f'status {status} instead of the rest of the stream'
            self._close_failed(ErrorKind.STREAM_BROKEN, Ran.MAYBE, reason)
        else:
            self._accept(status, headers)

    def _find_answer_fault(self, status: int, metadata: AnswerMetadata) -> str:
        """Return why a response must be rejected, or ''."""
        connection = self._connection
        is_late_possible = (
            connection is not None and connection.has_late_answers
        )
        if is_late_possible and not metadata.request:
            return 'response without a request id after a late one'
        return find_answer_fault(status, metadata, self._call.request)

    def _take_refusal(self, status: int, metadata: AnswerMetadata) -> None:
        if self._copies is not None:
            self._copies.record_refusal()
        self._updates.apply_refusal(metadata, self._weights)
        self._report_failure(ErrorKind.OVERLOADED, Ran.NO, f'{status}')
        self._drain()

    def _drain(self) -> None:
        """Let the body of a failure end, so that its connection can be kept."""
        if self._connection is not None:
            self._connection.drain()

    def take_part(self, data: bytes) -> int:
        """Forward a part of the body, or buffer it until the end.

        Return the number of events in it.
        """
        if self._done:
            return 0
        self._record_start()
        self._record_activity(data)
        if self._framer is not None:
            return self._take_events(self._framer, data)
        if self._buffered is None:
            self._forward(data)
        else:
            self._buffered += data
            if len(self._buffered) > _BUFFER_LIMIT:
                self._flush()
        return 0

    def _take_events(self, framer: EventFramer, data: bytes) -> int:
        if fault := self._find_software_fault():
            self._close_failed(ErrorKind.STREAM_BROKEN, Ran.MAYBE, fault)
            return 0
        count = 0
        try:
            for event in framer.feed(data):
                self._take_event(event)
                count += 1
        except EventFault as fault:
            self._reject_events(str(fault))
        return count

    def _reject_events(self, fault: str) -> None:
        """Believe nothing more of an answer with bytes that fit no event."""
        self._core.backends.record_error(self._start)
        position = 0 if self._splitter is None else self._splitter.position
        reason = f'{fault}, {position} bytes into the answer'
        self._close_failed(ErrorKind.STREAM_BROKEN, Ran.MAYBE, reason)

    def _take_event(self, event: ServerSentEvent) -> None:
        if not self._has_events and self._pin is not None:
            self._pin.begin(self._software)
        self._has_events = True
        self._passed.record(event.number)
        self._forward(event.data)

    def _find_software_fault(self) -> str:
        """Return why the first event may not be passed on, or ''."""
        if self._has_events or self._pin is None:
            return ''
        return self._pin.find_fault(self._start, self._software)

    def take_end(self) -> None:
        """Report that the response is complete."""
        if self._done:
            return
        if self._framer is not None and self._framer.has_partial_event:
            self._close_failed(
                ErrorKind.STREAM_BROKEN, Ran.MAYBE, 'stream ended mid-event'
            )
        elif self.framing is not None:
            self._run_soon(self._confirm_end)
        else:
            self._complete()

    async def _confirm_end(self) -> None:
        """Report the end of a response that has ended with its connection.

        It counts as incomplete if its server accepts no connection any more,
        also if that one leaves as announced: it may have been killed. This
        can't wait for the caller to read, as another server may listen by then.
        """
        pool, backends = self._core.pool, self._core.backends
        # Callers of other bodies wait for the end, and get it at once, unless
        # the end of the server is likely.
        is_careful = self._is_stream or backends.is_leaving_or_gone(self._start)
        confirm = pool.outlives if is_careful else pool.replace
        is_alive = await confirm(self._address)
        if self._done:
            return
        if is_alive:
            self._complete()
        else:
            self.take_failure('the server ended with its response')

    def _complete(self) -> None:
        self._prove_sound()
        self._flush()
        self._forward_rest()
        self._core.backends.record_success(self._start)
        self._finish()
        end = AnswerEnd(
            self._call.request, self.number, self._sequence, digest=b''
        )
        self._inbox.put(MessageReceived(end))

    def take_failure(self, reason: str) -> None:
        """Report that the connection was lost before the response ended."""
        if not self._done:
            self._record_loss()
            has_closed = self._has_peer_closed()
            if has_closed:
                self._lost_copy = self._find_copy(is_ended=False)
                self._report_loss()
                if self._send_record is not None:
                    self._send_record.give_up(is_closed=True)
            self._report_failure(ErrorKind.STREAM_BROKEN, Ran.MAYBE, reason)

    def _report_loss(self) -> None:
        if self._sent_at is not None:
            self._lost_digest = name_request(self._call)
            self._core.crashes.record_loss(
                self._start,
                self._address,
                self._call,
                sent_at=self._sent_at,
                has_written=self._has_written_for(_BEGINNING),
            )

    def _prove_sound(self) -> None:
        if self._is_proven:
            return
        self._is_proven = True
        now = self._core.clock.now()
        began_at = now if self._began_at is None else self._began_at
        self._core.crashes.record_sound(self._call, began_at)

    def _has_written_for(self, duration: Millis) -> bool:
        """Return whether the server began its answer that long ago."""
        began_at = self._began_at
        now = self._core.clock.now()
        return began_at is not None and now - began_at >= duration

    def _has_peer_closed(self) -> bool:
        """Return whether the connection was closed, and not only silent."""
        connection = self._connection
        return connection is not None and connection.was_closed_by_peer

    def _find_copy(self, *, is_ended: bool) -> str:
        """Return the server with a copy of this lost run, or ''."""
        if self._copies is None or (self._has_answered and not self._is_stream):
            return ''
        return self._copies.find_lost(
            self._attempt_id, self._splitter, is_ended=is_ended
        )

    def _is_continuation(self) -> bool:
        """Return whether the caller has events from an earlier attempt."""
        return self._splitter is not None and self._splitter.has_yielded

    def _record_loss(self) -> None:
        """Mark the server as failed; drop idle connections without a response.

        Idle connections die when the server restarts, even if a network
        partition hides it, and each of them would fail one more request.
        """
        core = self._core
        core.backends.record_failure(self._start, core.clock.now())
        if not self._has_answered:
            core.pool.drop_idle(self._address)

    def _find_send_fault(self, backend: Backend) -> str:
        """Return why the request may no longer be sent, or ''.

        Conditions may have changed since the server was chosen, as opening the
        connection takes up to 300 ms.
        """
        if self._core.backends.is_leaving_or_gone(self._start):
            return 'the server left while connecting'
        if self._core.crashes.find_status(self._call) in _UNSENT:
            return 'servers ended on equal requests meanwhile'
        fault = self._find_pin_fault(backend)
        if fault:
            return fault
        obstacle = self._core.limits.find_send_obstacle(
            backend, self._chosen_at, self._core.clock.now()
        )
        if obstacle is not None:
            return obstacle.value
        weights = find_weights(self._call, backend)
        # Include the expected queueing delay: a server that doesn't drop the
        # requests of closed connections would run the request on weights that
        # have expired by then.
        delay = backend.find_queue_delay(
            self._call.priority, self._core.clock.now()
        )
        if not may_begin(self._core, weights, FIRST_TOKEN_MARGIN + delay):
            return 'weights of the server were replaced too long ago'
        return self._find_copy_fault(weights)

    def _find_pin_fault(self, backend: Backend) -> str:
        if self._pin is None:
            return ''
        now = self._core.clock.now()
        return self._pin.find_send_fault(backend.record, now)

    def _find_copy_fault(self, weights: Weights) -> str:
        source = None if self._copies is None else self._copies.source
        if source is not None and weights[source.model] != source.version:
            return 'the copy of the run was made under other weights'
        return ''

    def _send(self, connection: BackendConnection, backend: Backend) -> None:
        core, call = self._core, self._call
        record = backend.record
        dispatch = self._make_dispatch(backend)
        try:
            head = self._make_head(dispatch)
        except HEAD_FAULTS as error:
            connection.close()
            if self._copies is not None:
                self._copies.end(self._attempt_id, is_not_run=True)
            self._report_unsent(f'head not sendable: {type(error).__name__}')
            return
        if core.crashes.find_status(call) is PoisonStatus.TRIAL:
            core.crashes.begin_trial(call, self._start)
        self._software = record.software
        self._connection = connection
        self._sent = True
        self._send_record = self._sends.begin(self._start)
        demand = call.parameters.demand
        tokens = 0
        if demand is not None:
            ready = backend.count_cached_tokens(demand.parts)
            ready = max(ready, dispatch.contexts.fetched_tokens)
            tokens = max(demand.prompt_tokens - ready, 0)
        self._memory_tokens = 0 if demand is None else demand.memory_tokens
        now = self._sent_at = core.clock.now()
        pending = PendingAttempt(
            now,
            tokens,
            call.priority,
            self._memory_tokens,
            is_alone=not backend.waiting and not backend.count_waiting(now),
        )
        core.backends.record_sent(self._start, self._attempt_id, pending)
        core.limits.record_sent(backend, now)
        self._record_work(tokens)
        if self._scheduler is not None:
            self._samples = self._scheduler.speed_sampler.watch(
                backend, pending, dispatch.contexts
            )
        connection.send(head, call.body, self, request=call.request)
        core.log.write(
            EventName.DISPATCH_SENT,
            request=call.request,
            attempt=self.number,
            peer=record.server,
            address=record.address,
            version=dispatch.version,
            software=record.software or None,
            **describe_dispatch(core, call, dispatch.version),
            tokens=dispatch.contexts.fetched_tokens or None,
            segments=sum(map(bool, dispatch.contexts.sinks)) or None,
        )

    def _make_head(self, dispatch: Dispatch) -> Request:
        call = self._call
        headers = encode_request(call.headers, dispatch)
        return make_head(
            call.method, call.target, headers, call.body, call.host
        )

    def _record_work(self, unread: int) -> None:
        """Add this attempt to the work that entries share."""
        self._scheduler = self._core.scheduling.find_scheduler(self._call)
        if self._scheduler is not None:
            self._scheduler.begin(
                self._call,
                self._start,
                self._attempt_id,
                unread=unread,
                is_first=self.number == 1,
            )

    def _make_dispatch(self, backend: Backend) -> Dispatch:
        core, call = self._core, self._call
        demand = call.parameters.demand
        self._weights = find_weights(call, backend)
        version = None if demand is None else self._weights[demand.model]
        salt = make_salt(call, version)
        target, source = self._plan_copies(backend, version)
        last = (
            self._splitter.last_number if self._splitter is not None else None
        )
        if source and last is None:
            last = _NO_EVENT
        return Dispatch(
            server=self.server,
            wait=call.deadline - core.clock.now(),
            team=call.team,
            version=version,
            priority=None if demand is None else call.priority,
            salt=salt,
            contexts=NO_CONTEXTS
            if source
            else plan_contexts(core, call, backend, salt),
            last_event='' if last is None else str(last),
            copy_target=target,
            copy_source=source,
        )

    def _plan_copies(
        self, backend: Backend, version: int | None
    ) -> tuple[str, str]:
        """Return where the run is copied to, or the copy it goes on from."""
        copies = self._copies
        if copies is None:
            return '', ''
        source = copies.source
        target = ''
        if source is None:
            target = copies.ask(backend, version, self._attempt_id)
        self._splitter = copies.find_splitter(self._splitter)
        return target, '' if source is None else source.address

    def _record_metadata(self, metadata: AnswerMetadata) -> None:
        core = self._core
        core.backends.record_received(
            self._start, self._attempt_id, core.clock.now()
        )
        self._record_read(metadata)
        if is_own_answer(metadata, self._call.request, self.server):
            self._updates.apply_metadata(metadata)
        if self._connection is not None:
            set_idle_limit(self._connection, metadata.idle_timeout)

    def _record_read(self, metadata: AnswerMetadata) -> None:
        """Record that the server has read the request, if its answer shows it.

        A proxy's own answer doesn't, nor does a late one to another request.
        """
        is_shown = metadata.request == self._call.request
        if is_shown and self._send_record is not None:
            self._send_record.record_answer()

    def _accept(self, status: int, headers: Headers) -> None:
        self._has_answered = True
        self._is_stream = is_event_stream(headers)
        self._has_started = not self._is_stream
        if self._may_go_on_elsewhere():
            headers = drop_length(headers)
        self._head = AnswerHead(
            self._call.request, self.number, status, headers
        )
        if self._is_stream:
            if self._splitter is not None:
                self._splitter.begin_answer()
            self._framer = self._splitter or EventFramer()
            self._flush()
            self._updates.apply_stream_start()
            if self._copies is not None:
                self._copies.record_stream()

    def _may_go_on_elsewhere(self) -> bool:
        """Return whether another server may add events of another length."""
        splitter = self._splitter
        return (
            self._is_stream and splitter is not None and splitter.is_resumable
        )

    def _flush(self) -> None:
        """Forward the head and the buffered part of the body."""
        if self._head is not None:
            # The rest of a body that is no stream is known to its run alone.
            is_alone = not self._is_stream
            self._inbox.put(MessageReceived(self._head, is_alone=is_alone))
            self._head = None
        buffered, self._buffered = self._buffered, None
        if buffered:
            self._forward(bytes(buffered))

    def _forward_rest(self) -> None:
        """Forward blank bytes after the last event: the body must be whole."""
        rest = b'' if self._framer is None else self._framer.take_rest()
        if rest:
            self._forward(rest)

    def _forward(self, data: bytes) -> None:
        chunk = AnswerChunk(
            self._call.request, self.number, self._sequence, data
        )
        self._sequence += 1
        self._inbox.unread += len(data)
        self._inbox.put(MessageReceived(chunk))
        if self._inbox.unread > _FREE_BYTES and self._find_flow is not None:
            self._find_flow().hold(self)

    def _record_start(self) -> None:
        if self._scheduler is not None and not self._has_started:
            self._scheduler.record_first_byte(self._attempt_id)
        self._has_started = True

    def _record_activity(self, data: bytes) -> None:
        now = self._core.clock.now()
        if self._began_at is None:
            self._began_at = now
        elif self._has_written_for(_PROVEN_AFTER):
            self._prove_sound()
        backend = self._core.backends.find_start(self._start)
        if backend is not None:
            backend.last_heard_at = now
        if self._samples is not None and self._is_stream:
            self._samples.record_part(data, now)

    def _close_failed(self, kind: ErrorKind, ran: Ran, reason: str) -> None:
        self._report_failure(kind, ran, reason)
        if self._connection is not None:
            self._connection.close()

    def _report_failure(self, kind: ErrorKind, ran: Ran, reason: str) -> None:
        self._finish(is_not_run=ran is Ran.NO)
        if self._splitter is not None:
            self._splitter.discard_partial()
        self._log_broken(ran, reason)
        failed = Failed(self._call.request, self.number, kind, ran, reason)
        self._inbox.put(
            MessageReceived(failed, self._lost_copy, self._is_silent)
        )

    def _report_unsent(self, reason: str) -> None:
        self._done = True
        self._sends.record_unsent()
        self._log_broken(Ran.NO, reason)
        self._inbox.put(DispatchNotSent(self.number))

    def _log_broken(self, ran: Ran, reason: str) -> None:
        age = None
        if self._sent_at is not None:
            age = round(self._core.clock.now() - self._sent_at, 1)
        self._core.log.write(
            EventName.ANSWER_BROKEN,
            request=self._call.request,
            attempt=self.number,
            peer=self.server,
            **self.describe_events(),
            ran=ran.value,
            reason=reason,
            framing=self.framing,
            age=age,
            digest=self._lost_digest,
        )

    def _finish(self, *, is_not_run: bool = False) -> None:
        self._done = True
        if self._send_record is not None:
            self._send_record.give_up(is_closed=False)
        self.resume()
        if self._copies is not None:
            self._copies.end(self._attempt_id, is_not_run=is_not_run)
        if self._sent:
            self._core.backends.record_ended(
                self._start, self._attempt_id, self._memory_tokens
            )
        if self._scheduler is not None:
            self._scheduler.end(self._attempt_id)
