"""ASGI application for callers and the load balancer's readiness checks."""

from __future__ import annotations

from oleanderdyke.entry.answers import (
    CONNECTION_EXTENSION,
    CallerConnection,
)
from oleanderdyke.entry.edge import (
    Body,
    CallerGone,
    Head,
    Receive,
    Scope,
    Send,
    parse_head,
)
from oleanderdyke.entry.hosted.call import (
    AuthorizedRequest,
    authorize_request,
    make_call,
)
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.entry.hosted.driver import BrokenAnswer, HostedDriver
from oleanderdyke.entry.hosted.reply import Reply
from oleanderdyke.entry.stopping import Stopper
from oleanderdyke.errors import ErrorKind, OleanderError, Ran, find_position
from oleanderdyke.events import EventName
from oleanderdyke.kernel.deployment import CallerLimits
from oleanderdyke.metrics import Count
from oleanderdyke.platform import names

_READY = 200
_NOT_READY = 503


class HostedApp:
    """Serve HTTP requests and answer every failure with a typed error."""

    def __init__(
        self, core: HostedCore, stopper: Stopper, readiness_port: int
    ) -> None:
        self._core = core
        self._stopper = stopper
        self._readiness_port = readiness_port
        self._sequence = 0

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one ASGI request."""
        if scope['type'] != 'http':
            return
        connection = scope['extensions'][CONNECTION_EXTENSION]
        reply = Reply(send, connection, self._is_draining)
        port = scope['server'][1]
        if port == self._readiness_port:
            await self._answer_readiness(scope, reply)
            return
        try:
            await self._serve(scope, receive, connection, reply)
        except CallerGone:
            return
        except OleanderError as error:
            await self._refuse(reply, error)
        except Exception as fault:
            await self._answer_fault(reply, _unwrap_group(fault))

    async def _serve(
        self,
        scope: Scope,
        receive: Receive,
        connection: CallerConnection,
        reply: Reply,
    ) -> None:
        core = self._core
        started = core.clock.now()
        head = parse_head(scope, '')
        reply.request = head.find(names.REQUEST_ID) or ''
        authorized = authorize_request(core, head)
        key = self._make_key(reply.request)
        self._stopper.begin(key, authorized.find_deadline(started))
        try:
            await self._handle(
                head,
                authorized,
                receive,
                connection,
                reply,
                key,
                started,
            )
        finally:
            self._stopper.end(key)

    def _make_key(self, request: str) -> str:
        """Return a unique key for graceful shutdown to track a request by.

        It is the request id, with a number appended if that id is in use.
        """
        self._sequence += 1
        if request and not self._core.drain.has_work(request):
            return request
        return f'{request}#{self._sequence}'

    async def _handle(
        self,
        head: Head,
        authorized: AuthorizedRequest,
        receive: Receive,
        connection: CallerConnection,
        reply: Reply,
        key: str,
        started: float,
    ) -> None:
        core = self._core
        deadline = authorized.find_deadline(started)
        limits = CallerLimits()
        if core.deployment is not None:
            limits = core.deployment.limits
        try:
            body = Body(
                receive,
                limits.body_bytes,
                limits.idle_timeout,
                head,
                holder=connection,
                find_left=lambda: deadline - core.clock.now(),
            )
            data = await self._read_body(body, connection, key)
        except OleanderError:
            reply.closes_connection = True
            raise
        call = make_call(core, head, authorized, body=data, started=started)
        core.metrics.add(Count.REQUESTS, label=call.service)
        core.scheduling.record_arrival(call)
        core.crashes.record_request(call)
        core.log.write(
            EventName.REQUEST_ACCEPTED,
            request=call.request,
            team=call.team,
            service=call.service,
            name=call.route.name,
            limit=round(call.deadline - started),
            offset=call.parameters.last_event or None,
            begun_by=call.parameters.resumes or None,
            **core.describe_configuration(),
        )
        await HostedDriver(core, call, body, reply).run(key)
        # Until then a stop must not end the process.
        await reply.flush(call.deadline - core.clock.now())

    async def _read_body(
        self, body: Body, connection: CallerConnection, key: str
    ) -> bytes:
        if connection.is_whole:
            return await body.read()
        # Bodies of ordinary calls mostly come in one part.
        from oleanderdyke.entry.hosted import arriving  # noqa: PLC0415 - see above

        request = arriving.ArrivingRequest(self._core, connection)
        return await request.read(body, key)

    async def _refuse(self, reply: Reply, error: OleanderError) -> None:
        self._core.metrics.add(Count.REFUSALS, label=error.kind.value)
        self._core.log.write(
            EventName.REQUEST_REFUSED,
            request=reply.request or None,
            kind=error.kind.value,
            ran=error.ran.value,
            detail=error.message,
            **self._core.describe_configuration(),
        )
        if reply.status:
            return
        await reply.refuse(
            error.kind, error.ran, error.message, error.retry_after
        )

    async def _answer_fault(self, reply: Reply, fault: BaseException) -> None:
        """Log a fault of the entry, and answer unless an answer has begun.

        After a whole answer the connection stays open, as the next request may
        have been read on it. A truncated answer still closes it.
        """
        if isinstance(fault, BrokenAnswer):
            raise fault
        self._core.log.write(
            EventName.PROCESS_FAILED,
            request=reply.request or None,
            reason=type(fault).__name__,
            detail=find_position(fault),
        )
        if reply.ended:
            return
        if reply.status:
            raise BrokenAnswer from fault
        error = OleanderError(ErrorKind.INTERNAL, 'internal error')
        await self._refuse(reply, error)

    def _is_draining(self) -> bool:
        return self._core.drain.is_leaving

    async def _answer_readiness(self, scope: Scope, reply: Reply) -> None:
        fault = self._core.find_unready_reason()
        if scope['path'] != names.READINESS_PATH:
            await reply.refuse(
                ErrorKind.NOT_FOUND,
                Ran.NO,
                'this port serves only the readiness check',
            )
            return
        await reply.start(_NOT_READY if fault else _READY, ())
        await reply.end(fault.encode())


def _unwrap_group(fault: BaseException) -> BaseException:
    while isinstance(fault, BaseExceptionGroup):
        fault = fault.exceptions[0]
    return fault
