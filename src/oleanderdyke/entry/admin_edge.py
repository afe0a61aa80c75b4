"""Mount the administration under `/admin/v1/`."""

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
    encode,
    parse_changes,
    parse_kind,
    show_object,
    show_outcome,
    show_outcomes,
    show_page,
    show_watched,
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
_PARTS = 5

Handle: TypeAlias = Callable[['Ask'], Awaitable[tuple[int, Any]]]


@dataclass(frozen=True, slots=True)
class Ask:
    """Hold what one request asks."""

    caller: Caller
    names: tuple[str, ...]
    query: Query
    body: bytes


class AdminEdge:
    """Answer HTTP requests of operators."""

    def __init__(self, core: Core, administration: Administration) -> None:
        self._core = core
        self._administration = administration
        self._handlers: Mapping[tuple[str, str, int], Handle] = {
            ('GET', 'objects', 1): self._list,
            ('GET', 'objects', 2): self._get,
            ('GET', 'history', 2): self._show_history,
            ('GET', 'outcomes', 1): self._find_outcome,
            ('GET', 'watch', 0): self._watch,
            ('GET', 'status', 0): self._show_status,
            ('POST', 'changes', 0): self._publish,
            ('POST', 'drain', 1): self._drain,
        }

    async def serve(self, head: Head, body: Body, answer: Answer) -> None:
        """Serve one request below `/admin/v1/`; raise OleanderError."""
        caller = self._administration.identify(hash_token(head))
        _, _, what, *names = split_path(head.target, _PARTS)
        handle = self._find(head.method, what, len(names))
        ask = Ask(caller, tuple(names), Query(head.query), await body.read())
        status, document = await handle(ask)
        await answer.send_json(status, encode(document))

    def _find(self, method: str, what: str, count: int) -> Handle:
        handle = self._handlers.get((method, what, count))
        if handle is not None:
            return handle
        allowed = [
            known
            for known, name, names in self._handlers
            if (name, names) == (what, count)
        ]
        if not allowed:
            raise make_not_found()
        fault = f'allowed here: {", ".join(allowed)}'
        raise OleanderError(ErrorKind.METHOD_NOT_ALLOWED, fault)

    async def _list(self, ask: Ask) -> tuple[int, Any]:
        page = self._administration.list_objects(
            ask.caller,
            parse_kind(ask.names[0]),
            ask.query.read_selector(),
            after=ask.query.read_text('after'),
            limit=ask.query.read_number('limit', PAGE_LIMIT),
        )
        return _OK, show_page(page, self._core.catalog.offset)

    async def _get(self, ask: Ask) -> tuple[int, Any]:
        kind, name = parse_kind(ask.names[0]), ask.names[1]
        stored = self._administration.get_object(ask.caller, kind, name)
        offset = self._core.catalog.offset
        return _OK, {**show_object(stored), 'offset': offset}

    async def _show_history(self, ask: Ask) -> tuple[int, Any]:
        kind, name = parse_kind(ask.names[0]), ask.names[1]
        found = self._administration.history(ask.caller, kind, name)
        return _OK, show_outcomes(found)

    async def _find_outcome(self, ask: Ask) -> tuple[int, Any]:
        outcome = await self._administration.find_outcome(
            ask.caller, ask.names[0], ask.query.read_wait()
        )
        return _OK, show_outcome(outcome)

    async def _watch(self, ask: Ask) -> tuple[int, Any]:
        after = ask.query.read_number('after', self._core.catalog.offset)
        watched = await self._administration.watch(
            ask.caller, after, ask.query.read_wait()
        )
        return _OK, show_watched(watched)

    async def _show_status(self, ask: Ask) -> tuple[int, Any]:
        check_operator(ask.caller)
        offset = ask.query.read_number('offset', self._core.catalog.offset)
        missed = ask.query.read_number('missed', 0)
        status = make_status(self._core, offset, missed=max(missed, 0))
        return _OK, status

    async def _publish(self, ask: Ask) -> tuple[int, Any]:
        outcomes = await self._administration.publish(
            ask.caller, parse_changes(ask.body)
        )
        found = show_outcomes(outcomes)
        lost = [item for item in outcomes if isinstance(item, Rejected)]
        if not lost:
            return _OK, found
        error = make_conflict(lost)
        fault = {
            'kind': error.kind,
            'message': error.message,
            'ran': error.ran,
        }
        return error.status, {'error': fault, **found}

    async def _drain(self, ask: Ask) -> tuple[int, Any]:
        agent = ask.names[0]
        await self._administration.drain(ask.caller, agent)
        return _ACCEPTED, {'agent': agent, 'asked': True}


def make_admin_edge(core: Core, appender: Appender) -> AdminEdge:
    """Build the administration of an entry; `appender` is its log client."""

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
