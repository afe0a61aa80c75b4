"""Buffer the answer to a claimed request until it is recorded."""

from __future__ import annotations

import enum
import hashlib

from oleanderdyke.kernel.claim_records import (
    MAX_RECORDED_BODY_BYTES,
    OutcomeRecord,
)
from oleanderdyke.links.messages import Headers
from oleanderdyke.links.messages.claims import Claim

RECEIPT_HEADER = 'oleander-receipt'
_DIGEST_BYTES = 16


class ReceiptState(enum.StrEnum):
    """Identify how an answer was recorded; sent in the receipt header."""

    RECORDED = 'recorded'
    UNRECORDED = 'unrecorded'
    DIGEST = 'digest'


class Receipt:
    """Buffer an answer and hash its body.

    Answers over MAX_RECORDED_BODY_BYTES are passed on to the caller instead.
    """

    def __init__(self) -> None:
        self._status = 0
        self._headers: Headers = ()
        self._parts: list[bytes] = []
        self._size = 0
        self._hasher = hashlib.blake2b(digest_size=_DIGEST_BYTES)

    @property
    def is_large(self) -> bool:
        """Return whether the body exceeds MAX_RECORDED_BODY_BYTES."""
        return self._size > MAX_RECORDED_BODY_BYTES

    @property
    def status(self) -> int:
        """Return the HTTP status of the answer, 0 before its head."""
        return self._status

    def open(self, status: int, headers: Headers) -> None:
        """Set the status and headers; a repeated head of the run is ignored."""
        if not self._status:
            self._status = status
            self._headers = headers

    def add(self, data: bytes) -> None:
        """Append a part of the body."""
        self._parts.append(data)
        self._size += len(data)
        self._hasher.update(data)

    def add_missing(self, body: bytes) -> None:
        """Append the missing rest, given the whole body of the same run."""
        self.add(body[self._size :])

    def pop_body(self) -> bytes:
        """Return and drop the body parts added since the last call."""
        body = b''.join(self._parts)
        self._parts = []
        return body

    def make_headers(self, state: ReceiptState) -> Headers:
        """Return the answer's headers with the receipt header added."""
        return (*self._headers, (RECEIPT_HEADER, state.value))

    def make_outcome(self, claim: Claim) -> OutcomeRecord:
        """Build the outcome record; a large body is replaced by its digest."""
        body = b'' if self.is_large else b''.join(self._parts)
        return OutcomeRecord(
            key=claim.key,
            offset=claim.offset,
            index=claim.index,
            status=self._status,
            headers=self._headers,
            body=body,
            body_digest=self._hasher.digest() if self.is_large else b'',
        )
