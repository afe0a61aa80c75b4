"""Recognize streams of server-sent events and find where events end."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator

_EVENT_STREAM_TYPE = 'text/event-stream'
_CONTENT_TYPE = 'content-type'
_LF_EVENT_END = b'\n\n'
_COMMENT = b':'
_LINE_END = re.compile(rb'\r\n|\n|\r')
# Lines end with CRLF, LF or CR. The groups are atomic, as a CRLF must not be
# taken for two line ends.
_EVENT_END = re.compile(rb'(?>\r\n|\n|\r)(?>\r\n|\n|\r)')
LONGEST_END_BYTES = 4
# An incomplete event of a stream that may go on elsewhere is kept up to this
# size.
EVENT_LIMIT_BYTES = 1024 * 1024


def is_event_stream(headers: Iterable[tuple[str, str]]) -> bool:
    """Return whether the media type is that of server-sent events."""
    return any(
        name.lower() == _CONTENT_TYPE and _names_events(content)
        for name, content in headers
    )


def find_event_end(data: bytes | bytearray, searched: int = 0) -> int:
    """Return the index behind the first whole event, -1 if there is none.

    `searched` bytes are known to hold no end. A CR at the end of the data ends
    a line; an LF that comes later belongs to it, and begins the next event.
    """
    if b'\r' not in data:
        end = data.find(_LF_EVENT_END, max(searched - 1, 0))
        return end if end < 0 else end + len(_LF_EVENT_END)
    start = max(searched - LONGEST_END_BYTES + 1, 0)
    found = _EVENT_END.search(data, start)
    return -1 if found is None else found.end()


def find_comment_end(data: bytes | bytearray) -> int:
    """Return the index behind a leading comment line, -1 if there is none."""
    if not data.startswith(_COMMENT):
        return -1
    found = _LINE_END.search(data)
    return -1 if found is None else found.end()


def is_within_event(rest: bytes | bytearray) -> bool:
    """Return whether the bytes behind the last whole event begin another.

    Blank lines and whole comment lines don't.
    """
    *whole, last = _LINE_END.split(rest)
    return bool(last.strip()) or any(
        line.strip() and not line.startswith(_COMMENT) for line in whole
    )


def list_event_ends(data: bytes) -> Iterator[int]:
    """Yield the index behind each event that ends in the data."""
    for found in _EVENT_END.finditer(data):
        yield found.end()


def count_events(data: bytes) -> int:
    """Return the number of events that end in the data."""
    if b'\r' not in data:
        return data.count(_LF_EVENT_END)
    return len(_EVENT_END.findall(data))


def split_events(data: bytes) -> list[bytes]:
    """Return the events without their ends; the last part is incomplete."""
    return _EVENT_END.split(data)


def _names_events(content: str) -> bool:
    media_type = content.partition(';')[0].strip()
    return media_type.lower() == _EVENT_STREAM_TYPE
