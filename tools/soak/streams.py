"""Check what clients of streams are promised: order, and that they go on."""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from tools.soak.attempts import Attempt, Outcome, Spell, StreamEvent


@dataclass(frozen=True, slots=True)
class StreamRule:
    """Set the limits for streams.

    `mixed` is how many streams may hold events of two versions. From
    `least_resumed` streams that were taken up on, the share of them that goes
    on is at least `share` of that of new streams that begin. A try counts at an
    entry that was in touch for `calm` seconds, and while `servers` of its
    version have served for `settled` seconds.
    """

    mixed: int = 2
    least_resumed: int = 12
    share: float = 0.5
    calm: float = 4.0
    servers: int = 2
    settled: float = 1.0


@dataclass(frozen=True, slots=True)
class Shares:
    """Count streams that were asked for and that went on, in calm spells."""

    begun: int = 0
    new: int = 0
    resumed: int = 0
    taken_up: int = 0

    def keep(self, rule: StreamRule) -> bool:
        """Return whether enough of those that were taken up went on."""
        if self.taken_up < rule.least_resumed or not self.new:
            return True
        resumed, begun = self.resumed / self.taken_up, self.begun / self.new
        return resumed >= rule.share * begun


@dataclass
class ServiceHistory:
    """When the servers of each version served."""

    _spells: dict[str, dict[str, Spell]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    _ended: dict[str, list[Spell]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def record_serving(self, server: str, version: str, now: float) -> None:
        """Record that a server is listed and serves."""
        self._spells[version][server] = Spell(now)

    def record_leaving(self, server: str, version: str, now: float) -> None:
        """Record that a server leaves or has gone."""
        spell = self._spells[version].pop(server, None)
        if spell is not None:
            spell.end = now
            self._ended[version].append(spell)

    def count(self, version: str, begin: float, end: float) -> int:
        """Return how many servers of a version served for a whole span."""
        spells = (*self._spells[version].values(), *self._ended[version])
        return sum(each.begin <= begin and end <= each.end for each in spells)


def list_order_faults(
    attempts: Iterable[Attempt], rule: StreamRule
) -> list[str]:
    """Return a line for each stream whose events don't fit together."""
    faults: list[str] = []
    mixed: list[str] = []
    for stream, tries in _group_streams(attempts).items():
        faults += [f'ORDER {stream}: {each}' for each in _check_tries(tries)]
        found = _describe_versions(tries)
        if found:
            mixed.append(f'ORDER {stream}: {found}')
    return faults + (mixed if len(mixed) > rule.mixed else [])


def count_mixed(attempts: Iterable[Attempt]) -> int:
    """Return the number of streams that hold events of two versions."""
    return sum(
        bool(_describe_versions(tries))
        for tries in _group_streams(attempts).values()
    )


def count_shares(
    attempts: Iterable[Attempt],
    *,
    is_in_touch: Callable[[Attempt], bool],
    history: ServiceHistory,
    rule: StreamRule,
) -> Shares:
    """Count the streams that were asked for at entries in touch.

    Nothing can tell the version of a stream whose client doesn't name it.
    """
    begun = new = resumed = taken_up = 0
    for tries in _group_streams(attempts).values():
        version = _find_version(tries)
        for after, found in _group_positions(tries):
            counted = [each for each in found if is_in_touch(each)]
            if after:
                counted = [
                    each
                    for each in counted
                    if each.is_named
                    and _is_served(each, version, history, rule)
                ]
                taken_up += bool(counted)
                resumed += any(each.goes_on for each in counted)
            else:
                new += bool(counted)
                begun += any(each.goes_on for each in counted)
    return Shares(begun, new, resumed, taken_up)


def list_resume_faults(shares: Shares, rule: StreamRule) -> list[str]:
    """Return a line if too few of the streams taken up have gone on."""
    if shares.keep(rule):
        return []
    resumed = f'{shares.resumed} of {shares.taken_up} streams taken up went on'
    return [f'RESUMED {resumed}, {shares.begun} of {shares.new} new ones began']


def find_decided(attempt: Attempt) -> float:
    """Return when it was clear whether a try goes on."""
    return attempt.events[0].at if attempt.events else attempt.ended


def _check_tries(tries: Sequence[Attempt]) -> Iterator[str]:
    """Yield what is wrong with the numbers and ends of a stream's tries."""
    for attempt in tries:
        yield from _check_numbers(attempt)
        last = attempt.events[-1].number if attempt.events else attempt.after
        if attempt.is_complete and last < attempt.last:
            yield f'{attempt.request} ended as complete after event {last}'
        if attempt.is_garbled:
            yield f'{attempt.request} holds bytes that are no event'


def _check_numbers(attempt: Attempt) -> Iterator[str]:
    before = attempt.after
    for event in attempt.events:
        if event.request != attempt.request:
            yield f'{attempt.request} holds an event of {event.request}'
        if event.number != before + 1:
            yield f'{attempt.request} has event {event.number} after {before}'
        before = event.number
    if before > attempt.last > 0:
        yield f'{attempt.request} goes on after the last event, {attempt.last}'


def _describe_versions(tries: Sequence[Attempt]) -> str:
    """Return where the version changes, '' if it never does."""
    written = [(each, event) for each in tries for event in each.events]
    for (one, before), (other, event) in itertools.pairwise(written):
        if before.version != event.version:
            where = 'within' if one is other else f'from {one.request} to'
            return (
                f'event {event.number} is of {event.version} after '
                f'{before.version}, {where} {other.request} at {event.at:.2f} s'
            )
    return ''


def _find_version(tries: Sequence[Attempt]) -> str:
    events: Iterator[StreamEvent] = (
        event for each in tries for event in each.events
    )
    return next((event.version for event in events), '')


def _is_served(
    attempt: Attempt, version: str, history: ServiceHistory, rule: StreamRule
) -> bool:
    begin = attempt.sent - rule.settled
    count = history.count(version, begin, find_decided(attempt))
    return count >= rule.servers


def _group_streams(
    attempts: Iterable[Attempt],
) -> dict[str, list[Attempt]]:
    """Return the tries of each stream in the order in which they were sent.

    The end of the soak ends tries without any fault of the entries.
    """
    streams: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in attempts:
        if attempt.stream:
            streams[attempt.stream].append(attempt)
    for tries in streams.values():
        tries.sort(key=lambda each: each.sent)
    return streams


def _group_positions(
    tries: Sequence[Attempt],
) -> Iterator[tuple[int, list[Attempt]]]:
    """Yield the tries that go on after the same event."""
    ended = [
        each
        for each in tries
        if each.events or each.outcome is not Outcome.RUNNING
    ]
    for after, found in itertools.groupby(ended, key=lambda each: each.after):
        yield after, list(found)
