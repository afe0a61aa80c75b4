"""Collect the answer of a claimed call until it is recorded."""

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
    """Name how an answer is kept, as its header tells the caller."""

    RECORDED = 'recorded'
    UNRECORDED = 'unrecorded'
    DIGEST = 'digest'


class Receipt:
    """Hold an answer up to a bound; a longer one flows on to the caller."""

    def __init__(self) -> None:
        self._status = 0
        self._headers: Headers = ()
        self._parts: list[bytes] = []
        self._size = 0
        self._hasher = hashlib.blake2b(digest_size=_DIGEST_BYTES)

    @property
    def is_large(self) -> bool:
        """Return whether the answer has grown over the bound."""
        return self._size > MAX_RECORDED_BODY_BYTES

    @property
    def status(self) -> int:
        """Return the status of the answer."""
        return self._status

    def open(self, status: int, headers: Headers) -> None:
        """Take the head; a second one of the same run changes nothing."""
        if not self._status:
            self._status = status
            self._headers = headers

    def add(self, data: bytes) -> None:
        """Take a part of the body."""
        self._parts.append(data)
        self._size += len(data)
        self._hasher.update(data)

    def add_missing(self, body: bytes) -> None:
        """Take what is missing, from the whole body of the same run."""
        self.add(body[self._size :])

    def pop_body(self) -> bytes:
        """Return what was added since the last call."""
        body = b''.join(self._parts)
        self._parts = []
        return body

    def make_headers(self, state: ReceiptState) -> Headers:
        """Return the answer's headers and what we say about it."""
        return (*self._headers, (RECEIPT_HEADER, state.value))

    def make_outcome(self, claim: Claim) -> OutcomeRecord:
        """Return the record: the whole answer, or the digest of a long one."""
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
