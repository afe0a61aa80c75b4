"""Build service calls from validated requests."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from oleanderdyke.clock import Millis
from oleanderdyke.entry.chat import Chat
from oleanderdyke.entry.edge import Head, forward_headers
from oleanderdyke.kernel.blocks import make_hint, make_namespace, split_segments
from oleanderdyke.kernel.claim_records import make_key
from oleanderdyke.kernel.demand import BYTES_PER_TOKEN, Demand
from oleanderdyke.kernel.objects import ModelVersionSpec, ServiceSpec
from oleanderdyke.links.messages import Headers

CHAT_PATH = '/v1/chat/completions'
_DIGEST_BYTES = 16
_LENGTH_BYTES = 4
_CHAT_HEADERS = (('content-type', 'application/json'),)


@dataclass(frozen=True, slots=True)
class Call:
    """Describe one call to a service.

    `body` is the complete body if `whole`, else its beginning. `digest`
    identifies the content of the call, for quarantine and for idempotency.
    """

    request: str
    team: str
    service: str
    spec: ServiceSpec
    method: str
    path: str
    headers: Headers
    body: bytes
    digest: str
    idempotent: bool
    whole: bool = True
    key: str = ''
    weight_digest: str = ''
    namespace: bytes = b''
    segments: tuple[bytes, ...] = ()
    tokens: int = 0
    answer_tokens: int = 0
    background: bool = False

    @property
    def label(self) -> str:
        """Return the metric label; background calls have their own."""
        return f'{self.service}:background' if self.background else self.service

    def make_demand(self, deadline: Millis, data_centre: str) -> Demand:
        """Return the resource demand for routing and admission."""
        return Demand(
            request=self.request,
            team=self.team,
            service=self.service,
            deadline=deadline,
            tokens=self.tokens,
            answer_tokens=self.answer_tokens,
            segments=tuple(make_hint(segment) for segment in self.segments),
            weight_digest=self.weight_digest,
            background=self.background,
            data_centre=data_centre,
        )


@dataclass(frozen=True, slots=True)
class Target:
    """Identify the team and the service of a call."""

    team: str
    service: str
    spec: ServiceSpec


def make_chat_call(
    request: str,
    target: Target,
    chat: Chat,
    weights: ModelVersionSpec,
    idempotency_key: str,
) -> Call:
    """Build a call to a model service, bound to one set of weights."""
    spec = target.spec
    namespace = make_namespace(
        target.team, target.service, spec.model, weights.digest, spec.adapter
    )
    prompt = chat.make_prompt()
    body = chat.make_engine_body(spec.model, namespace)
    # The cache salt depends on the weights. The digest excludes it, to stay
    # the same when the weights change.
    unsalted = chat.make_engine_body(spec.model, b'')
    return Call(
        request=request,
        team=target.team,
        service=target.service,
        spec=spec,
        method='POST',
        path=CHAT_PATH,
        headers=_CHAT_HEADERS,
        body=body,
        digest=_hash_request(target, 'POST', CHAT_PATH, unsalted),
        idempotent=not idempotency_key,
        key=_make_key(target, idempotency_key),
        weight_digest=weights.digest,
        namespace=namespace,
        segments=split_segments(namespace, prompt),
        tokens=-(-len(prompt) // BYTES_PER_TOKEN),
        answer_tokens=chat.max_tokens,
        background=chat.background,
    )


def make_plain_call(
    head: Head,
    target: Target,
    path: str,
    body: bytes,
    *,
    whole: bool,
    idempotency_key: str,
    background: bool,
) -> Call:
    """Build a call to a plain service.

    A streamed body cannot be sent twice, so its call is never treated as
    idempotent, whatever the method.
    """
    idempotent = head.method in target.spec.idempotent_methods
    return Call(
        request=head.request,
        team=target.team,
        service=target.service,
        spec=target.spec,
        method=head.method,
        path=path,
        headers=forward_headers(head.headers),
        body=body,
        digest=_hash_request(target, head.method, path, body),
        idempotent=idempotent and whole,
        whole=whole,
        key='' if idempotent else _make_key(target, idempotency_key),
        background=background,
    )


def _make_key(target: Target, idempotency_key: str) -> str:
    if not idempotency_key:
        return ''
    return make_key(target.team, target.service, idempotency_key)


def _hash_request(target: Target, method: str, path: str, body: bytes) -> str:
    hasher = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for text in (target.team, target.service, method, path):
        data = text.encode()
        hasher.update(len(data).to_bytes(_LENGTH_BYTES, 'big'))
        hasher.update(data)
    hasher.update(body)
    return hasher.hexdigest()
