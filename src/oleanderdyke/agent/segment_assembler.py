"""Assemble a segment from its parts."""

from __future__ import annotations

from oleanderdyke.kernel.blocks import verify_segment
from oleanderdyke.links.messages.segments import SegmentPart


class SegmentAssembler:
    """Assemble one segment from parts of one generation."""

    def __init__(self, first: SegmentPart, limit: int) -> None:
        self._first = first
        self._data = bytearray()
        self._valid = first.length <= limit

    def add(self, part: SegmentPart) -> bool:
        """Take the next part; False when the copy is broken."""
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
        """Return the segment; None unless it is exactly the sealed one."""
        data = bytes(self._data)
        if not self._valid:
            return None
        if not verify_segment(data, self._first.length, self._first.digest):
            return None
        return data
