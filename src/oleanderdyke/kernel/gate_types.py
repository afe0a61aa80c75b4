"""Types and settings of the gate."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class Rights(Protocol):
    """Look up access rights in the agent's copy of the catalog."""

    def allows(self, team: str, service: str) -> bool | None:
        """Return whether a team may use a service, None without a copy."""


@dataclass(frozen=True, slots=True)
class LoadedWeights:
    """Name the weights that the backend server has loaded."""

    model: str = ''
    version: str = ''
    digest: str = ''
    adapter: str = ''


@dataclass(frozen=True, slots=True)
class GateSettings:
    """Limit what the gate admits and remembers.

    `max_age` counts the agent's own heartbeats: a dispatch that is based on an
    older heartbeat is refused. A `concurrency` of 0 means no limit.
    """

    max_age: int = 60
    concurrency: int = 0
    claims: int = 20_000
    answer_bytes: int = 8 * 1024 * 1024
    reserve_beats: int = 4
