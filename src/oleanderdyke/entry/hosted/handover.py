"""Hand the origins of streams from entries that leave to those that start.

Links do not bridge a rolling stop in which no old entry is left once the new
ones have opened theirs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import OleanderError
from oleanderdyke.events import EventName
from oleanderdyke.links.codec import decode, encode
from oleanderdyke.links.messages.news import StreamNews
from oleanderdyke.links.stream_exchange import decode_starts, encode_starts
from oleanderdyke.platform.handovers import HandoverFeed
from oleanderdyke.platform.store import StoreClient, StoreUnavailable

if TYPE_CHECKING:
    from oleanderdyke.entry.hosted.core import HostedCore

# The process has half a second left to exit.
_LEAVE_LIMIT: Millis = 300.0
# Other entries may leave a little later than this one starts.
_READ_PERIODS: tuple[Millis, ...] = (0.0, 500.0, 1_000.0, 1_500.0, 3_000.0)


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
        message = next(encode_starts(starts, now), None)
        if message is None:
            return
        try:
            with anyio.move_on_after(_LEAVE_LIMIT / SECOND):
                await self._feed.leave(encode(message))
        except StoreUnavailable as error:
            self._log(error)

    async def read(self) -> None:
        """Learn what entries told that left lately."""
        core = self._core
        for period in _READ_PERIODS:
            await anyio.sleep(period / SECOND)
            if core.software.is_certain(core.clock.now()):
                return
            try:
                messages = await self._feed.read()
            except StoreUnavailable as error:
                self._log(error)
                continue
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
        if isinstance(news, StreamNews):
            starts = decode_starts(news, now)
            core.peers.find_streams().receive(starts, self, now)

    def _log(self, error: OleanderError) -> None:
        self._core.log.write(
            EventName.RECORD_REFUSED, name='streams', detail=error.message
        )
