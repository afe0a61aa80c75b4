"""Messages about claims of idempotency keys."""

from __future__ import annotations

import enum
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Claim:
    """Ownership of an idempotency key by an agent, as ordered by the log.

    `offset` and `index` are the position of the claim in the claims log, `beat`
    is the sequence of the last heartbeat that the entry had received from the
    agent when it wrote the claim.
    """

    offset: int
    index: int
    key: str
    agent: str
    incarnation: str
    beat: int


@dataclass(frozen=True, slots=True)
class ClaimQuery:
    """Request the state of a claim, and bar it if its request never started."""

    request: str
    team: str
    claim: Claim


class ClaimState(enum.StrEnum):
    """The state of a claim as its agent knows it."""

    BARRED = 'barred'
    RUNNING = 'running'
    FINISHED = 'finished'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Report the state of a claim; a finished one includes its answer."""

    request: str
    claim: Claim
    state: ClaimState
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
