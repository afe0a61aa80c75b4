"""Send HTTP calls as a client and measure the time to the first token."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

import httpcore

_EVENT = 'data: '
_DONE = '[DONE]'
_TIMEOUT = {'connect': 5.0, 'read': 40.0, 'write': 10.0, 'pool': 5.0}


@dataclass(frozen=True, slots=True)
class Reply:
    """Hold a complete response; `first_token` is in ms, for streams only."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    first_token: float = 0.0
    events: tuple[Any, ...] = field(default=())
    done: bool = False

    @property
    def json(self) -> Any:
        """Decode the body as JSON."""
        return json.loads(self.body)

    @property
    def text(self) -> str:
        """Return the text of a chat completion, streamed or complete."""
        if not self.events:
            return str(self.json['choices'][0]['message']['content'])
        return ''.join(
            choice['delta'].get('content', '')
            for event in self.events
            for choice in event.get('choices', ())
        )

    @property
    def usage(self) -> Any:
        """Return the `usage` object of a chat completion."""
        if not self.events:
            return self.json['usage']
        found = [event['usage'] for event in self.events if event.get('usage')]
        return found[-1]

    @property
    def recomputed_share(self) -> float:
        """Return the fraction of the prompt that the engine computed."""
        prompt = self.usage['prompt_tokens']
        return float((prompt - self.usage['cached_tokens']) / prompt)


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    *,
    token: str = '',
    headers: Mapping[str, str] | None = None,
) -> Reply:
    """Send a request, any body but bytes as JSON, and read the response."""
    with (
        httpcore.ConnectionPool() as pool,
        open_stream(
            pool, address, method, path, body, token=token, headers=headers
        ) as response,
    ):
        data = response.read()
    return Reply(response.status, _read_headers(response), data)


def ask(
    address: str,
    service: str,
    text: str,
    *,
    token: str,
    max_tokens: int = 8,
    **more: Any,
) -> Reply:
    """Send one chat message to a model service and stream the answer."""
    body = make_chat(service, text, max_tokens=max_tokens, **more)
    start = time.monotonic()
    first_token = 0.0
    data = bytearray()
    with (
        httpcore.ConnectionPool() as pool,
        open_stream(
            pool, address, 'POST', '/v1/chat/completions', body, token=token
        ) as response,
    ):
        for chunk in response.iter_stream():
            first_token = first_token or (time.monotonic() - start) * 1_000
            data += chunk
    headers = _read_headers(response)
    if 'event-stream' not in headers.get('content-type', ''):
        return Reply(response.status, headers, bytes(data))
    events, done = read_events(bytes(data))
    return Reply(
        response.status, headers, bytes(data), first_token, events, done
    )


def make_chat(service: str, text: str, **more: Any) -> dict[str, Any]:
    """Build a chat completion request with one message."""
    messages = [{'role': 'user', 'content': text}]
    return {'model': service, 'messages': messages, 'stream': True, **more}


def read_events(data: bytes) -> tuple[tuple[Any, ...], bool]:
    """Parse server-sent events; return them and whether the stream ended."""
    lines = [
        line.removeprefix(_EVENT)
        for line in data.decode().splitlines()
        if line.startswith(_EVENT)
    ]
    events = tuple(json.loads(line) for line in lines if line != _DONE)
    return events, _DONE in lines


@contextmanager
def open_stream(
    pool: httpcore.ConnectionPool,
    address: str,
    method: str,
    path: str,
    body: Any = None,
    *,
    token: str = '',
    headers: Mapping[str, str] | None = None,
) -> Iterator[httpcore.Response]:
    """Open a response to read its body in chunks."""
    content = body if isinstance(body, bytes) else _encode(body)
    sent = [('content-type', 'application/json'), *(headers or {}).items()]
    if token:
        sent.append(('authorization', f'Bearer {token}'))
    with pool.stream(
        method,
        f'http://{address}{path}',
        headers=sent,
        content=content,
        extensions={'timeout': _TIMEOUT},
    ) as response:
        yield response


def _encode(body: Any) -> bytes:
    return b'' if body is None else json.dumps(body).encode()


def _read_headers(response: httpcore.Response) -> dict[str, str]:
    return {
        name.decode('latin-1').lower(): found.decode('latin-1')
        for name, found in response.headers
    }
