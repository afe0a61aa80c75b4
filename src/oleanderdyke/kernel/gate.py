"""Check at the agent, at the moment of use, whether a dispatch may run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, TypeAlias

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.quarantine import Quarantine
from oleanderdyke.links.messages import (
    AgentPhase,
    ClaimAnswer,
    ClaimQuery,
    Dispatch,
    Failed,
    Headers,
)


@dataclass(frozen=True, slots=True)
class Pass:
    """Let a dispatch run now; the gate counts it as running."""


@dataclass(frozen=True, slots=True)
class Ignored:
    """Drop a duplicate without any answer; the first one is answered."""


Admittance: TypeAlias = Pass | Failed | Ignored


class Rights(Protocol):
    """Tell from the agent's copy of the catalog who may use the service."""

    def allows(self, team: str, service: str) -> bool | None:
        """Tell whether a team may; None where there is no catalog copy."""


@dataclass(frozen=True, slots=True)
class Loaded:
    """Name the weights that the backend server has loaded."""

    model: str = ''
    version: str = ''
    digest: str = ''
    adapter: str = ''


@dataclass(frozen=True, slots=True)
class RunAnswer:
    """Hold the answer of a run."""

    status: int
    headers: Headers
    body: bytes


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
    reserve_beats: int = 30


class Gate:
    """Admit dispatches to one backend server.

    The agent calls `note_beat` with each heartbeat it sends, `finish` once
    for each passed dispatch, and `crash` when its backend server is lost.
    """

    def __init__(
        self,
        agent: str,
        incarnation: str,
        service: str,
        *,
        settings: GateSettings,
        quarantine: Quarantine,
        rights: Rights,
    ) -> None:
        raise NotImplementedError

    @property
    def running(self) -> int:
        """Count the running dispatches."""
        raise NotImplementedError

    def set_phase(self, phase: AgentPhase) -> None:
        """Enter a phase; LEAVING is never left again."""
        raise NotImplementedError

    def set_loaded(self, loaded: Loaded) -> None:
        """Tell which weights new dispatches must name."""
        raise NotImplementedError

    def note_beat(self, sequence: int) -> None:
        """Tell the sequence number of the heartbeat just sent."""
        raise NotImplementedError

    def admit(self, dispatch: Dispatch, now: Millis) -> Admittance:
        """Decide whether a dispatch may run now."""
        raise NotImplementedError

    def finish(
        self, request: str, attempt: int, answer: RunAnswer | None
    ) -> None:
        """End a run; None tells that its answer is not known whole."""
        raise NotImplementedError

    def cancel(self, request: str, attempt: int) -> bool:
        """Bar an attempt that never came; tell whether it is running."""
        raise NotImplementedError

    def crash(self, now: Millis) -> tuple[Failed, ...]:
        """End all runs because the backend server is lost.

        Send the returned messages after a heartbeat that tells the suspects.
        """
        raise NotImplementedError

    def answer(self, query: ClaimQuery) -> ClaimAnswer:
        """Tell what became of a claim; bar it where it never started."""
        raise NotImplementedError
