"""Generate seeded arrival traces of both deployments."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from functools import lru_cache
from random import Random

from oleanderdyke.clock import HOUR, MINUTE, SECOND, Millis
from oleanderdyke.kernel.demand import SEGMENT_TOKENS, SegmentHint

_DAY = 24 * HOUR
_HINT_BYTES = 8
_INDEX_BITS = 16
_FIRST_PRIVATE_NUMBER = 1 << 24


@dataclass(frozen=True, slots=True)
class Deployment:
    """Describe the sizes, costs and traffic patterns of one deployment."""

    name: str
    data_centres: tuple[str, ...]
    engines: int
    prefill_rate: float
    slots: int
    step: Millis
    cache_bytes: float
    store_bytes: float
    link_rate: float
    latency: Millis
    rulebooks: int
    rulebook_tokens: tuple[int, int]
    popularity: float
    own_tokens: tuple[int, int]
    return_chance: float
    return_gap: tuple[Millis, Millis]
    answer_tokens: tuple[int, int]
    letter_tokens: tuple[int, int]
    letter_share: float
    deadline: Millis
    capacity: float
    history_visits: int
    teams: tuple[float, ...] = (30, 20, 14, 10, 8, 6, 5, 3, 2, 2)
    opening: tuple[float, float] = (8.0, 18.0)
    kv_bytes_per_token: int = 100_000


AGENCY = Deployment(
    name='agency',
    data_centres=('sala-quito', 'sala-ibarra', 'sala-latacunga'),
    engines=5,
    prefill_rate=8_000.0,
    slots=16,
    step=27.0,
    cache_bytes=24e9,
    store_bytes=320e9,
    link_rate=2e9,
    latency=0.5,
    rulebooks=240,
    rulebook_tokens=(6_000, 24_000),
    popularity=0.9,
    own_tokens=(40, 400),
    return_chance=0.3,
    return_gap=(1 * MINUTE, 20 * MINUTE),
    answer_tokens=(2, 12),
    letter_tokens=(150, 400),
    letter_share=0.05,
    deadline=8 * SECOND,
    capacity=6.5,
    history_visits=12_000,
)
COUNCIL = Deployment(
    name='council',
    data_centres=('aberaeron-hall', 'lampeter-hall', 'cardigan-hall'),
    engines=6,
    prefill_rate=8_000.0,
    slots=16,
    step=30.0,
    cache_bytes=24e9,
    store_bytes=160e9,
    link_rate=8e8,
    latency=1.4,
    rulebooks=90,
    rulebook_tokens=(10_000, 24_000),
    popularity=0.8,
    own_tokens=(600, 4_000),
    return_chance=0.5,
    return_gap=(20 * MINUTE, 30 * HOUR),
    answer_tokens=(5, 30),
    letter_tokens=(300, 700),
    letter_share=0.15,
    deadline=20 * SECOND,
    capacity=9.5,
    history_visits=12_000,
)
DEPLOYMENTS = {each.name: each for each in (AGENCY, COUNCIL)}


@dataclass(frozen=True, slots=True)
class Rulebook:
    """Describe a long text of a team, the shared prefix of its prompts."""

    number: int
    team: str
    tokens: int

    @property
    def complete(self) -> int:
        """Return the number of complete segments."""
        return self.tokens // SEGMENT_TOKENS


@dataclass(frozen=True, slots=True)
class Visit:
    """Describe one request as sent by its caller."""

    at: Millis
    number: int
    team: str
    tokens: int
    answer_tokens: int
    segments: tuple[SegmentHint, ...]
    background: bool = False


@dataclass(slots=True)
class _PrivateText:
    """Describe the text after a rulebook that only one conversation uses."""

    number: int
    rulebook: Rulebook
    tokens: int


@dataclass(slots=True)
class Trace:
    """Hold the visits before and during the measured period."""

    history: list[Visit] = field(default_factory=list)
    window: list[Visit] = field(default_factory=list)


@lru_cache(maxsize=20_000)
def list_segments(
    rulebook: int, count: int, own: int, own_count: int, version: int
) -> tuple[SegmentHint, ...]:
    """Return the hints of a rulebook's segments and of the text after it."""
    first = tuple(_make_hint(rulebook, i, version) for i in range(count))
    rest = tuple(_make_hint(own, i, version) for i in range(own_count))
    return first + rest


def _make_hint(text: int, index: int, version: int) -> SegmentHint:
    number = (version << 60) | (text << _INDEX_BITS) | index
    return number.to_bytes(_HINT_BYTES, 'big')


def find_depth(segment: SegmentHint) -> int:
    """Return the index of a segment within its own text."""
    return int.from_bytes(segment[-2:], 'big')


class Workload:
    """Generate the visits of one deployment from one seed."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self._random = Random(f'{deployment.name}-{seed}')
        self._rulebooks = list(self._make_rulebooks())
        self._weights = _make_cumulative(
            (rank + 1) ** -deployment.popularity
            for rank in range(deployment.rulebooks)
        )
        self._next_private_number = _FIRST_PRIVATE_NUMBER
        self._returning: list[tuple[Millis, int, _PrivateText]] = []
        self._number = 0

    @property
    def teams(self) -> tuple[str, ...]:
        """Return the teams, the largest first."""
        return tuple(f't{i}' for i in range(len(self._deployment.teams)))

    def make_trace(
        self,
        rate: float,
        length: Millis,
        *,
        days: int = 3,
        busy_team: str = '',
    ) -> Trace:
        """Generate `days` of history and a window at `rate` visits a second.

        The window starts at 0; history has negative times.
        """
        trace = Trace()
        trace.history = list(self._draw_history(days))
        trace.window = list(self._draw_window(rate, length, busy_team))
        trace.window.sort(key=lambda visit: visit.at)
        return trace

    def _make_rulebooks(self) -> Iterator[Rulebook]:
        low, high = self._deployment.rulebook_tokens
        shares = self._deployment.teams
        teams = self._random.choices(
            range(len(shares)), shares, k=self._deployment.rulebooks
        )
        for number, team in enumerate(teams):
            tokens = _draw_log_uniform(self._random, low, high)
            yield Rulebook(number, f't{team}', int(tokens))

    def _draw_history(self, days: int) -> Iterator[Visit]:
        total = self._deployment.history_visits
        times = sorted(self._draw_hour(days) for _ in range(total))
        for at in times:
            yield self._draw(at)

    def _draw_hour(self, days: int) -> Millis:
        """Draw a time before 0, where 0 is eleven o'clock of the last day."""
        opening, closing = self._deployment.opening
        middle, width = (opening + closing) / 2, (closing - opening) / 4
        hour = self._random.gauss(middle, width) % 24
        day = self._random.randrange(days)
        at = (hour - 11) * HOUR - day * _DAY
        return at if at < 0 else at - days * _DAY

    def _draw_window(
        self, rate: float, length: Millis, busy_team: str
    ) -> Iterator[Visit]:
        at = 0.0
        while at < length:
            at += self._random.expovariate(rate / SECOND)
            if self._random.random() < 0.02:
                yield from self._draw_group(at)
            elif busy_team and self._random.random() < 0.5:
                yield self._draw(at, team=busy_team)
            else:
                yield self._draw(at)

    def _draw_group(self, at: Millis) -> Iterator[Visit]:
        """Generate six visits with one rulebook, such as a school class."""
        rulebook = self._draw_rulebook()
        for _ in range(6):
            at += self._random.expovariate(2 / SECOND)
            yield self._make_visit(
                at, self._start_private_text(rulebook), letter=False
            )

    def _draw(self, at: Millis, team: str = '') -> Visit:
        own = self._pick_returning(at, team)
        if own is not None:
            return self._make_random_visit(at, own)
        return self._make_random_visit(
            at, self._start_private_text(self._draw_rulebook(team))
        )

    def _pick_returning(self, at: Millis, team: str) -> _PrivateText | None:
        """Return the text of an earlier visit that is continued, if any.

        In history, a text is continued when its gap has passed. History is only
        a sample of the visits of its days, so the window draws from all its
        returning texts, with the probability that a visit is a return.
        """
        if at < 0:
            due = self._returning and self._returning[0][0] <= at
            return heapq.heappop(self._returning)[2] if due else None
        chance = self._deployment.return_chance
        if self._random.random() >= chance / (1 + chance):
            return None
        index = self._random.randrange(len(self._returning))
        own = self._returning[index][2]
        return own if not team or own.rulebook.team == team else None

    def _make_random_visit(self, at: Millis, own: _PrivateText) -> Visit:
        share = self._deployment.letter_share
        return self._make_visit(at, own, letter=self._random.random() < share)

    def _draw_rulebook(self, team: str = '') -> Rulebook:
        while True:
            point = self._random.random() * self._weights[-1]
            rulebook = self._rulebooks[
                _find_first_reaching(self._weights, point)
            ]
            if not team or rulebook.team == team:
                return rulebook

    def _start_private_text(self, rulebook: Rulebook) -> _PrivateText:
        self._next_private_number += 1
        tokens = _draw_log_uniform(self._random, *self._deployment.own_tokens)
        return _PrivateText(self._next_private_number, rulebook, int(tokens))

    def _make_visit(
        self, at: Millis, own: _PrivateText, *, letter: bool
    ) -> Visit:
        deployment = self._deployment
        draw = self._random
        if at < 0 and draw.random() < deployment.return_chance:
            gap = _draw_log_uniform(draw, *deployment.return_gap)
            continued = _PrivateText(own.number, own.rulebook, own.tokens + 100)
            heapq.heappush(self._returning, (at + gap, self._number, continued))
        tokens = own.rulebook.tokens + own.tokens
        complete = own.rulebook.complete
        segments = list_segments(
            own.rulebook.number,
            complete,
            own.number,
            tokens // SEGMENT_TOKENS - complete,
            0,
        )
        answer = (
            deployment.letter_tokens if letter else deployment.answer_tokens
        )
        self._number += 1
        return Visit(
            at,
            self._number,
            own.rulebook.team,
            tokens,
            draw.randint(*answer),
            segments,
            background=letter,
        )


def change_version(
    segments: Sequence[SegmentHint], version: int
) -> tuple[SegmentHint, ...]:
    """Return the hints of the same prompt with another weight version."""
    return tuple(_change_hint(segment, version) for segment in segments)


def _change_hint(segment: SegmentHint, version: int) -> SegmentHint:
    first = (segment[0] & 0x0F) | (version << 4)
    return bytes((first,)) + segment[1:]


def _draw_log_uniform(random: Random, low: float, high: float) -> float:
    return math.exp(random.uniform(math.log(low), math.log(high)))


def _make_cumulative(weights: Iterator[float]) -> list[float]:
    sums: list[float] = []
    total = 0.0
    for weight in weights:
        total += weight
        sums.append(total)
    return sums


def _find_first_reaching(sums: Sequence[float], point: float) -> int:
    low, high = 0, len(sums) - 1
    while low < high:
        middle = (low + high) // 2
        if sums[middle] < point:
            low = middle + 1
        else:
            high = middle
    return low
