from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from oleanderdyke.clock import HOUR, MINUTE
from oleanderdyke.entry.logreader import slice_page
from oleanderdyke.kernel import catalog as catalog_module
from oleanderdyke.kernel import configuration, snapshots
from oleanderdyke.kernel.catalog import Applied, Catalog
from oleanderdyke.kernel.configuration import (
    ConfigurationReader,
    ReaderSettings,
)
from oleanderdyke.kernel.objects import Change, ObjectKind, StoreSpec, TeamSpec
from oleanderdyke.kernel.records import encode_change
from oleanderdyke.links.messages import ConfigurationRequest

TEAM = ObjectKind.TEAM


@dataclass(frozen=True)
class LogRecord:
    offset: int
    at: float
    data: bytes


@dataclass(frozen=True)
class LogPage:
    records: tuple[LogRecord, ...]
    first: int
    end: int


@dataclass
class Log:
    """Hold every record, but hide those before `first` from readers."""

    records: list[LogRecord] = field(default_factory=list)
    first: int = 0

    def append(self, *records: bytes, at: float = 0.0) -> None:
        for data in records:
            self.records.append(LogRecord(len(self.records), at, data))

    def read(self, start: int, limit: int = 1_000) -> LogPage:
        start = max(start, self.first)
        found = tuple(self.records[start : start + limit])
        return LogPage(found, self.first, len(self.records))


@pytest.fixture(autouse=True)
def _small_parts(monkeypatch):
    monkeypatch.setattr(snapshots, '_CHUNK_BYTES', 100)
    monkeypatch.setattr(configuration, '_MESSAGE_BYTES', 200)
    monkeypatch.setattr(catalog_module, '_RECENT_LIMIT', 4)


def make_reader(
    catalog: Catalog | None = None, **settings: float
) -> ConfigurationReader:
    return ConfigurationReader(Random(1), ReaderSettings(**settings), catalog)


def make_log(count: int) -> Log:
    log = Log()
    for number in range(count):
        change = Change(f'{number}', 'ana', TEAM, f't{number}', 0, TeamSpec())
        log.append(encode_change(change))
    return log


def follow(reader: ConfigurationReader, log: Log, now: float = 0.0) -> None:
    for _ in range(9):
        reader.on_page(log.read(reader.log_position), now)


def transfer_difference(
    source: ConfigurationReader, target: ConfigurationReader, now: float = 0.0
) -> None:
    request = target.on_peer_offset('peer', source.offset, now)
    assert request is not None
    for message in source.answer(request):
        target.on_difference('peer', message, now)


def test_reader_follows_the_log_and_is_ready_at_its_end():
    log = make_log(5)
    reader = make_reader()
    assert not reader.readiness(0).ready
    reader.on_page(log.read(0, limit=3), 0)
    assert reader.readiness(0).reason == 'reading the log: at 2 of 4'
    reader.on_page(log.read(3), 0)
    assert reader.readiness(0).ready
    assert reader.offset == 4


def test_reader_is_ready_at_an_empty_log_but_not_without_an_answer():
    reader = make_reader()
    assert 'no configuration yet' in reader.readiness(0).reason
    reader.on_page(Log().read(0), 0)
    assert reader.readiness(0).ready


def test_new_process_starts_from_the_newest_snapshot():
    log = make_log(8)
    old = make_reader()
    follow(old, log)
    log.append(*old.catalog.snapshot())
    log.append(encode_change(Change('x', 'bo', TEAM, 't3', 1, None)))
    follow(old, log)
    log.first = 6
    new = make_reader()
    follow(new, log)
    assert new.readiness(0).ready
    assert new.catalog.digest() == old.catalog.digest()


def test_gap_is_not_skipped_without_a_whole_snapshot():
    log = make_log(8)
    full = make_reader()
    follow(full, log)
    log.append(*full.catalog.snapshot()[:-1])
    log.first = 6
    reader = make_reader()
    follow(reader, log)
    assert reader.offset == -1
    assert 'the log starts at offset 6' in reader.readiness(0).reason


def test_page_applied_in_parts_gives_the_state_of_the_whole_page():
    log = make_log(40)
    source = make_reader()
    follow(source, log)
    log.append(*source.catalog.snapshot(), at=1.0)
    first = len(log.records) - 30
    whole, parted = make_reader(), make_reader()
    for start in (0, first):
        page = log.read(start)
        whole.on_page(page, 0)
        parts = list(slice_page(page, size=300))
        assert len(parts) > 5
        for part in parts:
            sizes = [len(record.data) for record in part.records]
            assert sum(sizes[:-1]) < 300
            parted.on_page(part, 0)
        assert parted.catalog.digest() == whole.catalog.digest()
    assert [part.end for part in slice_page(Log().read(0))] == [0]


def test_two_snapshots_appended_at_once_are_harmless():
    log = make_log(8)
    full = make_reader()
    follow(full, log)
    chunks = full.catalog.snapshot()
    assert len(chunks) > 4
    # The first writer stops half-way, the others interleave.
    log.append(*chunks[:3])
    log.append(chunks[0], chunks[1], chunks[0], *chunks[2:4], *chunks[1:])
    log.append(*chunks[4:])
    log.first = 8
    reader = make_reader()
    follow(reader, log)
    assert reader.readiness(0).ready
    assert reader.offset == len(log.records) - 1


@pytest.mark.parametrize('first', [0, 5, 8])
def test_snapshot_of_a_later_offset_is_ignored(first):
    log = make_log(8)
    ahead = Catalog()
    for record in make_log(40).records:
        ahead.apply_record(record.offset, record.data)
    log.append(*ahead.snapshot()[:20])
    log.append(*ahead.snapshot())
    log.first = first
    reader = make_reader()
    reader.on_page(log.read(reader.log_position, limit=21), 0)
    assert reader.offset < len(log.records)
    follow(reader, log)
    assert reader.offset in {-1, 39, len(log.records) - 1}


def test_log_page_from_beyond_the_next_offset_is_not_applied():
    log = make_log(8)
    reader = make_reader()
    assert not reader.on_page(log.read(4), 0)
    assert reader.offset == -1
    follow(reader, log)
    assert reader.offset == 7


@pytest.mark.parametrize('known', [0, 3, 6])
def test_peer_behind_catches_up_without_the_log(known):
    log = make_log(8)
    source, target = make_reader(), make_reader()
    follow(source, log)
    if known:
        target.on_page(log.read(0, limit=known), 0)
    transfer_difference(source, target)
    assert target.readiness(0).ready
    assert target.catalog.digest() == source.catalog.digest()


def test_process_without_configuration_sends_none():
    source, target = make_reader(), make_reader()
    source.on_page(make_log(8).read(0, limit=4), 0)
    request = ConfigurationRequest(-1)
    for message in source.answer(request):
        target.on_difference('peer', message, 0)
    assert not target.readiness(0).ready


def test_old_or_tampered_difference_never_moves_the_offset_back():
    log = make_log(8)
    source, target = make_reader(), make_reader()
    follow(source, log)
    messages = tuple(source.answer(ConfigurationRequest(-1)))
    log.append(encode_change(Change('x', 'bo', TEAM, 't3', 1, None)))
    follow(target, log)
    before = target.catalog.digest()
    tampered = [replace(item, through=99) for item in messages]
    for message in (*messages, *tampered, *reversed(messages)):
        assert not target.on_difference('peer', message, 0)
    assert target.catalog.digest() == before
    behind = make_reader()
    for message in tampered:
        behind.on_difference('peer', message, 0)
    assert behind.offset == -1


def test_lost_or_reordered_chunk_changes_nothing():
    source, target = make_reader(), make_reader()
    follow(source, make_log(8))
    messages = tuple(source.answer(ConfigurationRequest(-1)))
    assert len(messages) > 4
    for message in (*messages[:2], *messages[3:], *messages[:2]):
        target.on_difference('peer', message, 0)
    assert target.offset == -1
    for message in messages:
        target.on_difference('peer', message, 0)
    assert target.offset == 7


def test_one_of_many_peers_is_asked_at_a_time():
    reader = make_reader(ask_again=2_000)
    asked = [reader.on_peer_offset(f'p{number}', 9, 0) for number in range(410)]
    assert sum(item is not None for item in asked) == 1
    assert reader.on_peer_offset('p1', 9, 1_999) is None
    assert reader.on_peer_offset('p1', 9, 2_000) == ConfigurationRequest(-1)
    reader.on_peer_disconnected('p1')
    assert reader.on_peer_offset('p2', 9, 2_001) is not None


def test_reader_waits_for_the_log_before_it_asks_a_peer():
    reader = make_reader(ask_after=500)
    assert reader.on_peer_offset('peer', 9, 0) is None
    assert reader.on_peer_offset('peer', 9, 499) is None
    assert reader.on_peer_offset('peer', 9, 500) is not None


def test_process_known_to_be_behind_for_long_is_not_ready():
    reader = make_reader(stale_after=10_000)
    follow(reader, make_log(3))
    reader.on_peer_offset('peer', 9, 0)
    assert reader.readiness(10_000).ready
    assert (
        reader.readiness(10_001).reason == 'configuration is at offset 2 of 9'
    )
    reader.on_peer_disconnected('peer')
    reader.on_page(make_log(3).read(3), 10_002)
    assert reader.readiness(10_002).ready


def test_reader_behind_the_log_start_is_not_ready_until_a_peer_answers():
    log = make_log(8)
    source, reader = make_reader(), make_reader()
    follow(source, log)
    reader.on_page(log.read(0, limit=3), 0)
    log.first = 6
    follow(reader, log, now=1)
    assert not reader.is_snapshot_due(2 * HOUR)
    assert 'the log starts at offset 6' in reader.readiness(20_000).reason
    transfer_difference(source, reader, now=20_000)
    assert reader.readiness(20_001).ready
    assert reader.catalog.digest() == source.catalog.digest()


def test_snapshot_is_due_by_age_and_count_until_one_is_appended():
    log = make_log(8)
    reader = make_reader(snapshot_age=HOUR, snapshot_records=1_000)
    assert not reader.is_snapshot_due(0)
    follow(reader, log)
    assert not reader.is_snapshot_due(0)
    assert reader.is_snapshot_due(HOUR)
    log.append(*reader.catalog.snapshot(), at=HOUR)
    follow(reader, log)
    assert not reader.is_snapshot_due(HOUR + MINUTE)
    assert reader.is_snapshot_due(2 * HOUR)
    for number in range(1_000):
        change = Change(f'n{number}', 'bo', TEAM, 'x', 5, None)
        log.append(encode_change(change))
    reader.on_page(log.read(reader.log_position, limit=2_000), 0)
    assert reader.is_snapshot_due(HOUR + MINUTE)


def test_clocks_far_apart_do_not_flood_the_log_with_snapshots():
    log = make_log(8)
    reader = make_reader(snapshot_age=HOUR)
    follow(reader, log)
    appended = 0
    for minute in range(240):
        if reader.is_snapshot_due((minute + 1_000) * MINUTE):
            log.append(*reader.catalog.snapshot(), at=minute * MINUTE)
            follow(reader, log)
            appended += 1
    assert 0 < appended <= 240 / 7.5


class InvariantViolation(AssertionError):
    """Raised if a reader violates an invariant."""


@dataclass
class Checker:
    """Check every reader against the complete log.

    An independent model, based on generations alone, decides which changes
    apply.
    """

    log: Log
    truth: Catalog = field(default_factory=Catalog)
    digests: dict[int, bytes] = field(default_factory=dict)
    winners: dict[str, bool] = field(default_factory=dict)
    seen: dict[int, int] = field(default_factory=dict)
    generations: dict[str, int] = field(default_factory=dict)

    def record_change(self, change: Change) -> None:
        found = self.generations.get(change.name, 0)
        wins = found == change.expected
        if wins:
            self.generations[change.name] = found + 1
        self.winners[change.record_id] = wins

    def check(self, readers: list[ConfigurationReader]) -> None:
        for record in self.log.records[self.truth.offset + 1 :]:
            self.truth.apply_record(record.offset, record.data)
            self.digests[record.offset] = self.truth.digest()
        for reader in readers:
            self.check_reader(reader)

    def check_reader(self, reader: ConfigurationReader) -> None:
        before = self.seen.get(id(reader), -1)
        if reader.offset < before:
            raise InvariantViolation(
                f'went back from {before} to {reader.offset}'
            )
        self.seen[id(reader)] = reader.offset
        if reader.offset < 0:
            return
        if reader.catalog.digest() != self.digests[reader.offset]:
            raise InvariantViolation(f'differs at offset {reader.offset}')
        for record_id, wins in self.winners.items():
            outcome = reader.catalog.find_outcome(record_id)
            if outcome and isinstance(outcome, Applied) != wins:
                raise InvariantViolation(
                    f'record {record_id} has another outcome'
                )


class Spreading(RuleBasedStateMachine):
    """Deliver messages to readers lost, late, repeated or reordered."""

    make_catalog: Callable[[], Catalog] = Catalog
    places = st.integers(0, 2)

    def __init__(self) -> None:
        super().__init__()
        self.log = Log()
        self.checker = Checker(self.log)
        self.readers = [self.make() for _ in range(3)]
        self.pages: list[LogPage] = []
        self.messages: list[tuple[int, object]] = []
        self.transfer: tuple[object, ...] = ()
        self.now = 0.0
        self.count = 0
        self.publish(list('abcabc'), late=False)
        self.read(0, 30)

    def make(self) -> ConfigurationReader:
        return make_reader(type(self).make_catalog())

    @rule(
        names=st.lists(st.sampled_from('abc'), max_size=6), late=st.booleans()
    )
    def publish(self, names, late):
        for name in names:
            self.count += 1
            expected = self.checker.generations.get(name, 0)
            spec = StoreSpec(capacity_bytes=self.count)
            change = Change(
                f'{self.count}',
                f'operator-{self.count % 2}',
                ObjectKind.STORE,
                name,
                max(0, expected - late),
                spec,
            )
            self.checker.record_change(change)
            self.log.append(encode_change(change))

    @rule(place=places, limit=st.integers(1, 30))
    def read(self, place, limit):
        reader = self.readers[place]
        page = self.log.read(reader.log_position, limit)
        self.pages.append(page)
        reader.on_page(page, self.now)

    @rule(place=places, data=st.data())
    def repeat_page(self, place, data):
        if self.pages:
            page = data.draw(st.sampled_from(self.pages[-5:]))
            self.readers[place].on_page(page, self.now)

    @rule(source=places, asker=places)
    def ask(self, source, asker):
        offset = self.readers[source].offset
        request = self.readers[asker].on_peer_offset(
            str(source), offset, self.now
        )
        if request is not None:
            self.transfer = tuple(self.readers[source].answer(request))
            self.messages += [(asker, item) for item in self.transfer]

    @rule(count=st.integers(1, 20))
    def deliver(self, count):
        for target, message in self.messages[:count]:
            self.readers[target].on_difference('peer', message, self.now)
        del self.messages[:count]

    @rule(data=st.data(), place=places)
    def deliver_one_late_or_twice(self, data, place):
        if self.messages:
            _, message = data.draw(st.sampled_from(self.messages[-6:]))
            self.readers[place].on_difference('peer', message, self.now)

    @rule(place=places)
    def repeat_transfer(self, place):
        for message in self.transfer:
            self.readers[place].on_difference('peer', message, self.now)

    @rule(data=st.data())
    def lose(self, data):
        if self.messages:
            del self.messages[data.draw(st.integers(0, len(self.messages) - 1))]

    @rule(place=places)
    def restart(self, place):
        self.checker.seen.pop(id(self.readers[place]), None)
        self.readers[place] = self.make()

    @rule(place=places, other=places, cut=st.integers(0, 2))
    def append_snapshots(self, place, other, cut):
        """Interleave two snapshots, of which one may stay incomplete."""
        for index in range(cut + 1):
            for reader in (self.readers[place], self.readers[other]):
                chunks = reader.catalog.snapshot()
                if reader.offset >= 0:
                    self.log.append(*chunks[index : index + 1])
        if self.readers[place].offset >= 0:
            self.log.append(*self.readers[place].catalog.snapshot()[cut + 1 :])

    @rule(by=st.integers(1, 3))
    def truncate(self, by):
        self.log.first = min(self.log.first + by, len(self.log.records))

    @rule(by=st.sampled_from([100.0, 3_000.0]))
    def wait(self, by):
        self.now += by

    @invariant()
    def invariants_hold(self):
        self.checker.check(self.readers)

    def repeat_everything(self):
        for place in range(len(self.readers)):
            self.read(place, 30)
            self.repeat_transfer(place)
        self.checker.check(self.readers)

    def teardown(self):
        """Check that the reader furthest ahead brings the others up to date."""
        self.repeat_everything()
        best = max(self.readers, key=lambda item: item.offset)
        if not best.readiness(self.now).ready or best.offset < 0:
            return
        for reader in self.readers:
            self.now += 5_000
            request = reader.on_peer_offset('best', best.offset, self.now)
            if request is not None:
                for message in best.answer(request):
                    reader.on_difference('best', message, self.now)
            if reader.offset != best.offset:
                raise InvariantViolation('did not catch up')
        self.checker.check(self.readers)


class BackwardCatalog(Catalog):
    """Restore any complete snapshot, including older ones."""

    def replace_state(self, loaded):
        self.offset = -1
        return super().replace_state(loaded)


class UncheckedCatalog(Catalog):
    """Apply changes whose expected generation is outdated."""

    def _find_rejection(self, change):
        rejection = super()._find_rejection(change)
        generation = (
            rejection
            and rejection[0] is catalog_module.RejectionReason.GENERATION
        )
        return None if generation else rejection


class GappyCatalog(Catalog):
    """Lose an object when restoring a snapshot."""

    def replace_state(self, loaded):
        changed = super().replace_state(loaded)
        self._state.rows[ObjectKind.STORE].pop('a', None)
        return changed


def run_machine(
    make_catalog: Callable[[], Catalog], *, examples: int, steps: int = 50
) -> None:
    machine = type('Machine', (Spreading,), {'make_catalog': make_catalog})
    run_state_machine_as_test(
        machine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=examples,
            stateful_step_count=steps,
            phases=[Phase.generate],
        ),
    )


def test_readers_agree_at_equal_offsets_whatever_is_lost_or_repeated():
    run_machine(Catalog, examples=80)


@pytest.mark.parametrize(
    'unsafe', [BackwardCatalog, UncheckedCatalog, GappyCatalog]
)
def test_checker_catches_an_unsafe_catalog(unsafe):
    with pytest.raises(InvariantViolation):
        run_machine(unsafe, examples=300)
