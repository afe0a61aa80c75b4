"""Compare what each service owes with what its requests got."""

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
_SLICES = 12
_SERVICE_COUNT = 200

# Whoever caused one of these himself is owed nothing.
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
    """Name one target of a service."""

    FIRST_TOKEN = 'first_token'
    BETWEEN_TOKENS = 'between_tokens'
    RECOMPUTED_SHARE = 'recomputed_share'


@dataclass(frozen=True, slots=True)
class ServedRequest:
    """Hold what one request got; None where nothing can be said.

    Between tokens is the mean over its answer. `refused` names the error of
    a request that got no first token, whose time is then that of the error.
    """

    request: str
    first_token: Millis | None = None
    between_tokens: Millis | None = None
    prompt_tokens: int = 0
    recomputed_tokens: int = 0
    refused: ErrorKind | None = None


@dataclass(frozen=True, slots=True)
class MissedTarget:
    """Tell which target a request missed, when, and by how much."""

    request: str
    target: Target
    value: float
    limit: float
    at: Millis
    refused: str = ''


@dataclass(frozen=True, slots=True)
class TargetCounts:
    """Count the requests judged by a target, and their prompt tokens."""

    judged: int
    missed: int
    prompt_tokens: int
    recomputed_tokens: int


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """Compare a target with the requests of the window.

    A time is owed to 95 in 100 of them. A recomputed share is owed over all
    their prompt tokens; the requests above it are the ones that missed it.
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
    """Judge the requests of one service over a sliding window."""

    def __init__(self) -> None:
        self.refusals: Counter[ErrorKind] = Counter()
        self._slices: deque[_Slice] = deque(maxlen=_SLICES)
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
        """Judge a request; return the targets that it missed."""
        current = self._open_slice(now)
        current.prompt_tokens += served.prompt_tokens
        current.recomputed_tokens += served.recomputed_tokens
        found = []
        for target, value in _list_values(served):
            limit = find_limit(targets, target)
            current.judged[target] += 1
            if value <= limit and served.refused is None:
                continue
            refused = '' if served.refused is None else served.refused.value
            missed = MissedTarget(
                served.request, target, value, limit, wall, refused
            )
            current.missed[target] += 1
            self._missed[target].append(missed)
            found.append(missed)
        return tuple(found)

    def evaluate(
        self, targets: Targets, now: Millis
    ) -> tuple[TargetStatus, ...]:
        """Compare every target with the requests of the window."""
        kept = [item for item in self._slices if _is_kept(item, now)]
        return tuple(_judge(kept, targets, target) for target in Target)

    def list_missed(
        self, count: int = MAX_KEPT_MISSES
    ) -> tuple[MissedTarget, ...]:
        """Return the last requests that missed each target, oldest first."""
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
    """Keep one book for each service, for a bounded number of services."""

    def __init__(self) -> None:
        self._books: dict[str, TargetMonitor] = {}

    def get(self, service: str) -> TargetMonitor:
        """Return the book of a service, a new one where there is none."""
        if service not in self._books:
            while len(self._books) >= _SERVICE_COUNT:
                del self._books[next(iter(self._books))]
            self._books[service] = TargetMonitor()
        return self._books[service]


def find_limit(targets: Targets, target: Target) -> float:
    """Return what is owed for one target."""
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
    """Return whether counted requests got what is owed."""
    if target is Target.RECOMPUTED_SHARE:
        return counts.recomputed_tokens <= limit * counts.prompt_tokens
    return counts.judged - counts.missed >= REQUIRED_SHARE * counts.judged


def _judge(
    kept: list[_Slice], targets: Targets, target: Target
) -> TargetStatus:
    limit = find_limit(targets, target)
    counts = TargetCounts(
        sum(item.judged[target] for item in kept),
        sum(item.missed[target] for item in kept),
        sum(item.prompt_tokens for item in kept),
        sum(item.recomputed_tokens for item in kept),
    )
    met = is_met(target, limit, counts)
    return TargetStatus(target, limit, counts, met)


def _number_slice(now: Millis) -> int:
    return int(now // (WINDOW / _SLICES))


def _is_kept(item: _Slice, now: Millis) -> bool:
    return item.number > _number_slice(now) - _SLICES
