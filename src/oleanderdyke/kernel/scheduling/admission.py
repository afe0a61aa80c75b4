"""Decide whom to serve when work exceeds what engines can do in time.

The load it answers: bursts of one kind or team and engines lost, while some
callers repeat at once and others come back when they were asked to.
"""

from __future__ import annotations

import enum
import math
from collections import OrderedDict, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.scheduling.fair_shares import (
    Claimant,
    divide_capacity,
)
from oleanderdyke.kernel.scheduling.overload import RequestAge
from oleanderdyke.kernel.scheduling.retry_times import draw_retry_delay
from oleanderdyke.kernel.scheduling.wait_queue import WaitingRequest, WaitQueue

# A shortage ends once the service has been used less than this for a second.
_CALM_USE = 0.9
_CALM_TIME: Millis = 1 * SECOND
# An engine that answers within this share of the target has room.
_COMFORT_SHARE = 0.5
# The estimated end has to pass the deadline by this factor before a request
# counts as hopeless.
_HOPELESS_FACTOR = 1.25
# A caller that is refused after a longer wait could have been served elsewhere.
_WAIT_SHARE = 1 / 8
# Turns that a request must have to start, and what is added by chance to those
# that go behind. Large prompts are late more often, and are to be served over
# half as often as others.
_TURN = 1.0
_SURPLUS = 1.0
_SURPLUS_CHANCE = 0.4
_MAX_TURNS = _TURN + _SURPLUS
# Callers who come back after a refusal get at most this part of a share, so
# that not all answers are late while a shortage lasts.
_RETURN_PART = 0.5
# They may take the turns of this time ahead, and this many at least.
_BURST_TIME: Millis = 1 * SECOND
_MIN_BURST = 4.0
_SUBJECT_LIFETIME: Millis = 8 * SECOND
_MAX_SUBJECTS = 4_096
_GAP_WEIGHT = 0.1


class Reason(enum.StrEnum):
    """Why a request is refused."""

    DEADLINE = 'deadline'
    SHARE = 'share'
    QUEUE = 'queue'


@dataclass(frozen=True, slots=True)
class Applicant:
    """Describe a request that asks to start now.

    `expected` is the time to the first byte at the best server and `queue` the
    number of requests that wait there. `duration` is the least time that the
    rest of the answer takes, `left` the time to the caller's deadline.
    `held` is the time since it arrived here. `subject` names the last shared
    part of the prompt. `size` is the size of its body. `is_resumed` is set for
    the rest of an answer, `is_idle` if the best server has no prompt to read
    and half of its places free.
    """

    request: str
    service: str
    claimant: Claimant
    age: RequestAge
    expected: Millis
    left: Millis
    duration: Millis = 0.0
    held: Millis = 0.0
    queue: int = 0
    subject: str = ''
    size: int = 0
    is_resumed: bool = False
    is_idle: bool = False

    @property
    def on_time(self) -> Millis:
        """Return the time until the target."""
        return self.age.target - self.age.waited - self.held

    @property
    def is_late(self) -> bool:
        """Return whether its answer would miss the target."""
        return self.expected > self.on_time

    @property
    def is_hopeless(self) -> bool:
        """Return whether its answer would miss even the deadline."""
        takes = self.expected + self.duration
        return takes > max(self.left, 0.0) * _HOPELESS_FACTOR

    @property
    def has_room(self) -> bool:
        """Return whether the best server has room for it right now."""
        comfort = self.age.target * _COMFORT_SHARE
        is_soon = self.is_idle or self.expected < comfort
        return is_soon and not self.queue


@dataclass(frozen=True, slots=True)
class ClaimantDemand:
    """Hold what a claimant asks for over all entries.

    `engines` is the number of engines that it keeps busy. `arrived` and
    `admitted` are requests per second.
    """

    engines: float
    arrived: float = 0.0
    admitted: float = 0.0


@dataclass(frozen=True, slots=True)
class Refused:
    """Say why a request is refused and when its caller may come back.

    `share` is the part of its claimant's requests that is admitted, `use` the
    demand relative to the capacity.
    """

    reason: Reason
    claimant: Claimant
    share: float
    use: float
    retry_after: Millis


class Decision(enum.Enum):
    """What becomes of a request that is not refused."""

    ADMIT = enum.auto()
    WAIT = enum.auto()


@dataclass(slots=True)
class _Turns:
    """Count the turns of one claimant at this entry.

    Each arrival adds the admitted share of a turn, each admission takes one.
    `ahead` are those that callers who come back have taken ahead, `gap` is the
    mean time between arrivals.
    """

    level: float
    ahead: float = 0.0
    gap: Millis = 1 * SECOND
    arrived_at: Millis | None = None

    def record_arrival(self, share: float, now: Millis) -> None:
        """Add a part of a turn, and update the mean gap."""
        if self.arrived_at is not None:
            self.gap += _GAP_WEIGHT * (now - self.arrived_at - self.gap)
        self.arrived_at = now
        self.level = min(self.level + share, _MAX_TURNS)
        self.ahead = max(self.ahead - share * _RETURN_PART, 0.0)

    def find_burst(self, share: float) -> float:
        """Return how many turns may be taken ahead."""
        return max(self.count_gained(share, _BURST_TIME), _MIN_BURST)

    def count_gained(self, share: float, duration: Millis) -> float:
        """Return the turns to be gained in a time."""
        return max(duration, 0.0) / max(self.gap, 1.0) * share

    def take(self, share: float) -> None:
        """Take a turn."""
        self.level = max(self.level - _TURN, -self.find_burst(share))

    def take_return(self, share: float) -> bool:
        """Take a turn for a caller who comes back; return whether it may."""
        if self.ahead + _TURN > self.find_burst(share):
            return False
        self.ahead += _TURN
        self.take(share)
        return True


class Subjects:
    """Remember which subjects were served or refused lately."""

    def __init__(self) -> None:
        self._served: OrderedDict[str, Millis] = OrderedDict()
        self._refused: OrderedDict[str, Millis] = OrderedDict()

    def record(self, subject: str, now: Millis, *, is_served: bool) -> None:
        """Record what became of a request for a subject."""
        times = self._served if is_served else self._refused
        times[subject] = now
        times.move_to_end(subject)
        if len(times) > _MAX_SUBJECTS:
            times.popitem(last=False)

    def was_served(self, subject: str, now: Millis) -> bool:
        """Return whether a request for a subject was served lately."""
        return self._served.get(subject, -math.inf) > now - _SUBJECT_LIFETIME

    def was_only_refused(self, subject: str, now: Millis) -> bool:
        """Return whether all requests for a subject were refused lately."""
        refused_at = self._refused.get(subject, -math.inf)
        is_recent = refused_at > now - _SUBJECT_LIFETIME
        return is_recent and not self.was_served(subject, now)


class ServiceAdmission:
    """Admit the requests for one service at one entry.

    Every entry computes the same shares from the same figures and admits that
    part of what arrives at it.
    """

    def __init__(self, random: Random, queue: WaitQueue) -> None:
        self._random = random
        self._queue = queue
        self._shares: dict[Claimant, float] = {}
        self._demands: Mapping[Claimant, ClaimantDemand] = {}
        self._turns: dict[Claimant, _Turns] = {}
        self._subjects = Subjects()
        self._busy_at: Millis | None = None
        self._default_share = 1.0
        self.use = 0.0

    @property
    def is_short(self) -> bool:
        """Return whether the service lacks room, or lacked it just before."""
        return self._busy_at is not None

    def update(
        self,
        capacity: float,
        demands: Mapping[Claimant, ClaimantDemand],
        now: Millis,
    ) -> None:
        """Apply the latest capacity and demand, both in engines."""
        self._demands = demands
        engines = {who: demand.engines for who, demand in demands.items()}
        self._default_share = 1.0 if capacity > 0 or not demands else 0.0
        self.use = math.inf
        if self._default_share:
            self.use = sum(engines.values()) / max(capacity, 1e-9)
        self._update_shortage(now)
        divided = divide_capacity(capacity, engines)
        self._shares = {
            who: share / engines[who]
            for who, share in divided.items()
            if engines[who] > 0
        }
        if not self.is_short:
            self._turns.clear()

    def find_share(self, claimant: Claimant) -> float:
        """Return the part of a claimant's requests that is admitted."""
        return self._shares.get(claimant, self._default_share)

    def find_rank_use(self) -> dict[str, float]:
        """Return the engines that the demand of each rank would take."""
        use: defaultdict[str, float] = defaultdict(float)
        for claimant, demand in self._demands.items():
            use[claimant.label] += demand.engines
        return dict(use)

    def decide(self, applicant: Applicant, now: Millis) -> Decision | Refused:
        """Admit, delay or refuse a request, asked again while it waits."""
        decision = self._decide(applicant, now)
        if decision is Decision.WAIT:
            return decision
        self._queue.remove(applicant.request)
        if self.is_short and applicant.subject:
            is_served = decision is Decision.ADMIT
            self._subjects.record(applicant.subject, now, is_served=is_served)
        return decision

    def leave(self, request: str) -> None:
        """Forget a waiting request whose caller has left."""
        self._queue.remove(request)

    def _decide(self, applicant: Applicant, now: Millis) -> Decision | Refused:
        if self._queue.take_evicted(applicant.request):
            return self._refuse(applicant, Reason.QUEUE)
        waiting = self._queue.find(applicant.request)
        if waiting is None:
            return self._decide_arrival(applicant, now)
        return self._decide_waiting(applicant, waiting, now)

    def _update_shortage(self, now: Millis) -> None:
        is_busy = self.use > 1 or (self.is_short and self.use >= _CALM_USE)
        if is_busy:
            self._busy_at = now
        elif self._busy_at is not None and now - self._busy_at >= _CALM_TIME:
            self._busy_at = None

    def _decide_arrival(
        self, applicant: Applicant, now: Millis
    ) -> Decision | Refused:
        if applicant.is_hopeless:
            return self._refuse(applicant, Reason.DEADLINE)
        share = self.find_share(applicant.claimant)
        if share >= 1 or applicant.is_resumed:
            return Decision.ADMIT
        turns = self._find_turns(applicant.claimant)
        turns.record_arrival(share, now)
        if self._may_start(applicant, turns, now):
            return Decision.ADMIT
        if self._may_wait(applicant, turns, now):
            return Decision.WAIT
        return self._refuse(applicant, Reason.SHARE)

    def _may_start(
        self, applicant: Applicant, turns: _Turns, now: Millis
    ) -> bool:
        share = self.find_share(applicant.claimant)
        if not applicant.age.is_first_try and turns.take_return(share):
            return True
        ahead = self._queue.count_ahead(self._describe_waiting(applicant, now))
        has_turn = turns.level >= self._count_needed(applicant, now) + ahead
        if has_turn or applicant.has_room:
            turns.take(share)
            return True
        return False

    def _decide_waiting(
        self, applicant: Applicant, waiting: WaitingRequest, now: Millis
    ) -> Decision | Refused:
        share = self.find_share(waiting.claimant)
        turns = self._find_turns(waiting.claimant)
        needed = _TURN + self._queue.count_ahead(waiting)
        if share >= 1 or turns.level >= needed or applicant.has_room:
            turns.take(share)
            return Decision.ADMIT
        if now < waiting.until:
            return Decision.WAIT
        return self._refuse(applicant, Reason.SHARE)

    def _may_wait(
        self, applicant: Applicant, turns: _Turns, now: Millis
    ) -> bool:
        """Let a request wait if its turn comes soon enough; return whether."""
        if applicant.is_late:
            return False
        waiting = self._describe_waiting(applicant, now)
        share = self.find_share(applicant.claimant)
        gained = turns.count_gained(share, waiting.until - now)
        needed = _TURN + self._queue.count_ahead(waiting)
        return turns.level + gained >= needed and self._queue.add(waiting)

    def _describe_waiting(
        self, applicant: Applicant, now: Millis
    ) -> WaitingRequest:
        start_by = now + applicant.on_time - applicant.expected
        return WaitingRequest(
            applicant.request,
            applicant.claimant,
            size=applicant.size,
            start_by=start_by,
            until=min(now + applicant.age.target * _WAIT_SHARE, start_by),
        )

    def _count_needed(self, applicant: Applicant, now: Millis) -> float:
        """Return the turns that its claimant must have for it to start.

        What can still be in time goes first, and subjects refused lately. The
        size of the prompt does not count, so that large ones are not starved.
        """
        subject = applicant.subject
        if self._subjects.was_only_refused(subject, now):
            return 0.0
        goes_behind = applicant.is_late or self._subjects.was_served(
            subject, now
        )
        if goes_behind and self._random.random() < _SURPLUS_CHANCE:
            return _TURN + _SURPLUS
        return _TURN

    def _find_turns(self, claimant: Claimant) -> _Turns:
        if claimant not in self._turns:
            self._turns[claimant] = _Turns(self._random.random())
        return self._turns[claimant]

    def _refuse(self, applicant: Applicant, reason: Reason) -> Refused:
        claimant = applicant.claimant
        share = self.find_share(claimant)
        demand = self._demands.get(claimant, ClaimantDemand(0.0))
        comfort = applicant.age.target * _COMFORT_SHARE
        retry_after = draw_retry_delay(
            room_at=applicant.expected - comfort,
            refused=max(demand.arrived - demand.admitted, 0.0),
            room_rate=demand.arrived * share,
            left=applicant.left,
            random=self._random,
        )
        return Refused(reason, claimant, share, self.use, retry_after)
