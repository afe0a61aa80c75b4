"""Exchange evidence of poisonous parts with other entries."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import replace
from typing import TYPE_CHECKING

from oleanderdyke.kernel.lost_runs import LostRuns, Trial
from oleanderdyke.kernel.poison import (
    Crash,
    Parts,
    PoisonNews,
    PoisonTable,
    Quarantined,
    SoundPart,
)
from oleanderdyke.links.codec import MAX_MESSAGE
from oleanderdyke.links.dating import find_delay
from oleanderdyke.links.messages.news import (
    CrashReport,
    LostRunReport,
    PoisonReport,
    QuarantineReport,
)

if TYPE_CHECKING:
    from oleanderdyke.clock import Clock, Millis
    from oleanderdyke.links.link import Link

# Names take more room in a message than their length.
_MOST_BYTES = MAX_MESSAGE // 2
_NAME_BYTES = 3
_SOUND_PER_MESSAGE = 2_000
_REQUESTS_PER_MESSAGE = 100


class PoisonExchange:
    """Send news of one table over links, and apply what arrives.

    Each entry passes on what is new to it, so that news reaches all of them.
    """

    def __init__(
        self,
        table: PoisonTable,
        clock: Clock,
        *,
        on_news: Callable[[tuple[Parts, ...]], None],
    ) -> None:
        self._table = table
        self._clock = clock
        self._on_quarantined = on_news
        self._joined: frozenset[Link] = frozenset()

    @property
    def has_pending(self) -> bool:
        """Return whether there is news to send."""
        return self._table.has_pending

    def is_active(self, now: Millis) -> bool:
        """Return whether entries of other data centres need to be linked."""
        return self._table.is_active(now)

    def receive(self, link: Link, report: PoisonReport) -> None:
        """Apply a report of another entry."""
        now = self._clock.now()
        delay = find_delay(link, report.sent_at, now) or 0.0
        condemned = self._table.apply(decode_news(report, now, delay), now)
        self._on_quarantined(condemned)

    def step(self, links: Collection[Link], now: Millis) -> None:
        """Send what is new; a new link gets all that is known.

        So does one that was too full for a part of it.
        """
        new = frozenset(links) - self._joined
        known = split_news(self._table.list_known()) if new else []
        pending = split_news(self._table.take_pending())
        self._joined = frozenset(
            link
            for link in links
            if _send(link, known if link in new else pending, now)
        )


def _send(link: Link, parts: Iterable[PoisonNews], now: Millis) -> bool:
    """Return whether the link has taken all parts."""
    return all(
        link.write(replace(encode_news(part, now), sent_at=now))
        for part in parts
    )


def split_news(news: PoisonNews) -> list[PoisonNews]:
    """Return the news in parts that each fit into a message."""
    parts = [
        PoisonNews(crashes=(piece,))
        for crash in news.crashes
        for piece in _split_crash(crash)
    ]
    parts += (
        PoisonNews(sound=news.sound[at : at + _SOUND_PER_MESSAGE])
        for at in range(0, len(news.sound), _SOUND_PER_MESSAGE)
    )
    parts += (
        PoisonNews(lost_runs=news.lost_runs[at : at + _REQUESTS_PER_MESSAGE])
        for at in range(0, len(news.lost_runs), _REQUESTS_PER_MESSAGE)
    )
    if news.quarantined:
        parts.append(PoisonNews(quarantined=news.quarantined))
    return parts


def _split_crash(crash: Crash) -> Iterator[Crash]:
    """Yield the crash with as many requests as fit into a message each."""
    pieces: list[set[Parts]] = [set()]
    room = _MOST_BYTES
    for request in crash.requests:
        size = _measure(request)
        if size > room:
            pieces.append(set())
            room = _MOST_BYTES
        if size <= room:
            pieces[-1].add(request)
            room -= size
    for requests in filter(None, pieces):
        yield replace(crash, requests=frozenset(requests))


def _measure(request: Parts) -> int:
    """Return about how many bytes the names take in a message."""
    return sum(len(part) + _NAME_BYTES for part in request)


def encode_news(
    news: PoisonNews, now: Millis, written_at: Millis = 0.0
) -> PoisonReport:
    """Return the message, which holds ages instead of times."""
    return PoisonReport(
        crashes=tuple(
            CrashReport(
                crash.name,
                now - crash.at,
                tuple(tuple(sorted(each)) for each in crash.requests),
            )
            for crash in news.crashes
        ),
        sound=tuple(each.part for each in news.sound),
        sound_ages=tuple(now - each.at for each in news.sound),
        quarantined=tuple(
            QuarantineReport(
                tuple(sorted(each.parts)),
                now - each.since,
                now - each.last_crash,
                each.trials,
            )
            for each in news.quarantined
        ),
        lost_runs=tuple(_encode_lost(each, now) for each in news.lost_runs),
        written_at=written_at,
    )


def _encode_lost(lost: LostRuns, now: Millis) -> LostRunReport:
    return LostRunReport(
        lost.name,
        tuple(lost.losses),
        tuple(now - at for at in lost.losses.values()),
        tuple(each.server for each in lost.trials),
        tuple(now - each.at for each in lost.trials),
        None if math.isinf(lost.sound_at) else now - lost.sound_at,
    )


def _decode_lost(report: LostRunReport, now: Millis) -> LostRuns:
    losses = zip(report.servers, report.ages, strict=False)
    trials = zip(report.trial_servers, report.trial_ages, strict=False)
    age = report.sound_age
    return LostRuns(
        report.name,
        {server: now - max(age, 0.0) for server, age in losses},
        tuple(Trial(server, now - max(age, 0.0)) for server, age in trials),
        -math.inf if age is None else now - max(age, 0.0),
    )


def decode_news(
    report: PoisonReport, now: Millis, delay: Millis = 0.0
) -> PoisonNews:
    """Return the news of a message that was written `delay` ms ago."""
    now -= max(delay, 0.0)
    return PoisonNews(
        tuple(
            Crash(
                each.name,
                now - max(each.age, 0.0),
                frozenset(map(frozenset, each.requests)),
            )
            for each in report.crashes
        ),
        tuple(
            SoundPart(part, now - max(age, 0.0))
            for part, age in zip(report.sound, report.sound_ages, strict=False)
        ),
        tuple(
            Quarantined(
                frozenset(each.parts),
                now - max(each.age, 0.0),
                now - max(each.crash_age, 0.0),
                each.trials,
            )
            for each in report.quarantined
            if each.parts
        ),
        tuple(_decode_lost(each, now) for each in report.lost_runs),
    )
