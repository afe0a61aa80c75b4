"""The list of backend servers, with the current start of each."""

from __future__ import annotations

from collections import OrderedDict, defaultdict
from collections.abc import Collection, Iterable
from dataclasses import replace

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.removed_servers import RemovedServers
from oleanderdyke.kernel.scheduling.prefill_rate import PrefillRate
from oleanderdyke.kernel.servers import ServerRecord, ServerStart
from oleanderdyke.kernel.start_order import RisingRecords, StartOrder

# Servers report being cold for seconds; a larger value is an error.
_MAX_COLD: Millis = 60 * SECOND
# Bounds the memory for starts that have left. The list lags by seconds, and few
# servers leave in that time.
_MAX_LEFT_STARTS = 1_024


class ServerList:
    """Keep the current start of each backend server of all services.

    Reports about earlier starts are ignored: the current start has none of
    their state or requests.
    """

    def __init__(self) -> None:
        self._backends: dict[str, Backend] = {}
        # Servers that have used each address; some may have moved since.
        self._servers_by_address: defaultdict[str, set[str]] = defaultdict(set)
        self._prefill_rates: defaultdict[str, PrefillRate] = defaultdict(
            PrefillRate
        )
        self._removed = RemovedServers()
        self._starts = StartOrder()
        self._older_versions = RisingRecords()
        self._superseded: list[ServerRecord] = []
        # Starts whose answers announced that they leave. Kept after they are
        # gone, because a lagging list may still show them as ready.
        self._left_starts: OrderedDict[ServerStart, None] = OrderedDict()
        # Whether half of the servers or more report their start time. A record
        # without it then has another writer, unless its server was accepted
        # before or writes on.
        self._are_starts_told = False
        self._accepted: set[str] = set()

    def find(self, server: str) -> Backend | None:
        """Return a server that is listed or still has running requests."""
        return self._backends.get(server)

    def find_start(self, start: ServerStart) -> Backend | None:
        """Return the server if `start` is its current start."""
        backend = self._backends.get(start.server)
        if backend is None or backend.record.start != start:
            return None
        return backend

    def is_leaving_or_gone(self, start: ServerStart) -> bool:
        """Return whether a start is leaving or no longer known."""
        backend = self.find_start(start)
        if backend is None or backend.record.is_leaving:
            return True
        return not self._is_valid(backend)

    def is_superseded(self, start: ServerStart) -> bool:
        """Return whether the server has restarted since `start`."""
        backend = self._backends.get(start.server)
        return backend is not None and backend.record.start != start

    def take_superseded(self) -> tuple[ServerRecord, ...]:
        """Return and clear the last records of starts that were superseded."""
        ended, self._superseded = tuple(self._superseded), []
        return ended

    def list_known(self) -> list[Backend]:
        """Return the servers that are listed or still have running requests."""
        known = self._backends.values()
        return [backend for backend in known if self._is_valid(backend)]

    def list_softwares(self, now: Millis) -> dict[str, dict[str, int]]:
        """Map services to the versions of their listed servers' software.

        Each version has the most records that one server has written since its
        start. Servers that leave count, as their requests go on.
        """
        found: defaultdict[str, dict[str, int]] = defaultdict(dict)
        for backend in self._backends.values():
            if self._is_valid(backend) and not self.is_missing(backend, now):
                record = backend.record
                softwares = found[record.service]
                known = softwares.get(record.software, 0)
                softwares[record.software] = max(known, record.revision)
        return found

    def list_service(self, service: str, now: Millis) -> list[Backend]:
        """Return the servers of a service that may get new requests."""
        return [
            backend
            for backend in self._backends.values()
            if backend.record.service == service
            and not backend.record.is_leaving
            and not backend.is_unread
            and not backend.is_displaced
            and not self.is_missing(backend, now)
            and self._is_valid(backend)
        ]

    def are_all_leaving(self, service: str, now: Millis) -> bool:
        """Return whether a service has listed servers, and all of them leave.

        One that can't be used for another reason may serve again.
        """
        listed = [
            backend.record
            for backend in self._backends.values()
            if backend.record.service == service
            and not self.is_missing(backend, now)
            and self._is_valid(backend)
        ]
        return bool(listed) and all(record.is_leaving for record in listed)

    def record_list_read(
        self, now: Millis, read_at: Millis | None = None
    ) -> None:
        """Record a read of the list, before its entries are applied.

        `read_at` is the time of the read if another process made it earlier.
        """
        self._removed.record_list_read(now, now if read_at is None else read_at)

    def record_restore(self, now: Millis) -> None:
        """Record that the list was restored and may lack live servers."""
        self._removed.record_restore(now)

    def complete_read(self, now: Millis, read_at: Millis | None = None) -> None:
        """Record that the platform's list has been read to its end."""
        self.record_list_read(now, read_at)
        for record in self._removed.take_confirmed(now):
            self.put(record, now)
        self._drop_missing(now)

    def replace(
        self,
        records: Iterable[ServerRecord],
        now: Millis,
        *,
        unread: Collection[str] = (),
    ) -> None:
        """Replace the whole list; servers that are not on it become missing.

        `unread` names listed servers whose entries cannot be parsed.
        """
        listed = {record.server: record for record in records}
        for record in listed.values():
            self.put(record, now)
        self.mark_unreadable(unread)
        present = listed.keys() | unread
        for server, backend in self._backends.items():
            if server not in present and backend.missing_since is None:
                backend.missing_since = now

    def put(self, record: ServerRecord, now: Millis) -> None:
        """Apply a newer record; a start that is leaving stays so."""
        known = self._backends.get(record.server)
        listed = None if known is None else known.record
        if self._starts.is_stale(record, listed):
            return
        record = self._preserve_leaving(record)
        self._record_start(record)
        if self._removed.should_hold(record, now):
            return
        if known is None or known.record.start != record.start:
            self._add_start(record, known, now)
            return
        if record.revision > known.record.revision:
            self._accepted.add(record.server)
        known.missing_since = None
        known.is_unread = False
        known.is_displaced = False
        merged = self._merge(known.record, record)
        if merged.versions != known.record.versions:
            known.reload_until = 0.0
            known.clear_cache()
        known.record = merged
        _update_cold(known, now)
        self._servers_by_address[record.address].add(record.server)

    def _merge(self, known: ServerRecord, update: ServerRecord) -> ServerRecord:
        """Merge the versions of an update with those known of its server.

        Older weights are believed of a server that goes on telling them: what
        told newer ones was no record or answer of its own.
        """
        merged = _merge_versions(known, update)
        told = {**merged.versions, **update.versions}
        if merged.versions == told:
            self._older_versions.forget(update.server)
        elif self._older_versions.is_written_on(update):
            merged = replace(merged, versions=told)
        return merged

    def mark_unreadable(self, servers: Iterable[str]) -> None:
        """Mark servers whose latest entries cannot be parsed.

        They get no new requests until a later entry can be parsed. They are not
        treated as gone: their requests go on, and the weights that they hold
        still count, so that context is not freed because of this alone.
        """
        for server in servers:
            backend = self._backends.get(server)
            if backend is None:
                continue
            backend.is_unread = True
            if not self._removed.is_removed(server):
                backend.missing_since = None

    def remove(self, server: str, now: Millis) -> None:
        """Record that a server's entry was removed.

        Records written earlier may still arrive, so the server counts as back
        only after a second, later record or if its entry persists. Entries that
        lapsed with the platform's store come back with the first record.
        """
        self._removed.remove(server, now)
        backend = self._backends.get(server)
        if backend is not None and backend.missing_since is None:
            backend.missing_since = now

    def _preserve_leaving(self, record: ServerRecord) -> ServerRecord:
        """Return the record, marked as leaving if its start was already so."""
        known = self.find_start(record.start)
        is_leaving = known is not None and known.record.is_leaving
        if record.is_leaving or not (
            is_leaving or record.start in self._left_starts
        ):
            return record
        return replace(record, is_leaving=True)

    def _record_start(self, record: ServerRecord) -> None:
        """Record the latest start; its own records cannot be left over."""
        if self._starts.record_start(record):
            self._removed.forget(record.server)

    def _add_start(
        self, record: ServerRecord, known: Backend | None, now: Millis
    ) -> None:
        """Add a start without any state of the previous one."""
        if known is not None:
            self._superseded.append(known.record)
        self._mark_displaced(record)
        self._servers_by_address[record.address].add(record.server)
        prefill_rate = self._prefill_rates[record.service]
        backend = Backend(record, now, prefill_rate)
        _update_cold(backend, now)
        self._backends[record.server] = backend

    def _mark_displaced(self, record: ServerRecord) -> None:
        """Mark other servers at the address of a new record as displaced.

        After a power failure the previous servers stay listed for seconds, and
        every request to one of them would fail.
        """
        for server in self._servers_by_address[record.address] - {
            record.server
        }:
            backend = self._backends[server]
            if backend.record.address == record.address:
                backend.is_displaced = True

    def _is_valid(self, backend: Backend) -> bool:
        """Return whether a record was written by a backend server."""
        if backend.record.born is not None or not self._are_starts_told:
            return True
        return backend.record.server in self._accepted

    def find_oldest_version(self, model: str) -> int | None:
        """Return the oldest weights that a known engine may still hold."""
        held = [
            backend.record.versions[model]
            for backend in self._backends.values()
            if model in backend.record.versions and self._is_valid(backend)
        ]
        return min(held, default=None)

    def mark_replaced(self, start: ServerStart) -> None:
        """Record that another server answers at the address of a start."""
        backend = self.find_start(start)
        if backend is not None:
            backend.record = replace(backend.record, is_leaving=True)

    def mark_leaving(self, start: ServerStart) -> bool:
        """Mark a start as leaving; return whether it was not before.

        A start that leaves gets no more work, whatever later entries of the
        list say.
        """
        backend = self.find_start(start)
        if backend is None or backend.record.is_leaving:
            return False
        backend.record = replace(backend.record, is_leaving=True)
        self._left_starts[start] = None
        if len(self._left_starts) > _MAX_LEFT_STARTS:
            self._left_starts.popitem(last=False)
        return True

    def is_missing(self, backend: Backend, now: Millis) -> bool:
        """Return whether a server's entry is gone, not merely lapsed."""
        if backend.missing_since is None:
            return False
        return not self._removed.is_lapsing(now)

    def _drop_missing(self, now: Millis) -> None:
        gone = [
            server
            for server, backend in self._backends.items()
            if self.is_missing(backend, now) and not backend.running
        ]
        for server in gone:
            del self._backends[server]
        if gone:
            self._index_addresses()
        self._accept_servers()

    def _accept_servers(self) -> None:
        """Decide by all servers whether records have to tell a start time.

        One record decides nothing for the others.
        """
        untold = {
            server
            for server, backend in self._backends.items()
            if backend.record.born is None
        }
        told = len(self._backends) - len(untold)
        self._are_starts_told = told > 0 and told >= len(untold)
        self._accepted &= untold
        if not self._are_starts_told:
            self._accepted |= untold

    def _index_addresses(self) -> None:
        self._servers_by_address.clear()
        for server, backend in self._backends.items():
            self._servers_by_address[backend.record.address].add(server)


def _update_cold(backend: Backend, now: Millis) -> None:
    """Extend the time that a server is cold.

    The remaining time is an upper bound, since the record was written earlier.
    """
    if backend.record.cold_remaining > 0:
        until = now + min(backend.record.cold_remaining, _MAX_COLD)
        backend.cold_until = max(backend.cold_until, until)


def _merge_versions(known: ServerRecord, update: ServerRecord) -> ServerRecord:
    """Keep a newer version that an answer reported before the list did.

    Models missing from the update are kept too: no order removes a model from
    an engine, and an engine without known weights would get requests for any.
    """
    versions = dict(known.versions)
    for model, version in update.versions.items():
        versions[model] = max(version, versions.get(model, 0))
    return replace(update, versions=versions)
