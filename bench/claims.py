"""Measure the log bytes, memory and processor time of claims.

Run `python -m bench.claims`. Log bytes are counted from encoded records and
memory is counted by tracemalloc; times are the minimum of several rounds.
"""

from __future__ import annotations

import gc
import hashlib
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from oleanderdyke.clock import HOUR
from oleanderdyke.kernel import attempt_events as ev
from oleanderdyke.kernel.attempts import (
    AttemptSettings,
    RequestFacts,
    RequestStateMachine,
)
from oleanderdyke.kernel.claim_records import (
    ClaimRecord,
    ClaimsRecord,
    OutcomeRecord,
    encode_batch,
    make_key,
)
from oleanderdyke.kernel.claim_runs import RunAnswer
from oleanderdyke.kernel.claims import ClaimTable, Free, Owned
from oleanderdyke.kernel.demand import Plan, Replica
from oleanderdyke.kernel.gate import Accepted, Gate, GateSettings
from oleanderdyke.kernel.quarantine import QuarantineSettings, make_quarantine
from oleanderdyke.kernel.retries import RetryBudget, RetrySettings
from oleanderdyke.links.messages import (
    AgentPhase,
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    BackendKind,
    Dispatch,
    Load,
)
from oleanderdyke.links.messages.claims import Claim

COUNTS = (1_000, 10_000, 100_000)
BATCHES = (1, 8, 64)
_ROUNDS = 3
_TIMED_CLAIMS = 10_000
_HEADERS = (('content-type', 'application/json'),)
_BODY = b'{"booking": "quito-0042", "room": "sala 3", "seats": 24, "at": 1800}'


class _AllowAll:
    def allows(self, team: str, service: str) -> bool | None:
        """Allow every team."""
        return None


@dataclass(frozen=True, slots=True)
class EncodedLog:
    """Batches of records as they are stored in the log."""

    batches: tuple[bytes, ...]
    claims: int

    @property
    def bytes_each(self) -> float:
        """Return the mean log bytes per claim."""
        return sum(map(len, self.batches)) / self.claims


def main() -> None:
    """Run every measurement and print the results."""
    for batch in BATCHES:
        _print_log(batch)
    for count in COUNTS:
        _print_memory(count)
    _print_steps()


def make_claim_record(number: int) -> ClaimRecord:
    """Return a claim record as an entry appends it."""
    digest = hashlib.blake2b(str(number).encode(), digest_size=16)
    return ClaimRecord(
        key=make_key('team-1', 'taquilla', str(number)),
        digest=digest.hexdigest(),
        agent=f'taquilla-{number % 3}',
        incarnation=f'{number % 3:016x}',
        beat=80_000,
        appender=f'entry-{number % 3}',
        claim_id=f'{number:032x}.1',
        horizon=24 * HOUR,
    )


def make_log(count: int, batch: int, *, outcomes: bool) -> EncodedLog:
    """Build a log of claims in batches.

    With `outcomes`, each batch is followed by one of outcome records.
    """
    batches: list[bytes] = []
    for start in range(0, count, batch):
        numbers = range(start, min(count, start + batch))
        claims: list[ClaimsRecord] = [make_claim_record(n) for n in numbers]
        offset = len(batches)
        batches.append(encode_batch(claims))
        if outcomes:
            batches.append(encode_batch(_make_outcomes(numbers, offset)))
    return EncodedLog(tuple(batches), count)


def replay(log: EncodedLog) -> ClaimTable:
    """Apply all batches of a log to a new table."""
    table = ClaimTable()
    for offset, data in enumerate(log.batches):
        table.apply(offset, float(offset), data)
    table.set_catch_up_target(len(log.batches))
    return table


def _make_outcomes(numbers: range, offset: int) -> list[ClaimsRecord]:
    return [
        OutcomeRecord(
            make_key('team-1', 'taquilla', str(number)),
            offset,
            index,
            201,
            _HEADERS,
            _BODY,
        )
        for index, number in enumerate(numbers)
    ]


def _print_log(batch: int) -> None:
    claims = make_log(_TIMED_CLAIMS, batch, outcomes=False)
    with_outcomes = make_log(_TIMED_CLAIMS, batch, outcomes=True)
    micros = _time(lambda: replay(claims)) / _TIMED_CLAIMS
    with_outcomes_micros = _time(lambda: replay(with_outcomes)) / _TIMED_CLAIMS
    print(
        f'batch {batch:3}: {claims.bytes_each:6.1f} B a claim, '
        f'{with_outcomes.bytes_each:6.1f} B with its outcome; '
        f'applied in {micros:5.1f} us ({1e6 / micros:,.0f} a second), '
        f'{with_outcomes_micros:5.1f} us with its outcome'
    )


def _print_memory(count: int) -> None:
    for outcomes in (False, True):
        log = make_log(count, 64, outcomes=outcomes)
        gc.collect()
        tracemalloc.start()
        table = replay(log)
        held_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        label = 'claims with outcomes' if outcomes else 'claims'
        print(
            f'{count:7} {label:20}: {held_bytes / len(table):6.0f} B each, '
            f'{held_bytes / 2**20:6.1f} MiB in all'
        )


def _print_steps() -> None:
    table = replay(make_log(_TIMED_CLAIMS, 64, outcomes=True))
    key = make_key('team-1', 'taquilla', '77')
    _print_step('key of a claim', lambda: make_key('team-1', 'taquilla', '77'))
    _print_step('verdict', lambda: table.get_verdict(key, 'x'))
    _print_step(
        'list 1,000 to carry', lambda: table.list_due_renewals(1e18, 1_000)
    )
    print(f'{"gate, one claimed run":24}: {_time_gate():8.1f} us')
    print(
        f'{"machine, claimed call":24}: '
        f'{_time(_run_state_machines) / 1_000:8.1f} us'
    )


def _print_step(name: str, step: Callable[[], object]) -> None:
    micros = _time(lambda: _repeat(step)) / 100
    print(f'{name:24}: {micros:8.1f} us')


def _repeat(step: Callable[[], object]) -> None:
    for _ in range(100):
        step()


def _time(action: Callable[[], object]) -> float:
    """Return the minimum processor time of several rounds, in microseconds."""
    times = []
    for _ in range(_ROUNDS):
        gc.collect()
        start = time.process_time_ns()
        action()
        times.append((time.process_time_ns() - start) / 1_000)
    return min(times)


def _time_gate() -> float:
    def run() -> None:
        gate = Gate(
            'taquilla-0',
            'i1',
            'taquilla',
            settings=GateSettings(),
            quarantine=make_quarantine(QuarantineSettings()),
            rights=_AllowAll(),
        )
        gate.set_phase(AgentPhase.SERVING)
        gate.record_heartbeat(1)
        answer = RunAnswer(201, _HEADERS, _BODY)
        for number in range(1_000):
            request = str(number)
            if gate.admit(_make_dispatch(request, number), 0.0) != Accepted():
                raise AssertionError(f'gate refused dispatch {request}')
            gate.finish(request, 1, answer)

    return _time(run) / 1_000


def _make_dispatch(request: str, number: int) -> Dispatch:
    return Dispatch(
        request=request,
        attempt=1,
        team='team-1',
        service='taquilla',
        method='POST',
        path='/',
        headers=(),
        digest=request,
        deadline=1_000.0,
        idempotent=False,
        offset=0,
        claim=Claim(number, 0, 'ab' * 20, 'taquilla-0', 'i1', 1),
        incarnation='i1',
        beat=1,
    )


def _run_state_machines() -> None:
    budget = RetryBudget(RetrySettings(), Random(1))
    replica = Replica(
        agent='taquilla-0',
        address='',
        incarnation='i1',
        backend=BackendKind.PLAIN,
        service='taquilla',
        data_centre='',
        phase=AgentPhase.SERVING,
        load=Load(),
        beat=1,
        heard=0.0,
    )
    claim = Claim(1, 0, 'ab' * 20, 'taquilla-0', 'i1', 1)
    events: tuple[ev.Event, ...] = (
        ev.Routed(Plan('taquilla-0', ''), replica),
        ev.ClaimSettled('r.1', Owned(claim)),
        ev.MessageReceived(AnswerHead('r', 1, 201, _HEADERS)),
        ev.MessageReceived(AnswerChunk('r', 1, 0, _BODY)),
        ev.MessageReceived(AnswerEnd('r', 1, 1, b'')),
        ev.OutcomeRecorded(),
    )
    facts = RequestFacts(
        'r',
        'team-1',
        'taquilla',
        'd',
        'entry-1',
        idempotent=False,
        key='ab' * 20,
    )
    for _ in range(1_000):
        machine = RequestStateMachine(
            facts, settings=AttemptSettings(), budget=budget
        )
        machine.start(0.0, Free())
        for event in events:
            machine.handle_event(event, 0.0)
        if not machine.done:
            raise AssertionError('request state machine did not finish')


if __name__ == '__main__':
    main()
