"""Keep starts of entries and news of crashes in order, in the store."""

from __future__ import annotations

from oleanderdyke.clock import Millis
from oleanderdyke.platform import names
from oleanderdyke.platform.store import (
    RecordsExpired,
    StoreClient,
    StoreRestored,
    StoreUnavailable,
)

_SEPARATOR = ' '


class StartFeed:
    """Record starts of entries, and find which earlier ones are kept."""

    def __init__(self, client: StoreClient) -> None:
        self._client = client

    async def record(self, name: str, at: Millis) -> int:
        """Append a start at a wall time; return its place in the order.

        Raise StoreUnavailable.
        """
        record = f'{at:.0f}{_SEPARATOR}{name}'.encode()
        return (await self._client.append(names.START_TOPIC, record)).offset

    async def list_earlier(self, place: int) -> tuple[str, ...] | None:
        """Return the names of all starts before a place, None if some expired.

        Raise StoreUnavailable.
        """
        try:
            records = await self._client.read_plain(names.START_TOPIC, 0)
        except RecordsExpired:
            return None
        return tuple(map(_decode_name, records[:place]))

    async def has_expired(self, place: int) -> bool:
        """Return whether the store keeps a start no more.

        Raise StoreUnavailable.
        """
        try:
            await self._client.read_plain(names.START_TOPIC, place)
        except RecordsExpired:
            return True
        return False


class CrashFeed:
    """Append encoded news of crashes, and read those of all entries."""

    def __init__(self, client: StoreClient) -> None:
        self._client = client
        self._position = 0
        # The last read found a restored store, which may lack messages.
        self.was_restored = False

    async def append(self, message: bytes) -> None:
        """Append a message; raise StoreUnavailable."""
        await self._client.append(names.CRASH_TOPIC, message)

    async def read_all(self) -> tuple[bytes, ...]:
        """Return all messages not read yet, of several pages if need be.

        Raise StoreUnavailable; what was read by then is read again.
        """
        start = self._position
        messages: list[bytes] = []
        while True:
            before = self._position
            try:
                messages += await self.read()
            except StoreUnavailable:
                self._position = start
                raise
            if self._position == before:
                return tuple(messages)

    async def read(self) -> tuple[bytes, ...]:
        """Return messages that were not read yet; raise StoreUnavailable."""
        self.was_restored = False
        try:
            messages = await self._client.read_plain(
                names.CRASH_TOPIC, self._position
            )
        except RecordsExpired as error:
            self.was_restored = isinstance(error, StoreRestored)
            self._position = error.first or 0
            return ()
        self._position += len(messages)
        return messages


def _decode_name(record: bytes) -> str:
    _, _, name = record.decode('utf-8', 'replace').partition(_SEPARATOR)
    return name
