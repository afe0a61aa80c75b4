"""Define the messages about claims of idempotency keys."""

from __future__ import annotations

import enum
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Claim:
    """Name the owner of an idempotency key, as the log ordered it.

    `offset` and `index` place the claim in the claims log, `beat` is the last
    heartbeat sequence of the agent that the claiming entry had seen.
    """

    offset: int
    index: int
    key: str
    agent: str
    incarnation: str
    beat: int


@dataclass(frozen=True, slots=True)
class ClaimQuery:
    """Ask what became of a claim, and bar it where it never started."""

    request: str
    team: str
    claim: Claim


class ClaimState(enum.StrEnum):
    """Name what an agent knows about a claim."""

    BARRED = 'barred'
    RUNNING = 'running'
    FINISHED = 'finished'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Tell what became of a claim; a finished one carries its answer."""

    request: str
    claim: Claim
    state: ClaimState
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
