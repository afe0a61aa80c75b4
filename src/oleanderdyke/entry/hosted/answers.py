"""Validate the head of a backend server's response."""

from __future__ import annotations

from oleanderdyke.event_streams import is_event_stream
from oleanderdyke.kernel.servers import AnswerMetadata
from oleanderdyke.links.messages import Headers
from oleanderdyke.platform.requests import NOT_RUN_STATUSES

_SUCCESS = range(200, 300)
_KNOWN = range(200, 600)
_LENGTH = 'content-length'


def find_answer_fault(
    status: int, metadata: AnswerMetadata, request: str
) -> str:
    """Return why a response must be rejected, or '' if it is acceptable.

    `request` is the id of the request that was sent.
    """
    if metadata.request and metadata.request != request:
        # This also covers a late refusal: accepting it would start the next
        # attempt while the connection of this one is still open.
        return 'response belongs to another request'
    if metadata.is_not_executed:
        return ''
    if status not in _KNOWN:
        return f'status {status} is unknown'
    if status in _SUCCESS and not metadata.is_sealed:
        return 'success response without a response seal'
    if status in NOT_RUN_STATUSES:
        return f'status {status} without a not-executed header'
    return ''


def is_own_answer(metadata: AnswerMetadata, request: str, server: str) -> bool:
    """Return whether a response comes from `server` and is for `request`.

    After a restart, another server may answer at the same address.
    """
    return metadata.request in {'', request} and metadata.server in {'', server}


def continues_stream(status: int, headers: Headers) -> bool:
    """Return whether a response may continue a stream the caller has begun.

    An error, or any other body, would be appended to the events sent so far
    and make the stream look complete.
    """
    return status in _SUCCESS and is_event_stream(headers)


def drop_length(headers: Headers) -> Headers:
    """Return the headers of an answer whose length isn't known yet."""
    return tuple(each for each in headers if each[0].lower() != _LENGTH)
