"""Tell all entries which version of the software began each stream.

Starts travel over the links of shared reads: from an entry to the reader of its
data centre, from there to all its entries and to the readers of other data
centres.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator, Sequence
from random import Random

import anyio

from oleanderdyke.clock import HOUR, SECOND, Clock, Millis
from oleanderdyke.kernel.neighbours import RECORD_SOURCE, Neighbour
from oleanderdyke.kernel.scheduling.ranks import find_rank
from oleanderdyke.kernel.software_history import SoftwareClaim
from oleanderdyke.kernel.stream_origins import (
    DIGEST_BYTES,
    StreamOrigin,
    StreamStart,
)
from oleanderdyke.kernel.stream_sharing import StreamSharing
from oleanderdyke.links.codec import encode
from oleanderdyke.links.dating import find_delay
from oleanderdyke.links.link import Link, LinkSettings
from oleanderdyke.links.messages import Hello, Message
from oleanderdyke.links.messages.news import (
    PoisonReport,
    SoftwareNews,
    StreamNews,
)
from oleanderdyke.links.news_client import NewsClient
from oleanderdyke.links.news_server import NewsServer
from oleanderdyke.links.poison_exchange import PoisonExchange
from oleanderdyke.links.pool import LinkPool, PoolSettings

# Starts that come within this time of each other are sent together.
_BATCH_PERIOD: Millis = 10.0
# Time between checks for new links while starts are shared.
_IDLE_PERIOD: Millis = 200.0
# The same while one version of each service serves.
_LONGEST_IDLE_PERIOD: Millis = 1 * SECOND
_DIAL_LIMIT: Millis = 500.0
# A remote reader without a link for longer is passed over.
_UNREACHABLE_LIMIT: Millis = 1 * SECOND
_ASK_PERIOD: Millis = 500.0
# An entry that starts asks this many others directly, for so long.
_TEACHERS = 4
_LEARNING_TIME: Millis = 5 * SECOND
# Links are asked every two seconds.
_TOUCH_LIMIT: Millis = 5 * SECOND
MAX_STARTS_PER_MESSAGE = 4_096
_REMAINING_UNIT: Millis = 100.0
# Far longer than any stream lasts.
_LONGEST_AGE: Millis = 1 * HOUR


class StreamExchange:
    """Send the starts of streams to other entries and pass on theirs."""

    def __init__(
        self,
        own: Neighbour,
        sharing: StreamSharing,
        *,
        client: NewsClient,
        clock: Clock,
        poison: PoisonExchange,
    ) -> None:
        self._own = own
        self._poison = poison
        self._sharing = sharing
        self._client = client
        self._clock = clock
        self._pool: LinkPool | None = None
        self._inbound: set[Link] = set()
        # What each link has still to get, the newest last.
        self._backlogs: dict[Link, list[StreamStart]] = {}
        self._asked_at: Millis = -math.inf
        self._began_at: Millis = math.inf
        self._teachers: dict[str, str] = {}
        # Another entry has told what it knows.
        self.has_learned = False
        self._unlinked_since: dict[str, Millis] = {}
        self._wanted = anyio.Event()

    async def run(
        self,
        server: NewsServer,
        make_hello: Callable[[], Hello],
        random: Random,
    ) -> None:
        """Exchange starts with other entries until cancelled."""
        pool = LinkPool(
            make_hello,
            on_up=_ignore_link,
            on_message=self._receive_across,
            on_down=_ignore_link,
            settings=PoolSettings(
                link=LinkSettings(dial_timeout=_DIAL_LIMIT),
                last_backoff=1 * SECOND,
            ),
            clock=self._clock,
            random=random,
        )
        self._pool = pool
        self._began_at = self._clock.now()
        self._client.on_streams = self.receive
        server.on_streams = self.receive_inbound
        self._client.on_poison = self.receive_poison
        server.on_poison = self.receive_poison
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pool.run)
            while True:
                now = self._clock.now()
                self.step(now)
                with anyio.move_on_after(self._find_pause(now) / SECOND):
                    await self._wanted.wait()
                    await anyio.sleep(_BATCH_PERIOD / SECOND)

    @property
    def has_links(self) -> bool:
        """Return whether another entry has answered over a link lately.

        A link looks open for seconds after its other end has gone, and in an
        entry that stood still.
        """
        now = self._clock.now()
        return any(
            not link.closed and now - link.peer_clock.touched_at < _TOUCH_LIMIT
            for link in self._backlogs
        )

    def wake(self) -> None:
        """Send what is pending soon."""
        self._wanted.set()

    def receive_inbound(self, link: Link, news: StreamNews) -> None:
        """Apply news over a link that another entry opened."""
        if link not in self._inbound:
            self._inbound.add(link)
            self.wake()
        self.receive(link, news)

    def receive(self, link: Link, news: StreamNews) -> None:
        """Apply news of another entry, and answer what it asks."""
        now, sharing = self._clock.now(), self._sharing
        self.has_learned = self.has_learned or bool(news.digests or news.claims)
        # A start that is kept for too long does no harm, unlike one forgotten.
        sharing.receive(decode_starts(news, now), link, now)
        delay = find_delay(link, news.sent_at, now)
        if sharing.apply_claims(_decode_claims(news, now, delay)):
            # Others that ask may learn the same.
            self._send_claims(now)
        if news.is_asking:
            link.write(StreamNews(claims=self._encode_claims(now), sent_at=now))
        if sharing.has_pending:
            self.wake()

    def receive_poison(self, link: Link, report: PoisonReport) -> None:
        """Apply evidence of another entry."""
        self._poison.receive(link, report)
        if self._poison.has_pending:
            self.wake()

    def step(self, now: Millis) -> None:
        """Send what is due."""
        self._wanted = anyio.Event()
        is_sharing = self._sharing.update(now)
        self._choose_teachers(now, is_sharing=is_sharing)
        self._connect(now)
        links = self._list_links()
        for link in links:
            link.ask_time(now)
        self._poison.step(links, now)
        self._backlogs = {
            link: backlog
            for link, backlog in self._backlogs.items()
            if link in links
        }
        pending = self._sharing.take_pending()
        for link in links:
            if link in self._backlogs:
                self._backlogs[link] += (
                    each.start for each in pending if each.source is not link
                )
            else:
                self._join(link, now, is_sharing=is_sharing)
        self._send_backlogs(now)
        self._ask(links, now)

    def _find_pause(self, now: Millis) -> Millis:
        """Return the longest time to the next step.

        Others have to learn of streams before the list of servers gets too old
        to tell which version began them.
        """
        history = self._sharing.history
        is_idle = (
            self.has_learned
            and not self._sharing.is_active(now)
            and not history.is_asking(now)
        )
        if not is_idle:
            return _IDLE_PERIOD
        pause = min(history.find_certain_time(now), _LONGEST_IDLE_PERIOD)
        return max(pause, _IDLE_PERIOD)

    def _join(self, link: Link, now: Millis, *, is_sharing: bool) -> None:
        """Subscribe to the news of a new link, which gets all that is known."""
        news = StreamNews(
            claims=self._encode_claims(now),
            is_asking=self._sharing.history.is_asking(now),
            sent_at=now,
        )
        if not link.write(news):
            return
        self._backlogs[link] = []
        if is_sharing or self._sharing.is_active(now):
            self._backlogs[link] += self._sharing.origins.list_live(now)

    def _send_backlogs(self, now: Millis) -> None:
        """Send each link what it has to get, the newest first."""
        # Most links get the same, which is encoded once.
        encoded: dict[tuple[bytes, ...], tuple[StreamNews, bytes]] = {}
        for link, backlog in self._backlogs.items():
            while backlog:
                part = backlog[-MAX_STARTS_PER_MESSAGE:]
                key = tuple(start.digest for start in part)
                if key not in encoded:
                    news = next(encode_starts(part, now))
                    encoded[key] = news, encode(news)
                if not link.write_encoded(*encoded[key]):
                    break
                del backlog[-len(part) :]

    def _send_claims(self, now: Millis) -> None:
        news = StreamNews(claims=self._encode_claims(now), sent_at=now)
        for link in self._backlogs:
            link.write(news)

    def _ask(self, links: Iterable[Link], now: Millis) -> None:
        """Ask for claims while those may make this entry certain."""
        if now - self._asked_at < _ASK_PERIOD:
            return
        self._asked_at = now
        if self._sharing.history.is_asking(now):
            for link in links:
                link.write(StreamNews(is_asking=True, sent_at=now))

    def _list_links(self) -> list[Link]:
        up = self._client.find_record_link()
        self._inbound = {each for each in self._inbound if not each.closed}
        opened = [] if self._pool is None else [*self._pool.links()]
        return [*([] if up is None else [up]), *self._inbound, *opened]

    async def _receive_across(self, link: Link, message: Message) -> None:
        if isinstance(message, StreamNews):
            self.receive(link, message)
        elif isinstance(message, PoisonReport):
            self.receive_poison(link, message)

    def _connect(self, now: Millis) -> None:
        """Connect to the readers of other data centres, if this is one."""
        if self._pool is None:
            return
        wanted = {each.name: each.address for each in self._list_remote(now)}
        wanted |= self._teachers
        self._pool.set_addresses(wanted)
        self._unlinked_since = {
            name: self._unlinked_since.get(name, now)
            for name in wanted
            if self._pool.find(name) is None
        }
        for name, since in tuple(self._unlinked_since.items()):
            if now - since > _UNREACHABLE_LIMIT:
                self._client.neighbours.record_failure(name, now)
                del self._unlinked_since[name]

    def _choose_teachers(self, now: Millis, *, is_sharing: bool) -> None:
        """Choose other entries to learn from for a while after the start.

        The reader may have started together with this entry.
        """
        is_over = now - self._began_at > _LEARNING_TIME
        self.has_learned = self.has_learned or is_over
        if is_over or not is_sharing:
            self._teachers = {}
            return
        others = self._client.neighbours.list_others(now)
        others.sort(key=lambda each: find_rank(self._own.address, each.name))
        self._teachers = {
            each.name: each.address for each in others[:_TEACHERS]
        }

    def _list_remote(self, now: Millis) -> Iterator[Neighbour]:
        neighbours = self._client.neighbours
        is_needed = self._sharing.is_active(now) or self._poison.is_active(now)
        if not is_needed:
            return
        if neighbours.find_reader(RECORD_SOURCE, now) is not None:
            return
        linked = {link.peer.data_centre for link in self._inbound}
        for each in neighbours.list_remote_readers(RECORD_SOURCE, now):
            # One link between two readers is enough, whoever opened it.
            is_first = self._own.data_centre < each.data_centre
            if is_first or each.data_centre not in linked:
                yield each

    def _encode_claims(self, now: Millis) -> tuple[SoftwareNews, ...]:
        return tuple(
            SoftwareNews(
                claim.service,
                claim.software,
                # Messages hold finite numbers only.
                min(now - claim.since, _LONGEST_AGE),
                now - claim.read_at,
            )
            for claim in self._sharing.history.list_claims()
        )


async def _ignore_link(_: Link) -> None:
    """Do nothing, as `step` finds which links are open."""


def encode_starts(
    starts: Sequence[StreamStart], now: Millis
) -> Iterator[StreamNews]:
    """Yield messages of starts, some thousands in each."""
    for first in range(0, len(starts), MAX_STARTS_PER_MESSAGE):
        yield _encode_part(starts[first : first + MAX_STARTS_PER_MESSAGE], now)


def _encode_part(starts: Sequence[StreamStart], now: Millis) -> StreamNews:
    numbers: dict[StreamOrigin, int] = {}
    origins = tuple(
        numbers.setdefault(start.origin, len(numbers)) for start in starts
    )
    return StreamNews(
        services=tuple(each.service for each in numbers),
        softwares=tuple(each.software for each in numbers),
        digests=b''.join(start.digest for start in starts),
        origins=origins,
        remaining=tuple(
            math.ceil(max(start.until - now, 0.0) / _REMAINING_UNIT)
            for start in starts
        ),
    )


def decode_starts(news: StreamNews, now: Millis) -> Iterator[StreamStart]:
    """Yield the starts of a message; none if its columns don't match."""
    count = len(news.origins)
    known = [
        StreamOrigin(*each)
        for each in zip(news.services, news.softwares, strict=False)
    ]
    if (
        len(news.remaining) != count
        or len(news.digests) != count * DIGEST_BYTES
    ):
        return
    if count and not 0 <= min(news.origins) <= max(news.origins) < len(known):
        return
    for index, (origin, remaining) in enumerate(
        zip(news.origins, news.remaining, strict=True)
    ):
        at = index * DIGEST_BYTES
        yield StreamStart(
            news.digests[at : at + DIGEST_BYTES],
            known[origin],
            now + remaining * _REMAINING_UNIT,
        )


def _decode_claims(
    news: StreamNews, now: Millis, delay: Millis | None
) -> Iterator[SoftwareClaim]:
    """Yield the claims of a message; none if its delay is unknown.

    A claim begins as late as it can have begun, and ends as early.
    """
    if delay is None:
        return
    for each in news.claims:
        yield SoftwareClaim(
            each.service,
            each.software,
            now - max(each.age, 0.0),
            now - delay - max(each.read_age, 0.0),
        )
