"""Find which parts of requests crash backend servers.

A server crashes as it begins to answer a request with a poisonous part,
whatever else the request holds. A part is suspected by the crashes at which it
was present, and cleared by a run with it that went on. What all of a request
does to servers is found out by `lost_runs`.
"""

from __future__ import annotations

import collections
import enum
import itertools
import math
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import TypeAlias

from oleanderdyke.clock import MINUTE, SECOND, Millis
from oleanderdyke.kernel.lost_runs import (
    NO_TURN,
    LostRuns,
    LostRunTable,
    RepeatStatus,
    Turn,
)

# What may be poisonous in a request: its parts and a digest of all of it.
Parts: TypeAlias = frozenset[str]
_WHOLE = 'request:'


class PoisonStatus(enum.Enum):
    """What is known of a request before it is sent."""

    CLEAN = enum.auto()
    # Crashes point at a part; the request must not be sent twice.
    SUSPECT = enum.auto()
    # The request may be sent as a trial, once.
    TRIAL = enum.auto()
    # An equal request is sent as a trial, or is about to be.
    WAITING = enum.auto()
    QUARANTINED = enum.auto()


_STATUSES = {
    RepeatStatus.CLEAN: PoisonStatus.CLEAN,
    RepeatStatus.SUSPECT: PoisonStatus.SUSPECT,
    RepeatStatus.TRIAL: PoisonStatus.TRIAL,
    RepeatStatus.WAITING: PoisonStatus.WAITING,
    RepeatStatus.REFUSED: PoisonStatus.QUARANTINED,
}


@dataclass(frozen=True, slots=True)
class PoisonSettings:
    """Set what proves guilt and innocence, and what is remembered.

    A part needs `crashes` at different times, at least `separation` apart, or
    at two such times as many as `requests`. Had
    it nothing to do with them, it would have been present at so many, and no
    run with it would have gone on meanwhile, with a probability of at most
    `error`, or `proven_error` if it was sound within `history`. A run that goes
    on clears crashes up to `shield` later. `trial_wait` after the last crash
    one request may run again; it doubles with each that crashes, up to
    `longest_wait`, and after `most_trials` none may. Of the latest requests, of
    those that were lost and of crashes no more than `max_parts` each are
    remembered.
    """

    crashes: int = 3
    requests: int = 5
    error: float = 3e-3
    proven_error: float = 3e-5
    separation: Millis = 250.0
    shield: Millis = 1 * SECOND
    history: Millis = 1 * MINUTE
    expiry: Millis = 5 * MINUTE
    trial_wait: Millis = 1 * MINUTE
    longest_wait: Millis = 30 * MINUTE
    most_trials: int = 3
    max_crashes: int = 256
    max_requests: int = 64
    max_sound: int = 20_000
    max_recent: int = 2_000
    max_quarantined: int = 256
    max_parts: int = 64_000


@dataclass(frozen=True, slots=True)
class Crash:
    """The requests that a server may have begun to answer as it crashed.

    `name` is the same at all entries, each of which knows its own requests.
    """

    name: str
    at: Millis
    requests: frozenset[Parts]


@dataclass(frozen=True, slots=True)
class SoundPart:
    """A run with the part that began `at` went on."""

    part: str
    at: Millis


@dataclass(frozen=True, slots=True)
class Quarantined:
    """Parts that crash servers where a request holds all of them."""

    parts: Parts
    since: Millis
    last_crash: Millis
    trials: int = 0


@dataclass(frozen=True, slots=True)
class CrashCount:
    """The uncleared crashes that point at a part.

    Of those at one moment only one counts as `separate`.
    """

    all: int
    separate: int


@dataclass(frozen=True, slots=True)
class PoisonNews:
    """What entries tell each other."""

    crashes: tuple[Crash, ...] = ()
    sound: tuple[SoundPart, ...] = ()
    quarantined: tuple[Quarantined, ...] = ()
    lost_runs: tuple[LostRuns, ...] = ()

    def __bool__(self) -> bool:
        """Return whether there is any news."""
        parts = self.crashes or self.sound or self.quarantined
        return bool(parts or self.lost_runs)


@dataclass(slots=True)
class _Pending:
    """News that this entry has not passed on yet."""

    crashes: dict[str, set[Parts]] = field(default_factory=dict)
    sound: dict[str, Millis] = field(default_factory=dict)
    quarantined: dict[Parts, Quarantined] = field(default_factory=dict)


@dataclass(slots=True)
class _Evidence:
    """Crashes at which a part was present, at some different moments.

    Of each moment, `requests` counts as many as crashes; one request that was
    sent again and again counts once.
    """

    crashes: list[Crash] = field(default_factory=list)
    moments: int = 0
    requests: int = 0

    def add(self, part: str, moment: Sequence[Crash]) -> None:
        """Add the crashes of one moment, at all of which a part was present."""
        requests = {
            request
            for crash in moment
            for request in crash.requests
            if part in request
        }
        self.crashes += moment
        self.moments += 1
        self.requests += min(len(requests), len(moment))


class _LatestRequests:
    """Hold the parts of the latest requests, bounded in number and in all."""

    def __init__(self, settings: PoisonSettings) -> None:
        self._settings = settings
        self._requests: collections.deque[tuple[Millis, Parts]] = (
            collections.deque()
        )
        self._size = 0

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[tuple[Millis, Parts]]:
        return iter(self._requests)

    def add(self, parts: Parts, at: Millis = 0.0) -> None:
        """Add a request, and forget the oldest ones if there is no room."""
        self._requests.append((at, parts))
        self._size += len(parts)
        while (
            len(self._requests) > self._settings.max_recent
            or self._size > self._settings.max_parts
        ):
            _, dropped = self._requests.popleft()
            self._size -= len(dropped)


class PoisonTable:
    """Collect evidence of all entries, and quarantine what it condemns.

    A crash that a quarantined part explains says nothing about others.
    """

    def __init__(self, settings: PoisonSettings | None = None) -> None:
        self._settings = settings or PoisonSettings()
        self.lost_runs = LostRunTable()
        # The whole requests that explain crashes.
        self._condemned: frozenset[str] = frozenset()
        self._crashes: dict[str, Crash] = {}
        # How many parts the requests of all these crashes have.
        self._size = 0
        # Crashes that no quarantined part explains, by name.
        self._open: dict[str, Crash] = {}
        self._has_changed = False
        # When runs with a part last began that went on, the latest used last.
        self._sound: collections.OrderedDict[str, Millis] = (
            collections.OrderedDict()
        )
        self._quarantined: dict[Parts, Quarantined] = {}
        # What this entry has found out and that must outlast all entries.
        self._verdicts: set[Parts] = set()
        # Trial runs that were let through, by the time of the next one.
        self._trial_at: dict[Parts, Millis] = {}
        self._suspected: frozenset[str] = frozenset()
        # Requests of this entry: the latest ones, when runs went on, and those
        # that were lost.
        self._recent = _LatestRequests(self._settings)
        self._sound_times: collections.deque[Millis] = collections.deque(
            maxlen=self._settings.max_recent
        )
        self._lost = _LatestRequests(self._settings)
        # Which runs with a part the others know of; only while crashes are.
        self._told: dict[str, Millis] = {}
        self._pending = _Pending()

    @property
    def has_pending(self) -> bool:
        """Return whether there is news to pass on."""
        pending = self._pending
        parts = pending.crashes or pending.sound or pending.quarantined
        return bool(parts) or self.lost_runs.has_pending

    @property
    def is_empty(self) -> bool:
        """Return whether every request is clean."""
        has_parts = self._quarantined or self._suspected
        return not has_parts and self.lost_runs.is_empty

    def list_quarantined(self) -> tuple[Quarantined, ...]:
        """Return what is quarantined now."""
        return tuple(self._quarantined.values())

    def take_verdicts(self) -> tuple[Quarantined, ...]:
        """Return what this entry itself has quarantined, once."""
        verdicts, self._verdicts = self._verdicts, set()
        return tuple(
            found
            for found in self._quarantined.values()
            if found.parts in verdicts
        )

    def is_active(self, now: Millis) -> bool:
        """Return whether crashes are recent enough to matter to others."""
        times = [each.at for each in self._crashes.values()]
        times.append(self.lost_runs.last_at)
        has_suspects = self._quarantined or self.lost_runs.has_suspects
        is_recent = now - max(times) < self._settings.trial_wait
        return bool(has_suspects) or is_recent

    def count_crashes(self, parts: Parts) -> dict[str, CrashCount]:
        """Count the crashes that point at each of some parts."""
        evidence = self._find_evidence()
        return {
            part: CrashCount(len(found.crashes), found.moments)
            for part, found in evidence.items()
            if part in parts
        }

    def find_status(
        self, parts: Parts, now: Millis, turn: Turn = NO_TURN
    ) -> PoisonStatus:
        """Return what is known of a request with these parts.

        `turn` is that of this entry to send a request as a trial.
        """
        whole = _STATUSES[self._find_whole_status(parts, now, turn)]
        if whole is PoisonStatus.QUARANTINED:
            return whole
        for found in self._quarantined.values():
            if found.parts <= parts:
                if turn.is_first and self._may_try(found, now):
                    return PoisonStatus.TRIAL
                return PoisonStatus.QUARANTINED
        if whole is PoisonStatus.CLEAN and not self._suspected.isdisjoint(
            parts
        ):
            return PoisonStatus.SUSPECT
        return whole

    def begin_trial(self, parts: Parts, server: str, now: Millis) -> None:
        """Record that a request with these parts is sent as a trial."""
        for found in self._quarantined.values():
            if found.parts <= parts:
                self._trial_at[found.parts] = now + self._find_wait(found)
        for name in filter(is_whole, parts):
            if self.lost_runs.may_need_trial(name):
                self.lost_runs.begin_trial(name, server, now)

    def record_lost_run(
        self, name: str, server: str, at: Millis
    ) -> tuple[Parts, ...]:
        """Record a run that broke off; return what enters quarantine."""
        is_condemned = self.lost_runs.record_loss(name, server, at)
        condemned = self._judge(at)
        return (frozenset({name}), *condemned) if is_condemned else condemned

    def record_request(self, parts: Parts) -> None:
        """Record a request, from which the shares of parts are estimated."""
        self._recent.add(parts)

    def record_crash(self, crash: Crash, now: Millis) -> tuple[Parts, ...]:
        """Record a crash; return what it brings into quarantine."""
        for parts in crash.requests:
            self._lost.add(parts, crash.at)
        self._add_crash(crash)
        return self._judge(now)

    def record_sound(self, parts: Parts, at: Millis, now: Millis) -> None:
        """Record that a run that began `at` went on."""
        self._sound_times.append(now)
        for name in filter(is_whole, parts):
            self.lost_runs.record_sound(name, at, now)
        for part in itertools.filterfalse(is_whole, parts):
            self._add_sound(part, at)
        relevant = frozenset(filter(self._matters, parts))
        if relevant:
            for part in relevant:
                self._pending.sound[part] = at
            self._release(relevant, at)
            self._judge(now)

    def apply(self, news: PoisonNews, now: Millis) -> tuple[Parts, ...]:
        """Apply news of another entry; return what enters quarantine."""
        for each in news.sound:
            if self._add_sound(each.part, each.at):
                self._pending.sound[each.part] = each.at
                self._release(frozenset({each.part}), each.at)
        for crash in news.crashes:
            self._add_crash(crash)
        for quarantined in news.quarantined:
            self._adopt(quarantined)
        self.lost_runs.apply(news.lost_runs, now)
        self._answer_suspicions(now)
        return self._judge(now)

    def take_pending(self) -> PoisonNews:
        """Return the news to pass on, once."""
        pending, self._pending = self._pending, _Pending()
        return PoisonNews(
            tuple(
                replace(self._crashes[name], requests=frozenset(requests))
                for name, requests in pending.crashes.items()
                if name in self._crashes
            ),
            tuple(SoundPart(part, at) for part, at in pending.sound.items()),
            tuple(pending.quarantined.values()),
            self.lost_runs.take_pending(),
        )

    def list_known(self) -> PoisonNews:
        """Return all that an entry needs that knows nothing."""
        parts = frozenset().union(*map(_list_parts, self._crashes.values()))
        return PoisonNews(
            tuple(self._crashes.values()),
            tuple(
                SoundPart(part, self._sound[part])
                for part in parts
                if part in self._sound
            ),
            self.list_quarantined(),
            self.lost_runs.list_known(),
        )

    def _find_whole_status(
        self, parts: Parts, now: Millis, turn: Turn
    ) -> RepeatStatus:
        for name in filter(is_whole, parts):
            return self.lost_runs.find_status(name, now, turn)
        return RepeatStatus.CLEAN

    def _add_crash(self, crash: Crash) -> None:
        """Add the requests of a crash that are not known yet."""
        known = self._crashes.get(crash.name)
        before = frozenset() if known is None else known.requests
        added = crash.requests - before
        room = self._settings.max_requests - len(before)
        added = frozenset(sorted(added, key=sorted)[:room])
        if not added:
            return
        at = crash.at if known is None else min(known.at, crash.at)
        whole = Crash(crash.name, at, before | added)
        self._crashes[crash.name] = whole
        self._open.pop(crash.name, None)
        if not self._is_explained(whole):
            self._open[crash.name] = whole
            self._has_changed = True
        self._pending.crashes.setdefault(crash.name, set()).update(added)
        self._size += sum(map(len, added))
        self._forget_excess()
        for found in tuple(self._quarantined.values()):
            if any(found.parts <= request for request in added):
                self._record_explained(found, at)

    def _forget_excess(self) -> None:
        settings = self._settings
        while len(self._crashes) > 1 and (
            len(self._crashes) > settings.max_crashes
            or self._size > settings.max_parts
        ):
            self._forget(next(iter(self._crashes)))

    def _record_explained(self, found: Quarantined, at: Millis) -> None:
        """Put off the next trial of a part after one more crash."""
        if at <= found.last_crash:
            return
        is_trial = found.parts in self._trial_at
        trials = found.trials + int(is_trial)
        self._trial_at.pop(found.parts, None)
        self._put(replace(found, last_crash=at, trials=trials))

    def _add_sound(self, part: str, at: Millis) -> bool:
        """Record when a part was sound; return whether others may need it."""
        known = self._sound.get(part, -math.inf)
        if at <= known:
            return False
        self._sound[part] = at
        self._sound.move_to_end(part)
        self._has_changed = self._has_changed or bool(self._open)
        if len(self._sound) > self._settings.max_sound:
            self._sound.popitem(last=False)
        return at - known > self._settings.shield / 2

    def _matters(self, part: str) -> bool:
        if part in self._suspected:
            return True
        return any(part in parts for parts in self._quarantined)

    def _answer_suspicions(self, now: Millis) -> None:
        """Tell others of parts that crashes point at and that are sound."""
        counts = collections.Counter(
            part for crash in self._open.values() for part in _list_parts(crash)
        )
        for part, count in counts.items():
            is_close = count + 1 >= self._settings.crashes
            if is_close and self._is_proven(part, now):
                self._tell_sound(part, self._sound[part])

    def _tell_sound(self, part: str, at: Millis) -> None:
        told = self._told.get(part, -math.inf)
        if at - told > self._settings.shield / 2:
            self._told[part] = at
            self._pending.sound[part] = at

    def _release(self, parts: Parts, at: Millis) -> None:
        """Take sound parts out of quarantine."""
        for found in tuple(self._quarantined.values()):
            if at + self._settings.shield < found.last_crash:
                continue
            cleared = found.parts & parts
            if not cleared:
                continue
            del self._quarantined[found.parts]
            self._trial_at.pop(found.parts, None)
            if found.parts - cleared:
                self._put(replace(found, parts=found.parts - cleared))
            self._reopen()

    def _adopt(self, quarantined: Quarantined) -> None:
        known = self._quarantined.get(quarantined.parts)
        if known is not None and known.last_crash >= quarantined.last_crash:
            return
        if any(
            self._is_shielded(part, quarantined.last_crash)
            for part in quarantined.parts
        ):
            return
        self._put(quarantined)

    def _put(self, quarantined: Quarantined) -> None:
        is_new = quarantined.parts not in self._quarantined
        self._quarantined[quarantined.parts] = quarantined
        if is_new:
            self._reopen()
        self._pending.quarantined[quarantined.parts] = quarantined
        while len(self._quarantined) > self._settings.max_quarantined:
            oldest = min(self._quarantined.values(), key=_find_last_crash)
            del self._quarantined[oldest.parts]

    def _may_try(self, found: Quarantined, now: Millis) -> bool:
        """Return whether one request may run as a trial."""
        if found.trials >= self._settings.most_trials:
            return False
        due = found.last_crash + self._find_wait(found)
        return now >= self._trial_at.get(found.parts, due)

    def _find_wait(self, found: Quarantined) -> Millis:
        settings = self._settings
        wait = math.ldexp(settings.trial_wait, found.trials)
        return min(wait, settings.longest_wait)

    def _judge(self, now: Millis) -> tuple[Parts, ...]:
        """Quarantine what the evidence condemns; return it."""
        self._expire(now)
        if self._condemned != self.lost_runs.condemned:
            self._condemned = self.lost_runs.condemned
            self._reopen()
        if not self._has_changed:
            return ()
        self._has_changed = False
        condemned = []
        evidence = self._find_evidence()
        while parts := self._find_guilty(evidence, now):
            crashes = evidence[min(parts)].crashes
            self._put(Quarantined(parts, now, crashes[-1].at))
            self._verdicts.add(parts)
            condemned.append(parts)
            evidence = self._find_evidence()
        self._suspected = frozenset(
            part
            for part, found in evidence.items()
            if found.moments + 1 >= self._settings.crashes
        )
        return tuple(condemned)

    def _expire(self, now: Millis) -> None:
        cutoff = now - self._settings.expiry
        for crash in tuple(self._crashes.values()):
            if crash.at < cutoff:
                self._forget(crash.name)
        if not self._crashes:
            self._told.clear()

    def _forget(self, name: str) -> None:
        self._size -= sum(map(len, self._crashes.pop(name).requests))
        self._open.pop(name, None)

    def _reopen(self) -> None:
        """Find again which crashes are unexplained."""
        self._open = {
            crash.name: crash
            for crash in self._crashes.values()
            if not self._is_explained(crash)
        }
        self._has_changed = True

    def _find_evidence(self) -> dict[str, _Evidence]:
        """Return what the unexplained crashes tell against each part.

        Where a server crashed without the part at the same moment, the others
        may have crashed for the same reason.
        """
        evidence: dict[str, _Evidence] = {}
        for moment in self._find_moments():
            for part in frozenset.intersection(*map(_list_parts, moment)):
                if is_whole(part) or self._is_shielded(part, moment[0].at):
                    continue
                found = evidence.setdefault(part, _Evidence())
                found.add(part, moment)
        return evidence

    def _is_explained(self, crash: Crash) -> bool:
        return any(
            parts <= request
            for parts in self._quarantined
            for request in crash.requests
        ) or not self._condemned.isdisjoint(_list_parts(crash))

    def _is_shielded(self, part: str, at: Millis) -> bool:
        sound_at = self._sound.get(part)
        return sound_at is not None and at <= sound_at + self._settings.shield

    def _find_guilty(
        self, evidence: dict[str, _Evidence], now: Millis
    ) -> Parts:
        """Return the parts that explain crashes best, or none.

        Parts that were sound lately come last: most of them are only shared by
        many requests. Parts that were together in all of these requests are
        condemned together, as any one of them may be to blame.
        """
        ranked = []
        shares = self._find_shares(evidence)
        for part, found in evidence.items():
            is_proven = self._is_proven(part, now)
            if not self._is_enough(found):
                continue
            crashes = found.crashes
            odds = self._estimate_presence(part, crashes, shares)
            # Any of the parts present might have been unlucky so often.
            odds *= self._estimate_losses(part, crashes) * len(evidence)
            if odds <= self._find_error(is_proven=is_proven):
                ranked.append((is_proven, odds, part))
        if not ranked:
            return frozenset()
        is_proven, _, guilty = min(ranked)
        names = {crash.name for crash in evidence[guilty].crashes}
        others = (
            part
            for part, found in evidence.items()
            if names <= {crash.name for crash in found.crashes}
            and self._is_proven(part, now) is is_proven
        )
        return _join_parts(guilty, sorted(others), evidence[guilty].crashes)

    def _is_enough(self, found: _Evidence) -> bool:
        """Return whether crashes are too many for a coincidence in time."""
        settings = self._settings
        if found.moments >= settings.crashes:
            return True
        return found.moments > 1 and found.requests >= settings.requests

    def _find_error(self, *, is_proven: bool) -> float:
        settings = self._settings
        return settings.proven_error if is_proven else settings.error

    def _find_shares(self, parts: Iterable[str]) -> dict[str, float]:
        """Return the shares of the latest requests that hold each part."""
        counts = collections.Counter(
            itertools.chain.from_iterable(parts for _, parts in self._recent)
        )
        total = len(self._recent)
        return {part: (counts[part] + 1) / (total + 2) for part in parts}

    def _estimate_presence(
        self, part: str, crashes: Sequence[Crash], shares: Mapping[str, float]
    ) -> float:
        """Return how likely a sound part would be present at so many crashes.

        Any of the unexplained crashes might have been those.
        """
        odds = 1.0
        for crash in crashes:
            odds *= 1 - (1 - shares[part]) ** len(crash.requests)
        return min(odds * math.comb(len(self._open), len(crashes)), 1.0)

    def _estimate_losses(self, part: str, crashes: Sequence[Crash]) -> float:
        """Return how likely all runs with a sound part would have been lost.

        The share of other requests that are lost shows how likely one is.
        """
        since = crashes[0].at
        sound = sum(at >= since for at in self._sound_times)
        lost = sum(
            at >= since and part not in parts for at, parts in self._lost
        )
        tries = sum(
            part in request for crash in crashes for request in crash.requests
        )
        return ((lost + 1) / (sound + lost + 1)) ** tries

    def _is_proven(self, part: str, now: Millis) -> bool:
        sound_at = self._sound.get(part)
        return sound_at is not None and now - sound_at < self._settings.history

    def _find_moments(self) -> list[list[Crash]]:
        """Return the unexplained crashes, those close together in one list."""
        moments: list[list[Crash]] = []
        last = -math.inf
        for crash in sorted(self._open.values(), key=_find_time):
            if crash.at - last >= self._settings.separation:
                moments.append([])
            moments[-1].append(crash)
            last = crash.at
        return moments


def is_whole(part: str) -> bool:
    """Return whether a name stands for all of a request."""
    return part.startswith(_WHOLE)


def name_whole(digest: str) -> str:
    """Return the name of all of a request with this digest."""
    return f'{_WHOLE}{digest}'


def _join_parts(
    guilty: str, others: Iterable[str], crashes: Sequence[Crash]
) -> Parts:
    """Return the parts that one request held together at each crash."""
    joined = frozenset({guilty})
    for part in others:
        wider = joined | {part}
        if all(
            any(wider <= request for request in crash.requests)
            for crash in crashes
        ):
            joined = wider
    return joined


def _list_parts(crash: Crash) -> Parts:
    return frozenset().union(*crash.requests)


def _find_time(crash: Crash) -> Millis:
    return crash.at


def _find_last_crash(quarantined: Quarantined) -> Millis:
    return quarantined.last_crash
