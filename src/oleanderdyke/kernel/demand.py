"""Define the inputs, results and interfaces of routing and admission."""

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

# The first 8 bytes of a segment's digest. They may collide, so that a match is
# only a hint.
SegmentHint: TypeAlias = bytes


@dataclass(frozen=True, slots=True)
class Demand:
    """Describe one request for routing and admission.

    `segments` are the hints of the prompt's complete segments, in order;
    `tokens` counts the whole prompt. Plain calls have neither. `deadline` is
    a time on the same clock as `now`.
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
    """Hold the last reported state of an agent and its backend server.

    `beat` is the sequence number of the last heartbeat, `heard` its time.
    """

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
    """Query the agents that an entry knows; every result may be stale."""

    def replicas(self, service: str) -> Sequence[Replica]:
        """Return the serving agents of a service, sorted by name."""

    def stores(self, service: str) -> Sequence[Replica]:
        """Return the serving agents of the stores that a service selects."""

    def find(self, agent: str) -> Replica | None:
        """Return an agent by its process name."""

    def count_leading(
        self, agent: str, segments: Sequence[SegmentHint], start: int = 0
    ) -> int:
        """Count the consecutive segments from `start` that an agent holds."""

    def holders(self, segment: SegmentHint) -> Sequence[str]:
        """Return the process names of the agents that hold a segment."""


@dataclass(frozen=True, slots=True)
class Plan:
    """Assign a request to a replica, with the sources of its context.

    The first `cached` segments are on the replica, the next `fetched` come
    from the store, and the rest is recomputed. Of the fetched segments,
    `joined` are already being transferred to the agent. `reason` is a short
    text for the log, `predicted` the expected time to first token. Engines
    run a lower `priority` first, and background requests last.
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
    """Reject a request before anything was sent to a backend server."""

    kind: ErrorKind
    reason: str
    retry_after: Millis


class Router(Protocol):
    """Choose replicas, counting dispatches that reports don't include yet."""

    def choose(
        self,
        demand: Demand,
        fleet: Fleet,
        now: Millis,
        random: Random,
        *,
        exclude: frozenset[str] = frozenset(),
    ) -> Plan | Refusal:
        """Return a plan, or a refusal if no replica can take the request."""

    def record_sent(self, demand: Demand, plan: Plan, now: Millis) -> None:
        """Record a dispatch, counted until the agent's reports include it."""

    def record_first_token(self, request: str, now: Millis) -> None:
        """Record that the queueing and prefill of a request have ended."""

    def record_finished(self, request: str, now: Millis) -> None:
        """Remove a request that has ended."""

    def record_segments_removed(
        self, agent: str, segments: Sequence[SegmentHint]
    ) -> None:
        """Record the segments that an agent reported as removed."""

    def record_segments_listed(
        self, agent: str, segments: Sequence[SegmentHint]
    ) -> None:
        """Record the first part of a new list of an agent's segments.

        The rest of a long list follows as further segment events.
        """


@dataclass(frozen=True, slots=True)
class Admitted:
    """Pass a request on to routing now."""


@dataclass(frozen=True, slots=True)
class Queued:
    """Hold a request until `Admission.release` returns it."""


class Admission(Protocol):
    """Share capacity fairly between teams, rejecting excess load early."""

    def admit(
        self, demand: Demand, fleet: Fleet, now: Millis
    ) -> Admitted | Queued | Refusal:
        """Admit, queue or reject a new request."""

    def release(
        self, fleet: Fleet, now: Millis
    ) -> Sequence[tuple[str, Admitted | Refusal]]:
        """Return queued requests that are admitted, or waited too long."""

    def record_sent(self, demand: Demand, plan: Plan, now: Millis) -> None:
        """Record the agent and the plan of an admitted request."""

    def record_first_token(self, request: str, now: Millis) -> None:
        """Record that the queueing and prefill of a request have ended."""

    def record_finished(self, request: str, now: Millis) -> None:
        """Release the capacity of a request, also after a cancellation."""


class RetentionPolicy(Protocol):
    """Decide which segments a store keeps and which it evicts."""

    def estimate_value(
        self, segment: SegmentHint, length: int, gap: Millis, now: Millis
    ) -> float:
        """Return the expected saving per byte; the lowest is evicted first."""

    def record_use(self, segment: SegmentHint, now: Millis) -> None:
        """Record a use of a segment."""
