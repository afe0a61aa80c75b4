"""Keep the list of backend servers: their present starts, and who leaves."""

from __future__ import annotations

from collections import OrderedDict, defaultdict
from collections.abc import Collection, Iterable
from dataclasses import replace

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.prefill_rate import PrefillRate
from oleanderdyke.kernel.removed_servers import RemovedServers
from oleanderdyke.kernel.servers import ServerRecord, ServerStart

# Servers tell to be cold for some seconds; a larger number is an error.
_MAX_COLD: Millis = 60 * SECOND
# Starts that left are forgotten beyond so many; a list lags by seconds, in
# which few leave.
_MAX_LEFT_STARTS = 1_024


class ServerList:
    """Keep the present start of each backend server of all services.

    What is told of an earlier start changes nothing: it knows, holds and runs
    nothing that the present one does.
    """

    def __init__(self) -> None:
        self._backends: dict[str, Backend] = {}
        # The servers that told each address; some may have told another since.
        self._servers_by_address: defaultdict[str, set[str]] = defaultdict(set)
        self._prefill_rates: defaultdict[str, PrefillRate] = defaultdict(
            PrefillRate
        )
        self._removed = RemovedServers()
        # When the latest start of each server was that told any, kept when
        # the server is gone: a record of an earlier one may still come.
        self._latest_starts: dict[str, int] = {}
        self._superseded: list[ServerRecord] = []
        # Starts that answers showed to leave, kept when they are gone: a list
        # that lags may still have them as ready.
        self._left_starts: OrderedDict[ServerStart, None] = OrderedDict()
        # Whether a known server tells when it started. All servers do then, and
        # a record without it is by another writer; until then the name alone
        # tells starts apart.
        self._has_start_times = False

    def find(self, server: str) -> Backend | None:
        """Return a server that is listed or still answers."""
        return self._backends.get(server)

    def find_start(self, start: ServerStart) -> Backend | None:
        """Return a server if this is its present start."""
        backend = self._backends.get(start.server)
        if backend is None or backend.record.start != start:
            return None
        return backend

    def is_leaving_or_gone(self, start: ServerStart) -> bool:
        """Return whether a start of a server leaves or is no longer known."""
        backend = self.find_start(start)
        if backend is None or backend.record.is_leaving:
            return True
        return not self._is_valid(backend)

    def is_superseded(self, start: ServerStart) -> bool:
        """Return whether a server has started anew since."""
        backend = self._backends.get(start.server)
        return backend is not None and backend.record.start != start

    def take_superseded(self) -> tuple[ServerRecord, ...]:
        """Return what the starts told that ended since this was asked."""
        ended, self._superseded = tuple(self._superseded), []
        return ended

    def list_known(self) -> list[Backend]:
        """Return the servers that are listed or still answer."""
        known = self._backends.values()
        return [backend for backend in known if self._is_valid(backend)]

    def list_service(self, service: str, now: Millis) -> list[Backend]:
        """Return the servers of a service that may get new work."""
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

    def record_list_read(
        self, now: Millis, read_at: Millis | None = None
    ) -> None:
        """Learn that the list was read, before what it says is taken.

        `read_at` is when, where a neighbour did it earlier.
        """
        self._removed.record_list_read(now, now if read_at is None else read_at)

    def record_restore(self, now: Millis) -> None:
        """Learn that the list comes from a copy and may lack live servers."""
        self._removed.record_restore(now)

    def complete_read(self, now: Millis, read_at: Millis | None = None) -> None:
        """Learn that the platform's list has been read up to its end."""
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
        """Take the whole list; what is not on it is missing.

        `unread` are servers on it whose entries can't be read.
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
        """Take a newer record; a start that leaves never comes back."""
        if self._is_stale(record):
            return
        record = self._preserve_leaving(record)
        self._record_start(record)
        if self._removed.should_hold(record, now):
            return
        known = self._backends.get(record.server)
        if known is None or known.record.start != record.start:
            self._add_start(record, known, now)
            return
        known.missing_since = None
        known.is_unread = False
        known.is_displaced = False
        merged = _merge_versions(known.record, record)
        if merged.versions != known.record.versions:
            known.reload_until = 0.0
            known.forget_kept()
        known.record = merged
        _update_cold(known, now)
        self._servers_by_address[record.address].add(record.server)

    def mark_unreadable(self, servers: Iterable[str]) -> None:
        """Learn whose newest entries can't be read.

        They get no new work until a later one can. They are not gone: what
        runs there goes on, and the weights that they hold still count, so
        that context is not freed for this alone.
        """
        for server in servers:
            backend = self._backends.get(server)
            if backend is None:
                continue
            backend.is_unread = True
            if not self._removed.is_removed(server):
                backend.missing_since = None

    def remove(self, server: str, now: Millis) -> None:
        """Learn that a server's entry is gone.

        What it wrote before may arrive after that, so only a second, later
        record brings it back, or one that stays. Entries that lapsed with the
        platform's store come back with the first.
        """
        self._removed.remove(server, now)
        backend = self._backends.get(server)
        if backend is not None and backend.missing_since is None:
            backend.missing_since = now

    def _preserve_leaving(self, record: ServerRecord) -> ServerRecord:
        """Return a record of a start that, once it leaves, always leaves."""
        known = self.find_start(record.start)
        is_leaving = known is not None and known.record.is_leaving
        if record.is_leaving or not (
            is_leaving or record.start in self._left_starts
        ):
            return record
        return replace(record, is_leaving=True)

    def _is_stale(self, record: ServerRecord) -> bool:
        """Return whether a record is not of the latest known start.

        One that tells no start is not by a server that has told its own.
        """
        if record.born is None:
            known = self._backends.get(record.server)
            return known is not None and known.record.born is not None
        return record.born < self._latest_starts.get(record.server, 0)

    def _record_start(self, record: ServerRecord) -> None:
        """Note the latest start; what it writes is not left over."""
        if record.born is None:
            return
        self._has_start_times = True
        if record.born != self._latest_starts.get(record.server):
            self._latest_starts[record.server] = record.born
            self._removed.forget(record.server)

    def _add_start(
        self, record: ServerRecord, known: Backend | None, now: Millis
    ) -> None:
        """Know nothing but its record of a start."""
        if known is not None:
            self._superseded.append(known.record)
        self._mark_displaced(record)
        self._servers_by_address[record.address].add(record.server)
        prefill_rate = self._prefill_rates[record.service]
        backend = Backend(record, now, prefill_rate)
        _update_cold(backend, now)
        self._backends[record.server] = backend

    def _mark_displaced(self, record: ServerRecord) -> None:
        """Use no server whose address a new one has told.

        After a common loss of power those of before stay listed for seconds,
        and each request to one would only learn that it has ended.
        """
        for server in self._servers_by_address[record.address] - {
            record.server
        }:
            backend = self._backends[server]
            if backend.record.address == record.address:
                backend.is_displaced = True

    def _is_valid(self, backend: Backend) -> bool:
        """Return whether a record names a backend server to use."""
        return backend.record.born is not None or not self._has_start_times

    def find_oldest_version(self, model: str) -> int | None:
        """Return the oldest weights that any known engine may still hold."""
        held = [
            backend.record.versions[model]
            for backend in self._backends.values()
            if model in backend.record.versions and self._is_valid(backend)
        ]
        return min(held, default=None)

    def mark_replaced(self, start: ServerStart) -> None:
        """Learn that another server answers at the address of this one."""
        backend = self.find_start(start)
        if backend is not None:
            backend.record = replace(backend.record, is_leaving=True)

    def mark_leaving(self, start: ServerStart) -> bool:
        """Learn that a start gets no more work; return whether that is new.

        It is final, whatever the list tells later.
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
        """Return whether a server's entry is gone for good."""
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
        self._has_start_times = any(
            backend.record.born is not None
            for backend in self._backends.values()
        )

    def _index_addresses(self) -> None:
        self._servers_by_address.clear()
        for server, backend in self._backends.items():
            self._servers_by_address[backend.record.address].add(server)


def _update_cold(backend: Backend, now: Millis) -> None:
    """Take how much longer a server is cold, at most: it wrote that before."""
    if backend.record.cold_remaining > 0:
        until = now + min(backend.record.cold_remaining, _MAX_COLD)
        backend.cold_until = max(backend.cold_until, until)


def _merge_versions(known: ServerRecord, update: ServerRecord) -> ServerRecord:
    """Keep a newer version that an answer showed before the list did.

    A model that is left out is kept too: no order takes one from an engine,
    and one without known weights would get requests for any.
    """
    versions = dict(known.versions)
    for model, version in update.versions.items():
        versions[model] = max(version, versions.get(model, 0))
    return replace(update, versions=versions)
