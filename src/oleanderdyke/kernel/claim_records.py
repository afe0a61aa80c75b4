"""Define the records of the claims log and their encoding."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

from oleanderdyke.clock import Millis
from oleanderdyke.links.messages import Headers

CLAIMS_LOG = 'claims'
KEY_BYTES = 20
BODY_BOUND = 16 * 1024
_LENGTH_BYTES = 4


class Place(NamedTuple):
    """Place a record in the claims log: offset of its batch, index in it."""

    offset: int
    index: int


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Ask for an idempotency key on behalf of one agent's incarnation.

    `claim_id` is unique to this append, so that a claim whose append lost its
    answer is found on reading back. `horizon` travels with the record: every
    reader expires it alike, whatever configuration it has.
    """

    key: str
    digest: str
    agent: str
    incarnation: str
    beat: int
    appender: str
    claim_id: str
    horizon: Millis


@dataclass(frozen=True, slots=True)
class ReleaseRecord:
    """Free a key whose claim its agent has barred."""

    key: str
    offset: int
    index: int
    incarnation: str


@dataclass(frozen=True, slots=True)
class WithdrawRecord:
    """Take back a claim that its appender never dispatched and never will.

    It names the claim by id, because the appender may not know whether or
    where the claim is in the log; it holds also when it is read first.
    """

    key: str
    claim_id: str
    horizon: Millis


@dataclass(frozen=True, slots=True)
class OutcomeRecord:
    """Keep the answer of a claim; a long body is kept as its digest only."""

    key: str
    offset: int
    index: int
    status: int
    headers: Headers
    body: bytes = b''
    body_digest: bytes = b''


@dataclass(frozen=True, slots=True)
class CarriedRecord:
    """Repeat a live claim, with its place and time, before the log forgets it.

    A reader that knows the claim already ignores it.
    """

    claim: ClaimRecord
    offset: int
    index: int
    at: Millis
    outcome: OutcomeRecord | None = None


ClaimsRecord: TypeAlias = (
    ClaimRecord | ReleaseRecord | WithdrawRecord | OutcomeRecord | CarriedRecord
)


def make_key(team: str, service: str, idempotency_key: str) -> str:
    """Return the claim key: separate for each team and service."""
    hasher = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (team, service, idempotency_key):
        data = part.encode()
        hasher.update(len(data).to_bytes(_LENGTH_BYTES, 'big'))
        hasher.update(data)
    return hasher.hexdigest()
