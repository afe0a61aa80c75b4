"""Judge the head of an answer of a backend server."""

from __future__ import annotations

from oleanderdyke.kernel.servers import AnswerMetadata
from oleanderdyke.links.messages import Headers
from oleanderdyke.platform.requests import NOT_RUN_STATUSES

_EVENT_STREAM = 'text/event-stream'
_SUCCESS = range(200, 300)


def find_fault(status: int, facts: AnswerMetadata, request: str) -> str:
    """Return why an answer can't be that of the server to this request."""
    if facts.request and facts.request != request:
        # Also a late refusal: believed, it would leave this run unclosed
        # beside the next one.
        return 'an answer to another request'
    if facts.is_not_executed:
        return ''
    if status in _SUCCESS and not facts.is_sealed:
        return 'a success without the mark of a server'
    if status in NOT_RUN_STATUSES:
        return f'{status} without the promise that it has not run'
    return ''


def is_own_answer(facts: AnswerMetadata, request: str, server: str) -> bool:
    """Return whether an answer is a server's own to a request, not a late one.

    A server that restarted may answer at the address of another.
    """
    return facts.request in {'', request} and facts.server in {'', server}


def has_events(headers: Headers) -> bool:
    """Return whether the body is a stream of events."""
    return any(
        name == 'content-type' and content.startswith(_EVENT_STREAM)
        for name, content in headers
    )


def is_rest(status: int, headers: Headers) -> bool:
    """Return whether an answer may follow the events that a caller has.

    A failure, or any other text, would be joined to them and end the stream as
    whole.
    """
    return status in _SUCCESS and has_events(headers)
