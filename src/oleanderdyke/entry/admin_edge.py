"""Route HTTP requests under `/admin/v1/` to the administration."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeAlias

from oleanderdyke.entry.admin import (
    PAGE_LIMIT,
    Administration,
    Caller,
    check_operator,
    make_conflict,
)
from oleanderdyke.entry.admin_documents import (
    Query,
    describe_object,
    describe_outcome,
    describe_outcomes,
    describe_page,
    describe_watch,
    encode,
    parse_changes,
    parse_kind,
)
from oleanderdyke.entry.admin_status import make_status
from oleanderdyke.entry.answers import Answer
from oleanderdyke.entry.core import Core
from oleanderdyke.entry.edge import (
    Body,
    Head,
    hash_token,
    make_not_found,
    split_path,
)
from oleanderdyke.entry.publishing import Appender, Publisher
from oleanderdyke.errors import ErrorKind, OleanderError
from oleanderdyke.events import EventName
from oleanderdyke.kernel.catalog import Rejected
from oleanderdyke.links.messages import DrainRequest

_OK = 200
_ACCEPTED = 202
_MAX_PATH_PARTS = 5

Handler: TypeAlias = Callable[['AdminRequest'], Awaitable[tuple[int, Any]]]


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """Hold one authenticated request; `names` are its path parameters."""

    caller: Caller
    names: tuple[str, ...]
    query: Query
    body: bytes


class AdminEdge:
    """Serve HTTP requests of operators and team administrators."""

    def __init__(self, core: Core, administration: Administration) -> None:
        self._core = core
        self._administration = administration
        self._handlers: Mapping[tuple[str, str, int], Handler] = {
            ('GET', 'objects', 1): self._list,
            ('GET', 'objects', 2): self._get,
            ('GET', 'history', 2): self._get_history,
            ('GET', 'outcomes', 1): self._find_outcome,
            ('GET', 'watch', 0): self._watch,
            ('GET', 'status', 0): self._get_status,
            ('POST', 'changes', 0): self._publish,
            ('POST', 'drain', 1): self._drain,
        }

    async def serve(self, head: Head, body: Body, answer: Answer) -> None:
        """Serve one request below `/admin/v1/`; raise OleanderError."""
        caller = self._administration.identify(hash_token(head))
        _, _, resource, *names = split_path(head.target, _MAX_PATH_PARTS)
        handler = self._find_handler(head.method, resource, len(names))
        request = AdminRequest(
            caller, tuple(names), Query(head.query), await body.read()
        )
        status, document = await handler(request)
        await answer.send_json(status, encode(document))

    def _find_handler(self, method: str, resource: str, count: int) -> Handler:
        handler = self._handlers.get((method, resource, count))
        if handler is not None:
            return handler
        allowed = [
            known
            for known, name, names in self._handlers
            if (name, names) == (resource, count)
        ]
        if not allowed:
            raise make_not_found()
        fault = f'method not allowed; allowed: {", ".join(allowed)}'
        raise OleanderError(ErrorKind.METHOD_NOT_ALLOWED, fault)

    async def _list(self, request: AdminRequest) -> tuple[int, Any]:
        page = self._administration.list_objects(
            request.caller,
            parse_kind(request.names[0]),
            request.query.read_selector(),
            after=request.query.read_text('after'),
            limit=request.query.read_number('limit', PAGE_LIMIT),
        )
        return _OK, describe_page(page, self._core.catalog.offset)

    async def _get(self, request: AdminRequest) -> tuple[int, Any]:
        kind, name = parse_kind(request.names[0]), request.names[1]
        stored = self._administration.get_object(request.caller, kind, name)
        offset = self._core.catalog.offset
        return _OK, {**describe_object(stored), 'offset': offset}

    async def _get_history(self, request: AdminRequest) -> tuple[int, Any]:
        kind, name = parse_kind(request.names[0]), request.names[1]
        found = self._administration.history(request.caller, kind, name)
        return _OK, describe_outcomes(found)

    async def _find_outcome(self, request: AdminRequest) -> tuple[int, Any]:
        outcome = await self._administration.find_outcome(
            request.caller, request.names[0], request.query.read_wait()
        )
        return _OK, describe_outcome(outcome)

    async def _watch(self, request: AdminRequest) -> tuple[int, Any]:
        after = request.query.read_number('after', self._core.catalog.offset)
        watched = await self._administration.watch(
            request.caller, after, request.query.read_wait()
        )
        return _OK, describe_watch(watched)

    async def _get_status(self, request: AdminRequest) -> tuple[int, Any]:
        check_operator(request.caller)
        offset = request.query.read_number('offset', self._core.catalog.offset)
        missed = request.query.read_number('missed', 0)
        status = make_status(self._core, offset, missed=max(missed, 0))
        return _OK, status

    async def _publish(self, request: AdminRequest) -> tuple[int, Any]:
        outcomes = await self._administration.publish(
            request.caller, parse_changes(request.body)
        )
        found = describe_outcomes(outcomes)
        rejected = [item for item in outcomes if isinstance(item, Rejected)]
        if not rejected:
            return _OK, found
        error = make_conflict(rejected)
        fault = {
            'kind': error.kind,
            'message': error.message,
            'ran': error.ran,
        }
        return error.status, {'error': fault, **found}

    async def _drain(self, request: AdminRequest) -> tuple[int, Any]:
        agent = request.names[0]
        await self._administration.drain(request.caller, agent)
        return _ACCEPTED, {'agent': agent, 'asked': True}


def make_admin_edge(core: Core, appender: Appender) -> AdminEdge:
    """Build the administration; `appender` writes the configuration log."""

    async def send_drain(agent: str, operator: str) -> bool:
        link = core.find_link(agent)
        if link is None:
            return False
        await link.send(DrainRequest(operator))
        core.log.write(EventName.DRAIN_STARTED, agent=agent, operator=operator)
        return True

    def check_ready() -> str:
        readiness = core.reader.readiness(core.clock.now())
        return '' if readiness.ready else readiness.reason

    publisher = Publisher(
        core.catalog,
        appender,
        core.clock,
        core.log,
        name=core.settings.log.configuration,
    )
    administration = Administration(
        core.catalog,
        publisher,
        core.clock,
        operators=core.settings.operators,
        check_ready=check_ready,
        send_drain=send_drain,
    )
    return AdminEdge(core, administration)
