"""Predictions of the queueing time at an agent.

They combine lagged load reports with the requests that this entry dispatched
itself.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.demand import Replica

_HISTORY = 15 * SECOND
_SMOOTHING = 0.1
_INITIAL_HOLD_TIME: Millis = 500.0
_INITIAL_SHORT_SHARE = 0.3
_LONG_TOKENS = 8_000.0


@dataclass(slots=True)
class Dispatched:
    """A dispatched request and the tokens that it has to prefill."""

    agent: str
    tokens: float
    sent_at: Millis
    short: bool
    first_token_at: Millis | None = None


@dataclass(slots=True)
class _AgentBacklog:
    """Dispatches to one agent that its load reports may not cover yet."""

    tokens: float = 0.0
    short_tokens: float = 0.0
    waiting: int = 0
    running: int = 0
    progressed_at: Millis = 0.0
    history: deque[Dispatched] = field(default_factory=deque)
    beat: int = -1
    incarnation: str = ''
    other_tokens: float = 0.0
    other_requests: int = 0


class BacklogTracker:
    """Correct lagged load reports by this entry's own dispatches.

    The part of a report that own dispatches explain is replaced by their
    current state; the rest is the load of other entries.
    """

    def __init__(self, lag: Millis, default_rate: float) -> None:
        self._lag = lag
        self._default_rate = default_rate
        self._dispatches: dict[str, Dispatched] = {}
        self._backlogs: dict[str, _AgentBacklog] = {}
        self._hold_time = _INITIAL_HOLD_TIME
        self._short_share = _INITIAL_SHORT_SHARE

    def record_sent(
        self,
        request: str,
        agent: str,
        tokens: float,
        now: Millis,
        *,
        short: bool = True,
    ) -> None:
        """Record a dispatch and the tokens that it has to prefill.

        Short requests are prefilled before all others.
        """
        self.record_finished(request, now)
        backlog = self._backlogs.setdefault(agent, _AgentBacklog())
        dispatch = Dispatched(agent, tokens, now, short)
        self._update_short_share(dispatch)
        self._dispatches[request] = dispatch
        if not backlog.waiting:
            backlog.progressed_at = now
        backlog.tokens += tokens
        backlog.short_tokens += tokens if short else 0.0
        backlog.waiting += 1
        backlog.history.append(dispatch)

    def record_first_token(self, request: str, now: Millis) -> None:
        """Record that the prefill of a dispatch has ended."""
        dispatch = self._dispatches.get(request)
        if dispatch is None or dispatch.first_token_at is not None:
            return
        dispatch.first_token_at = now
        backlog = self._backlogs[dispatch.agent]
        backlog.tokens = max(0.0, backlog.tokens - dispatch.tokens)
        if dispatch.short:
            left = backlog.short_tokens - dispatch.tokens
            backlog.short_tokens = max(0.0, left)
        backlog.waiting -= 1
        backlog.running += 1
        backlog.progressed_at = now

    def record_finished(self, request: str, now: Millis) -> None:
        """Remove a dispatch."""
        dispatch = self._dispatches.get(request)
        if dispatch is None:
            return
        self.record_first_token(request, now)
        del self._dispatches[request]
        self._backlogs[dispatch.agent].running -= 1
        hold_time = now - (dispatch.first_token_at or now)
        self._hold_time += _SMOOTHING * (hold_time - self._hold_time)

    def count_outstanding(self, agent: str) -> int:
        """Return the number of own requests that an agent has not finished."""
        backlog = self._backlogs.get(agent)
        return backlog.waiting + backlog.running if backlog else 0

    def estimate_tokens(self, replica: Replica, now: Millis) -> float:
        """Estimate the tokens that wait for prefill at a replica."""
        backlog = self._backlogs.get(replica.agent)
        if backlog is None:
            return float(replica.load.waiting_tokens)
        self._apply_report(backlog, replica, now)
        return self._count_own(backlog, replica, now) + backlog.other_tokens

    def estimate_wait(self, replica: Replica, now: Millis) -> Millis:
        """Estimate how long a new request waits for its prefill."""
        tokens = self.estimate_tokens(replica, now)
        prefill = tokens * SECOND / self.find_rate(replica)
        return prefill + self._estimate_slot_wait(replica)

    def estimate_short_tokens(self, replica: Replica, now: Millis) -> float:
        """Estimate the tokens of short requests that wait for prefill."""
        backlog = self._backlogs.get(replica.agent)
        if backlog is None:
            return replica.load.waiting_tokens * self._short_share
        self._apply_report(backlog, replica, now)
        others = backlog.other_tokens * self._short_share
        return others + backlog.short_tokens

    def estimate_short_wait(self, replica: Replica, now: Millis) -> Millis:
        """Estimate how long a new short request waits for its prefill."""
        tokens = self.estimate_short_tokens(replica, now)
        prefill = tokens * SECOND / self.find_rate(replica)
        return prefill + self._estimate_slot_wait(replica)

    def find_rate(self, replica: Replica) -> float:
        """Return the prefill rate of a replica in tokens per second."""
        return replica.load.prefill_tokens_per_second or self._default_rate

    def _estimate_slot_wait(self, replica: Replica) -> Millis:
        slots = replica.load.slots
        if not slots:
            return 0.0
        excess = self.count_requests(replica) + 1 - slots
        return max(0.0, excess * self._hold_time / slots)

    def count_requests(self, replica: Replica) -> int:
        """Estimate the number of requests at a replica."""
        backlog = self._backlogs.get(replica.agent)
        if backlog is None:
            return replica.load.running + replica.load.waiting
        return backlog.waiting + backlog.running + backlog.other_requests

    def _update_short_share(self, dispatch: Dispatched) -> None:
        """Update the share of tokens in short requests, weighted by tokens."""
        weight = min(1.0, _SMOOTHING * dispatch.tokens / _LONG_TOKENS)
        target = 1.0 if dispatch.short else 0.0
        self._short_share += weight * (target - self._short_share)

    def _count_own(
        self, backlog: _AgentBacklog, replica: Replica, now: Millis
    ) -> float:
        if not backlog.waiting:
            return 0.0
        done = (now - backlog.progressed_at) * self.find_rate(replica) / SECOND
        head = backlog.tokens / backlog.waiting
        return backlog.tokens - min(done, head)

    def _apply_report(
        self, backlog: _AgentBacklog, replica: Replica, now: Millis
    ) -> None:
        if replica.incarnation != backlog.incarnation:
            backlog.incarnation = replica.incarnation
            backlog.beat = -1
        if replica.beat == backlog.beat:
            return
        backlog.beat = replica.beat
        reported_at = replica.heard - self._lag
        _trim_history(backlog, now - _HISTORY)
        tokens, requests = _count_at(backlog, reported_at)
        load = replica.load
        backlog.other_tokens = max(0.0, load.waiting_tokens - tokens)
        reported = load.running + load.waiting
        backlog.other_requests = max(0, reported - requests)


def _trim_history(backlog: _AgentBacklog, before: Millis) -> None:
    while backlog.history and backlog.history[0].sent_at < before:
        backlog.history.popleft()


def _count_at(backlog: _AgentBacklog, reported_at: Millis) -> tuple[float, int]:
    tokens = 0.0
    requests = 0
    for dispatch in backlog.history:
        if dispatch.sent_at > reported_at:
            break
        if (
            dispatch.first_token_at is None
            or dispatch.first_token_at > reported_at
        ):
            tokens += dispatch.tokens
            requests += 1
    return tokens, requests + backlog.running
