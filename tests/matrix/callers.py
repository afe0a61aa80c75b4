"""Call an entry, and call again through another one."""

from __future__ import annotations

import json
import re
from collections.abc import MutableMapping
from typing import Any

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.entry.answers import Answer
from oleanderdyke.entry.calls import (
    Call,
    Target,
    make_chat_call,
    make_plain_call,
)
from oleanderdyke.entry.chat import parse_chat
from oleanderdyke.entry.delivery import RESUME_HEADER
from oleanderdyke.entry.edge import CallerGone, Head
from oleanderdyke.entry.resume import ResumeRequest
from oleanderdyke.entry.sse import Position, parse_position
from oleanderdyke.entry.tokens import decode_token
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.kernel.attempt_events import Refuse
from oleanderdyke.kernel.objects import (
    ModelVersionSpec,
    ObjectKind,
    ServiceSpec,
)
from tests import safety_model
from tests.matrix.drivers import CLOSED
from tests.matrix.entry import ModelEntry
from tests.matrix.world import CHAT, ENTRIES, TICKETS, World

_PATIENCE: Millis = 30 * SECOND
_TRIES = 60
POISON = 'poison'
_FINAL = frozenset(
    {ErrorKind.QUARANTINED, ErrorKind.KEY_REUSED, ErrorKind.FORBIDDEN}
)
_UNKNOWN_TRIES = 3
_ID = re.compile(rb'^id: (\S+)\n', re.MULTILINE)
_PROMPT = {'model': 'm', 'stream': True, 'max_tokens': 8}


class Caller:
    """Send one request until it is answered or clearly failed."""

    def __init__(
        self,
        world: World,
        name: str,
        *,
        team: str = 'team-1',
        service: str = TICKETS,
        key: str = '',
        text: str = 'hola',
        first: int = 0,
        spread: bool = True,
    ) -> None:
        self.world = world
        self.name = name
        self.team = team
        self.service = service
        self.key = key
        self.text = text
        self.done = False
        self.outcome = ''
        self.refusals: list[Refuse] = []
        self.requests: list[str] = []
        self.gone = False
        self.thief = False
        self.token = ''
        self.entry: ModelEntry | None = None
        self._turn = first
        self._spread = spread
        self._tries = 0
        self._unknown = 0
        self._request = ''
        self._reply: _Reply | None = None
        self.driver: Any = None
        world.callers.append(self)

    def begin(self, delay: Millis = 0.0) -> None:
        """Send the request, soon."""
        self.world.outside.after(delay, self._send)

    def steal(self, token: str) -> None:
        """Try to go on with the stream of somebody else."""
        if self.token:
            return
        self.token, self.done, self.outcome = token, False, ''
        request = f'{self.name}.0'
        self.world.calls[request] = safety_model.Call(
            request, self.team, '', idempotent=True
        )
        self.world.outside.after(1.0, lambda: self._resume(request))

    def leave(self) -> None:
        """Close the connection and forget about the answer."""
        self.gone = True
        self.done = True
        self.outcome = 'gone'
        if self.driver is not None and self.entry is not None:
            self.entry.after(1.0, self.driver.effects.report_caller_gone)

    def note_dead(self, process: object) -> None:
        """Learn that the entry's connection is gone."""
        if self._reply is not None and self.entry is process:
            self._reply.lose(5.0)

    def take_whole(self, request: str) -> None:
        """Be served."""
        self.world.calls[request].whole = True
        self._end('whole')

    def take_refusal(self, request: str, refusal: Refuse) -> None:
        """Be refused, and go on if that makes sense."""
        self.world.calls[request].refusal = refusal
        self.refusals.append(refusal)
        if refusal.kind is ErrorKind.OUTCOME_UNKNOWN:
            self._unknown += 1
        if self.thief and refusal.kind is ErrorKind.STREAM_GONE:
            self._end('refused')
            return
        is_final = refusal.kind in _FINAL or self._unknown >= _UNKNOWN_TRIES
        may_repeat = refusal.ran is Ran.NO or self.key or self.service == CHAT
        if is_final or not may_repeat:
            self._end(refusal.kind.value)
            return
        self._again(refusal.retry_after or 100.0)

    def take_break(self, request: str) -> None:
        """Lose the connection; go on with the stream or start again."""
        if self.token:
            self._again(100.0, resume=request)
        elif self.key or self.service == CHAT:
            self._again(100.0)
        else:
            self._end('broken')

    def _end(self, outcome: str) -> None:
        self._reply = None
        if not self.done:
            self.done = True
            self.outcome = outcome

    def _again(self, delay: Millis, *, resume: str = '') -> None:
        self._reply = None
        self._turn += self._spread
        self.world.outside.after(
            delay, lambda: self._resume(resume) if resume else self._send()
        )

    def _choose(self) -> ModelEntry | None:
        """Return the next entry that the balancer thinks ready."""
        for step in range(len(ENTRIES)):
            name = ENTRIES[(self._turn + step) % len(ENTRIES)]
            entry = self.world.entries[name]
            # A balancer finds out about a frozen one only by its probes.
            if entry.alive and (entry.frozen or not entry.core.find_fault()):
                return entry
        return None

    def _prepare(self) -> tuple[ModelEntry, Answer] | None:
        if self.done:
            return None
        self._tries += 1
        if self._tries > _TRIES:
            self._end('gave up')
            return None
        entry = self._choose()
        if entry is None:
            self._again(500.0)
            return None
        self.entry = entry
        self._request = f'{self.name}.{self._tries}'
        return entry, Answer(self._make_sink(), self._request)

    def _make_sink(self) -> Any:
        self._reply = reply = _Reply(self, self._request)
        self.world.outside.after(_PATIENCE, lambda: reply.lose(0.0))
        return reply.take

    def _send(self) -> None:
        prepared = self._prepare()
        if prepared is None:
            return
        entry, answer = prepared
        self.token = ''
        reply, request = self._reply, self._request
        self.requests.append(request)
        self.world.calls[request] = safety_model.Call(
            request, self.team, self.key, self.service == CHAT and not self.key
        )

        def serve() -> None:
            try:
                self.driver = entry.serve(self._make_call(entry), answer)
            except OleanderError as error:
                if reply is not None:
                    reply.refuse(error.kind, error.ran, error.retry_after)

        entry.do(serve)

    def _resume(self, request: str) -> None:
        prepared = self._prepare()
        if prepared is None:
            return
        entry, answer = prepared
        reply = self._reply
        assert reply is not None
        call = self.world.calls[request]
        reply.go_on_with(request)
        stream = decode_token(self.token)
        position = reply.find_position(call.body)
        ask = ResumeRequest(self._request, self.team, stream, position)

        def serve() -> None:
            try:
                entry.resume(ask, answer)
            except OleanderError as error:
                reply.refuse(error.kind, error.ran, error.retry_after)

        entry.do(serve)

    def _make_call(self, entry: ModelEntry) -> Call:
        catalog = entry.core.catalog
        found = catalog.get(ObjectKind.SERVICE, self.service)
        if found is None or not isinstance(found.spec, ServiceSpec):
            raise OleanderError(ErrorKind.NOT_READY, 'no configuration')
        target = Target(self.team, self.service, found.spec)
        if self.service == CHAT:
            return self._make_chat(entry, target)
        head = Head(self._request, 'POST', '/', '', ())
        call = make_plain_call(
            head,
            target,
            '/book',
            self.text.encode(),
            whole=True,
            idempotency_key=self.key,
            background=False,
        )
        return self._note_poison(call)

    def _note_poison(self, call: Call) -> Call:
        if self.text.startswith(POISON):
            self.world.poison.add(call.digest)
        return call

    def _make_chat(self, entry: ModelEntry, target: Target) -> Call:
        version = f'm-{target.spec.version}'
        weights = entry.core.catalog.get(ObjectKind.MODEL_VERSION, version)
        if weights is None or not isinstance(weights.spec, ModelVersionSpec):
            raise OleanderError(ErrorKind.NOT_READY, 'no weights')
        messages = [{'role': 'user', 'content': self.text}]
        chat = parse_chat(
            json.dumps({**_PROMPT, 'messages': messages}).encode()
        )
        call = make_chat_call(
            self._request, target, chat, weights.spec, self.key
        )
        return self._note_poison(call)


class _Reply:
    """Collect one answer as the caller's connection gives it."""

    def __init__(self, caller: Caller, request: str) -> None:
        self._caller = caller
        self._world = caller.world
        self._over = False
        self._status = 0
        self._body = b''
        self._request = request
        self._retry_after: Millis | None = None

    @property
    def call(self) -> safety_model.Call | None:
        """Return what the caller has got."""
        return self._world.calls.get(self._request)

    async def take(self, event: MutableMapping[str, Any]) -> None:
        """Take what the entry sends; raise CallerGone."""
        if self._caller.gone and event['type'] != CLOSED:
            raise CallerGone
        if self._over or self._caller.gone:
            return
        if event['type'] == CLOSED:
            self.lose(0.0)
        elif event['type'] == 'http.response.start':
            self._status = event['status']
            self._note_token(event['headers'])
        else:
            self._take_part(event['body'], more=event.get('more_body', False))

    def go_on_with(self, request: str) -> None:
        """Add to the answer of an earlier request."""
        self._request = request

    def refuse(
        self, kind: ErrorKind, ran: Ran, retry_after: Millis | None
    ) -> None:
        """Refuse the request."""
        if not self._over and self.call is not None:
            self._over = True
            refusal = Refuse(kind, ran, retry_after)
            if kind is ErrorKind.STREAM_GONE:
                self._caller.token = ''
            self._caller.take_refusal(self.call.request, refusal)

    def lose(self, delay: Millis) -> None:
        """Lose the connection, soon."""
        self._world.outside.after(delay, self._break)

    def find_position(self, body: bytes) -> Position:
        """Return what of a stream has come."""
        return Position(body.count(b'\n\n') - 1)

    def _break(self) -> None:
        if not self._over and self.call is not None:
            self._over = True
            self._caller.take_break(self.call.request)

    def _note_token(self, headers: list[tuple[bytes, bytes]]) -> None:
        found = dict(headers)
        wait = found.get(b'retry-after')
        self._retry_after = None if wait is None else int(wait) * SECOND
        token = found.get(RESUME_HEADER.encode(), b'')
        self._caller.token = token.decode() or self._caller.token
        if token and self._world.thief is not None:
            self._world.thief(token.decode())

    def _take_part(self, data: bytes, *, more: bool) -> None:
        if self._status >= 400:
            self._take_error(data)
            return
        for event in data.split(b'\n\n'):
            self._take_event(event)
        if not more and not self._over and self.call is not None:
            self._over = True
            self._caller.take_whole(self.call.request)

    def _take_event(self, event: bytes) -> None:
        if not event or self.call is None:
            return
        if event.startswith(b'event: error'):
            self._take_error(event.partition(b'data: ')[2])
        elif event.startswith(b'event: resume'):
            self.lose(0.0)
        else:
            match = _ID.match(event)
            if match is not None:
                parse_position(match[1].decode())
            self.call.body += _ID.sub(b'', event) + b'\n\n'

    def _take_error(self, data: bytes) -> None:
        error = json.loads(data)['error']
        kind, ran = ErrorKind(error['kind']), Ran(error['ran'])
        self.refuse(kind, ran, self._retry_after)
