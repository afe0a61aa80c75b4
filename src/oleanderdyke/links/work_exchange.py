"""Pass reports of work in flight on between all entries.

Within a data centre they travel over the links to the reader of records, and
between data centres over one link between the readers.
"""

from __future__ import annotations

import enum
import math
from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)
from dataclasses import dataclass, replace
from random import Random

import anyio

from oleanderdyke.clock import SECOND, Clock, Millis
from oleanderdyke.kernel.neighbours import RECORD_SOURCE, Neighbour
from oleanderdyke.kernel.scheduling.work_reports import ReportSource
from oleanderdyke.kernel.scheduling.work_table import WorkTable
from oleanderdyke.links.codec import MAX_MESSAGE, encode
from oleanderdyke.links.dating import find_sent_time
from oleanderdyke.links.link import Link, LinkSettings
from oleanderdyke.links.messages import Hello, Message
from oleanderdyke.links.messages.news import WorkNews, WorkReport
from oleanderdyke.links.news_client import NewsClient
from oleanderdyke.links.news_server import NewsServer
from oleanderdyke.links.pool import LinkPool, PoolSettings
from oleanderdyke.metrics import Count, Gauge, Metrics

_PERIOD: Millis = 40.0
_BEAT_PERIOD: Millis = 400.0
# A neighbour that sends neither reports nor beats for longer is passed over.
_SILENCE_LIMIT: Millis = 1 * SECOND
# A process whose own steps are this far apart was suspended or blocked.
_STALL_THRESHOLD: Millis = 250.0
_CONNECT_PERIOD: Millis = 200.0
# A reader keeps its links to other data centres while another entry is tried in
# its place, which may turn out to be frozen still.
_READER_LINGER: Millis = 1 * SECOND
_DIAL_LIMIT: Millis = 500.0
_MAX_FRAME_LENGTH = MAX_MESSAGE // 4
# Field names and numbers of a report and of the frame around it.
_FIXED_LENGTH = 256
_MAX_NUMBER_LENGTH = 9
_MAX_TEXT_HEAD = 5
_MAX_CHARACTER_LENGTH = 4
_SENT, _RECEIVED = 'sent', 'received'


class Side(enum.Enum):
    """Where a link leads."""

    # To the reader of this data centre.
    UP = enum.auto()
    # From an entry for which this process is the reader.
    DOWN = enum.auto()
    # To or from the reader of another data centre.
    ACROSS = enum.auto()


@dataclass(frozen=True, slots=True)
class _Pending:
    """A report to pass on; `source` is None for this entry's own."""

    report: WorkReport
    made_at: Millis
    source: Side | None


class WorkExchange:
    """Send this entry's reports and pass on those of other entries."""

    def __init__(
        self,
        own: Neighbour,
        source: ReportSource,
        table: WorkTable,
        *,
        client: NewsClient,
        clock: Clock,
        metrics: Metrics,
        count_entries: Callable[[], int],
    ) -> None:
        self._own = own
        self._source = source
        self._table = table
        self._client = client
        self._neighbours = client.neighbours
        self._clock = clock
        self._metrics = metrics
        self._count_entries = count_entries
        self._pool: LinkPool | None = None
        self._pending: list[_Pending] = []
        self._heard_at: dict[Link, Millis] = {}
        self._inbound: dict[Link, Side] = {}
        # Links that have been sent the state of all entries.
        self._joined: set[Link] = set()
        self._sent_at: dict[Side, Millis] = {}
        self._remote_since: dict[str, Millis] = {}
        self._connected_at: Millis = -math.inf
        self._stepped_at: Millis = -math.inf
        self._was_reader_at: Millis = -math.inf

    async def run(
        self,
        server: NewsServer,
        make_hello: Callable[[], Hello],
        random: Random,
    ) -> None:
        """Exchange reports with other entries until cancelled."""
        pool = LinkPool(
            make_hello,
            on_up=self._ignore_link,
            on_message=self._receive_across,
            on_down=self._ignore_link,
            settings=PoolSettings(
                link=LinkSettings(dial_timeout=_DIAL_LIMIT),
                last_backoff=1 * SECOND,
            ),
            clock=self._clock,
            random=random,
        )
        self._pool = pool
        self._client.on_work = self.receive_up
        server.on_work = self.receive_inbound
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pool.run)
            while True:
                self.step(self._clock.now())
                await anyio.sleep(_PERIOD / SECOND)

    def receive_up(self, link: Link, news: WorkNews) -> None:
        """Apply news of the reader of this data centre."""
        self._receive(link, news, Side.UP)

    def receive_inbound(self, link: Link, news: WorkNews) -> None:
        """Apply news over a link that another entry opened."""
        is_local = link.peer.data_centre == self._own.data_centre
        side = Side.DOWN if is_local else Side.ACROSS
        self._inbound[link] = side
        self._receive(link, news, side)

    def step(self, now: Millis) -> None:
        """Send what is due."""
        if now - self._stepped_at > _STALL_THRESHOLD:
            # What arrived meanwhile has not been read yet.
            self._heard_at = dict.fromkeys(self._heard_at, now)
        self._stepped_at = now
        links = self._list_links()
        if self._drop_silent(links, now):
            links = self._list_links()
        self._connect(now)
        linked = {each for found in links.values() for each in found}
        joining = linked - self._joined
        report = self._source.make_report(
            now, entries=self._count_entries(), is_whole=bool(joining)
        )
        if report is not None:
            self._pending.append(_Pending(report, now, None))
        self._joined = linked
        known = [
            _Pending(each, now - each.age, None)
            for each in (self._table.list_reports(now) if joining else ())
        ]
        pending, self._pending = self._pending, []
        for side, targets in links.items():
            self._send_side(side, targets, joining, known, pending, now)
        self._metrics.set_gauge(Gauge.WORK_AGE, self._find_age(now))

    def _send_side(
        self,
        side: Side,
        links: Sequence[Link],
        joining: Collection[Link],
        known: Sequence[_Pending],
        pending: Sequence[_Pending],
        now: Millis,
    ) -> None:
        new = [link for link in links if link in joining]
        if new:
            self._send(new, self._select(known, side), now)
        reports = self._select(pending, side)
        is_beat_due = now - self._sent_at.get(side, -math.inf) >= _BEAT_PERIOD
        if links and (reports or is_beat_due):
            self._sent_at[side] = now
            self._send(links, reports, now)

    def _find_age(self, now: Millis) -> Millis:
        age = self._table.find_age(now)
        return age if math.isfinite(age) else -1.0

    def _receive(self, link: Link, news: WorkNews, side: Side) -> None:
        now = self._clock.now()
        self._heard_at[link] = now
        sent_at = find_sent_time(link, news.sent_at, now)
        self._table.record_heard(sent_at)
        for report in news.reports:
            made_at = sent_at - max(report.age, 0.0)
            if self._table.apply(replace(report, age=now - made_at), now):
                self._pending.append(_Pending(report, made_at, side))
        self._metrics.add(Count.WORK_REPORTS, len(news.reports), _RECEIVED)
        self._metrics.add(Count.WORK_BYTES, link.counters.last_in, _RECEIVED)

    async def _receive_across(self, link: Link, message: Message) -> None:
        if isinstance(message, WorkNews):
            self._receive(link, message, Side.ACROSS)

    async def _ignore_link(self, _: Link) -> None:
        """Do nothing, as `step` finds which links are open."""

    def _list_links(self) -> dict[Side, list[Link]]:
        up = self._client.find_record_link()
        links: dict[Side, list[Link]] = {
            Side.UP: [] if up is None else [up],
            Side.DOWN: [],
            Side.ACROSS: [] if self._pool is None else [*self._pool.links()],
        }
        for link, side in self._inbound.items():
            links[side].append(link)
        return links

    def _select(
        self, pending: Iterable[_Pending], side: Side
    ) -> list[_Pending]:
        """Return the reports to send to a side.

        Entries that this process is the reader of ignore their own reports, so
        that a frame for all of them is encoded once.
        """
        if side is Side.DOWN:
            return [*pending]
        if side is Side.UP:
            return [each for each in pending if each.source is not Side.UP]
        own = self._own.data_centre
        return [
            each
            for each in pending
            if each.source is not side and each.report.data_centre == own
        ]

    def _send(
        self, links: Sequence[Link], pending: Sequence[_Pending], now: Millis
    ) -> None:
        for reports in _split(pending):
            news = WorkNews(
                tuple(
                    replace(each.report, age=max(now - each.made_at, 0.0))
                    for each in reports
                ),
                sent_at=now,
            )
            data = encode(news)
            # What a full link doesn't take is mended by the next whole reports;
            # a queue would only make the news older.
            sent = sum(link.write_encoded(news, data) for link in links)
            self._metrics.add(Count.WORK_REPORTS, len(reports) * sent, _SENT)
            self._metrics.add(Count.WORK_BYTES, len(data) * sent, _SENT)

    def _drop_silent(
        self, links: Mapping[Side, Sequence[Link]], now: Millis
    ) -> bool:
        """Forget links that closed or fell silent; return whether any did."""
        opened = {*links[Side.UP], *links[Side.ACROSS]} - self._inbound.keys()
        known = len(self._heard_at)
        for link, heard_at in tuple(self._heard_at.items()):
            is_silent = now - heard_at > _SILENCE_LIMIT
            if is_silent or link.closed:
                self._forget(link)
            if is_silent and link in opened and not link.closed:
                self._client.record_silence(link.peer.process)
        return len(self._heard_at) < known

    def _forget(self, link: Link) -> None:
        self._heard_at.pop(link, None)
        self._inbound.pop(link, None)

    def _connect(self, now: Millis) -> None:
        """Connect to the readers of other data centres, if this is one."""
        if self._pool is None or now - self._connected_at < _CONNECT_PERIOD:
            return
        self._connected_at = now
        wanted = {each.name: each.address for each in self._list_remote(now)}
        self._remote_since = {
            name: self._remote_since.get(name, now) for name in wanted
        }
        self._pool.set_addresses(wanted)
        for name, since in tuple(self._remote_since.items()):
            if self._pool.find(name) is not None:
                self._remote_since[name] = now
            elif now - since > _SILENCE_LIMIT:
                self._neighbours.record_failure(name, now)
                del self._remote_since[name]

    def _list_remote(self, now: Millis) -> Iterator[Neighbour]:
        if self._neighbours.find_reader(RECORD_SOURCE, now) is None:
            self._was_reader_at = now
        if now - self._was_reader_at > _READER_LINGER:
            return
        for each in self._neighbours.list_remote_readers(RECORD_SOURCE, now):
            # One of two readers opens the link between them.
            if self._own.data_centre < each.data_centre:
                yield each


def _split(pending: Sequence[_Pending]) -> Iterator[list[_Pending]]:
    """Yield the reports of each frame, at least one frame without any.

    A report that no message may hold is left out.
    """
    part: list[_Pending] = []
    total = 0
    for each in pending:
        length = _bound_length(each.report)
        if length > MAX_MESSAGE:
            continue
        if part and total + length > _MAX_FRAME_LENGTH:
            yield part
            part, total = [], 0
        part.append(each)
        total += length
    yield part


def _bound_length(report: WorkReport) -> int:
    """Return a length in bytes that the encoded report doesn't exceed."""
    names = (report.entry, report.data_centre)
    columns = (names, report.servers, report.kinds)
    texts = sum(map(len, columns))
    characters = sum(sum(map(len, column)) for column in columns)
    numbers = len(report.born) + len(report.amounts) + len(report.rates)
    return (
        _FIXED_LENGTH
        + texts * _MAX_TEXT_HEAD
        + characters * _MAX_CHARACTER_LENGTH
        + numbers * _MAX_NUMBER_LENGTH
    )
