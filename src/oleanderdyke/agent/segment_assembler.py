"""Assembly of segments from their parts."""

from __future__ import annotations

from oleanderdyke.kernel.blocks import verify_segment
from oleanderdyke.links.messages.segments import SegmentPart


class SegmentAssembler:
    """Assemble one segment from parts of the same generation.

    Parts must arrive in order; `limit` bounds the length in bytes.
    """

    def __init__(self, first: SegmentPart, limit: int) -> None:
        self._first = first
        self._data = bytearray()
        self._valid = first.length <= limit

    def add(self, part: SegmentPart) -> bool:
        """Append the next part; return False once the segment is invalid."""
        expected = (self._first.segment, self._first.generation)
        actual = (part.segment, part.generation)
        self._valid = (
            self._valid
            and actual == expected
            and part.position == len(self._data)
            and len(self._data) + len(part.data) <= self._first.length
        )
        if self._valid:
            self._data += part.data
        return self._valid

    def finish(self) -> bytes | None:
        """Return the segment, None if its length or digest does not match."""
        data = bytes(self._data)
        if not self._valid:
            return None
        if not verify_segment(data, self._first.length, self._first.digest):
            return None
        return data
