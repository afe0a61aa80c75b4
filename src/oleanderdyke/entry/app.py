"""Serve HTTP requests of callers, operators and the load balancer."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeAlias
from urllib.parse import parse_qs

from oleanderdyke.entry.answers import (
    CONNECTION_EXTENSION,
    WRITER_EXTENSION,
    Answer,
)
from oleanderdyke.entry.calls import Call, make_chat_call, make_plain_call
from oleanderdyke.entry.chat import parse_chat
from oleanderdyke.entry.core import Core
from oleanderdyke.entry.delivery import Delivery
from oleanderdyke.entry.edge import (
    Body,
    CallerGone,
    Head,
    Receive,
    Scope,
    Send,
    find_idempotency_key,
    make_not_found,
    make_request_id,
    parse_head,
    split_path,
)
from oleanderdyke.entry.effects import EntryResources, log_refusal
from oleanderdyke.entry.lookup import (
    find_model_service,
    find_plain_service,
    find_team,
    find_weights,
)
from oleanderdyke.entry.queue import ReleaseQueue
from oleanderdyke.entry.requests import RequestDriver
from oleanderdyke.entry.resume import ResumeDriver, ResumeRequest
from oleanderdyke.entry.sse import Position, parse_position
from oleanderdyke.entry.targets import evaluate_refused
from oleanderdyke.entry.tokens import decode_token
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.events import EventName
from oleanderdyke.kernel.objects import StoredObject
from oleanderdyke.metrics import RENDERED_TYPE, Count, Gauge

RequestHandler: TypeAlias = Callable[[Head, Body, Answer], Awaitable[None]]

_CLASS_HEADER = 'oleander-class'
_BACKGROUND = 'background'
# A body up to this size is read whole before routing, so that it can be
# sent again to another replica.
_REPLAYABLE_BYTES = 256 * 1024


class App:
    """Route requests and answer every fault with a typed error."""

    def __init__(
        self,
        resources: EntryResources,
        queue: ReleaseQueue,
        admin: RequestHandler,
    ) -> None:
        self._core: Core = resources.core
        self._resources = resources
        self._queue = queue
        self._exact_routes: Mapping[tuple[str, str], RequestHandler] = {
            ('GET', '/live'): self._serve_live,
            ('GET', '/ready'): self._serve_ready,
            ('GET', '/metrics'): self._serve_metrics,
            ('POST', '/v1/chat/completions'): self._serve_chat,
        }
        self._allowed_methods = {
            path: method for method, path in self._exact_routes
        }
        self._prefix_routes: Mapping[str, RequestHandler] = {
            '/v1/services/': self._serve_plain,
            '/v1/streams/': self._serve_stream,
            '/admin/v1/': admin,
        }

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one ASGI request."""
        if scope['type'] != 'http':
            return
        request = make_request_id()
        settings = self._core.settings.http
        writer = scope.get('extensions', {}).get(WRITER_EXTENSION)
        answer = Answer(send, request, writer)
        try:
            head = parse_head(scope, request)
            body = Body(
                receive,
                settings.body_limit,
                settings.body_timeout,
                head,
                holder=scope.get('extensions', {}).get(CONNECTION_EXTENSION),
            )
            await self._find_handler(head)(head, body, answer)
        except Exception as error:
            await self._answer_fault(answer, request, error)

    def _find_handler(self, head: Head) -> RequestHandler:
        fixed = self._exact_routes.get((head.method, head.target))
        if fixed is not None:
            return fixed
        if head.target in self._allowed_methods:
            allowed = self._allowed_methods[head.target]
            raise _make_wrong_method(allowed)
        for prefix, handler in self._prefix_routes.items():
            if head.target.startswith(prefix):
                return handler
        raise make_not_found()

    async def _answer_fault(
        self, answer: Answer, request: str, fault: BaseException
    ) -> None:
        error = _convert_error(fault)
        if error is None:
            return
        if error.kind is ErrorKind.INTERNAL:
            self._core.log.write(
                EventName.PROCESS_FAILED,
                request=request,
                detail=type(_unwrap_group(fault)).__name__,
            )
        log_refusal(self._core, request, error)
        if answer.started:
            return
        await answer.send_error(error)

    async def _serve_live(self, _: Head, __: Body, answer: Answer) -> None:
        await answer.send_json(200, b'{"live": true}')

    async def _serve_ready(self, _: Head, __: Body, answer: Answer) -> None:
        fault = self._core.find_fault()
        if not fault:
            offset = self._core.reader.offset
            body = json.dumps({'ready': True, 'offset': offset}).encode()
            await answer.send_json(200, body)
            return
        kind = (
            ErrorKind.STOPPING
            if self._core.drain.is_leaving
            else ErrorKind.NOT_READY
        )
        await answer.send_error(OleanderError(kind, fault))

    async def _serve_metrics(self, _: Head, __: Body, answer: Answer) -> None:
        core = self._core
        core.metrics.set_gauge(Gauge.RUNNING, len(core.running))
        core.metrics.set_gauge(Gauge.READY, float(not core.find_fault()))
        headers = (('content-type', RENDERED_TYPE),)
        await answer.send_whole(200, core.metrics.render(), headers)

    async def _serve_chat(self, head: Head, body: Body, answer: Answer) -> None:
        team = self._authenticate_team(head)
        chat = parse_chat(await body.read())
        target = find_model_service(self._core, team, chat.model)
        if _is_background(head):
            chat = chat.move_to_background()
        call = make_chat_call(
            head.request,
            target,
            chat,
            find_weights(self._core, target),
            find_idempotency_key(head),
        )
        await self._run(call, body, answer)

    async def _serve_plain(
        self, head: Head, body: Body, answer: Answer
    ) -> None:
        team = self._authenticate_team(head)
        _, _, service, *rest = split_path(head.target, 3)
        target = find_plain_service(self._core, team, service)
        if head.method not in target.spec.methods:
            raise _make_wrong_method(', '.join(target.spec.methods))
        body.set_limit(target.spec.body_limit)
        key = find_idempotency_key(head)
        read_limit = target.spec.body_limit if key else _REPLAYABLE_BYTES
        data = await body.read_up_to(read_limit + 1)
        path = '/' + '/'.join(rest)
        call = make_plain_call(
            head,
            target,
            f'{path}?{head.query}' if head.query else path,
            data,
            whole=body.ended,
            idempotency_key=key,
            background=_is_background(head),
        )
        await self._run(call, body, answer)

    async def _serve_stream(
        self, head: Head, body: Body, answer: Answer
    ) -> None:
        if head.method != 'GET':
            raise _make_wrong_method('GET')
        team = self._authenticate_team(head)
        _, _, token = split_path(head.target, 3)
        await body.read()
        resume = ResumeRequest(
            head.request, team.name, decode_token(token), _find_position(head)
        )
        core = self._core
        delivery = Delivery(
            answer,
            request=head.request,
            label='resumed',
            clock=core.clock,
            metrics=core.metrics,
            position=resume.position,
        )
        driver = ResumeDriver(
            self._resources, resume, body=body, delivery=delivery
        )
        await self._run_counted(head.request, driver.run)

    def _authenticate_team(self, head: Head) -> StoredObject:
        """Return the caller's team; raise NOT_READY or UNAUTHENTICATED."""
        core = self._core
        if core.reader.offset < 0:
            fault = core.find_configuration_fault()
            raise OleanderError(ErrorKind.NOT_READY, fault, ran=Ran.NO)
        return find_team(core, head)

    async def _run(self, call: Call, body: Body, answer: Answer) -> None:
        core = self._core
        core.metrics.add(Count.REQUESTS, label=call.service)
        core.log.write(
            EventName.REQUEST_ACCEPTED,
            request=call.request,
            team=call.team,
            service=call.service,
            tokens=call.tokens or None,
        )
        started = core.clock.now()
        try:
            driver = RequestDriver(
                self._resources, self._queue, call, body=body, answer=answer
            )
            await self._run_counted(call.request, driver.run)
        except Exception as fault:
            error = _convert_error(fault)
            if error is not None:
                duration = core.clock.now() - started
                evaluate_refused(core, call, error.kind, duration=duration)
            raise

    async def _run_counted(
        self, request: str, run: Callable[[], Awaitable[None]]
    ) -> None:
        stopper = self._resources.stopper
        stopper.begin(request)
        try:
            await run()
        finally:
            stopper.end(request)


def _is_background(head: Head) -> bool:
    return head.find(_CLASS_HEADER) == _BACKGROUND


def _find_position(head: Head) -> Position:
    after = parse_qs(head.query).get('after', [None])[0]
    text = after or head.find('last-event-id')
    return parse_position(text) if text else Position()


def _make_wrong_method(allowed: str) -> OleanderError:
    return OleanderError(
        ErrorKind.METHOD_NOT_ALLOWED, f'method not allowed; allowed: {allowed}'
    )


def _unwrap_group(fault: BaseException) -> BaseException:
    while isinstance(fault, BaseExceptionGroup):
        fault = fault.exceptions[0]
    return fault


def _convert_error(fault: BaseException) -> OleanderError | None:
    """Return the error to answer with, or None if the caller has gone."""
    first = _unwrap_group(fault)
    if isinstance(first, CallerGone):
        return None
    if isinstance(first, OleanderError):
        return first
    return OleanderError(ErrorKind.INTERNAL, 'internal error')
