"""Carry one attempt of a call straight to a backend server."""

from __future__ import annotations

from collections.abc import Callable

from oleanderdyke.clients.direct import (
    BackendConnection,
    make_head,
    set_idle_limit,
)
from oleanderdyke.clock import Millis
from oleanderdyke.entry.hosted.answers import (
    find_fault,
    has_events,
    is_own_answer,
    is_rest,
)
from oleanderdyke.entry.hosted.call import HostedCall, make_salt
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.entry.hosted.dispatch import (
    describe_dispatch,
    plan_contexts,
)
from oleanderdyke.entry.hosted.events import EventSplitter
from oleanderdyke.entry.hosted.lessons import Lessons
from oleanderdyke.entry.hosted.weights import (
    Weights,
    find_weights,
    may_begin,
)
from oleanderdyke.entry.inbox import Inbox
from oleanderdyke.errors import ErrorKind, Ran
from oleanderdyke.events import EventName
from oleanderdyke.kernel.attempt_events import (
    DispatchNotSent,
    MessageReceived,
    SendDispatch,
)
from oleanderdyke.kernel.backend import Backend, PendingAttempt
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
from oleanderdyke.platform.requests import (
    Dispatch,
    decode_answer,
    encode_request,
)

_SERVER_ERROR = 500
# A body up to this size is held until it is whole, so that a broken one can
# be asked for again and never looks complete.
_HELD_BYTES = 256 * 1024


class DirectAttempt:
    """Send one request to one start of a backend server; report its answer.

    The only server that runs it is the one that was chosen: it is named in
    the head, and any other refuses. The head can't name the start: what was
    sent is given up once the server is known to have started anew.
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
    ) -> None:
        self._core = core
        self._call = call
        self._inbox = inbox
        self._splitter = splitter
        self._reserve_retry = reserve_retry
        self._number = action.attempt
        self._start = start
        self._chosen_at = chosen_at
        self.server = start.server
        self._lessons = Lessons(core, call, start)
        self._name = f'{id(self):x}'
        self._connection: BackendConnection | None = None
        self._sequence = 0
        self._memory = 0
        self._weights: Weights = {}
        self._held: bytearray | None = bytearray()
        self._head: AnswerHead | None = None
        self._is_stream = False
        self._has_answered = False
        # A stream begins with its first event: a head alone may be sent before.
        self._has_begun = False
        self._address = ''
        self._sent = False
        self._done = False

    async def start(self) -> None:
        """Send the request on a kept connection or a new one."""
        core = self._core
        backend = core.backends.find_start(self._start)
        if backend is None or core.backends.is_leaving_or_gone(self._start):
            self._report_unsent('the server has left')
            return
        address = self._address = backend.record.address
        connection = core.pool.take_idle(address)
        try:
            if connection is None:
                connection = await core.pool.open(address)
        except OSError as error:
            core.backends.record_failure(self._start, core.clock.now())
            core.pool.drop_idle(address)
            self._report_unsent(f'cannot connect: {type(error).__name__}')
            return
        fault = self._find_send_fault(backend)
        if fault:
            connection.close()
            self._report_unsent(fault)
            return
        self._send(connection, backend)

    def withdraw_late(self) -> None:
        """Take back what waits on weights whose time to begin runs out.

        What has its first token has begun and goes on.
        """
        if self._done or not self._sent or self._has_begun:
            return
        if not may_begin(self._core, self._weights, CANCEL_MARGIN):
            self._close_failed(
                ErrorKind.STREAM_BROKEN, Ran.MAYBE, 'it waits on old weights'
            )

    def withdraw_superseded(self) -> None:
        """Take back what was sent to a start that has ended.

        Nothing of it comes any more, but a dead connection doesn't tell.
        """
        if self._done or not self._sent:
            return
        if self._core.backends.is_superseded(self._start):
            self._close_failed(
                ErrorKind.STREAM_BROKEN, Ran.MAYBE, 'its server started anew'
            )

    def cancel(self) -> None:
        """Stop the run by closing its connection."""
        if not self._done:
            self._finish()
            if self._connection is not None:
                self._connection.close()

    def fail(self, reason: str) -> None:
        """Give up on an answer that may still come."""
        if not self._done:
            self._note_lost()
            self._close_failed(ErrorKind.STREAM_BROKEN, Ran.MAYBE, reason)

    def find_overdue_time(self, now: Millis) -> Millis:
        """Return for how long the server has owed bytes and sent none."""
        backend = self._core.backends.find_start(self._start)
        if self._done or backend is None:
            return 0.0
        return backend.find_overdue_time(now)

    def take_head(self, status: int, headers: Headers) -> None:
        """Judge the head of the answer."""
        facts = decode_answer(status, headers)
        self._learn(facts)
        if self._done:
            return
        fault = find_fault(status, facts, self._call.request)
        if fault:
            self._close_failed(ErrorKind.STREAM_BROKEN, Ran.MAYBE, fault)
        elif facts.is_not_executed:
            self._lessons.take_refusal(facts, self._weights)
            self._report_failure(ErrorKind.OVERLOADED, Ran.NO, f'{status}')
        elif status >= _SERVER_ERROR and self._reserve_retry():
            self._core.backends.record_error(self._start)
            self._report_failure(ErrorKind.STREAM_BROKEN, Ran.YES, f'{status}')
        elif self._goes_on() and not is_rest(status, headers):
            reason = f'{status} instead of the rest of the stream'
            self._close_failed(ErrorKind.STREAM_BROKEN, Ran.MAYBE, reason)
        else:
            self._accept(status, headers)

    def take_part(self, data: bytes) -> None:
        """Pass on a part of the body, or hold it until the end."""
        if self._done:
            return
        self._has_begun = True
        self._note_heard()
        if self._splitter is not None and self._is_stream:
            for event in self._splitter.take(data):
                self._pass_on(event.data)
        elif self._held is None:
            self._pass_on(data)
        else:
            self._held += data
            if len(self._held) > _HELD_BYTES:
                self._release()

    def take_end(self) -> None:
        """Report that the answer is whole."""
        if self._done:
            return
        if self._is_stream and self._splitter and self._splitter.has_rest:
            self._close_failed(
                ErrorKind.STREAM_BROKEN, Ran.MAYBE, 'ended within an event'
            )
            return
        self._release()
        self._core.backends.record_success(self._start)
        self._finish()
        end = AnswerEnd(
            self._call.request, self._number, self._sequence, digest=b''
        )
        self._inbox.put(MessageReceived(end))

    def take_failure(self, reason: str) -> None:
        """Report that the answer broke off."""
        if not self._done:
            self._note_lost()
            self._report_failure(ErrorKind.STREAM_BROKEN, Ran.MAYBE, reason)

    def _goes_on(self) -> bool:
        """Return whether the caller already has events of an earlier run."""
        return self._splitter is not None and self._splitter.has_passed

    def _note_lost(self) -> None:
        """Leave the server out, and its kept connections unless it answered.

        They end with a start of the server, also where a cut hides that, and
        each would cost one more request.
        """
        core = self._core
        core.backends.record_failure(self._start, core.clock.now())
        if not self._has_answered:
            core.pool.drop_idle(self._address)

    def _find_send_fault(self, backend: Backend) -> str:
        """Return why nothing may be sent now, or nothing.

        What was true when the server was chosen may have changed while the
        connection was opened, by 300 ms at most.
        """
        if self._core.backends.is_leaving_or_gone(self._start):
            return 'the server left while connecting'
        obstacle = self._core.limits.find_send_obstacle(
            backend, self._chosen_at, self._core.clock.now()
        )
        if obstacle is not None:
            return obstacle.value
        weights = find_weights(self._call, backend)
        # What would wait at the engine until its time is over runs late where
        # a server doesn't drop the requests of closed connections.
        delay = backend.find_queue_delay(
            self._call.priority, self._core.clock.now()
        )
        if not may_begin(self._core, weights, FIRST_TOKEN_MARGIN + delay):
            return 'its weights were replaced too long ago'
        return ''

    def _send(self, connection: BackendConnection, backend: Backend) -> None:
        core, call = self._core, self._call
        record = backend.record
        self._connection = connection
        dispatch = self._make_dispatch(backend)
        head = make_head(
            call.method,
            call.target,
            encode_request(call.headers, dispatch),
            call.body,
            call.host,
        )
        self._sent = True
        demand = call.asked.demand
        tokens = 0
        if demand is not None:
            ready = backend.count_cached_tokens(demand.parts)
            ready = max(ready, dispatch.contexts.fetched_tokens)
            tokens = max(demand.prompt_tokens - ready, 0)
        self._memory = 0 if demand is None else demand.memory_tokens
        now = core.clock.now()
        owed = PendingAttempt(
            now,
            tokens,
            call.priority,
            self._memory,
            is_alone=not backend.waiting and not backend.count_waiting(now),
        )
        core.backends.record_sent(self._start, self._name, owed)
        core.limits.record_sent(backend, now)
        connection.send(head, call.body, self)
        core.log.write(
            EventName.DISPATCH_SENT,
            request=call.request,
            attempt=self._number,
            peer=record.server,
            address=record.address,
            version=dispatch.version,
            **describe_dispatch(core, call, dispatch.version),
            tokens=dispatch.contexts.fetched_tokens or None,
            segments=sum(map(bool, dispatch.contexts.sinks)) or None,
        )

    def _make_dispatch(self, backend: Backend) -> Dispatch:
        core, call = self._core, self._call
        demand = call.asked.demand
        self._weights = find_weights(call, backend)
        version = None if demand is None else self._weights[demand.model]
        salt = make_salt(call, version)
        last = self._splitter.last if self._splitter is not None else None
        return Dispatch(
            server=self.server,
            wait=call.deadline - core.clock.now(),
            team=call.team,
            version=version,
            priority=None if demand is None else call.priority,
            salt=salt,
            contexts=plan_contexts(core, call, backend, salt),
            last_event='' if last is None else str(last),
        )

    def _learn(self, facts: AnswerMetadata) -> None:
        core = self._core
        core.backends.record_received(self._start, self._name, core.clock.now())
        if is_own_answer(facts, self._call.request, self.server):
            self._lessons.take_facts(facts)
        if self._connection is not None:
            set_idle_limit(self._connection, facts.idle_timeout)

    def _accept(self, status: int, headers: Headers) -> None:
        self._has_answered = True
        self._is_stream = has_events(headers)
        self._has_begun = not self._is_stream
        self._head = AnswerHead(
            self._call.request, self._number, status, headers
        )
        if self._is_stream:
            self._release()
            self._lessons.take_begun()

    def _release(self) -> None:
        """Pass on the head and what was held of the body."""
        if self._head is not None:
            self._inbox.put(MessageReceived(self._head))
            self._head = None
        held, self._held = self._held, None
        if held:
            self._pass_on(bytes(held))

    def _pass_on(self, data: bytes) -> None:
        chunk = AnswerChunk(
            self._call.request, self._number, self._sequence, data
        )
        self._sequence += 1
        self._inbox.put(MessageReceived(chunk))

    def _note_heard(self) -> None:
        backend = self._core.backends.find_start(self._start)
        if backend is not None:
            backend.last_heard_at = self._core.clock.now()

    def _close_failed(self, kind: ErrorKind, ran: Ran, reason: str) -> None:
        self._report_failure(kind, ran, reason)
        if self._connection is not None:
            self._connection.close()

    def _report_failure(self, kind: ErrorKind, ran: Ran, reason: str) -> None:
        self._finish()
        if self._splitter is not None:
            self._splitter.restart()
        self._log_broken(ran, reason)
        failed = Failed(self._call.request, self._number, kind, ran, reason)
        self._inbox.put(MessageReceived(failed))

    def _report_unsent(self, reason: str) -> None:
        self._done = True
        self._log_broken(Ran.NO, reason)
        self._inbox.put(DispatchNotSent(self._number))

    def _log_broken(self, ran: Ran, reason: str) -> None:
        self._core.log.write(
            EventName.ANSWER_BROKEN,
            request=self._call.request,
            attempt=self._number,
            peer=self.server,
            ran=ran.value,
            reason=reason,
        )

    def _finish(self) -> None:
        self._done = True
        if self._sent:
            self._core.backends.record_ended(
                self._start, self._name, self._memory
            )
