from __future__ import annotations

import pytest

from oleanderdyke.errors import ErrorKind, Ran
from oleanderdyke.kernel import attempt_events as ev
from oleanderdyke.kernel.demand import Refusal
from oleanderdyke.links.messages import (
    Failed,
)
from tests.attempt_case import Case, make_budget, make_claimed_run, make_run


def test_plain_answer_passes_through():
    case = make_run().head()
    assert case.actions == ()
    head = ev.DeliverHead(201, (('a', 'b'),))
    assert case.chunk().actions == (head, ev.DeliverChunk(b'booked'))
    assert case.chunk(b'on').actions == (ev.DeliverChunk(b'on'),)
    case.end()
    assert isinstance(case.actions[0], ev.DeliverEnd)
    assert case.machine.done


def test_messages_of_another_attempt_are_ignored():
    case = make_run()
    case.attempt = 9
    assert case.head().actions == ()


def test_attempt_that_did_not_run_is_retried_elsewhere():
    case = make_run().fail(ErrorKind.LEAVING, Ran.NO).fire()
    assert case.find(ev.Route).exclude == {'agent-1'}
    case.route('agent-2')
    assert case.find(ev.SendDispatch).attempt == 2


def test_unsent_dispatch_is_retried_elsewhere():
    case = make_run().on(ev.DispatchNotSent(1)).fire()
    assert case.find(ev.Route).exclude == {'agent-1'}


@pytest.mark.parametrize(
    'failure',
    [
        Failed('r1', 1, ErrorKind.BACKEND_LOST, Ran.MAYBE),
        Failed('r1', 1, ErrorKind.BACKEND_FAILED, Ran.YES),
    ],
)
def test_attempt_that_may_have_run_is_not_retried(failure):
    case = make_run().on(ev.MessageReceived(failure))
    assert case.refusal() == (failure.kind, failure.ran)


NO_REPLICA = ev.NoRoute(Refusal(ErrorKind.NO_REPLICA, '', 5.0))


def test_lost_run_waits_for_a_replica_and_is_sent_again():
    case = make_run(idempotent=True).on(ev.LinkLost('agent-1', 'i1')).fire()
    assert case.find(ev.Route).exclude == {'agent-1'}
    # The lost server is no longer excluded if no other one serves.
    case.on(NO_REPLICA).fire()
    assert case.find(ev.Route).exclude == frozenset()
    case.route('agent-1', 'i2')
    assert case.find(ev.SendDispatch).attempt == 2
    case.head().end()
    kinds = [type(action) for action in case.actions]
    assert kinds == [ev.DeliverHead, ev.DeliverEnd, ev.Done]


def test_wait_for_a_replica_is_bounded_and_costs_no_further_retry():
    case = make_run(idempotent=True, burst=1.0, replica_wait=2_000.0)
    case.on(ev.LinkLost('agent-1', 'i1')).fire()
    waits = []
    while not case.on(NO_REPLICA).machine.done:
        waits.append(case.find(ev.StartTimer).delay)
        case.fire()
    assert sum(waits) == pytest.approx(2_000.0)
    assert 2 <= len(waits) <= 8
    assert case.refusal() == (ErrorKind.NO_REPLICA, Ran.MAYBE)
    assert case.find(ev.Refuse).retry_after == 5.0


@pytest.mark.parametrize(
    'event', [ev.DeadlinePassed(), ev.Stopping(), ev.CallerGone()]
)
def test_wait_for_a_replica_ends_early(event):
    case = make_run(idempotent=True).on(ev.LinkLost('agent-1', 'i1')).fire()
    case.on(NO_REPLICA).on(event)
    assert case.machine.done


def test_request_that_lost_no_run_does_not_wait_for_a_replica():
    case = Case(idempotent=True).on(NO_REPLICA)
    assert case.refusal() == (ErrorKind.NO_REPLICA, Ran.NO)
    case = make_run(idempotent=True).fail(ErrorKind.OVERLOADED, Ran.NO).fire()
    case.on(NO_REPLICA)
    assert case.refusal() == (ErrorKind.NO_REPLICA, Ran.NO)


def test_other_refusals_of_the_router_are_final():
    case = make_run(idempotent=True).on(ev.LinkLost('agent-1', 'i1')).fire()
    case.on(ev.NoRoute(Refusal(ErrorKind.OVERLOADED, '', 5.0)))
    assert case.refusal() == (ErrorKind.OVERLOADED, Ran.MAYBE)


def test_request_is_refused_at_once_without_retry_budget():
    case = make_run(idempotent=True, burst=0.5)
    case.on(ev.LinkLost('agent-1', 'i1'))
    assert case.refusal() == (ErrorKind.BACKEND_LOST, Ran.MAYBE)


def test_refusals_before_a_crash_leave_an_attempt_to_run_alone():
    case = make_run(idempotent=True, max_attempts=3)
    for agent in ('agent-2', 'agent-3'):
        case.fail(ErrorKind.OVERLOADED, Ran.NO).fire().route(agent)
    case.fail(ErrorKind.BACKEND_LOST, Ran.MAYBE).fire().route('agent-4')
    assert case.find(ev.SendDispatch).alone
    case.fail(ErrorKind.BACKEND_LOST, Ran.MAYBE)
    assert case.refusal() == (ErrorKind.QUARANTINED, Ran.MAYBE)


@pytest.mark.parametrize(
    'changes', [{'max_attempts': 1}, {'burst': 0.5}], ids=str
)
def test_retry_after_a_crash_stays_within_the_settings(changes):
    case = make_run(idempotent=True, **changes)
    case.fail(ErrorKind.BACKEND_LOST, Ran.MAYBE)
    assert case.refusal() == (ErrorKind.BACKEND_LOST, Ran.MAYBE)


def test_retries_stop_at_the_attempt_limit():
    case = Case(max_attempts=3)
    for agent in ('agent-1', 'agent-2'):
        case.route(agent).fail(ErrorKind.LEAVING, Ran.NO).fire()
    case.route('agent-3').fail(ErrorKind.LEAVING, Ran.NO)
    assert case.refusal() == (ErrorKind.LEAVING, Ran.NO)


def test_lost_link_of_another_incarnation_changes_nothing():
    case = make_run(idempotent=True)
    assert case.on(ev.LinkLost('agent-1', 'i0')).actions == ()


def test_broken_answer_is_never_spliced():
    case = make_run(idempotent=True).head().chunk()
    case.on(ev.IncarnationEnded('agent-1', 'i1'))
    assert case.refusal() == (ErrorKind.STREAM_BROKEN, Ran.MAYBE)


def test_stream_is_resumed_at_the_same_agent():
    case = make_run(idempotent=True).head('token').chunk()
    resume = case.on(ev.LinkLost('agent-1', 'i1')).find(ev.SendResume)
    assert (resume.token, resume.sequence, resume.attempt) == ('token', 1, 2)
    assert case.head('token').actions == ()
    assert case.chunk(b'more').actions == (ev.DeliverChunk(b'more'),)
    assert case.end().machine.done


def test_waiting_resume_is_sent_again_over_a_new_link():
    case = make_run(idempotent=True).head('token').chunk()
    case.on(ev.LinkLost('agent-1', 'i1'))
    assert case.on(ev.LinkUp('agent-1', 'i0')).actions == ()
    resume = case.on(ev.LinkUp('agent-1', 'i1')).find(ev.SendResume)
    assert (resume.sequence, resume.attempt) == (1, 3)
    case.head('token')
    assert case.on(ev.LinkUp('agent-1', 'i1')).actions == ()


@pytest.mark.parametrize('delivered', [False, True])
def test_answer_broken_in_transit_cancels_its_run(delivered):
    case = make_run(idempotent=True)
    if delivered:
        case.head().chunk()
    case.fail(ErrorKind.STREAM_BROKEN, Ran.MAYBE)
    assert case.actions[0] == ev.SendCancel('agent-1', 'i1', 1)
    assert case.machine.done is delivered


def test_claimed_run_is_not_cancelled_when_its_answer_breaks():
    case = make_claimed_run().head()
    case.fail(ErrorKind.STREAM_BROKEN, Ran.MAYBE).find(ev.QueryClaim)
    case.on(ev.DeadlinePassed())
    assert not any(isinstance(x, ev.SendCancel) for x in case.actions)


def test_unanswered_resume_breaks_the_stream():
    case = make_run(idempotent=True, max_queries=2).head('token').chunk()
    case.on(ev.LinkLost('agent-1', 'i1')).fire().fire()
    assert case.refusal() == (ErrorKind.STREAM_BROKEN, Ran.MAYBE)


def lose_server(case):
    case.fail(ErrorKind.BACKEND_LOST, Ran.MAYBE)


def lose_link(case):
    """Lose the link and leave every resume request unanswered."""
    case.on(ev.LinkLost('agent-1', 'i1'))
    while case.find(ev.StartTimer).kind is ev.TimerKind.RESUME:
        case.fire()


def lose_stream(case):
    case.on(ev.LinkLost('agent-1', 'i1')).find(ev.SendResume)
    case.fail(ErrorKind.STREAM_GONE, Ran.NO)


def lose_incarnation(case):
    case.on(ev.LinkLost('agent-1', 'i1'))
    case.on(ev.IncarnationEnded('agent-1', 'i1'))


LOSSES = [lose_server, lose_link, lose_stream, lose_incarnation]


@pytest.mark.parametrize('lose', LOSSES)
def test_stream_lost_before_its_first_chunk_is_run_again(lose):
    case = make_run(idempotent=True).head('token')
    assert case.actions == (ev.MarkResumable(),)
    lose(case)
    assert case.machine.ran is Ran.MAYBE
    assert case.fire().find(ev.Route).exclude == {'agent-1'}
    dispatch = case.route('agent-2', 'i2').find(ev.SendDispatch)
    assert dispatch.alone is (lose is lose_server)
    # The head and token of the first run must not be used for the second.
    assert case.machine.hand_over() is None
    case.head('other').chunk()
    head = ev.DeliverHead(201, (('a', 'b'),), 'other')
    assert case.actions == (head, ev.DeliverChunk(b'booked'))
    assert case.end().machine.done


def test_token_of_an_earlier_run_resumes_no_later_one():
    case = make_run(idempotent=True).head('token')
    lose_server(case)
    case.fire().route('agent-2', 'i2').on(ev.LinkLost('agent-2', 'i2'))
    assert not any(isinstance(x, ev.SendResume) for x in case.actions)


def test_second_crash_before_the_first_chunk_ends_the_request():
    case = make_run(idempotent=True).head('token')
    lose_server(case)
    case.fire().route('agent-2', 'i2').head('other')
    lose_server(case)
    assert case.refusal() == (ErrorKind.QUARANTINED, Ran.MAYBE)


@pytest.mark.parametrize('lose', [lose_server, lose_stream])
def test_lost_stream_of_a_non_idempotent_request_is_an_error(lose):
    case = make_run().head('token')
    lose(case)
    assert case.refusal() == (ErrorKind.BACKEND_LOST, Ran.MAYBE)


def test_held_head_is_delivered_with_the_resumed_chunks():
    case = make_run(idempotent=True).head('token')
    resume = case.on(ev.LinkLost('agent-1', 'i1')).find(ev.SendResume)
    assert (resume.token, resume.sequence) == ('token', 0)
    assert case.head('token').actions == ()
    head = ev.DeliverHead(201, (('a', 'b'),), 'token')
    assert case.chunk().actions == (head, ev.DeliverChunk(b'booked'))


def test_handed_over_stream_gets_its_head_once():
    case = make_run(idempotent=True)
    assert case.machine.hand_over() is None
    case.head('token')
    head = ev.DeliverHead(201, (('a', 'b'),), 'token')
    assert case.machine.hand_over() == (head,)
    assert case.machine.hand_over() == ()


@pytest.mark.parametrize('case', [make_claimed_run(), make_run()])
def test_run_without_a_token_is_not_handed_over(case):
    assert case.head().machine.hand_over() is None


def test_disconnect_cancels_a_run_without_a_claim():
    case = make_run().on(ev.CallerGone())
    assert [type(a) for a in case.actions] == [ev.SendCancel, ev.Done]


def test_stopping_entry_finishes_running_work_but_starts_none():
    case = make_run().on(ev.Stopping())
    assert case.actions == ()
    case.fail(ErrorKind.LEAVING, Ran.NO)
    assert case.refusal() == (ErrorKind.LEAVING, Ran.NO)
    assert make_run().on(ev.Stopping(immediate=True)).refusal() == (
        ErrorKind.STOPPING,
        Ran.MAYBE,
    )


def test_crashed_request_is_retried_alone_once():
    case = make_run(idempotent=True)
    case.fail(ErrorKind.BACKEND_LOST, Ran.MAYBE).fire()
    assert case.find(ev.Route).alone
    case.route('agent-2').fail(ErrorKind.OVERLOADED, Ran.NO).fire()
    assert case.find(ev.Route).exclude == {'agent-1'}
    case.route('agent-2').fail(ErrorKind.BACKEND_LOST, Ran.MAYBE)
    assert case.refusal() == (ErrorKind.QUARANTINED, Ran.MAYBE)


def test_suspect_is_cleared_by_running_alone():
    case = make_run(idempotent=True)
    case.fail(ErrorKind.BACKEND_LOST, Ran.MAYBE).fire().route('agent-2')
    case.head().end()
    assert case.find(ev.ClearSuspect).digest == 'd'


def test_resumable_answer_continues_at_another_server():
    case = make_run(resumable=True).head().chunk()
    case.fail(ErrorKind.STREAM_BROKEN, Ran.MAYBE)
    case.fire()
    assert case.find(ev.Route).exclude == frozenset({'agent-1'})
    case.route('agent-2', 'i2').head()
    assert case.chunk(b'rest').actions == (ev.DeliverChunk(b'rest'),)
    case.end()
    assert case.machine.done


def test_resumable_answer_respects_the_attempt_limit():
    case = make_run(resumable=True, max_attempts=2).head().chunk()
    case.fail(ErrorKind.STREAM_BROKEN, Ran.MAYBE).fire()
    case.route('agent-2', 'i2').head().chunk()
    case.fail(ErrorKind.STREAM_BROKEN, Ran.MAYBE)
    assert case.refusal() == (ErrorKind.STREAM_BROKEN, Ran.MAYBE)


def test_refusals_have_a_limit_separate_from_attempts():
    case = make_run(max_attempts=1, max_refusals=2)
    for agent in ('agent-2', 'agent-3'):
        case.fail(ErrorKind.OVERLOADED, Ran.NO).fire()
        case.route(agent, agent)
    case.fail(ErrorKind.OVERLOADED, Ran.NO)
    assert case.refusal() == (ErrorKind.OVERLOADED, Ran.NO)


def test_retries_of_refusals_use_the_budget():
    case = make_run(max_refusals=9, burst=1.0)
    case.fail(ErrorKind.OVERLOADED, Ran.NO).fire()
    case.route('agent-2', 'i2').fail(ErrorKind.OVERLOADED, Ran.NO)
    assert case.refusal() == (ErrorKind.OVERLOADED, Ran.NO)


def test_retry_is_reserved_only_if_a_failure_leads_to_another_run():
    assert make_run(idempotent=True).machine.reserve_retry()
    assert make_run(resumable=True).head().chunk().machine.reserve_retry()
    assert not make_run().machine.reserve_retry()
    begun = make_run(idempotent=True).head().chunk()
    assert not begun.machine.reserve_retry()
    once = make_run(idempotent=True, max_attempts=1)
    assert not once.machine.reserve_retry()
    assert not make_run(idempotent=True, burst=0.0).machine.reserve_retry()


def test_requests_that_fail_together_reserve_no_more_than_the_budget():
    budget = make_budget(1.0)
    first, second = (
        make_run(resumable=True, budget=budget).head().chunk() for _ in range(2)
    )
    assert first.machine.reserve_retry()
    assert not second.machine.reserve_retry()
    assert first.fail(ErrorKind.STREAM_BROKEN, Ran.MAYBE).find(ev.StartTimer)


def test_reserved_retry_is_withdrawn_from_the_budget_once():
    budget = make_budget(2.0)
    case = make_run(resumable=True, budget=budget).head().chunk()
    assert case.machine.reserve_retry()
    case.fail(ErrorKind.STREAM_BROKEN, Ran.MAYBE).fire()
    assert budget.tokens == 1
    case.route('agent-2', 'i2').fail(ErrorKind.STREAM_BROKEN, Ran.MAYBE)
    assert budget.tokens == 0
