"""Hand the origins of streams from entries that leave to those that start.

Links do not bridge a rolling stop in which no old entry is left once the new
ones have opened theirs.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from oleanderdyke.clients.keep_alive import closing
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import OleanderError
from oleanderdyke.events import EventName
from oleanderdyke.links.codec import decode, encode
from oleanderdyke.links.messages.news import StreamNews
from oleanderdyke.links.stream_exchange import (
    MAX_STARTS_PER_MESSAGE,
    decode_starts,
    encode_starts,
)
from oleanderdyke.platform.handovers import HandoverFeed
from oleanderdyke.platform.store import StoreClient, StoreUnavailable

if TYPE_CHECKING:
    from oleanderdyke.entry.hosted.core import HostedCore

# Callers of older messages have mostly left; clocks differ by seconds.
_MAX_AGE: Millis = 30 * SECOND
# The process has half a second left to exit.
_LEAVE_LIMIT: Millis = 300.0
# Other entries may leave a little later than this one starts. Links tell of all
# streams after some seconds.
_READ_PERIOD: Millis = 500.0
_MOST_READS = 20


class StreamHandover:
    """Leave and read the origins of streams through the store."""

    def __init__(self, core: HostedCore) -> None:
        self._core = core
        self._client = StoreClient(core.settings.store)
        self._feed = HandoverFeed(self._client)

    async def leave(self) -> None:
        """Tell what is known while several versions may have begun streams."""
        core = self._core
        now = core.clock.now()
        streams = core.peers.find_streams()
        if not streams.update(now):
            return
        starts = [*streams.origins.list_live(now)]
        if not starts:
            return
        # The newest ones, as the callers of others have less time left.
        message = replace(
            next(encode_starts(starts[-MAX_STARTS_PER_MESSAGE:], now)),
            written_at=core.clock.wall(),
        )
        try:
            async with closing(self._client):
                with anyio.move_on_after(_LEAVE_LIMIT / SECOND):
                    await self._feed.leave(encode(message))
        except StoreUnavailable as error:
            self._log(error)

    async def read(self) -> None:
        """Learn what entries told that left lately, while streams need it."""
        async with closing(self._client):
            for _ in range(_MOST_READS):
                await self._core.origins_requested.wait()
                self._core.origins_requested = anyio.Event()
                await self._read_once()
                await anyio.sleep(_READ_PERIOD / SECOND)

    async def _read_once(self) -> None:
        try:
            messages = await self._feed.read()
        except StoreUnavailable as error:
            self._log(error)
            messages = ()
        for message in messages:
            self._apply(message)

    def _apply(self, message: bytes) -> None:
        core = self._core
        try:
            news = decode(message)
        except OleanderError as error:
            self._log(error)
            return
        now = core.clock.now()
        if isinstance(news, StreamNews) and self._is_recent(news):
            starts = decode_starts(news, now)
            core.peers.find_streams().receive(starts, self, now)

    def _is_recent(self, news: StreamNews) -> bool:
        """Return whether streams of a message may still be taken up."""
        age = self._core.clock.wall() - news.written_at
        return abs(age) < _MAX_AGE

    def _log(self, error: OleanderError) -> None:
        self._core.log.write(
            EventName.RECORD_REFUSED, name='streams', detail=error.message
        )
