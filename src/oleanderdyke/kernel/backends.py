"""Know the backend servers: what they told, and what requests showed."""

from __future__ import annotations

from collections import OrderedDict, defaultdict
from collections.abc import Collection, Iterable, Sequence
from dataclasses import replace

from oleanderdyke.clock import MINUTE, SECOND, Millis
from oleanderdyke.kernel.backend import Backend, Owed
from oleanderdyke.kernel.read_rate import ReadRate
from oleanderdyke.kernel.returns import ReturningServers
from oleanderdyke.kernel.servers import (
    AnswerField,
    PromptPart,
    ServerLoad,
    ServerRecord,
    ServerStart,
)

# A server is left out for this long after a first failure to reach it, twice
# as long after each further one. A crashed server is back after seconds; a
# lost packet costs a connection one second.
_FIRST_EJECTION: Millis = 500.0
_LONGEST_EJECTION: Millis = 4 * SECOND
# An engine that refuses while newer weights are named takes them now, which
# lasts about two seconds after its runs have ended.
_RELOAD_PAUSE: Millis = 1_500.0
# A server that refuses is asked again after this long, and after twice as
# long for each further refusal: a slot of the plain services frees in some
# ten milliseconds, new weights take over a second.
_REFUSAL_PAUSE: Millis = 100.0
_LONGEST_REFUSAL_PAUSE: Millis = 800.0
# Servers tell to be cold for some seconds; a larger number is an error.
_LONGEST_COLD: Millis = 60 * SECOND
# Servers ask for seconds of rest; a far larger number is an error.
_LONGEST_REST: Millis = 10 * MINUTE
# Starts that left are forgotten beyond so many; a list lags by seconds, in
# which few leave.
_MOST_LEFT = 1_024
# The share of the latest answer in the rate of failures of a server.
_ERROR_WEIGHT = 0.2


class BackendBook:
    """Keep the present start of each backend server of all services.

    What is told of an earlier start changes nothing: it knows, holds and runs
    nothing that the present one does.
    """

    def __init__(self) -> None:
        self._backends: dict[str, Backend] = {}
        # The servers that told each address; some may have told another since.
        self._at_address: defaultdict[str, set[str]] = defaultdict(set)
        self._reading: defaultdict[str, ReadRate] = defaultdict(ReadRate)
        self._returning = ReturningServers()
        # When the latest start of each server was that told any, kept when
        # the server is gone: a record of an earlier one may still come.
        self._latest: dict[str, int] = {}
        self._superseded: list[ServerRecord] = []
        # Starts that answers showed to leave, kept when they are gone: a list
        # that lags may still have them as ready.
        self._left: OrderedDict[ServerStart, None] = OrderedDict()
        # Whether a known server tells when it started. All servers do then, and
        # a record without it is by another writer; until then the name alone
        # tells starts apart.
        self._are_starts_told = False

    def find(self, server: str) -> Backend | None:
        """Return a server that is listed or still answers."""
        return self._backends.get(server)

    def find_start(self, start: ServerStart) -> Backend | None:
        """Return a server if this is its present start."""
        backend = self._backends.get(start.server)
        if backend is None or backend.record.start != start:
            return None
        return backend

    def has_left(self, start: ServerStart) -> bool:
        """Return whether a start of a server leaves or is no longer known."""
        backend = self.find_start(start)
        if backend is None or backend.record.is_leaving:
            return True
        return not self._is_server(backend)

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
        return [backend for backend in known if self._is_server(backend)]

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
            and self._is_server(backend)
        ]

    def note_answer(self, now: Millis, read_at: Millis | None = None) -> None:
        """Learn that the list was read, before what it says is taken.

        `read_at` is when, where a neighbour did it earlier.
        """
        self._returning.note_answer(now, now if read_at is None else read_at)

    def note_restored(self, now: Millis) -> None:
        """Learn that the list comes from a copy and may lack live servers."""
        self._returning.note_restored(now)

    def note_read(self, now: Millis, read_at: Millis | None = None) -> None:
        """Learn that the platform's list has been read up to its end."""
        self.note_answer(now, read_at)
        for record in self._returning.take_proven(now):
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
        self.note_unread(unread)
        present = listed.keys() | unread
        for server, backend in self._backends.items():
            if server not in present and backend.missing_since is None:
                backend.missing_since = now

    def put(self, record: ServerRecord, now: Millis) -> None:
        """Take a newer record; a start that leaves never comes back."""
        if self._is_earlier(record):
            return
        record = self._keep_leaving(record)
        self._note_start(record)
        if self._returning.holds_back(record, now):
            return
        known = self._backends.get(record.server)
        if known is None or known.record.start != record.start:
            self._begin(record, known, now)
            return
        known.missing_since = None
        known.is_unread = False
        known.is_displaced = False
        merged = _merge_versions(known.record, record)
        if merged.versions != known.record.versions:
            known.reload_until = 0.0
            known.forget_kept()
        known.record = merged
        _note_cold(known, now)
        self._at_address[record.address].add(record.server)

    def note_unread(self, servers: Iterable[str]) -> None:
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
            if not self._returning.is_removed(server):
                backend.missing_since = None

    def remove(self, server: str, now: Millis) -> None:
        """Learn that a server's entry is gone.

        What it wrote before may arrive after that, so only a second, later
        record brings it back, or one that stays. Entries that lapsed with the
        platform's store come back with the first.
        """
        self._returning.remove(server, now)
        backend = self._backends.get(server)
        if backend is not None and backend.missing_since is None:
            backend.missing_since = now

    def _keep_leaving(self, record: ServerRecord) -> ServerRecord:
        """Return a record of a start that, once it leaves, always leaves."""
        known = self.find_start(record.start)
        is_leaving = known is not None and known.record.is_leaving
        if record.is_leaving or not (is_leaving or record.start in self._left):
            return record
        return replace(record, is_leaving=True)

    def _is_earlier(self, record: ServerRecord) -> bool:
        """Return whether a record is not of the latest known start.

        One that tells no start is not by a server that has told its own.
        """
        if record.born is None:
            known = self._backends.get(record.server)
            return known is not None and known.record.born is not None
        return record.born < self._latest.get(record.server, 0)

    def _note_start(self, record: ServerRecord) -> None:
        """Note the latest start; what it writes is not left over."""
        if record.born is None:
            return
        self._are_starts_told = True
        if record.born != self._latest.get(record.server):
            self._latest[record.server] = record.born
            self._returning.forget(record.server)

    def _begin(
        self, record: ServerRecord, known: Backend | None, now: Millis
    ) -> None:
        """Know nothing but its record of a start."""
        if known is not None:
            self._superseded.append(known.record)
        self._displace(record)
        self._at_address[record.address].add(record.server)
        reading = self._reading[record.service]
        begun = Backend(record, now, reading)
        _note_cold(begun, now)
        self._backends[record.server] = begun

    def _displace(self, record: ServerRecord) -> None:
        """Use no server whose address a new one has told.

        After a common loss of power those of before stay listed for seconds,
        and each request to one would only learn that it has ended.
        """
        for server in self._at_address[record.address] - {record.server}:
            backend = self._backends[server]
            if backend.record.address == record.address:
                backend.is_displaced = True

    def _is_server(self, backend: Backend) -> bool:
        """Return whether a record names a backend server to use."""
        return backend.record.born is not None or not self._are_starts_told

    def find_oldest_version(self, model: str) -> int | None:
        """Return the oldest weights that any known engine may still hold."""
        held = [
            backend.record.versions[model]
            for backend in self._backends.values()
            if model in backend.record.versions and self._is_server(backend)
        ]
        return min(held, default=None)

    def note_replaced(self, start: ServerStart) -> None:
        """Learn that another server answers at the address of this one."""
        backend = self.find_start(start)
        if backend is not None:
            backend.record = replace(backend.record, is_leaving=True)

    def note_leaving(self, start: ServerStart) -> bool:
        """Learn that a start gets no more work; return whether that is new.

        It is final, whatever the list tells later.
        """
        backend = self.find_start(start)
        if backend is None or backend.record.is_leaving:
            return False
        backend.record = replace(backend.record, is_leaving=True)
        self._left[start] = None
        if len(self._left) > _MOST_LEFT:
            self._left.popitem(last=False)
        return True

    def note_sent(
        self,
        start: ServerStart,
        attempt: str,
        owed: Owed,
    ) -> None:
        """Count an attempt that was sent."""
        backend = self.find_start(start)
        if backend is not None:
            backend.running += 1
            backend.running_tokens += owed.memory
            backend.waiting[attempt] = owed

    def note_awake(self, now: Millis) -> None:
        """Blame nobody for a time in which this process read nothing."""
        for backend in self._backends.values():
            backend.heard = max(backend.heard, now)

    def note_heard(self, start: ServerStart, attempt: str, now: Millis) -> None:
        """Learn that bytes of an attempt came."""
        backend = self.find_start(start)
        if backend is not None:
            backend.heard = now
            owed = backend.waiting.pop(attempt, None)
            if owed is not None:
                backend.note_first_byte(owed, now)

    def note_ended(self, start: ServerStart, attempt: str, memory: int) -> None:
        """Forget an attempt that was sent and the tokens it took."""
        backend = self.find_start(start)
        if backend is not None:
            backend.running = max(backend.running - 1, 0)
            backend.running_tokens = max(backend.running_tokens - memory, 0)
            backend.waiting.pop(attempt, None)

    def note_good(self, start: ServerStart) -> None:
        """Learn that a server answered well."""
        backend = self.find_start(start)
        if backend is not None:
            backend.failures = 0
            backend.refusals = 0
            backend.errors *= 1 - _ERROR_WEIGHT

    def note_failed(self, start: ServerStart, now: Millis) -> None:
        """Learn that a server failed a request; leave it out for a while."""
        backend = self.find_start(start)
        if backend is None:
            return
        backend.errors += _ERROR_WEIGHT * (1 - backend.errors)
        pause = _FIRST_EJECTION * 2**backend.failures
        backend.failures += 1
        until = now + min(pause, _LONGEST_EJECTION)
        backend.out_until = max(backend.out_until, until)

    def note_error(self, start: ServerStart) -> None:
        """Learn that a server answered with an error of its own."""
        backend = self.find_start(start)
        if backend is not None:
            backend.errors += _ERROR_WEIGHT * (1 - backend.errors)

    def note_refused(self, start: ServerStart, now: Millis) -> None:
        """Learn that a server refused a request without running it."""
        backend = self.find_start(start)
        if backend is None:
            return
        pause = _REFUSAL_PAUSE * 2**backend.refusals
        backend.refusals += 1
        until = now + min(pause, _LONGEST_REFUSAL_PAUSE)
        backend.out_until = max(backend.out_until, until)

    def note_reloading(self, start: ServerStart, now: Millis) -> None:
        """Learn that an engine refuses while it takes new weights."""
        backend = self.find_start(start)
        if backend is not None:
            backend.reload_until = now + _RELOAD_PAUSE

    def note_load(
        self, start: ServerStart, load: ServerLoad, now: Millis
    ) -> None:
        """Take the load that a server told with an answer."""
        backend = self.find_start(start)
        if backend is not None and now >= backend.load_at:
            backend.load = load
            backend.load_at = now

    def note_limit(
        self, start: ServerStart, per_second: float, at: Millis
    ) -> bool:
        """Take the rate that a server accepts; return whether that is new.

        It is infinite where the server names none.
        """
        backend = self.find_start(start)
        return backend is not None and backend.limit.note(per_second, at)

    def note_rest(self, start: ServerStart, rest: Millis, now: Millis) -> bool:
        """Send nothing for as long as a server asks; return whether it began.

        A later, shorter rest doesn't end one sooner.
        """
        backend = self.find_start(start)
        if backend is None:
            return False
        is_resting = backend.rest_until > now
        until = now + min(rest, _LONGEST_REST)
        backend.rest_until = max(backend.rest_until, until)
        return not is_resting and backend.rest_until > now

    def note_malformed(self, start: ServerStart, named: AnswerField) -> bool:
        """Learn that a field can't be read; return whether it is the first."""
        backend = self.find_start(start)
        if backend is None or named in backend.malformed:
            return False
        backend.malformed.add(named)
        return True

    def note_version(
        self, start: ServerStart, model: str, version: int
    ) -> None:
        """Take newer weights that a server was shown to hold."""
        backend = self.find_start(start)
        if backend is None:
            return
        versions = dict(backend.record.versions)
        if versions.get(model, 0) >= version:
            return
        versions[model] = version
        backend.record = replace(backend.record, versions=versions)
        backend.reload_until = 0.0
        backend.forget_kept()

    def note_kept(
        self, start: ServerStart, parts: Sequence[PromptPart], capacity: int
    ) -> None:
        """Assume that a server keeps a prompt's parts, the latest ones."""
        backend = self.find_start(start)
        if backend is None:
            return
        for part in parts:
            backend.kept_tokens -= backend.kept.pop(part.name, 0)
            backend.kept[part.name] = part.tokens
            backend.kept_tokens += part.tokens
        while backend.kept_tokens > capacity and backend.kept:
            _, tokens = backend.kept.popitem(last=False)
            backend.kept_tokens -= tokens

    def is_missing(self, backend: Backend, now: Millis) -> bool:
        """Return whether a server's entry is gone for good."""
        if backend.missing_since is None:
            return False
        return not self._returning.is_lapsing(now)

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
        self._are_starts_told = any(
            backend.record.born is not None
            for backend in self._backends.values()
        )

    def _index_addresses(self) -> None:
        self._at_address.clear()
        for server, backend in self._backends.items():
            self._at_address[backend.record.address].add(server)


def _note_cold(backend: Backend, now: Millis) -> None:
    """Take how much longer a server is cold, at most: it wrote that before."""
    if backend.record.cold > 0:
        until = now + min(backend.record.cold, _LONGEST_COLD)
        backend.cold_until = max(backend.cold_until, until)


def _merge_versions(known: ServerRecord, told: ServerRecord) -> ServerRecord:
    """Keep a newer version that an answer showed before the list did.

    A model that is left out is kept too: no order takes one from an engine,
    and one without known weights would get requests for any.
    """
    versions = dict(known.versions)
    for model, version in told.versions.items():
        versions[model] = max(version, versions.get(model, 0))
    return replace(told, versions=versions)
