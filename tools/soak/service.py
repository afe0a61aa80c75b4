"""The servers of a soak as they come, change their version, and leave."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import anyio

from tests.hosted import SERVERS, make_record
from tools.soak.hosts import Host
from tools.soak.servers import Servers
from tools.soak.store import SoakStore
from tools.soak.streams import ServiceHistory

_POLL_SECONDS = 0.05
# A server is listed for a moment before it takes connections again, so that
# every entry that the store reaches knows its version.
_LISTED_SECONDS = 0.5
# Entries ask a store that was down again within this time.
_STORE_SECONDS = 3.0


@dataclass
class Service:
    """Start and end servers, and keep their records in the store.

    `slots` is what their records say.
    """

    servers: Servers
    store: SoakStore
    history: ServiceHistory
    now: Callable[[], float]
    slots: int = 6
    # The models that records list, if any.
    models: Sequence[Mapping[str, Any]] = ()
    hosts: list[Host] = field(default_factory=list)
    _numbers: Iterator[int] = field(default_factory=itertools.count)
    _versions: Iterator[int] = field(default_factory=lambda: itertools.count(1))

    async def start(self, count: int, version: str) -> None:
        """Start servers of one version."""
        for _ in range(count):
            host = Host(self._make_name(), version, self.servers.serve)
            await host.start()
            self.hosts.append(host)
            self._publish(host)
            self.history.record_serving(host.server, version, self.now())

    async def replace_oldest(self, drain: float) -> None:
        """Start a new version, then let the servers of the oldest one leave."""
        oldest = self._find_oldest()
        leaving = [
            host
            for host in self.hosts
            if host.version == oldest and host.is_serving
        ]
        await self._wait_store()
        await self.start(len(leaving), self.make_version())
        for host in leaving:
            await self._announce_leaving(host)
        await anyio.sleep(drain)
        for host in leaving:
            self._remove(host)

    async def retire_old(self, drain: float) -> None:
        """Let all servers but those of the newest version leave."""
        newest = self.hosts[-1].version
        leaving = [host for host in self.hosts if host.version != newest]
        for host in leaving:
            await self._announce_leaving(host)
        await anyio.sleep(drain)
        for host in leaving:
            self._remove(host)

    async def restart(
        self, slot: int, down: float, *, is_new_start: bool
    ) -> None:
        """Restart a server at its address with another version.

        It comes back under its old id unless `is_new_start`.
        """
        host = self.hosts[slot % len(self.hosts)]
        if not host.is_serving:
            return
        host.stop(self.now())
        self.history.record_leaving(host.server, host.version, self.now())
        await anyio.sleep(down)
        await self._wait_store()
        if host.is_leaving:
            return
        if is_new_start:
            self.store.drop(SERVERS, host.server)
            host.server = self._make_name()
        host.version = self._find_other(host.version)
        self._publish(host)
        await anyio.sleep(_LISTED_SECONDS)
        if host not in self.hosts:
            return
        await host.start()
        self.history.record_serving(host.server, host.version, self.now())

    def silence(self, slot: int, seconds: float) -> None:
        """Let a server send nothing for a while."""
        host = self.hosts[slot % len(self.hosts)]
        host.silent_until = self.now() + seconds

    def publish_all(self) -> None:
        """Write the records of all servers again, and drop those of others."""
        listed = {host.server for host in self.hosts}
        for server in {*self.store.find(SERVERS).newest} - listed:
            self.store.drop(SERVERS, server)
        for host in self.hosts:
            self._publish(host)

    def stop_all(self) -> None:
        """Stop every server."""
        for host in self.hosts:
            host.stop(self.now())

    def make_version(self) -> str:
        """Return a version that no server has had."""
        return f'v1.{next(self._versions)}'

    async def _announce_leaving(self, host: Host) -> None:
        await self._wait_store()
        host.is_leaving = True
        self._publish(host)
        self.history.record_leaving(host.server, host.version, self.now())

    def _remove(self, host: Host) -> None:
        if host not in self.hosts:
            # Another replacement that overlaps has removed it.
            return
        host.stop(self.now())
        self.hosts.remove(host)
        self.store.drop(SERVERS, host.server)

    def _publish(self, host: Host) -> None:
        host.seq += 1
        record = make_record(
            host.address,
            version=host.version,
            slots=self.slots,
            state='draining' if host.is_leaving else 'ready',
            seq=host.seq,
            **({'models': [*self.models]} if self.models else {}),
        )
        self.store.put(SERVERS, host.server, record)

    async def _wait_store(self) -> None:
        """Wait until the store has taken records for some time."""
        while not self.store.is_settled(_STORE_SECONDS):
            await anyio.sleep(_POLL_SECONDS)

    def _make_name(self) -> str:
        return f'i-{next(self._numbers)}'

    def _find_oldest(self) -> str:
        staying = [host for host in self.hosts if not host.is_leaving]
        return staying[0].version

    def _find_other(self, version: str) -> str:
        """Return the version of another server, a new one if all are alike."""
        found = [host.version for host in self.hosts if not host.is_leaving]
        others = [each for each in found if each != version]
        return others[0] if others else self.make_version()
