"""Encode and decode the heads of requests and answers."""

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

# Statuses that, in a final answer, guarantee that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# The field of an event at which the version of the weights changes.
EVENT_VERSION_FIELD = names.WEIGHT_VERSION.encode()
# Longer numbers are rejected: int() raises an error at thousands of digits.
_MAX_DIGITS = 15
_KEEP_ALIVE = re.compile(r'timeout=([0-9]{1,15})(?![0-9])')
# Servers on a shared machine add its current slowdown as a fourth number.
_LOAD_LENGTHS = frozenset({3, 4})
_USUAL_PERCENT = 100
# Bounds the part of a malformed value that is reported.
_SHOWN_LENGTH = 40
_NO_STORE = '-'
# Any other value means that the server is leaving and must get no new requests.
_NOT_LEAVING = frozenset({'', '0'})
_MISDIRECTED = 421
# Statuses whose answers may have a `retry-after` header.
_RETRY_LATER = frozenset({429, 503})
_FRAMING = frozenset({'content-length', 'host', 'expect'})
_NEVER_FORWARDED = HOP_BY_HOP | _FRAMING | names.OWN_HEADERS


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Hold the fields of a caller's request head.

    `request` is the caller's id of this attempt, which is also sent to the
    backend server. `wait` is the time for which the caller waits. `last_event`
    is the id of the event after which a stream resumes, `resumes` the id of the
    request that brought its first event.
    """

    request: str
    wait: Millis | None
    api_key: str
    demand: ModelDemand | None
    last_event: str
    resumes: str = ''


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Hold the fields that the system adds to a request to a backend server.

    Only `server` may run the request, and only with this `version` of the
    weights. Cached context is shared only between requests with the same
    `salt`. `contexts` names the store to read each part of the prompt from, and
    that to save it to. The run is copied to the engine at `copy_target`, or
    goes on from the copy of the same request at `copy_source`.
    """

    server: str
    wait: Millis
    team: str = ''
    version: int | None = None
    priority: int | None = None
    salt: str = ''
    contexts: ContextPlan = NO_CONTEXTS
    last_event: str = ''
    copy_target: str = ''
    copy_source: str = ''


def decode_request(headers: Headers) -> CallerRequest:
    """Decode the head of a caller's request, ignoring malformed fields."""
    found = dict(headers)
    model = found.get(names.MODEL, '')
    return CallerRequest(
        request=found.get(names.REQUEST_ID, ''),
        wait=_read_number(found.get(names.DEADLINE, '')),
        api_key=found.get(names.API_KEY, ''),
        demand=_decode_demand(model, found) if model else None,
        last_event=found.get(names.LAST_EVENT, ''),
        resumes=found.get(names.RESUMES, ''),
    )


def encode_request(headers: Headers, dispatch: Dispatch) -> Headers:
    """Return the headers for a backend server, without those of framing."""
    return (
        *_filter_headers(headers, dispatch),
        *_encode_dispatch(dispatch),
        *_encode_copies(headers, dispatch),
    )


def find_request(headers: Headers) -> str:
    """Return the id of the request that an answer names, or ''."""
    return dict(headers).get(names.REQUEST_ID, '')


def decode_answer(status: int, headers: Headers) -> AnswerMetadata:
    """Decode the head of a backend server's answer."""
    found = dict(headers)
    is_misdirected = status == _MISDIRECTED
    limit = found.get(names.RATE_LIMIT)
    rate_limit = math.inf if limit is None else _read_non_negative(limit)
    pause = found.get('retry-after') if status in _RETRY_LATER else None
    retry_after = None if pause is None else _read_non_negative(pause)
    return AnswerMetadata(
        request=found.get(names.REQUEST_ID, ''),
        is_not_executed=names.NOT_RUN in found or is_misdirected,
        is_misdirected=is_misdirected,
        is_sealed=names.SEAL in found,
        server=found.get(names.INSTANCE, ''),
        load=_decode_load(found.get(names.LOAD, '')),
        weight_version=_read_integer(found.get(names.WEIGHT_VERSION, '')),
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
    """Return the headers of a final answer that the system itself gives."""
    headers = [(names.REQUEST_ID, request)] if request else []
    if retry_after is not None:
        headers.append(('retry-after', f'{retry_after / SECOND:.3f}'))
    return tuple(headers)


def _filter_headers(
    headers: Headers, dispatch: Dispatch
) -> Iterable[tuple[str, str]]:
    connection_options = frozenset(
        part.strip().lower()
        for name, content in headers
        if name == 'connection'
        for part in content.split(',')
    )
    dropped = _NEVER_FORWARDED | connection_options
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
        # Each source is an address and the number of tokens to read from it.
        sources = (
            f'{source.address}/{source.tokens}' if source else _NO_STORE
            for source in plan.sources
        )
        yield names.CONTEXT_SOURCE, ','.join(sources)
        yield names.CONTEXT_UNTIL, str(int(plan.until))
    if any(plan.sinks):
        sinks = (sink or _NO_STORE for sink in plan.sinks)
        yield names.CONTEXT_SINK, ','.join(sinks)


def _encode_copies(
    headers: Headers, dispatch: Dispatch
) -> Iterable[tuple[str, str]]:
    if dispatch.copy_target:
        yield names.COPY_TARGET, dispatch.copy_target
    if dispatch.copy_source:
        # A copy is named by its engine and the id of its request.
        request = dict(headers)[names.REQUEST_ID]
        yield names.COPY_SOURCE, f'{dispatch.copy_source}/{request}'


def _decode_demand(model: str, found: dict[str, str]) -> ModelDemand:
    # The header holds the prompt's tokens and the maximum to generate.
    prompt, _, output = found.get(names.TOKENS, '').partition(',')
    return ModelDemand(
        model=model,
        prompt_tokens=_read_integer(prompt) or 0,
        output_tokens=_read_integer(output) or 0,
        parts=tuple(_decode_parts(found.get(names.PROMPT_PARTS, ''))),
    )


def _decode_parts(text: str) -> Iterable[PromptPart]:
    for entry in text.split(','):
        name, _, tokens = entry.strip().partition(':')
        length = _read_integer(tokens)
        if name and length is not None:
            yield PromptPart(name, length)


def _decode_load(text: str) -> ServerLoad | None:
    parts = [_read_integer(part) for part in text.split(',')]
    if len(parts) not in _LOAD_LENGTHS:
        return None
    running, waiting, slots = parts[:3]
    if running is None or waiting is None or slots is None:
        return None
    percent = parts[-1] if len(parts) == max(_LOAD_LENGTHS) else None
    slowdown = percent / _USUAL_PERCENT if percent else 1.0
    return ServerLoad(running, waiting, slots, slowdown)


def _decode_keep_alive(text: str) -> Millis | None:
    match = _KEEP_ALIVE.search(text)
    return None if match is None else int(match[1]) * SECOND


def _read_integer(text: str) -> int | None:
    text = text.strip()
    if len(text) > _MAX_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    return int(text)


def _find_malformed(
    field: AnswerField, text: str | None, number: float | None
) -> tuple[MalformedField, ...]:
    """Return the field if it is present but its number was rejected."""
    if text is None or number is not None:
        return ()
    return (MalformedField(field, text[:_SHOWN_LENGTH]),)


def _read_non_negative(text: str) -> float | None:
    number = _read_number(text)
    return None if number is None or number < 0 else number


def _read_number(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None
