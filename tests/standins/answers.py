"""Parse chat requests, build deterministic answers and count engine runs."""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import hashlib
import json
import time
from collections.abc import AsyncGenerator, Mapping
from dataclasses import dataclass, field
from typing import Any

from tests.standins import cache

_DEFAULT_TOKENS = 8
_MARK_LENGTH = 12
_BACKGROUND = 10


@dataclass(frozen=True, slots=True)
class Chat:
    """Hold the fields of a chat request that an engine uses."""

    request: str
    model: str
    prompt: bytes
    namespace: bytes
    priority: int
    stream: bool
    answer_tokens: int

    @property
    def tokens(self) -> int:
        """Return the number of tokens in the prompt."""
        return cache.count_tokens(self.prompt)


@dataclass(slots=True)
class Run:
    """Hold one run and the weights that were loaded when it started."""

    chat: Chat
    digest: str
    cached_tokens: int = 0
    words: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        self.words = make_words(
            self.chat.prompt, self.digest, self.chat.answer_tokens
        )

    @property
    def usage(self) -> dict[str, Any]:
        """Return the `usage` object of a chat completion."""
        prompt = self.chat.tokens
        return {
            'prompt_tokens': prompt,
            'completion_tokens': len(self.words),
            'total_tokens': prompt + len(self.words),
            'cached_tokens': self.cached_tokens,
            'prompt_tokens_details': {'cached_tokens': self.cached_tokens},
        }


@dataclass(slots=True)
class Stats:
    """Count the runs and tokens of an engine."""

    runs: collections.Counter[str] = field(default_factory=collections.Counter)
    background_runs: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    finished: int = 0
    cancelled: int = 0
    imports: int = 0
    corrupt_imports: int = 0
    corrupt_used: int = 0
    exports: int = 0
    loads: int = 0
    orders_taken: int = 0
    orders_refused: int = 0

    def count_start(self, run: Run) -> None:
        """Count a started run and its prompt and cached tokens."""
        self.runs[run.chat.request] += 1
        self.background_runs += run.chat.priority >= _BACKGROUND
        self.prompt_tokens += run.chat.tokens
        self.cached_tokens += run.cached_tokens

    def count_end(self, *, finished: bool) -> None:
        """Count a run that finished or was cancelled."""
        self.finished += finished
        self.cancelled += not finished

    def show(self) -> dict[str, Any]:
        """Return the counts as a JSON object."""
        names = [item.name for item in dataclasses.fields(self)]
        return {name: getattr(self, name) for name in names}


def make_words(prompt: bytes, digest: str, count: int) -> tuple[str, ...]:
    """Return the words of an answer, derived from prompt and weights."""
    mark = hashlib.blake2b(prompt, digest_size=32).hexdigest()
    rest = [f'w{index}' for index in range(2, count)]
    words = [f'p-{mark[:_MARK_LENGTH]}', f'd-{digest[:_MARK_LENGTH]}', *rest]
    return tuple(f'{word} ' for word in words[: max(1, count)])


def make_text(
    messages: list[dict[str, Any]], digest: str, count: int = _DEFAULT_TOKENS
) -> str:
    """Return the complete text that answers the given chat messages."""
    prompt = cache.render_prompt(messages)
    return ''.join(make_words(prompt, digest, count))


def read_chat(body: bytes, request: str) -> Chat:
    """Parse a chat request; raise KeyError, TypeError or ValueError."""
    document: Mapping[str, Any] = json.loads(body)
    return Chat(
        request=request,
        model=str(document.get('model', '')),
        prompt=cache.render_prompt(document['messages']),
        namespace=bytes.fromhex(document.get('cache_salt') or ''),
        priority=int(document.get('priority') or 0),
        stream=bool(document.get('stream')),
        answer_tokens=int(document.get('max_tokens') or _DEFAULT_TOKENS),
    )


def read_digest(body: bytes) -> str:
    """Return the digest in a response of the weight store."""
    return str(json.loads(body)['digest'])


def render_whole(run: Run) -> dict[str, Any]:
    """Return a complete, unstreamed chat completion."""
    message = {'role': 'assistant', 'content': ''.join(run.words)}
    choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
    return _render(run, 'chat.completion', choice) | {'usage': run.usage}


async def stream_events(
    run: Run, words: AsyncGenerator[str, None]
) -> AsyncGenerator[bytes, None]:
    """Yield a chat completion as server-sent events, one word each."""
    delta: dict[str, str] = {'role': 'assistant'}
    async with contextlib.aclosing(words):
        async for word in words:
            delta['content'] = word
            yield _render_event(run, delta, None)
            delta = {}
    yield _render_event(run, {}, 'stop', usage=run.usage)
    yield b'data: [DONE]\n\n'


def _render_event(
    run: Run, delta: Mapping[str, str], reason: str | None, **more: Any
) -> bytes:
    choice = {'index': 0, 'delta': delta, 'finish_reason': reason}
    event = _render(run, 'chat.completion.chunk', choice) | more
    return b'data: ' + json.dumps(event).encode() + b'\n\n'


def _render(run: Run, kind: str, choice: Mapping[str, Any]) -> dict[str, Any]:
    return {
        'id': f'chatcmpl-{run.chat.request}',
        'object': kind,
        'created': int(time.time()),
        'model': run.chat.model,
        'choices': [choice],
    }
