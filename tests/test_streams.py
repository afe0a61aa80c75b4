from __future__ import annotations

import hashlib
from dataclasses import replace

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from machines import assert_caught, assert_holds
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.kernel.stream_buffer import (
    CHUNK_OVERHEAD_BYTES,
    AnswerTotals,
    BufferBudget,
    Reader,
    Resumed,
    StreamBuffer,
    StreamLimits,
)
from oleanderdyke.kernel.stream_table import StreamTable
from oleanderdyke.kernel.streams import (
    AnswerAssembler,
    Broken,
    BrokenReason,
    Complete,
)
from oleanderdyke.links.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    Credit,
    Failed,
    Resume,
)

CHUNK = 36
COST = CHUNK + CHUNK_OVERHEAD_BYTES
LIMITS = StreamLimits(
    stream_bytes=4 * COST, total_bytes=8 * COST, streams=3, hold=100, credit=2
)
READER = Reader('link', 'r', 1)
TOTALS = AnswerTotals(recomputed_tokens=5, prompt_tokens=9)


def make_head(attempt=1, token='secret'):
    return AnswerHead('r', attempt, 200, (), token)


def make_chunk(sequence, attempt=1):
    return AnswerChunk('r', attempt, sequence, b'%d' % sequence)


def make_end(count, data=None, attempt=1):
    whole = b''.join(b'%d' % each for each in range(count))
    digest = hashlib.blake2b(whole if data is None else data, digest_size=16)
    return AnswerEnd('r', attempt, count, digest.digest())


HEAD = make_head()


@pytest.mark.parametrize(
    ('messages', 'passed', 'end'),
    [
        ([HEAD, make_end(0)], b'', 'whole'),
        ([HEAD, make_chunk(0), make_chunk(1), make_end(2)], b'01', 'whole'),
        ([HEAD, make_chunk(1), make_end(2), make_chunk(0)], b'01', 'whole'),
        ([make_chunk(0), make_end(1), HEAD], b'0', 'whole'),
        (
            [HEAD, HEAD, make_chunk(0), make_chunk(0), make_end(1)],
            b'0',
            'whole',
        ),
        ([HEAD, make_chunk(0), make_chunk(1, 2), make_end(2)], b'0', None),
        ([HEAD, make_chunk(0), make_end(2)], b'0', None),
        ([HEAD, make_chunk(0), make_chunk(2)], b'0', None),
        ([HEAD, make_chunk(0), make_chunk(1), make_end(1)], b'01', 'count'),
        ([HEAD, make_chunk(3), make_end(2)], b'', 'count'),
        ([HEAD, make_chunk(0), make_end(1, b'x')], b'0', 'digest'),
        ([HEAD, make_chunk(4)], b'', 'window'),
        ([make_chunk(0), make_end(1)], b'', None),
    ],
)
def test_an_answer_is_passed_on_whole_and_in_order(messages, passed, end):
    assembler = AnswerAssembler('r', 1, window=4)
    deliveries = [assembler.accept(message) for message in messages]
    assert b''.join(b''.join(each.chunks) for each in deliveries) == passed
    ends = [each.end for each in deliveries if each.end is not None]
    kinds = [
        'whole' if isinstance(each, Complete) else each.reason for each in ends
    ]
    assert kinds == ([] if end is None else [end])
    assert assembler.is_over is (end is not None)


def test_another_run_takes_over_only_before_a_chunk_was_passed_on():
    assembler = AnswerAssembler('r', 1)
    assembler.accept(make_chunk(0))
    assert assembler.mark_lost().end == Broken(BrokenReason.LOST)
    assert assembler.start_over(2)
    assert assembler.accept(make_head(2)).head is not None
    assert assembler.start_over(3)
    assert assembler.accept(make_chunk(0, 2)).chunks == ()
    assert assembler.accept(make_chunk(0, 3)).chunks == ()
    shown = assembler.accept(make_head(3, 'new'))
    assert shown.head == make_head(3, 'new')
    assert shown.chunks == (b'0',)
    assert not assembler.start_over(4)
    assert assembler.accept(make_chunk(1, 4)).chunks == ()
    assert assembler.accept(make_chunk(1, 3)).chunks == (b'1',)


def test_no_run_takes_over_from_a_whole_answer_without_a_chunk():
    assembler = AnswerAssembler('r', 1)
    assembler.accept(HEAD)
    assert isinstance(assembler.accept(make_end(0, b'')).end, Complete)
    assert not assembler.start_over(2)


def test_only_a_lost_answer_is_resumed():
    assembler = AnswerAssembler('r', 1)
    assembler.accept(HEAD)
    assembler.accept(make_chunk(0))
    assembler.mark_lost()
    assert assembler.resume(2)
    assert assembler.accept(make_head(2)).head is None
    assert assembler.accept(make_chunk(0, 2)).chunks == ()
    assert assembler.accept(make_end(1, b'x', 2)).end == Broken(
        BrokenReason.DIGEST
    )
    assert not assembler.resume(3)


def make_buffer(limits=LIMITS):
    budget = BufferBudget(limits.total_bytes)
    return StreamBuffer(HEAD, READER, limits, budget, 0)


def fill(buffer, count, now=0):
    return [
        message
        for number in range(count)
        for message in buffer.add(bytes([number]) * CHUNK, now)
    ]


def list_sequences(messages):
    return [each.sequence for each in messages if hasattr(each, 'sequence')]


def test_a_caller_without_credit_stops_the_producer():
    buffer = make_buffer()
    assert list_sequences(fill(buffer, 6)) == [0, 1]
    assert buffer.is_full
    with pytest.raises(OleanderError):
        buffer.add(b'x', 0)
    assert buffer.held_bytes == LIMITS.stream_bytes
    assert buffer.grant(Credit('r', 9, 5), 0) == ()
    assert buffer.grant(Credit('r', 1, -5), 0) == ()
    assert list_sequences(buffer.grant(Credit('r', 1, 3), 0)) == [2, 3, 4]
    assert not buffer.is_full


def test_without_a_reader_nothing_is_dropped_that_a_resume_may_need():
    buffer = make_buffer(replace(LIMITS, credit=9))
    fill(buffer, 3)
    buffer.detach('link', 0)
    fill(buffer, 1)
    assert buffer.is_full
    resumed = buffer.resume_from(0, READER, 0)
    assert list_sequences(resumed.messages) == [0, 1, 2, 3]
    assert not buffer.is_full


def test_a_stalled_reader_can_be_waited_for_before_a_sent_chunk_is_dropped():
    buffer = make_buffer()
    assert not buffer.would_drop(b'x' * 10 * LIMITS.stream_bytes)
    fill(buffer, 4)
    assert buffer.would_drop(b'x')
    buffer.grant(Credit('r', 1, 2), 0)
    assert not buffer.would_drop(b'x')
    assert buffer.resume_from(0, READER, 0) is not None


def test_the_end_follows_the_last_chunk_and_needs_no_credit():
    buffer = make_buffer()
    fill(buffer, 3)
    assert buffer.finish(TOTALS, 0) == ()
    chunk, end = buffer.grant(Credit('r', 1, 1), 0)
    assert (chunk.sequence, end.count, end.recomputed_tokens) == (2, 3, 5)
    assert buffer.is_sent
    assert buffer.grant(Credit('r', 1, 1), 0) == ()


@pytest.mark.parametrize('start', [2, 3, 4])
def test_another_entry_verifies_the_part_that_it_resumes(start):
    buffer = make_buffer(replace(LIMITS, credit=9))
    fill(buffer, 5)
    buffer.finish(TOTALS, 0)
    resumed = buffer.resume_from(start, Reader('other', 's', 7), 0)
    assembler = AnswerAssembler('s', 7, start=start)
    deliveries = [assembler.accept(each) for each in resumed.messages]
    assert deliveries[0].head.resume == 'secret'
    assert isinstance(deliveries[-1].end, Complete)
    broken = AnswerAssembler('s', 7, start=start)
    head, first, *rest = resumed.messages
    altered = [head, replace(first, data=b'?'), *rest]
    assert [broken.accept(each) for each in altered][-1].end == Broken(
        BrokenReason.DIGEST
    )


def test_a_second_reader_takes_over_and_the_first_is_notified():
    buffer = make_buffer()
    fill(buffer, 2)
    resumed = buffer.resume_from(1, Reader('other', 's', 2), 0)
    assert resumed.superseded == READER
    assert resumed.notice.request == 'r'
    assert resumed.notice.kind is ErrorKind.STREAM_GONE
    assert list_sequences(resumed.messages) == [1]
    assert buffer.grant(Credit('r', 1, 9), 0) == ()
    (chunk,) = buffer.add(b'x', 0)
    assert (chunk.request, chunk.attempt) == ('s', 2)


@pytest.mark.parametrize('sequence', [-1, 0, 7])
def test_resume_at_a_dropped_or_future_chunk_is_refused(sequence):
    buffer = make_buffer(replace(LIMITS, credit=9))
    fill(buffer, 6)
    assert buffer.resume_from(sequence, READER, 0) is None
    assert buffer.reader == READER


def open_table():
    table = StreamTable(LIMITS)
    return table, table.open('team', HEAD, READER, 0)


@pytest.mark.parametrize(
    ('team', 'token', 'sequence'),
    [
        ('other', 'secret', 0),
        ('team', 'guess', 0),
        ('team', '', 0),
        ('', 'teamsecret', 0),
        ('team', 'secret', 99),
    ],
)
def test_no_refusal_of_a_resume_tells_its_reason(team, token, sequence):
    table, buffer = open_table()
    fill(buffer, 1)
    refused = table.resume(Resume('s', 1, team, token, sequence), 'x', 0)
    assert refused == Failed(
        's', 1, ErrorKind.STREAM_GONE, Ran.MAYBE, 'no such stream'
    )
    assert buffer.reader == READER
    known = table.resume(Resume('s', 1, 'team', 'secret', 0), 'x', 0)
    assert isinstance(known, Resumed)


def test_idle_streams_expire():
    table, buffer = open_table()
    table.open('team', make_head(token='b'), Reader('b', 'b', 1), 0)
    fill(buffer, 1)
    table.detach('link', 50)
    assert table.expire(149) == ()
    assert table.expire(150) == (buffer,)
    assert len(table) == 1
    gone = table.resume(Resume('s', 1, 'team', 'secret', 0), 'x', 150)
    assert isinstance(gone, Failed)
    assert table.held_bytes == 0


def test_only_a_sent_stream_is_evicted_from_a_full_table():
    table, buffer = open_table()
    for token in 'bc':
        table.open('team', make_head(token=token), READER, 0)
    with pytest.raises(OleanderError) as caught:
        table.open('team', make_head(token='d'), READER, 0)
    assert caught.value.kind is ErrorKind.OVERLOADED
    buffer.finish(TOTALS, 0)
    table.open('team', make_head(token='d'), READER, 0)
    assert len(table) == 3


@pytest.mark.parametrize('token', ['', 'secret'])
def test_a_stream_needs_a_token_of_its_own(token):
    table, _ = open_table()
    with pytest.raises(OleanderError):
        table.open('team', make_head(token=token), READER, 0)


def test_all_streams_together_are_bounded():
    limits = replace(LIMITS, streams=50)
    table = StreamTable(limits)
    buffers = [
        table.open('team', make_head(token=f't{each}'), READER, 0)
        for each in range(50)
    ]
    for _ in range(20):
        for buffer in buffers:
            if not buffer.is_full:
                buffer.add(b'x' * CHUNK, 0)
    assert table.held_bytes <= limits.total_bytes + 50 * COST
    assert sum(buffer.is_full for buffer in buffers) > 40
    table.close(buffers[0])
    assert len(table) == 49


class AnswerWorld(RuleBasedStateMachine):
    """Send an answer over a network that reorders, duplicates and drops.

    Assertions on the caller's side: `spliced` fails if the data is not a
    prefix of one run, `short` if an incomplete answer is called complete.
    """

    make_assembler = AnswerAssembler

    def __init__(self):
        super().__init__()
        self.assembler = self.make_assembler('r', 1)
        self.attempt = 1
        self.runs = 0
        self.passed = b''
        self.head_attempt = 0
        self.late = []
        self.corrupt = False
        self.open_run()

    def open_run(self):
        self.runs += 1
        self.first_attempt = self.attempt
        self.produced = []
        reader = Reader('link', 'r', self.attempt)
        head = make_head(self.attempt)
        budget = BufferBudget(LIMITS.total_bytes)
        self.buffer = StreamBuffer(head, reader, LIMITS, budget, 0)
        self.wire = [head]

    @rule(count=st.integers(1, 3))
    def produce(self, count):
        for _ in range(count):
            if self.buffer.is_full or self.buffer.is_finished:
                return
            mark = f'{self.runs}:{len(self.produced)};'.encode()
            self.produced.append(mark)
            self.wire += self.buffer.add(mark, 0)
            cost = len(mark) + CHUNK_OVERHEAD_BYTES
            bound = LIMITS.stream_bytes + cost
            assert self.buffer.held_bytes <= bound, 'memory'

    @rule()
    def finish(self):
        if len(self.produced) > 3 and not self.buffer.is_finished:
            self.wire += self.buffer.finish(TOTALS, 0)

    @rule()
    def grant(self):
        self.wire += self.buffer.grant(Credit('r', self.attempt, 2), 0)

    @rule(pick=st.sampled_from([0, 0, 0, 1, 2]), again=st.booleans())
    def deliver(self, pick, again):
        if self.wire:
            message = self.wire.pop(pick % len(self.wire))
            self.late.append(message)
            self.accept(message)
            if again:
                self.accept(message)

    @rule(pick=st.integers(0, 50))
    def deliver_late(self, pick):
        if self.late:
            self.accept(self.late[pick % len(self.late)])

    @rule(is_changed=st.sampled_from([True, False, False]))
    def damage(self, is_changed):
        if not self.wire or not isinstance(self.wire[0], AnswerChunk):
            return
        chunk = self.wire.pop(0)
        if is_changed:
            self.corrupt = True
            self.accept(replace(chunk, data=b'?'))

    @rule(is_rerun=st.booleans())
    def break_link(self, is_rerun):
        self.late += self.wire
        self.wire = []
        self.buffer.detach('link', 0)
        self.assembler.mark_lost()
        if is_rerun and self.assembler.start_over(self.attempt + 1):
            self.attempt += 1
            self.open_run()
        elif self.assembler.resume(self.attempt + 1):
            self.attempt += 1
            reader = Reader('link', 'r', self.attempt)
            sequence = self.assembler.next_sequence
            resumed = self.buffer.resume_from(sequence, reader, 0)
            self.wire += resumed.messages if resumed else ()

    def accept(self, message):
        delivery = self.assembler.accept(message)
        self.passed += b''.join(delivery.chunks)
        if delivery.head is not None:
            self.head_attempt = delivery.head.attempt
        whole = b''.join(self.produced)
        is_whole = isinstance(delivery.end, Complete)
        if self.corrupt:
            assert not is_whole or self.passed == whole, 'short'
            return
        assert whole.startswith(self.passed), 'spliced'
        is_headed = self.head_attempt >= self.first_attempt
        assert is_headed or not delivery.chunks, 'spliced'
        is_complete = self.buffer.is_finished and self.passed == whole
        assert not is_whole or is_complete, 'short'


class SkipsGaps(AnswerAssembler):
    def _take_chunk(self, chunk):
        self._next = max(self._next, chunk.sequence)
        return super()._take_chunk(chunk)


class TakesAnyAttempt(AnswerAssembler):
    def accept(self, message):
        return super().accept(replace(message, attempt=self._attempt))


class TrustsEnds(AnswerAssembler):
    def _check_end(self, end):
        self._is_over = self._has_head
        return Complete(end) if self._has_head else None


class RepeatsChunks(AnswerAssembler):
    def _take_chunk(self, chunk):
        self._next = min(self._next, chunk.sequence)
        return super()._take_chunk(chunk)


class KeepsHead(AnswerAssembler):
    def start_over(self, attempt):
        head = self._head
        is_started = super().start_over(attempt)
        self._head = head
        return is_started


def test_every_caller_gets_one_whole_run_or_a_clear_break():
    assert_holds(AnswerWorld)


@pytest.mark.parametrize(
    ('kind', 'check'),
    [
        (SkipsGaps, 'spliced'),
        (TakesAnyAttempt, 'spliced'),
        (RepeatsChunks, 'spliced'),
        (KeepsHead, 'spliced'),
        (TrustsEnds, 'short'),
    ],
)
def test_the_check_of_answers_catches_an_unsafe_assembler(kind, check):
    world = type('UnsafeWorld', (AnswerWorld,), {'make_assembler': kind})
    assert_caught(world, check)
