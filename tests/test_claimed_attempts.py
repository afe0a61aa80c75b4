from __future__ import annotations

import pytest

from oleanderdyke.errors import ErrorKind, Ran
from oleanderdyke.kernel import attempt_events as ev
from oleanderdyke.kernel.claim_records import (
    MAX_RECORDED_BODY_BYTES,
    ReleaseRecord,
    WithdrawRecord,
)
from oleanderdyke.kernel.claims import (
    Conflict,
    Finished,
    Free,
    OwnedByOther,
)
from oleanderdyke.kernel.receipts import RECEIPT_HEADER
from oleanderdyke.links.messages.claims import ClaimState
from tests.attempt_case import KEY, MINE, OTHER, OUTCOME, Case, make_claimed_run


def test_receipt_is_recorded_before_it_is_delivered():
    case = make_claimed_run().head().chunk()
    assert case.actions == ()
    record = case.end().find(ev.AppendOutcome).record
    assert (record.offset, record.index, record.body) == (7, 1, b'booked')
    case.on(ev.OutcomeRecorded())
    assert (RECEIPT_HEADER, 'recorded') in case.find(ev.DeliverHead).headers
    assert case.machine.done


@pytest.mark.parametrize('event', [ev.OutcomeFailed(), ev.DeadlinePassed()])
def test_unrecorded_receipt_is_marked_unrecorded(event):
    case = make_claimed_run().head().chunk().end().on(event)
    head = case.find(ev.DeliverHead)
    assert (RECEIPT_HEADER, 'unrecorded') in head.headers


def test_long_answer_is_streamed_and_recorded_as_digest():
    case = make_claimed_run().head().chunk(b'x' * (MAX_RECORDED_BODY_BYTES + 1))
    assert case.find(ev.DeliverChunk)
    assert case.chunk(b'y').actions == (ev.DeliverChunk(b'y'),)
    record = case.end().find(ev.AppendOutcome).record
    assert record.body == b''
    assert record.body_digest
    case.on(ev.OutcomeRecorded())
    assert [type(a) for a in case.actions] == [ev.DeliverEnd, ev.Done]


def test_failed_claim_append_is_refused_as_not_run():
    case = Case(key=KEY).route().on(ev.ClaimFailed('r1.1'))
    assert case.refusal() == (ErrorKind.LOG_UNAVAILABLE, Ran.NO)
    assert case.find(ev.Refuse).retry_after


@pytest.mark.parametrize(
    ('event', 'kind'),
    [
        (ev.DeadlinePassed(), ErrorKind.DEADLINE),
        (ev.Stopping(), ErrorKind.STOPPING),
        (ev.ClaimSettled('r1.1', Free()), ErrorKind.LOG_UNAVAILABLE),
    ],
)
def test_claim_in_doubt_is_withdrawn_and_never_dispatched(event, kind):
    case = Case(key=KEY).route().on(event)
    assert case.refusal() == (kind, Ran.NO)
    record = case.find(ev.AppendRelease).record
    assert record == WithdrawRecord(KEY, 'r1.1')
    assert case.claim().actions == ()


def test_slow_claim_is_withdrawn():
    case = Case(key=KEY).route().fire()
    assert case.refusal() == (ErrorKind.LOG_UNAVAILABLE, Ran.NO)
    assert case.find(ev.AppendRelease)


def test_disconnect_while_claiming_withdraws_the_claim():
    case = Case(key=KEY).route().on(ev.CallerGone())
    assert [type(a) for a in case.actions] == [ev.AppendRelease, ev.Done]


def test_refused_claim_is_released_with_the_next_claim():
    case = make_claimed_run().fail(ErrorKind.LEAVING, Ran.NO).fire()
    append = case.route('agent-2', 'i2').find(ev.AppendClaim)
    assert append.release == ReleaseRecord(KEY, 7, 1, 'i1')
    assert append.record.claim_id == 'r1.2'


def test_refused_claim_is_released_with_the_final_refusal():
    case = make_claimed_run().fail(ErrorKind.FORBIDDEN, Ran.NO)
    assert case.refusal() == (ErrorKind.FORBIDDEN, Ran.NO)
    assert case.find(ev.AppendRelease).record.offset == 7


def test_lost_link_queries_the_agent():
    case = make_claimed_run().on(ev.LinkLost('agent-1', 'i1'))
    assert case.find(ev.QueryClaim).claim == MINE
    case.answer(ClaimState.UNKNOWN)
    assert case.refusal() == (ErrorKind.OUTCOME_UNKNOWN, Ran.MAYBE)


def test_answer_found_by_a_query_is_recorded():
    case = make_claimed_run().head().chunk(b'boo')
    case.on(ev.LinkLost('agent-1', 'i1')).answer(ClaimState.FINISHED)
    assert case.find(ev.AppendOutcome).record.body == b'booked'


def test_barred_claim_is_retried_elsewhere():
    case = make_claimed_run().on(ev.LinkLost('agent-1', 'i1'))
    case.answer(ClaimState.BARRED).fire()
    assert case.find(ev.Route).exclude == {'agent-1'}


def test_agent_that_never_answers_leaves_the_outcome_unknown():
    case = make_claimed_run().on(ev.LinkLost('agent-1', 'i1'))
    for _ in range(4):
        case.fire()
    assert case.refusal() == (ErrorKind.OUTCOME_UNKNOWN, Ran.MAYBE)


def test_ended_incarnation_is_answered_at_once():
    case = make_claimed_run().on(ev.IncarnationEnded('agent-1', 'i1'))
    assert case.refusal() == (ErrorKind.BACKEND_LOST, Ran.MAYBE)


def test_recorded_outcome_is_given_again():
    case = Case(key=KEY, verdict=Finished(OTHER, OUTCOME))
    assert case.find(ev.DeliverHead).status == 201
    assert case.find(ev.DeliverChunk).data == b'booked'


def test_other_request_under_the_key_is_refused():
    case = Case(key=KEY, verdict=Conflict())
    assert case.refusal() == (ErrorKind.KEY_REUSED, Ran.NO)


def test_second_call_joins_the_run():
    case = Case(key=KEY, verdict=OwnedByOther(OTHER))
    assert case.find(ev.QueryClaim).agent == 'agent-2'
    case.answer(ClaimState.RUNNING, OTHER).fire()
    assert case.find(ev.QueryClaim)
    case.answer(ClaimState.FINISHED, OTHER).on(ev.OutcomeRecorded())
    assert case.find(ev.DeliverChunk).data == b'booked'


def test_second_call_takes_over_a_barred_claim():
    case = Case(key=KEY, verdict=OwnedByOther(OTHER))
    case.answer(ClaimState.BARRED, OTHER).route()
    assert case.find(ev.AppendClaim).release == ReleaseRecord(KEY, 5, 0, 'i2')


@pytest.mark.parametrize(
    ('event', 'kind'),
    [
        (ev.IncarnationEnded('agent-2', 'i2'), ErrorKind.OUTCOME_UNKNOWN),
        (ev.DeadlinePassed(), ErrorKind.IN_PROGRESS),
    ],
)
def test_second_call_never_reports_not_run(event, kind):
    case = Case(key=KEY, verdict=OwnedByOther(OTHER)).on(event)
    assert case.refusal() == (kind, Ran.MAYBE)


@pytest.mark.parametrize('event', [ev.CallerGone(), ev.DeadlinePassed()])
def test_claimed_run_is_recorded_after_its_caller_has_left(event):
    case = make_claimed_run().on(event)
    assert not case.machine.done
    case.head().chunk().end()
    assert case.find(ev.AppendOutcome)
    assert case.on(ev.OutcomeRecorded()).actions == (ev.Done(),)
