"""Define what the decisions under load see and what they answer."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol, TypeAlias

from oleanderdyke.clock import Millis
from oleanderdyke.errors import ErrorKind
from oleanderdyke.links.messages import AgentPhase, BackendKind, Load

BYTES_PER_TOKEN = 4
SEGMENT_TOKENS = 256
SEGMENT_BYTES = SEGMENT_TOKENS * BYTES_PER_TOKEN

# First 8 bytes of a segment's digest: enough for a hint, never for proof.
SegmentHint: TypeAlias = bytes


@dataclass(frozen=True, slots=True)
class Demand:
    """Describe one request as routing and admission see it.

    `segments` are the hints of the prompt's complete segments, in order;
    `tokens` counts the whole prompt. Plain calls have neither. `deadline` is
    a moment on the clock that `now` is read from.
    """

    request: str
    team: str
    service: str
    deadline: Millis
    tokens: int = 0
    answer_tokens: int = 0
    segments: tuple[SegmentHint, ...] = ()
    weight_digest: str = ''
    background: bool = False
    data_centre: str = ''


@dataclass(frozen=True, slots=True)
class Replica:
    """Show one agent and its backend server as last heard."""

    agent: str
    address: str
    incarnation: str
    backend: BackendKind
    service: str
    data_centre: str
    phase: AgentPhase
    load: Load
    beat: int
    heard: Millis
    model: str = ''
    weight_version: str = ''
    weight_digest: str = ''
    adapter: str = ''


class Fleet(Protocol):
    """Answer what an entry knows about the agents; all of it may be stale."""

    def replicas(self, service: str) -> Sequence[Replica]:
        """Return the serving agents of a service, in the order of names."""

    def stores(self, service: str) -> Sequence[Replica]:
        """Return the serving agents of the stores a service selects."""

    def find(self, agent: str) -> Replica | None:
        """Return an agent by its process name."""

    def count_leading(
        self, agent: str, segments: Sequence[SegmentHint], start: int = 0
    ) -> int:
        """Count the segments from `start` on that an agent holds in a row."""

    def holders(self, segment: SegmentHint) -> Sequence[str]:
        """Return the agents that hold a segment."""


@dataclass(frozen=True, slots=True)
class Plan:
    """Choose a replica and where its context comes from.

    The first `cached` segments are there, the next `fetched` come from the
    store, the rest is recomputed; `reason` is a short text for the log. Of
    the fetched, `joined` are already on their way to that agent. The engine
    runs a lower `priority` first; background work goes behind all.
    """

    agent: str
    reason: str
    store: str = ''
    cached: int = 0
    fetched: int = 0
    predicted: Millis = 0.0
    joined: int = 0
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refuse a request before anything was sent."""

    kind: ErrorKind
    reason: str
    retry_after: Millis


class Router(Protocol):
    """Choose a replica, and learn from what was sent since the last report."""

    def choose(
        self,
        demand: Demand,
        fleet: Fleet,
        now: Millis,
        random: Random,
        *,
        exclude: frozenset[str] = frozenset(),
    ) -> Plan | Refusal:
        """Return a plan, or why there is none."""

    def record_sent(self, demand: Demand, plan: Plan, now: Millis) -> None:
        """Count a dispatch until the agent's reports include it."""

    def record_first_token(self, request: str, now: Millis) -> None:
        """Learn that the wait and the prefill of a request are over."""

    def record_finished(self, request: str, now: Millis) -> None:
        """Forget a request."""

    def record_segments_removed(
        self, agent: str, segments: Sequence[SegmentHint]
    ) -> None:
        """Learn that an agent told of segments that it lost."""

    def record_segments_listed(
        self, agent: str, segments: Sequence[SegmentHint]
    ) -> None:
        """Learn that an agent began to list anew what it holds.

        What a long list lacks at first comes as further segment events.
        """


@dataclass(frozen=True, slots=True)
class Admitted:
    """Let a request go on to routing now."""


@dataclass(frozen=True, slots=True)
class Queued:
    """Hold a request until `Admission.release` names it."""


class Admission(Protocol):
    """Share capacity fairly between teams and refuse early."""

    def admit(
        self, demand: Demand, fleet: Fleet, now: Millis
    ) -> Admitted | Queued | Refusal:
        """Decide about a new request."""

    def release(
        self, fleet: Fleet, now: Millis
    ) -> Sequence[tuple[str, Admitted | Refusal]]:
        """Return queued requests that may go on, or have waited too long."""

    def record_sent(self, demand: Demand, plan: Plan, now: Millis) -> None:
        """Learn which work an admitted request brought to which agent."""

    def record_first_token(self, request: str, now: Millis) -> None:
        """Learn that the wait and the prefill of a request are over."""

    def record_finished(self, request: str, now: Millis) -> None:
        """Give back what a request held, also when its caller left."""


class RetentionPolicy(Protocol):
    """Decide which segments a store keeps."""

    def estimate_value(
        self, segment: SegmentHint, length: int, gap: Millis, now: Millis
    ) -> float:
        """Return the expected saving per byte; higher is kept longer."""

    def record_use(self, segment: SegmentHint, now: Millis) -> None:
        """Learn from a use of a segment."""
