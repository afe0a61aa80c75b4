"""Verification of the parts of one segment's write."""

from __future__ import annotations

import hashlib
import hmac

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.blocks import ID_BYTES
from oleanderdyke.kernel.store_meta import SealedMeta
from oleanderdyke.kernel.store_outcomes import WriteRefusal
from oleanderdyke.links.messages.segments import SegmentPart


class OpenWrite:
    """Check the parts of a segment in order, and the digest at the end."""

    def __init__(
        self, request: str, meta: SealedMeta, generation: int, until: Millis
    ) -> None:
        self.request = request
        self.meta = meta
        self.generation = generation
        self.until = until
        self.joined: list[str] = []
        self.is_verified = False
        self._position = 0
        self._digest = hashlib.blake2b(digest_size=ID_BYTES)

    @property
    def requests(self) -> tuple[str, ...]:
        """Return the requests that wait for the outcome."""
        return (self.request, *self.joined)

    def add(self, part: SegmentPart) -> WriteRefusal | None:
        """Add the next part; return a reason if the write has to fail."""
        refusal = self._check(part)
        if refusal is not None:
            return refusal
        self._digest.update(part.data)
        self._position += len(part.data)
        if not part.last:
            return None
        return self._finish()

    def _check(self, part: SegmentPart) -> WriteRefusal | None:
        if self.is_verified or part.position != self._position:
            return WriteRefusal.ORDER
        if part.length != self.meta.length:
            return WriteRefusal.LENGTH
        if part.digest != self.meta.digest:
            return WriteRefusal.DIGEST
        if self._position + len(part.data) > self.meta.length:
            return WriteRefusal.LENGTH
        return None

    def _finish(self) -> WriteRefusal | None:
        if self._position != self.meta.length:
            return WriteRefusal.LENGTH
        digest = self._digest.digest()
        if not hmac.compare_digest(digest, self.meta.digest):
            return WriteRefusal.DIGEST
        self.is_verified = True
        return None
