"""Keep one and the same request from ending server after server.

Each run of a request that broke off before it was answered is a loss, whether
or not its server is known to have ended. After some losses at different
servers, one run at a time goes on as a trial, and all equal requests wait for
its outcome. A run that goes on clears the request.
"""

from __future__ import annotations

import collections
import enum
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from oleanderdyke.clock import MINUTE, SECOND, Millis


class RepeatStatus(enum.Enum):
    """What is known of a request before it is sent."""

    CLEAN = enum.auto()
    # Two runs were lost; the request must not be sent twice.
    SUSPECT = enum.auto()
    # The request may be sent as the trial.
    TRIAL = enum.auto()
    # Another entry may try, or a trial runs.
    WAITING = enum.auto()
    REFUSED = enum.auto()


@dataclass(frozen=True, slots=True)
class Turn:
    """The place of an entry among all of them, which try in turns."""

    place: int
    entries: int

    @property
    def is_first(self) -> bool:
        """Return whether this entry is the first one of those known."""
        return bool(self.entries) and self.place == 0

    def has_come(self, elapsed: Millis) -> bool:
        """Return whether this entry may try, so long after a trial is due."""
        if not self.entries:
            return False
        return int(elapsed // _TURN) % self.entries == self.place


# Longer than entries without links take to learn of each other's losses.
_TURN: Millis = 2 * SECOND
# An entry that knows no others may not try.
NO_TURN = Turn(0, 0)


@dataclass(frozen=True, slots=True)
class LostRunSettings:
    """Set when requests are suspected, tried and forgotten.

    A trial may begin each of `waits` after the last loss or trial, in order,
    and none after these. One without an outcome within `trial_limit` counts as
    lost. A run that goes on clears losses up to `shield` after it began. Times
    that entries tell each other differ by less than `tolerance`.
    """

    suspected: int = 2
    tried: int = 3
    waits: tuple[Millis, ...] = (0.0, 2 * SECOND, 1 * MINUTE)
    trial_limit: Millis = 2 * SECOND
    shield: Millis = 1 * SECOND
    tolerance: Millis = 500.0
    expiry: Millis = 5 * MINUTE
    max_requests: int = 2_000
    max_sound: int = 2_000


@dataclass(frozen=True, slots=True)
class Trial:
    """A run that was sent to a server while all equal requests waited."""

    server: str
    at: Millis


@dataclass(frozen=True, slots=True)
class LostRuns:
    """The lost runs of one request, by server, and its trials.

    A run that began at `sound_at` went on.
    """

    name: str
    losses: Mapping[str, Millis] = field(default_factory=dict)
    trials: tuple[Trial, ...] = ()
    sound_at: Millis = -math.inf

    @property
    def last_at(self) -> Millis:
        """Return when the last run was lost or tried."""
        tried = (each.at for each in self.trials)
        return max((*self.losses.values(), *tried), default=-math.inf)

    def is_lost(self, trial: Trial) -> bool:
        """Return whether a trial broke off."""
        return self.losses.get(trial.server, -math.inf) >= trial.at

    @property
    def has_failed_trial(self) -> bool:
        """Return whether any trial broke off."""
        return any(map(self.is_lost, self.trials))


class LostRunTable:
    """Count lost runs of equal requests, with what other entries tell."""

    def __init__(self, settings: LostRunSettings | None = None) -> None:
        self._settings = settings or LostRunSettings()
        # The latest changed last.
        self._known: collections.OrderedDict[str, LostRuns] = (
            collections.OrderedDict()
        )
        # When runs last began that went on, the latest used last.
        self._sound: collections.OrderedDict[str, Millis] = (
            collections.OrderedDict()
        )
        self._pending: dict[str, LostRuns] = {}
        # Suspects that must outlast all entries.
        self._verdicts: dict[str, LostRuns] = {}
        # Requests that this entry has lost runs of.
        self._own: set[str] = set()
        # The losses of requests that news of other entries made suspects.
        self._learned: dict[str, int] = {}
        # The names of requests whose trials failed, and their servers.
        self._condemned: set[str] = set()
        self._tried_last = ''
        self._explained: frozenset[str] = frozenset()

    @property
    def has_pending(self) -> bool:
        """Return whether there is news to pass on."""
        return bool(self._pending)

    @property
    def is_empty(self) -> bool:
        """Return whether no run was lost."""
        return not self._known

    @property
    def last_at(self) -> Millis:
        """Return when the last run was lost or tried, of any request."""
        latest = next(reversed(self._known.values()), None)
        return -math.inf if latest is None else latest.last_at

    @property
    def has_suspects(self) -> bool:
        """Return whether a request was lost at several servers."""
        return any(
            len(each.losses) >= self._settings.suspected
            for each in self._known.values()
        )

    @property
    def condemned(self) -> frozenset[str]:
        """Return the requests that a trial has failed of."""
        return frozenset(self._condemned)

    def is_condemned(self, name: str) -> bool:
        """Return whether a trial of the request has failed."""
        return name in self._condemned

    def may_need_trial(self, name: str) -> bool:
        """Return whether a request may run as a trial alone."""
        return self.count_losses(name) >= self._settings.tried

    def count_losses(self, name: str) -> int:
        """Return at how many servers runs were lost that nothing explains."""
        known = self._known.get(name)
        if known is None:
            return 0
        if name in self._condemned:
            return len(known.losses)
        return len(known.losses.keys() - self._explained)

    def find_status(self, name: str, now: Millis, turn: Turn) -> RepeatStatus:
        """Return whether a request may be sent by the entry with this turn."""
        losses = self.count_losses(name)
        if losses < self._settings.suspected:
            return RepeatStatus.CLEAN
        if losses < self._settings.tried:
            return RepeatStatus.SUSPECT
        return self._find_trial_status(self._known[name], now, turn)

    def record_loss(self, name: str, server: str, at: Millis) -> bool:
        """Record a lost run; return whether it is that of the first trial."""
        was_condemned = self.is_condemned(name)
        self._change(LostRuns(name, {server: at}), at)
        return self.is_condemned(name) and not was_condemned

    def record_sound(self, name: str, at: Millis, now: Millis) -> None:
        """Record that a run that began `at` went on."""
        self._record_sound(name, at)
        if name in self._known:
            self._change(LostRuns(name, sound_at=at), now)

    def begin_trial(self, name: str, server: str, now: Millis) -> None:
        """Record that a request is sent to a server as a trial."""
        known = self._known.get(name, LostRuns(name))
        trials = (*known.trials, Trial(server, now))
        self._change(replace(known, trials=trials), now)

    def apply(self, news: Iterable[LostRuns], now: Millis) -> None:
        """Apply news of other entries, and keep for others what is new."""
        for each in news:
            if each.sound_at > -math.inf:
                self._record_sound(each.name, each.sound_at)
            before = self.count_losses(each.name)
            self._merge(each, now)
            losses = self.count_losses(each.name)
            if before < self._settings.suspected <= losses:
                self._learned[each.name] = losses
            if losses > before and each.name in self._own:
                self._note_verdict(each.name)

    def take_pending(self) -> tuple[LostRuns, ...]:
        """Return the news to pass on, once."""
        pending, self._pending = self._pending, {}
        return tuple(pending.values())

    def take_verdicts(self) -> tuple[LostRuns, ...]:
        """Return what this entry found out that must outlast all entries."""
        verdicts, self._verdicts = self._verdicts, {}
        return tuple(verdicts.values())

    def take_learned(self) -> Mapping[str, int]:
        """Return the losses of suspects that news of others made, once."""
        learned, self._learned = self._learned, {}
        return learned

    def list_known(self) -> tuple[LostRuns, ...]:
        """Return all that an entry needs that knows nothing."""
        return tuple(self._known.values())

    def _record_sound(self, name: str, at: Millis) -> None:
        self._sound[name] = max(at, self._sound.get(name, -math.inf))
        self._sound.move_to_end(name)
        while len(self._sound) > self._settings.max_sound:
            self._sound.popitem(last=False)

    def _find_trial_status(
        self, known: LostRuns, now: Millis, turn: Turn
    ) -> RepeatStatus:
        if self._is_trial_running(known, now):
            return RepeatStatus.WAITING
        done = len(known.trials)
        if done >= len(self._settings.waits):
            return RepeatStatus.REFUSED
        elapsed = now - known.last_at - self._settings.waits[done]
        if elapsed >= 0 and turn.has_come(elapsed):
            return self._find_turn_status(now)
        return RepeatStatus.REFUSED if done else RepeatStatus.WAITING

    def _find_turn_status(self, now: Millis) -> RepeatStatus:
        """Let one request be tried at a time; others would share its fate."""
        latest = self._known.get(self._tried_last)
        if latest is not None and self._is_trial_running(latest, now):
            return RepeatStatus.WAITING
        return RepeatStatus.TRIAL

    def _is_trial_running(self, known: LostRuns, now: Millis) -> bool:
        if not known.trials or known.is_lost(known.trials[-1]):
            return False
        return now - known.trials[-1].at < self._settings.trial_limit

    def _change(self, news: LostRuns, now: Millis) -> None:
        """Add what this entry has seen itself."""
        name = news.name
        before = self.count_losses(name)
        self._merge(news, now)
        if name in self._known:
            self._own.add(name)
        if before >= self._settings.suspected:
            self._verdicts[name] = self._known.get(name, news)
        else:
            self._note_verdict(name)

    def _note_verdict(self, name: str) -> None:
        """Let a request that is a suspect by now outlast all entries."""
        if self.count_losses(name) >= self._settings.suspected:
            self._verdicts[name] = self._known[name]

    def _merge(self, news: LostRuns, now: Millis) -> None:
        """Add what is new to what is known, and keep it for others."""
        name = news.name
        before = self._known.get(name, LostRuns(name))
        own_sound = self._sound.get(name, -math.inf)
        sound_at = max(before.sound_at, news.sound_at, own_sound)
        merged = LostRuns(
            name,
            self._join_losses(before, news, sound_at),
            max(
                _list_after(before.trials, sound_at),
                _list_after(news.trials, sound_at),
                key=len,
            ),
            sound_at,
        )
        if merged.losses or merged.trials:
            self._known[name] = merged
            self._known.move_to_end(name)
        else:
            self._known.pop(name, None)
            self._own.discard(name)
        if self._is_new(merged, before, news):
            self._pending[name] = merged
        if len(merged.trials) > len(before.trials):
            self._tried_last = name
        self._explain(merged)
        self._trim(now)

    def _join_losses(
        self, before: LostRuns, news: LostRuns, sound_at: Millis
    ) -> dict[str, Millis]:
        joined = dict(before.losses)
        for server, at in news.losses.items():
            if at > joined.get(server, -math.inf) + self._settings.tolerance:
                joined[server] = at
        cleared_until = sound_at + self._settings.shield
        return {
            server: at for server, at in joined.items() if at > cleared_until
        }

    def _is_new(
        self, merged: LostRuns, before: LostRuns, news: LostRuns
    ) -> bool:
        """Return whether others may lack what is known now."""
        if merged.losses.keys() != before.losses.keys():
            return True
        if len(merged.trials) != len(before.trials):
            return True
        # A neighbour has not heard yet what cleared the runs.
        return not news.losses.keys() <= merged.losses.keys()

    def _explain(self, changed: LostRuns) -> None:
        """Find the servers that ended on requests whose trials failed."""
        if changed.has_failed_trial:
            self._condemned.add(changed.name)
        elif changed.name in self._condemned:
            self._condemned.remove(changed.name)
        else:
            return
        self._explained = frozenset(
            server
            for name in self._condemned
            for server in self._known[name].losses
        )

    def _trim(self, now: Millis) -> None:
        """Forget single losses after a while, and the oldest of too many."""
        settings = self._settings
        oldest = next(iter(self._known.values()), None)
        while oldest is not None and self._may_forget(oldest, now):
            self._forget(oldest.name)
            oldest = next(iter(self._known.values()), None)
        while len(self._known) > settings.max_requests:
            few = (
                each.name
                for each in self._known.values()
                if len(each.losses) < settings.tried
            )
            self._forget(next(few, next(iter(self._known))))

    def _forget(self, name: str) -> None:
        del self._known[name]
        self._condemned.discard(name)
        self._own.discard(name)

    def _may_forget(self, known: LostRuns, now: Millis) -> bool:
        if len(known.losses) >= self._settings.tried:
            return False
        return now - known.last_at > self._settings.expiry


def _list_after(trials: tuple[Trial, ...], since: Millis) -> tuple[Trial, ...]:
    return tuple(each for each in trials if each.at > since)
