"""Say what the gate is told and how it is bounded."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class Rights(Protocol):
    """Tell from the agent's copy of the catalog who may use the service."""

    def allows(self, team: str, service: str) -> bool | None:
        """Return whether a team may; None where there is no catalog copy."""


@dataclass(frozen=True, slots=True)
class LoadedWeights:
    """Name the weights that the backend server has loaded."""

    model: str = ''
    version: str = ''
    digest: str = ''
    adapter: str = ''


@dataclass(frozen=True, slots=True)
class GateSettings:
    """Bound what the gate lets run and remembers.

    `max_age` counts the agent's own heartbeats: a dispatch that was built
    from an older heartbeat never starts.
    """

    max_age: int = 60
    concurrency: int = 0
    claims: int = 20_000
    answer_bytes: int = 8 * 1024 * 1024
    reserve_beats: int = 4
