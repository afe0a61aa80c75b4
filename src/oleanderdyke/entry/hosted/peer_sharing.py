"""Share reads of stores among the entries of a data centre."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from functools import partial
from importlib import import_module
from random import Random
from typing import TYPE_CHECKING

import anyio

from oleanderdyke.clock import SECOND, Clock, Millis
from oleanderdyke.dependencies import make_news_dependency
from oleanderdyke.events import EventName
from oleanderdyke.kernel.neighbours import (
    CONTEXT_SOURCES,
    RECORD_SOURCE,
    Neighbour,
    Neighbours,
)
from oleanderdyke.kernel.poison import Parts, PoisonTable
from oleanderdyke.kernel.software_history import SoftwareHistory
from oleanderdyke.links.messages import PROTOCOL_VERSION, Hello, Role
from oleanderdyke.links.news_client import NewsClient
from oleanderdyke.links.news_server import NewsServer
from oleanderdyke.logs import EventLog
from oleanderdyke.metrics import Metrics
from oleanderdyke.platform.settings import HostSettings
from oleanderdyke.platform.sharing import TopicSharing

if TYPE_CHECKING:
    from oleanderdyke.kernel.stream_origins import StreamOrigin, StreamStart
    from oleanderdyke.kernel.stream_sharing import StreamSharing
    from oleanderdyke.links.poison_exchange import PoisonExchange
    from oleanderdyke.links.stream_exchange import StreamExchange

# Importing the link modules is slow on a fraction of a core. Delaying it lets
# the process serve sooner; until then it reads for itself.
_LINKS_IMPORT_DELAY: Millis = 1 * SECOND


class PeerSharing:
    """Both sides of sharing reads: serving peers and asking them."""

    def __init__(
        self,
        settings: HostSettings,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        history: SoftwareHistory,
    ) -> None:
        self.own = Neighbour(
            settings.process, settings.links, settings.data_centre
        )
        self.neighbours = Neighbours(settings.process, settings.data_centre)
        self.desk = NewsServer(self.neighbours, clock)
        self.reader = NewsClient(
            self.neighbours,
            clock,
            (RECORD_SOURCE, *CONTEXT_SOURCES),
            make_news_dependency(log, metrics, clock),
        )
        self._clock = clock
        self._descriptors = settings.descriptors
        self._history = history
        self._streams: StreamSharing | None = None
        self._exchange: StreamExchange | None = None
        self.poison = PoisonTable()
        # Called after news of others, with what it brings into quarantine.
        self.on_news: Callable[[tuple[Parts, ...]], None] = _ignore
        self._has_failed = False
        self._incarnation = secrets.token_hex(8)

    def make_sharing(
        self,
        *,
        wait: Millis,
        limit: Millis,
        is_urgent: Callable[[], bool] = bool,
    ) -> TopicSharing:
        """Build the sharing for one store client.

        Peers answer within `wait` with reads at most `limit` old.
        """
        return TopicSharing(
            self.reader,
            self.desk,
            self._clock,
            wait=wait,
            limit=limit,
            is_urgent=is_urgent,
        )

    async def run(self, log: EventLog, random: Random) -> None:
        """Accept links from peers and keep links to them until cancelled.

        Without an address, or if it can't be bound, this process shares nothing
        and reads for itself.
        """
        if not self.own.address:
            return
        await anyio.sleep(_LINKS_IMPORT_DELAY / SECOND)
        links = import_module('oleanderdyke.links.news_links')
        newcomers = import_module('oleanderdyke.links.newcomers')
        exchange = self._make_exchange()
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    exchange.run, self.desk, self.make_hello, random
                )
                tasks.start_soon(
                    partial(
                        links.serve_neighbours,
                        self.desk,
                        self.own.address,
                        self.make_hello,
                        clock=self._clock,
                        newcomers=newcomers.find_newcomer_limit(
                            self._descriptors
                        ),
                    )
                )
                await links.maintain_links(
                    self.reader,
                    self.make_hello,
                    clock=self._clock,
                    random=random,
                )
        except* OSError as group:
            self._exchange = None
            self._has_failed = True
            detail = f'address {self.own.address}: {group.exceptions[0]}'
            log.write(EventName.RECORD_REFUSED, name='links', detail=detail)

    @property
    def is_learning(self) -> bool:
        """Return whether no other entry has told of streams yet."""
        if not self.own.address or self._has_failed:
            return False
        return self._exchange is None or not self._exchange.has_learned

    @property
    def has_links(self) -> bool:
        """Return whether other entries learn of streams that begin here."""
        return self._exchange is not None and self._exchange.has_links

    def find_streams(self) -> StreamSharing:
        """Return the streams that may be taken up, from the first one on."""
        if self._streams is None:
            # Most entries need it seconds after their start at the earliest.
            module = import_module('oleanderdyke.kernel.stream_sharing')
            self._streams = module.make_stream_sharing(self._history)
        return self._streams

    def find_origin(self, team: str, resumes: str) -> StreamOrigin | None:
        """Return where a stream began, None if this entry doesn't know."""
        if not resumes:
            return None
        return self.find_streams().find_origin(team, resumes, self._clock.now())

    def begin_stream(self, start: StreamStart) -> None:
        """Record a stream that begins here, and tell the others if needed."""
        streams = self.find_streams()
        streams.begin(start, self._clock.now())
        if self._exchange is None:
            # A link gets all that is known when it opens.
            streams.take_pending()
        elif streams.has_pending:
            self._exchange.wake()

    def _make_exchange(self) -> StreamExchange:
        module = import_module('oleanderdyke.links.stream_exchange')
        exchange: StreamExchange = module.StreamExchange(
            self.own,
            self.find_streams(),
            client=self.reader,
            clock=self._clock,
            poison=self._make_poison_exchange(),
        )
        self._exchange = exchange
        return exchange

    def share_poison(self) -> None:
        """Tell other entries of new evidence soon."""
        if self._exchange is not None and self.poison.has_pending:
            self._exchange.wake()

    def _make_poison_exchange(self) -> PoisonExchange:
        module = import_module('oleanderdyke.links.poison_exchange')
        exchange: PoisonExchange = module.PoisonExchange(
            self.poison,
            self._clock,
            on_news=self.on_news,
        )
        return exchange

    def make_hello(self) -> Hello:
        """Build the first message of each link of this process."""
        return Hello(
            PROTOCOL_VERSION,
            Role.ENTRY,
            self.own.name,
            self._incarnation,
            self.own.data_centre,
            offset=0,
        )


def _ignore(_: tuple[Parts, ...]) -> None:
    """Do nothing until the crash watch is set up."""
