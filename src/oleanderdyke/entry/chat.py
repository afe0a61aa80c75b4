"""Parse chat completion requests in the OpenAI format."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

from oleanderdyke.entry.documents import make_bad_request, parse_document
from oleanderdyke.kernel.blocks import PromptMessage, encode_prompt
from oleanderdyke.kernel.routing import BACKGROUND_PRIORITY, SHORT_PRIORITY

# These fields change how the engine renders the prompt, which would then
# not match the segments computed from the messages.
_UNSUPPORTED_FIELDS = ('tools', 'tool_choice', 'functions', 'function_call')
_HANDLED_FIELDS = frozenset(
    (
        'background',
        'cache_salt',
        'max_completion_tokens',
        'max_tokens',
        'messages',
        'model',
        'priority',
        'stream',
    )
)
_ROLES = frozenset(('system', 'developer', 'user', 'assistant', 'tool'))
_MESSAGE_FIELDS = frozenset(('role', 'content'))
_MESSAGE_LIMIT = 10_000
_TOKEN_LIMIT = 1_000_000
_MODEL_NAME_LIMIT = 200
_DEFAULT_MAX_TOKENS = 256


@dataclass(frozen=True, slots=True)
class Chat:
    """Hold one validated chat request.

    `extra` holds the fields that are passed to the engine unchanged.
    """

    model: str
    messages: tuple[PromptMessage, ...]
    stream: bool
    max_tokens: int
    background: bool
    extra: dict[str, Any]

    def move_to_background(self) -> Chat:
        """Return a copy of the request in the background class."""
        return replace(self, background=True)

    def make_prompt(self) -> bytes:
        """Return the canonical encoding of the messages."""
        return encode_prompt(self.messages)

    def make_engine_body(self, model: str, namespace: bytes) -> bytes:
        """Return the JSON for the engine, with the namespace as cache salt."""
        priority = BACKGROUND_PRIORITY if self.background else SHORT_PRIORITY
        document = self.extra | {
            'model': model,
            'messages': [
                {'role': message.role, 'content': message.content}
                for message in self.messages
            ],
            'stream': self.stream,
            'max_tokens': self.max_tokens,
            'cache_salt': namespace.hex(),
            'priority': priority,
        }
        return json.dumps(document, sort_keys=True).encode()


def parse_chat(body: bytes) -> Chat:
    """Parse a chat request; raise BAD_REQUEST naming the field."""
    document = parse_document(body)
    for name in _UNSUPPORTED_FIELDS:
        if name in document:
            raise make_bad_request(f'{name} is not supported')
    extra = {
        name: found
        for name, found in document.items()
        if name not in _HANDLED_FIELDS
    }
    _check_text(extra)
    return Chat(
        model=_read_name(document),
        messages=tuple(_read_messages(document.get('messages'))),
        stream=_read_flag(document, 'stream'),
        max_tokens=_read_tokens(document),
        background=_read_flag(document, 'background'),
        extra=extra,
    )


def _read_name(document: dict[str, Any]) -> str:
    found = document.get('model')
    if not isinstance(found, str) or not 0 < len(found) <= _MODEL_NAME_LIMIT:
        raise make_bad_request('model must be the name of a service or model')
    return found


def _read_flag(document: dict[str, Any], name: str) -> bool:
    found = document.get(name)
    if found is None or isinstance(found, bool):
        return bool(found)
    raise make_bad_request(f'{name} must be true or false')


def _read_tokens(document: dict[str, Any]) -> int:
    found = document.get('max_completion_tokens', document.get('max_tokens'))
    if found is None:
        return _DEFAULT_MAX_TOKENS
    whole = isinstance(found, int) and not isinstance(found, bool)
    if whole and 0 < found <= _TOKEN_LIMIT:
        return int(found)
    raise make_bad_request(f'max_tokens must be from 1 to {_TOKEN_LIMIT}')


def _read_messages(found: object) -> Iterator[PromptMessage]:
    if not isinstance(found, list) or not 0 < len(found) <= _MESSAGE_LIMIT:
        raise make_bad_request(
            f'messages must hold 1 to {_MESSAGE_LIMIT} messages'
        )
    for position, message in enumerate(found):
        yield _read_message(message, f'messages[{position}]')


def _read_message(found: object, location: str) -> PromptMessage:
    if not isinstance(found, dict) or found.keys() != _MESSAGE_FIELDS:
        raise make_bad_request(f'{location} must have only role and content')
    role = found['role']
    if not isinstance(role, str) or role not in _ROLES:
        allowed = ', '.join(sorted(_ROLES))
        raise make_bad_request(f'{location}.role must be one of {allowed}')
    content = _read_content(found['content'], location)
    if '\0' in content:
        raise make_bad_request(f'{location}.content holds a NUL character')
    _check_text(content)
    return PromptMessage(role, content)


def _read_content(found: object, location: str) -> str:
    if isinstance(found, str):
        return found
    if isinstance(found, list):
        return ''.join(_read_part(part, location) for part in found)
    raise make_bad_request(f'{location}.content must be text')


def _read_part(part: object, location: str) -> str:
    if isinstance(part, dict) and part.get('type') == 'text':
        found = part.get('text')
        if isinstance(found, str):
            return found
    raise make_bad_request(
        f'{location}.content may hold parts of type text only'
    )


def _check_text(found: object) -> None:
    try:
        json.dumps(found, ensure_ascii=False, allow_nan=False).encode()
    except ValueError as error:
        fault = 'the JSON holds a lone surrogate or an out-of-range number'
        raise make_bad_request(fault) from error
