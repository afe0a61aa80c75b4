"""Follow what operators and backend servers write to the store."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable

import anyio

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.events import EventName
from oleanderdyke.kernel.deployment import Deployment
from oleanderdyke.kernel.servers import ServerRecord
from oleanderdyke.platform import names
from oleanderdyke.platform.documents import (
    MalformedRecord,
    NamedVersion,
    decode_configuration,
    decode_server,
    decode_version,
)
from oleanderdyke.platform.feed import KeyedFeed
from oleanderdyke.platform.loads import LoadFeed
from oleanderdyke.platform.store import (
    KeyedPage,
    KeyedRecord,
    StoreClient,
    StoreUnavailable,
)

# A long read returns at once when there is a change. A read on a connection
# that has gone silent costs this and the store's patience, which together
# stay under the two seconds in which a configuration has to be in force.
_CONFIGURATION_WAIT: Millis = 1 * SECOND
# Servers write every 1.2 s each, so that a long read would return at once
# and be asked again all the time. A server that leaves must get no work two
# seconds later; this leaves time for a failed read.
_SERVERS_PERIOD: Millis = 600.0
# Notices of loads come only when weights are named. Each of these waits is set
# so that an entry at rest makes under three calls a second in all.
_LOADS_WAIT: Millis = 10 * SECOND
# The store refuses what is over its rate and may be out for seconds; each
# call is paid for, also a refused one. The longest pause leaves most of the two
# seconds in which a configuration has to be in force once the store is back.
_RETRY_PAUSE: Millis = 150.0
_LONGEST_PAUSE: Millis = 600.0


class StoreWatch:
    """Keep the configuration and the list of servers of an entry."""

    def __init__(self, core: HostedCore) -> None:
        self._core = core
        store = core.settings.store
        self._long = StoreClient(store, wait=_CONFIGURATION_WAIT)
        self._short = StoreClient(store)
        self._loads = LoadFeed(
            StoreClient(store, wait=_LOADS_WAIT), self._refuse_notice
        )
        self._operator = KeyedFeed(
            self._long,
            names.OPERATOR_TOPIC,
            take_all=self._take_operator,
            take_some=self._take_operator,
        )
        self._servers = KeyedFeed(
            self._short,
            names.SERVER_TOPIC,
            take_all=self._take_list,
            take_some=self._take_servers,
        )

    async def follow_operator(self) -> None:
        """Read configurations and versions until cancelled."""
        await self._follow('operator', self._read_operator, 0.0)

    async def follow_servers(self) -> None:
        """Read the list of servers until cancelled."""
        await self._follow('servers', self._servers.read, _SERVERS_PERIOD)

    async def follow_loads(self) -> None:
        """Read which engines take new weights until cancelled."""
        await self._follow('loads', self._read_loads, 0.0)

    def _refuse_notice(self, error: MalformedRecord) -> None:
        self._log(EventName.RECORD_REFUSED, 'loads', error.message)

    async def _read_loads(self) -> None:
        core = self._core
        notices = await self._loads.read()
        for notice in notices:
            core.loads.apply(notice, core.clock.now())

    async def _read_operator(self) -> None:
        asked_at = self._core.clock.now()
        await self._operator.read()
        self._core.configuration_asked = asked_at

    async def _follow(
        self, name: str, read: Callable[[], Awaitable[None]], period: Millis
    ) -> None:
        is_down, pause = False, _RETRY_PAUSE
        while True:
            try:
                await read()
            except StoreUnavailable as error:
                if not is_down:
                    self._log(EventName.LOG_DOWN, name, error.message)
                is_down = True
                await anyio.sleep(pause / SECOND)
                pause = min(2 * pause, _LONGEST_PAUSE)
                continue
            if is_down:
                self._log(EventName.LOG_UP, name, None)
            is_down, pause = False, _RETRY_PAUSE
            if period:
                await anyio.sleep(period / SECOND)

    def _take_operator(self, page: KeyedPage) -> None:
        self._core.configuration_read = self._core.clock.now()
        for record in page.records:
            self._take_safely(record, self._take_operator_record)

    def _take_operator_record(self, record: KeyedRecord) -> None:
        if record.value is None:
            return
        if record.key == names.CONFIGURATION_KEY:
            self._apply(decode_configuration(record.value))
        elif record.key.startswith(names.VERSION_KEY_PREFIX):
            named = decode_version(record.value)
            self._name(named)

    def _name(self, named: NamedVersion) -> None:
        core = self._core
        if core.versions.get(named.model, 0) >= named.version:
            return
        core.versions[named.model] = named.version
        core.versions_heard[named.model] = core.clock.now()
        core.log.write(
            EventName.VERSION_NAMED, model=named.model, version=named.version
        )

    def _apply(self, deployment: Deployment) -> None:
        """Put a configuration in force; an older one never."""
        known = self._core.deployment
        if known is not None and deployment.version <= known.version:
            return
        self._core.deployment = deployment
        self._core.log.write(
            EventName.CONFIGURATION_APPLIED,
            version=deployment.version,
            count=len(deployment.routes),
        )

    def _take_list(self, page: KeyedPage) -> None:
        now = self._core.clock.now()
        self._core.book.replace(self._decode(page.records), now)
        self._note_read()

    def _take_servers(self, page: KeyedPage) -> None:
        now = self._core.clock.now()
        for record in page.records:
            if record.value is None:
                self._core.book.remove(record.key, now)
        for server in self._decode(page.records):
            self._core.book.put(server, now)
        self._note_read()

    def _decode(self, records: Iterable[KeyedRecord]) -> list[ServerRecord]:
        found: list[ServerRecord] = []
        for record in records:
            if record.value is not None:
                self._take_safely(
                    record,
                    lambda each: found.append(
                        decode_server(each.key, each.value or b'')
                    ),
                )
        return found

    def _take_safely(
        self, record: KeyedRecord, take: Callable[[KeyedRecord], None]
    ) -> None:
        """Keep the last good state where a record can't be read."""
        try:
            take(record)
        except MalformedRecord as error:
            self._log(EventName.RECORD_REFUSED, record.key, error.message)

    def _note_read(self) -> None:
        now = self._core.clock.now()
        self._core.servers_read = now
        self._core.book.note_read(now)

    def _log(self, event: EventName, name: str, detail: str | None) -> None:
        self._core.log.write(event, name=name, detail=detail)
