"""Translate the heads of requests and answers."""

from __future__ import annotations

import math
import re
from collections.abc import Iterable
from dataclasses import dataclass

from oleanderdyke.clients.http import HOP_BY_HOP
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.context_stores import NO_CONTEXTS, ContextPlan
from oleanderdyke.kernel.servers import (
    AnswerField,
    AnswerMetadata,
    MalformedField,
    ModelDemand,
    PromptPart,
    ServerLoad,
)
from oleanderdyke.links.messages import Headers
from oleanderdyke.platform import names

# With these a final answer promises that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Whole numbers up to here are read; more digits than that mean nothing, and
# thousands of them raise an error.
_MOST_DIGITS = 15
_KEEP_ALIVE = re.compile(r'timeout=([0-9]{1,15})(?![0-9])')
# Servers that share their machines add how slow those are at the moment, which
# changes before anything can be sent by it.
_LOAD_PARTS = frozenset({3, 4})
# How much of a malformed value is shown.
_SHOWN_LENGTH = 40
_NOWHERE = '-'
# Any other value counts: a server that leaves must get no new work.
_NOT_LEAVING = frozenset({'', '0'})
_MISDIRECTED = 421
# Refusals with which a server may ask to retry later.
_DEFERRING = frozenset({429, 503})
_FRAMING = frozenset({'content-length', 'host', 'expect'})
_NEVER_FORWARDED = HOP_BY_HOP | _FRAMING | names.OWN_HEADERS


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Hold what a caller's head asks for; `wait` is how long it will wait.

    `request` is the caller's id of this try, the same at the backend server.
    `last_event` is the event after which a stream goes on.
    """

    request: str
    wait: Millis | None
    api_key: str
    demand: ModelDemand | None
    last_event: str


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Hold what the system tells a backend server beside the request.

    `server` is the only one that may run it; `version` the only version of
    the weights. Context is shared only under the same `salt`; `contexts` says
    where each part of the prompt comes from and is kept at.
    """

    server: str
    wait: Millis
    team: str = ''
    version: int | None = None
    priority: int | None = None
    salt: str = ''
    contexts: ContextPlan = NO_CONTEXTS
    last_event: str = ''


def decode_request(headers: Headers) -> CallerRequest:
    """Read the head of a caller's request; what is malformed is left out."""
    found = dict(headers)
    model = found.get(names.MODEL, '')
    return CallerRequest(
        request=found.get(names.REQUEST_ID, ''),
        wait=_read_number(found.get(names.DEADLINE, '')),
        api_key=found.get(names.API_KEY, ''),
        demand=_decode_demand(model, found) if model else None,
        last_event=found.get(names.LAST_EVENT, ''),
    )


def encode_request(headers: Headers, dispatch: Dispatch) -> Headers:
    """Return the head for a backend server, without its framing."""
    return (*_keep(headers, dispatch), *_encode_dispatch(dispatch))


def decode_answer(status: int, headers: Headers) -> AnswerMetadata:
    """Read the head of a backend server's answer."""
    found = dict(headers)
    is_misdirected = status == _MISDIRECTED
    limit = found.get(names.RATE_LIMIT)
    rate_limit = math.inf if limit is None else _read_amount(limit)
    pause = found.get('retry-after') if status in _DEFERRING else None
    retry_after = None if pause is None else _read_amount(pause)
    return AnswerMetadata(
        request=found.get(names.REQUEST_ID, ''),
        is_not_executed=names.NOT_RUN in found or is_misdirected,
        is_misdirected=is_misdirected,
        is_sealed=names.SEAL in found,
        server=found.get(names.INSTANCE, ''),
        load=_decode_load(found.get(names.LOAD, '')),
        weight_version=_read_whole(found.get(names.WEIGHT_VERSION, '')),
        idle_timeout=_decode_keep_alive(found.get('keep-alive', '')),
        rate_limit=rate_limit,
        is_leaving=found.get(names.LEAVING, '').strip() not in _NOT_LEAVING,
        retry_after=None if retry_after is None else retry_after * SECOND,
        malformed=(
            *_find_malformed(AnswerField.RATE_LIMIT, limit, rate_limit),
            *_find_malformed(AnswerField.RETRY_AFTER, pause, retry_after),
        ),
    )


def encode_refusal(request: str, retry_after: Millis | None) -> Headers:
    """Return the headers of a final answer of our own."""
    headers = [(names.REQUEST_ID, request)] if request else []
    if retry_after is not None:
        headers.append(('retry-after', f'{retry_after / SECOND:.3f}'))
    return tuple(headers)


def _keep(headers: Headers, dispatch: Dispatch) -> Iterable[tuple[str, str]]:
    named = frozenset(
        part.strip().lower()
        for name, content in headers
        if name == 'connection'
        for part in content.split(',')
    )
    dropped = _NEVER_FORWARDED | named
    for name, content in headers:
        if name == names.LAST_EVENT and dispatch.last_event:
            continue
        if name not in dropped:
            yield name, content


def _encode_dispatch(dispatch: Dispatch) -> Iterable[tuple[str, str]]:
    yield names.EXPECTED_INSTANCE, dispatch.server
    yield names.DEADLINE, str(max(int(dispatch.wait), 1))
    optional = (
        (names.TEAM, dispatch.team),
        (names.CACHE_SALT, dispatch.salt),
        (names.LAST_EVENT, dispatch.last_event),
    )
    yield from ((name, content) for name, content in optional if content)
    yield from _encode_contexts(dispatch.contexts)
    if dispatch.version is not None:
        yield names.EXPECTED_VERSION, str(dispatch.version)
    if dispatch.priority is not None:
        yield names.PRIORITY, str(dispatch.priority)


def _encode_contexts(plan: ContextPlan) -> Iterable[tuple[str, str]]:
    if any(plan.sources):
        # An address and how many tokens of the part are read from there.
        sources = (
            f'{source.address}/{source.tokens}' if source else _NOWHERE
            for source in plan.sources
        )
        yield names.CONTEXT_SOURCE, ','.join(sources)
        yield names.CONTEXT_UNTIL, str(int(plan.until))
    if any(plan.sinks):
        sinks = (sink or _NOWHERE for sink in plan.sinks)
        yield names.CONTEXT_SINK, ','.join(sinks)


def _decode_demand(model: str, found: dict[str, str]) -> ModelDemand:
    # The header gives the prompt's tokens and the most that may be generated.
    prompt, _, output = found.get(names.TOKENS, '').partition(',')
    return ModelDemand(
        model=model,
        prompt_tokens=_read_whole(prompt) or 0,
        output_tokens=_read_whole(output) or 0,
        parts=tuple(_decode_parts(found.get(names.PROMPT_PARTS, ''))),
    )


def _decode_parts(text: str) -> Iterable[PromptPart]:
    for entry in text.split(','):
        name, _, tokens = entry.strip().partition(':')
        length = _read_whole(tokens)
        if name and length is not None:
            yield PromptPart(name, length)


def _decode_load(text: str) -> ServerLoad | None:
    parts = [_read_whole(part) for part in text.split(',')]
    if len(parts) not in _LOAD_PARTS:
        return None
    running, waiting, slots = parts[:3]
    if running is None or waiting is None or slots is None:
        return None
    return ServerLoad(running, waiting, slots)


def _decode_keep_alive(text: str) -> Millis | None:
    match = _KEEP_ALIVE.search(text)
    return None if match is None else int(match[1]) * SECOND


def _read_whole(text: str) -> int | None:
    text = text.strip()
    if len(text) > _MOST_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    return int(text)


def _find_malformed(
    field: AnswerField, text: str | None, number: float | None
) -> tuple[MalformedField, ...]:
    """Return a field that is there and isn't a number that can be used."""
    if text is None or number is not None:
        return ()
    return (MalformedField(field, text[:_SHOWN_LENGTH]),)


def _read_amount(text: str) -> float | None:
    number = _read_number(text)
    return None if number is None or number < 0 else number


def _read_number(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None
