"""Evaluate whether each service meets the targets of its requests."""

from __future__ import annotations

import enum
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from oleanderdyke.clock import HOUR, Millis
from oleanderdyke.errors import ErrorKind
from oleanderdyke.kernel.objects import Targets

WINDOW: Millis = HOUR
REQUIRED_SHARE = 0.95
MAX_KEPT_MISSES = 50
_SLICE_COUNT = 12
_MAX_SERVICES = 200

# Errors caused by the caller, which do not count as missed targets.
CALLER_FAULTS = frozenset(
    (
        ErrorKind.BAD_REQUEST,
        ErrorKind.UNAUTHENTICATED,
        ErrorKind.FORBIDDEN,
        ErrorKind.NOT_FOUND,
        ErrorKind.METHOD_NOT_ALLOWED,
        ErrorKind.BODY_TOO_LARGE,
        ErrorKind.HEADERS_TOO_LARGE,
        ErrorKind.CONFLICT,
        ErrorKind.KEY_REUSED,
        ErrorKind.IN_PROGRESS,
        ErrorKind.RATE_LIMITED,
        ErrorKind.QUARANTINED,
        ErrorKind.STREAM_GONE,
        ErrorKind.CANCELLED,
    )
)


class Target(enum.StrEnum):
    """Identify one target of a service."""

    FIRST_TOKEN = 'first_token'
    BETWEEN_TOKENS = 'between_tokens'
    RECOMPUTED_SHARE = 'recomputed_share'


@dataclass(frozen=True, slots=True)
class ServedRequest:
    """Hold the measurements of one request; None if not measurable.

    `between_tokens` is the mean over the answer. `refused` is the error of a
    request without a first token; `first_token` is then the time to the error.
    """

    request: str
    first_token: Millis | None = None
    between_tokens: Millis | None = None
    prompt_tokens: int = 0
    recomputed_tokens: int = 0
    refused: ErrorKind | None = None


@dataclass(frozen=True, slots=True)
class MissedTarget:
    """Describe a request that missed a target.

    `refused` is the error kind, empty for a request that was answered.
    """

    request: str
    target: Target
    value: float
    limit: float
    at: Millis
    refused: str = ''


@dataclass(frozen=True, slots=True)
class TargetCounts:
    """Count the requests evaluated for a target, and their prompt tokens."""

    judged: int
    missed: int
    prompt_tokens: int
    recomputed_tokens: int


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """Hold the evaluation of a target over the requests in the window.

    A time must be met by REQUIRED_SHARE of the requests. The recomputed share
    is compared over all prompt tokens of the requests together; `missed`
    counts the requests above it.
    """

    target: Target
    limit: float
    counts: TargetCounts
    met: bool


@dataclass(slots=True)
class _Slice:
    number: int
    judged: Counter[Target] = field(default_factory=Counter)
    missed: Counter[Target] = field(default_factory=Counter)
    prompt_tokens: int = 0
    recomputed_tokens: int = 0


class TargetMonitor:
    """Evaluate the targets of one service over a sliding window."""

    def __init__(self) -> None:
        self.refusals: Counter[ErrorKind] = Counter()
        self._slices: deque[_Slice] = deque(maxlen=_SLICE_COUNT)
        self._missed = {
            target: deque[MissedTarget](maxlen=MAX_KEPT_MISSES)
            for target in Target
        }

    def add(
        self,
        served: ServedRequest,
        targets: Targets,
        *,
        now: Millis,
        wall: Millis,
    ) -> tuple[MissedTarget, ...]:
        """Add a request; return the targets that it missed.

        `wall` is the wall-clock time reported with a miss.
        """
        current = self._open_slice(now)
        current.prompt_tokens += served.prompt_tokens
        current.recomputed_tokens += served.recomputed_tokens
        misses = []
        for target, value in _list_values(served):
            limit = get_limit(targets, target)
            current.judged[target] += 1
            if value <= limit and served.refused is None:
                continue
            refused = '' if served.refused is None else served.refused.value
            missed = MissedTarget(
                served.request, target, value, limit, wall, refused
            )
            current.missed[target] += 1
            self._missed[target].append(missed)
            misses.append(missed)
        return tuple(misses)

    def evaluate(
        self, targets: Targets, now: Millis
    ) -> tuple[TargetStatus, ...]:
        """Evaluate every target over the requests in the window."""
        kept = [item for item in self._slices if _is_in_window(item, now)]
        return tuple(_evaluate(kept, targets, target) for target in Target)

    def list_missed(
        self, count: int = MAX_KEPT_MISSES
    ) -> tuple[MissedTarget, ...]:
        """Return up to `count` recent misses of each target, oldest first."""
        return tuple(
            missed
            for kept in self._missed.values()
            for missed in tuple(kept)[max(len(kept) - count, 0) :]
        )

    def _open_slice(self, now: Millis) -> _Slice:
        number = _number_slice(now)
        if not self._slices or self._slices[-1].number != number:
            self._slices.append(_Slice(number))
        return self._slices[-1]


class TargetMonitors:
    """Hold a monitor for each service, for a limited number of services."""

    def __init__(self) -> None:
        self._monitors: dict[str, TargetMonitor] = {}

    def get(self, service: str) -> TargetMonitor:
        """Return the monitor of a service; create it if needed.

        Creating one in a full table drops the monitor that was created first.
        """
        if service not in self._monitors:
            while len(self._monitors) >= _MAX_SERVICES:
                del self._monitors[next(iter(self._monitors))]
            self._monitors[service] = TargetMonitor()
        return self._monitors[service]


def get_limit(targets: Targets, target: Target) -> float:
    """Return the limit that a service sets for one target."""
    limits = {
        Target.FIRST_TOKEN: targets.first_token,
        Target.BETWEEN_TOKENS: targets.between_tokens,
        Target.RECOMPUTED_SHARE: targets.recomputed_share,
    }
    return limits[target]


def _list_values(served: ServedRequest) -> Iterator[tuple[Target, float]]:
    if served.first_token is not None:
        yield Target.FIRST_TOKEN, served.first_token
    if served.between_tokens is not None:
        yield Target.BETWEEN_TOKENS, served.between_tokens
    if served.prompt_tokens:
        share = served.recomputed_tokens / served.prompt_tokens
        yield Target.RECOMPUTED_SHARE, share


def is_met(target: Target, limit: float, counts: TargetCounts) -> bool:
    """Return whether the counted requests meet the target."""
    if target is Target.RECOMPUTED_SHARE:
        return counts.recomputed_tokens <= limit * counts.prompt_tokens
    return counts.judged - counts.missed >= REQUIRED_SHARE * counts.judged


def _evaluate(
    kept: list[_Slice], targets: Targets, target: Target
) -> TargetStatus:
    limit = get_limit(targets, target)
    counts = TargetCounts(
        sum(item.judged[target] for item in kept),
        sum(item.missed[target] for item in kept),
        sum(item.prompt_tokens for item in kept),
        sum(item.recomputed_tokens for item in kept),
    )
    met = is_met(target, limit, counts)
    return TargetStatus(target, limit, counts, met)


def _number_slice(now: Millis) -> int:
    return int(now // (WINDOW / _SLICE_COUNT))


def _is_in_window(item: _Slice, now: Millis) -> bool:
    return item.number > _number_slice(now) - _SLICE_COUNT
