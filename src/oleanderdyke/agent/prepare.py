"""Preparation of requests for the backend server."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from oleanderdyke.agent.backend import filter_request_headers
from oleanderdyke.agent.engine import EngineView
from oleanderdyke.agent.export import Exporter
from oleanderdyke.agent.fetch import Fetcher
from oleanderdyke.agent.run import Run
from oleanderdyke.clients.exchange import Body
from oleanderdyke.clock import Millis
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.kernel.blocks import Namespace, SegmentId, make_namespace
from oleanderdyke.kernel.demand import SEGMENT_TOKENS
from oleanderdyke.kernel.gate import LoadedWeights
from oleanderdyke.kernel.routing import BACKGROUND_PRIORITY, lower_priority
from oleanderdyke.links.messages import Dispatch, FetchPlan, Headers

_REQUEST_ID_HEADER = 'x-request-id'
_CONTENT_LENGTH = 'content-length'
_JSON_CONTENT_TYPE = ('content-type', 'application/json')


@dataclass(frozen=True, slots=True)
class PreparedRequest:
    """The headers and body to send to the backend server."""

    headers: Headers
    body: Body


class Preparer(Protocol):
    """Prepare requests for one kind of backend server."""

    async def prepare(self, run: Run) -> PreparedRequest:
        """Return the request to forward for a run; raise OleanderError."""

    def on_complete(self, run: Run) -> None:
        """Process a run whose response is complete."""


class PlainPreparer:
    """Forward requests of plain services unchanged."""

    async def prepare(self, run: Run) -> PreparedRequest:
        """Return the request, with a body that may still be arriving.

        The body of a run with a claim is collected completely first.
        """
        await run.body.wait_first_chunk()
        headers = _make_headers(run.dispatch)
        if run.dispatch.claim is None and not run.body.ended:
            return PreparedRequest(headers, run.body.stream())
        body = await run.body.collect()
        return PreparedRequest(
            _remove_headers(headers, _CONTENT_LENGTH), body or None
        )

    def on_complete(self, run: Run) -> None:
        """Do nothing: plain services have no segments."""


class EnginePreparer:
    """Fetch cached context into the engine before a run.

    The request names the namespace of its team as the cache salt.
    """

    def __init__(
        self,
        engine: EngineView,
        fetcher: Fetcher,
        exporter: Exporter,
        *,
        patience: float,
        fetch_timeout: Millis,
        short_tokens: int,
    ) -> None:
        self._engine = engine
        self._fetcher = fetcher
        self._exporter = exporter
        self._patience = patience
        self._fetch_timeout = fetch_timeout
        self._short_tokens = short_tokens

    async def prepare(self, run: Run) -> PreparedRequest:
        """Fetch context, then check that the weights are still loaded."""
        dispatch = run.dispatch
        body = await run.body.collect()
        namespace = _check_namespace(dispatch)
        priority = dispatch.priority
        if dispatch.fetch is not None:
            fetched = await self._fetch(run, dispatch.fetch, namespace)
            priority = self._find_priority(dispatch, dispatch.fetch, fetched)
        if dispatch.background:
            priority = BACKGROUND_PRIORITY
        self._check_weights(dispatch)
        headers = _remove_headers(
            _make_headers(dispatch), _CONTENT_LENGTH, _JSON_CONTENT_TYPE[0]
        )
        return PreparedRequest(
            (*headers, _JSON_CONTENT_TYPE),
            _set_cache_options(body, namespace, priority),
        )

    def on_complete(self, run: Run) -> None:
        """Export the computed segments to the store named in the dispatch."""
        dispatch = run.dispatch
        if self._engine.loaded.digest != dispatch.weight_digest:
            return
        self._engine.record_use(dispatch.segments)
        if dispatch.keep is not None:
            depth = _find_depth(dispatch.segments, dispatch.keep.segments)
            self._exporter.offer(dispatch.keep, dispatch.namespace, depth=depth)

    async def _fetch(
        self, run: Run, plan: FetchPlan, namespace: Namespace
    ) -> int:
        """Fetch the segments of a plan and return how many were imported."""
        estimate = self._engine.estimate_prefill(1)
        step = self._fetch_timeout
        if estimate is not None:
            step = estimate * self._patience
        fetched = await self._fetcher.fetch(
            plan, namespace, step=step, request=run.dispatch.request
        )
        run.link_bytes += fetched.link_bytes
        return fetched.segments

    def _find_priority(
        self, dispatch: Dispatch, plan: FetchPlan, fetched: int
    ) -> int:
        """Lower the priority if segments are left to be computed.

        Long prefills must not delay short requests.
        """
        missing = _count_missing(dispatch.segments, plan.segments[fetched:])
        return lower_priority(
            dispatch.priority,
            missing=missing * SEGMENT_TOKENS,
            short_tokens=self._short_tokens,
        )

    def _check_weights(self, dispatch: Dispatch) -> None:
        expected = LoadedWeights(
            dispatch.model,
            dispatch.weight_version,
            dispatch.weight_digest,
            dispatch.adapter,
        )
        if self._engine.loaded != expected:
            raise OleanderError(
                ErrorKind.WRONG_VERSION,
                'the loaded weights differ from those of the dispatch',
                ran=Ran.NO,
            )


def _count_missing(
    segments: Sequence[SegmentId], lost: Sequence[SegmentId]
) -> int:
    """Count the segments of a prompt from the first lost one on."""
    if not lost or lost[0] not in segments:
        return 0
    return len(segments) - segments.index(lost[0])


def _find_depth(
    segments: Sequence[SegmentId], kept: Sequence[SegmentId]
) -> int:
    """Return the index in a prompt of the first segment to export."""
    if not kept or kept[0] not in segments:
        return 0
    return segments.index(kept[0])


def _check_namespace(dispatch: Dispatch) -> Namespace:
    namespace = make_namespace(
        dispatch.team,
        dispatch.service,
        dispatch.model,
        dispatch.weight_digest,
        dispatch.adapter,
    )
    if dispatch.namespace != namespace:
        raise OleanderError(
            ErrorKind.PROTOCOL,
            'the namespace does not match the team, service and weights',
            ran=Ran.NO,
        )
    return namespace


def _set_cache_options(
    body: bytes, namespace: Namespace, priority: int
) -> bytes:
    payload = _parse_body(body)
    payload['cache_salt'] = namespace.hex()
    payload['priority'] = priority
    if payload.get('stream'):
        options = payload.get('stream_options')
        kept = options if isinstance(options, dict) else {}
        payload['stream_options'] = kept | {'include_usage': True}
    return json.dumps(payload).encode()


def _parse_body(body: bytes) -> dict[str, Any]:
    try:
        payload = json.loads(body)
    except ValueError as error:
        raise OleanderError(
            ErrorKind.BAD_REQUEST, 'the request body is not JSON'
        ) from error
    if not isinstance(payload, dict):
        raise OleanderError(
            ErrorKind.BAD_REQUEST, 'the request body is not a JSON object'
        )
    return payload


def _make_headers(dispatch: Dispatch) -> Headers:
    kept = (
        pair
        for pair in filter_request_headers(dispatch.headers)
        if pair[0].lower() != _REQUEST_ID_HEADER
    )
    return (*kept, (_REQUEST_ID_HEADER, dispatch.request))


def _remove_headers(headers: Headers, *names: str) -> Headers:
    return tuple(pair for pair in headers if pair[0].lower() not in names)
