"""Predict the wait at an agent from old reports and own dispatches."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.demand import Replica

_HISTORY = 15 * SECOND
_SMOOTHING = 0.1
_FIRST_HOLD: Millis = 500.0
_FIRST_SHORT_SHARE = 0.3
_LONG_TOKENS = 8_000.0


@dataclass(slots=True)
class Work:
    """Describe what one dispatched request still asks of its agent."""

    agent: str
    tokens: float
    sent: Millis
    short: bool
    first_token: Millis | None = None


@dataclass(slots=True)
class _Ledger:
    """Keep one agent's dispatches that its reports may not show yet."""

    tokens: float = 0.0
    short_tokens: float = 0.0
    waiting: int = 0
    running: int = 0
    progressed: Millis = 0.0
    past: deque[Work] = field(default_factory=deque)
    beat: int = -1
    incarnation: str = ''
    others_tokens: float = 0.0
    others_requests: int = 0


class BacklogTracker:
    """Correct lagged load reports by what this entry sent itself.

    The part of a report that own dispatches explain is replaced by what is
    known about them now; the rest is other entries' work.
    """

    def __init__(self, lag: Millis, default_rate: float) -> None:
        self._lag = lag
        self._default_rate = default_rate
        self._works: dict[str, Work] = {}
        self._ledgers: dict[str, _Ledger] = {}
        self._hold = _FIRST_HOLD
        self._short_share = _FIRST_SHORT_SHARE

    def record_sent(
        self,
        request: str,
        agent: str,
        tokens: float,
        now: Millis,
        *,
        short: bool = True,
    ) -> None:
        """Count a dispatch and the tokens it must prefill.

        A short one goes ahead of those that are not.
        """
        self.record_finished(request, now)
        ledger = self._ledgers.setdefault(agent, _Ledger())
        work = Work(agent, tokens, now, short)
        self._learn_share(work)
        self._works[request] = work
        if not ledger.waiting:
            ledger.progressed = now
        ledger.tokens += tokens
        ledger.short_tokens += tokens if short else 0.0
        ledger.waiting += 1
        ledger.past.append(work)

    def record_first_token(self, request: str, now: Millis) -> None:
        """Count a dispatch's prefill as done."""
        work = self._works.get(request)
        if work is None or work.first_token is not None:
            return
        work.first_token = now
        ledger = self._ledgers[work.agent]
        ledger.tokens = max(0.0, ledger.tokens - work.tokens)
        if work.short:
            left = ledger.short_tokens - work.tokens
            ledger.short_tokens = max(0.0, left)
        ledger.waiting -= 1
        ledger.running += 1
        ledger.progressed = now

    def record_finished(self, request: str, now: Millis) -> None:
        """Forget a dispatch."""
        work = self._works.get(request)
        if work is None:
            return
        self.record_first_token(request, now)
        del self._works[request]
        self._ledgers[work.agent].running -= 1
        held = now - (work.first_token or now)
        self._hold += _SMOOTHING * (held - self._hold)

    def count_outstanding(self, agent: str) -> int:
        """Count own requests that an agent has not finished."""
        ledger = self._ledgers.get(agent)
        return ledger.waiting + ledger.running if ledger else 0

    def estimate_tokens(self, replica: Replica, now: Millis) -> float:
        """Estimate the tokens that wait for prefill at a replica."""
        ledger = self._ledgers.get(replica.agent)
        if ledger is None:
            return float(replica.load.waiting_tokens)
        self._read_report(ledger, replica, now)
        return self._count_own(ledger, replica, now) + ledger.others_tokens

    def estimate_wait(self, replica: Replica, now: Millis) -> Millis:
        """Estimate how long a new request waits for its prefill."""
        tokens = self.estimate_tokens(replica, now)
        prefill = tokens * SECOND / self.find_rate(replica)
        return prefill + self._estimate_slot_wait(replica)

    def estimate_short(self, replica: Replica, now: Millis) -> float:
        """Estimate the tokens of short requests that wait for prefill."""
        ledger = self._ledgers.get(replica.agent)
        if ledger is None:
            return replica.load.waiting_tokens * self._short_share
        self._read_report(ledger, replica, now)
        others = ledger.others_tokens * self._short_share
        return others + ledger.short_tokens

    def estimate_short_wait(self, replica: Replica, now: Millis) -> Millis:
        """Estimate how long a new short request waits for its prefill."""
        tokens = self.estimate_short(replica, now)
        prefill = tokens * SECOND / self.find_rate(replica)
        return prefill + self._estimate_slot_wait(replica)

    def find_rate(self, replica: Replica) -> float:
        """Return the tokens per second that a replica prefills."""
        return replica.load.prefill_tokens_per_second or self._default_rate

    def _estimate_slot_wait(self, replica: Replica) -> Millis:
        slots = replica.load.slots
        if not slots:
            return 0.0
        excess = self.count_requests(replica) + 1 - slots
        return max(0.0, excess * self._hold / slots)

    def count_requests(self, replica: Replica) -> int:
        """Estimate the requests at a replica."""
        ledger = self._ledgers.get(replica.agent)
        if ledger is None:
            return replica.load.running + replica.load.waiting
        return ledger.waiting + ledger.running + ledger.others_requests

    def _learn_share(self, work: Work) -> None:
        """Learn the short share of all tokens, weighing long ones fully."""
        weight = min(1.0, _SMOOTHING * work.tokens / _LONG_TOKENS)
        target = 1.0 if work.short else 0.0
        self._short_share += weight * (target - self._short_share)

    def _count_own(
        self, ledger: _Ledger, replica: Replica, now: Millis
    ) -> float:
        if not ledger.waiting:
            return 0.0
        done = (now - ledger.progressed) * self.find_rate(replica) / SECOND
        head = ledger.tokens / ledger.waiting
        return ledger.tokens - min(done, head)

    def _read_report(
        self, ledger: _Ledger, replica: Replica, now: Millis
    ) -> None:
        if replica.incarnation != ledger.incarnation:
            ledger.incarnation = replica.incarnation
            ledger.beat = -1
        if replica.beat == ledger.beat:
            return
        ledger.beat = replica.beat
        moment = replica.heard - self._lag
        _forget_past(ledger, now - _HISTORY)
        tokens, requests = _count_at(ledger, moment)
        load = replica.load
        ledger.others_tokens = max(0.0, load.waiting_tokens - tokens)
        seen = load.running + load.waiting
        ledger.others_requests = max(0, seen - requests)


def _forget_past(ledger: _Ledger, before: Millis) -> None:
    while ledger.past and ledger.past[0].sent < before:
        ledger.past.popleft()


def _count_at(ledger: _Ledger, moment: Millis) -> tuple[float, int]:
    tokens = 0.0
    requests = 0
    for work in ledger.past:
        if work.sent > moment:
            break
        if work.first_token is None or work.first_token > moment:
            tokens += work.tokens
            requests += 1
    return tokens, requests + ledger.running
