"""Record what clients and servers see, and check the promises to both."""

from __future__ import annotations

import bisect
import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from tools.soak import losses, streams
from tools.soak.attempts import Attempt, ProcessLife, ServerRun, Spell
from tools.soak.losses import LossRule
from tools.soak.streams import ServiceHistory, Shares, StreamRule

_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_SUCCESS = range(200, 300)
STREAM_RULE = StreamRule()
LOSS_RULE = LossRule()


@dataclass(frozen=True, slots=True)
class RetryRule:
    """Limit the retries that a service may get; `window` is in seconds."""

    share: float = 0.2
    slack: float = 52.0
    window: float = 10.0


@dataclass(frozen=True, slots=True)
class Excess:
    """Describe a window with more retries than allowed."""

    begin: float
    retries: int
    allowed: float


@dataclass
class Observations:
    """Hold what clients sent and got, and what arrived at the servers.

    Times are in seconds and ascend.
    """

    sent: list[float] = field(default_factory=list)
    retries: list[float] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)
    broken: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    lives: dict[str, ProcessLife] = field(default_factory=dict)
    runs: dict[str, list[ServerRun]] = field(
        default_factory=lambda: defaultdict(list)
    )
    history: ServiceHistory = field(default_factory=ServiceHistory)
    # When the store refused calls or lost records, and when no server served.
    store_faults: list[Spell] = field(default_factory=list)
    server_faults: list[Spell] = field(default_factory=list)
    # The body of every success, if it follows from the request alone.
    make_body: Callable[[str], bytes] | None = None
    _arrived: set[str] = field(default_factory=set)
    _runs: Counter[str] = field(default_factory=Counter)
    _bodies: dict[str, set[bytes]] = field(
        default_factory=lambda: defaultdict(set)
    )
    _unique: set[str] = field(default_factory=set)
    _answers: dict[str, int] = field(default_factory=dict)
    _faults: list[str] = field(default_factory=list)

    def record_sent(
        self, request: str, now: float, *, is_idempotent: bool
    ) -> None:
        """Record a request of a client."""
        self.sent.append(now)
        if not is_idempotent:
            self._unique.add(request)

    def record_arrival(self, request: str, now: float) -> None:
        """Record a request that reached a server."""
        if request in self._arrived:
            self.retries.append(now)
        self._arrived.add(request)

    def begin_run(self, request: str, now: float) -> ServerRun:
        """Record that a server begins to work on a request."""
        run = ServerRun(request, now)
        self.runs[request].append(run)
        return run

    def record_run(self, request: str, body: bytes) -> None:
        """Record that a server ran a request, and the body it answers with."""
        self._runs[request] += 1
        self._bodies[request].add(body)

    def record_answer(self, request: str, status: int, body: bytes) -> None:
        """Record a complete answer as the client received it."""
        self.statuses[status] += 1
        self._answers[request] = status
        bodies = self._bodies[request]
        if self.make_body is not None:
            bodies = {self.make_body(request)}
        if status in _SUCCESS and body not in bodies:
            self._faults.append(f'MIXED {request}: body is not its own')

    def record_stream(self, attempt: Attempt) -> None:
        """Record a complete answer on a route of streams."""
        self.statuses[attempt.status] += 1

    def record_broken(self) -> None:
        """Record a connection that ended before the answer was complete."""
        self.broken += 1

    def list_faults(self, rule: RetryRule) -> list[str]:
        """Return a line for each broken promise."""
        return [
            *self._list_request_faults(rule),
            *streams.list_order_faults(self.attempts, STREAM_RULE),
            *streams.list_resume_faults(self.count_shares(), STREAM_RULE),
            *losses.list_losses(
                self.attempts, self.lives, self.runs, LOSS_RULE
            ),
        ]

    def count_shares(self) -> Shares:
        """Count the streams that began and went on at entries in touch."""
        return streams.count_shares(
            self.attempts,
            is_in_touch=self._is_in_touch,
            history=self.history,
            rule=STREAM_RULE,
        )

    def count_mixed(self) -> int:
        """Return the number of streams that hold events of two versions."""
        return streams.count_mixed(self.attempts)

    def _is_in_touch(self, attempt: Attempt) -> bool:
        begin = attempt.sent - STREAM_RULE.calm
        end = streams.find_decided(attempt)
        served_from = attempt.sent - STREAM_RULE.settled
        return (
            self.lives[attempt.process].is_calm(begin, end)
            and not any(each.overlaps(begin, end) for each in self.store_faults)
            and not any(
                each.overlaps(served_from, end) for each in self.server_faults
            )
        )

    def _list_request_faults(self, rule: RetryRule) -> list[str]:
        faults = list(self._faults)
        for request, count in self._runs.items():
            if request in self._unique and count > 1:
                faults.append(f'TWICE {request}: ran {count} times')
            status = self._answers.get(request)
            if request in self._unique and status in _NOT_RUN_STATUSES:
                faults.append(f'REFUSED {request}: {status}, but it ran')
        worst = self.find_excess(rule)
        if worst is not None:
            faults.append(
                f'BUDGET from {worst.begin:.2f} s: {worst.retries} retries, '
                f'{worst.allowed:.1f} allowed'
            )
        return faults

    def find_excess(self, rule: RetryRule) -> Excess | None:
        """Return the window with the largest excess, None without any."""
        excesses = [
            window
            for window in self._list_windows(rule)
            if window.retries > window.allowed
        ]
        return max(
            excesses, key=lambda each: each.retries - each.allowed, default=None
        )

    def find_fullest(self, rule: RetryRule) -> Excess | None:
        """Return the window that comes closest to the limit, or exceeds it."""
        return max(
            self._list_windows(rule),
            key=lambda each: each.retries - each.allowed,
            default=None,
        )

    def _list_windows(self, rule: RetryRule) -> Iterator[Excess]:
        """Yield every window that differs from its neighbours."""
        for begin in self._list_begins(rule.window):
            retries = _count(self.retries, begin, begin + rule.window)
            if retries:
                counted = self._count_requests(begin, rule.window)
                yield Excess(begin, retries, rule.slack + rule.share * counted)

    def _list_begins(self, window: float) -> list[float]:
        """Return the begins at which a count changes, and those right after.

        Requests count in windows that begin up to a window before and after.
        """
        shifts = (0.0, -window / 2, -window, window / 2, window)
        changes = {at + shift for at in {*self.sent} for shift in shifts}
        changes |= {at + shift for at in {*self.retries} for shift in shifts}
        return sorted(
            changes | {math.nextafter(at, math.inf) for at in changes}
        )

    def _count_requests(self, begin: float, window: float) -> int:
        """Return the requests of the window, or of an earlier one if more."""
        return max(
            _count(self.sent, start, start + window)
            for start in (begin, begin - window / 2, begin - window)
        )


def _count(times: Sequence[float], begin: float, end: float) -> int:
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, begin)
