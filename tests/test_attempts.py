from __future__ import annotations

from random import Random

import pytest

from oleanderdyke.errors import ErrorKind, Ran
from oleanderdyke.kernel import attempt_events as ev
from oleanderdyke.kernel.attempts import (
    MachineSettings,
    RequestFacts,
    RequestMachine,
)
from oleanderdyke.kernel.claim_records import (
    BODY_BOUND,
    OutcomeRecord,
    ReleaseRecord,
    WithdrawRecord,
)
from oleanderdyke.kernel.claims import (
    Conflict,
    Finished,
    Free,
    Owned,
    OwnedByOther,
)
from oleanderdyke.kernel.demand import Plan, Refusal, Replica
from oleanderdyke.kernel.receipts import RECEIPT_HEADER
from oleanderdyke.kernel.retries import RetryBudget, RetrySettings
from oleanderdyke.links.messages import (
    AgentPhase,
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    BackendKind,
    Failed,
    Load,
)
from oleanderdyke.links.messages.claims import Claim, ClaimAnswer, ClaimState

KEY = 'ab' * 20
MINE = Claim(7, 1, KEY, 'agent-1', 'i1', 3)
OTHER = Claim(5, 0, KEY, 'agent-2', 'i2', 9)
OUTCOME = OutcomeRecord(KEY, 5, 0, 201, (('a', 'b'),), b'booked')


def make_replica(agent: str = 'agent-1', incarnation: str = 'i1') -> Replica:
    return Replica(
        agent=agent,
        address='',
        incarnation=incarnation,
        backend=BackendKind.PLAIN,
        service='taquilla',
        data_centre='',
        phase=AgentPhase.SERVING,
        load=Load(),
        beat=3,
        heard=0.0,
    )


class Case:
    """Drive one machine and keep its latest actions."""

    def __init__(
        self,
        *,
        idempotent=False,
        resumable=False,
        key='',
        verdict=None,
        burst=20.0,
        **settings,
    ):
        facts = RequestFacts(
            request='r1',
            team='team-1',
            service='taquilla',
            digest='d',
            appender='entry-1',
            idempotent=idempotent,
            key=key,
            resumable=resumable,
        )
        self.machine = RequestMachine(
            facts,
            settings=MachineSettings(**settings),
            budget=RetryBudget(RetrySettings(burst=burst), Random(1)),
        )
        if key and verdict is None:
            verdict = Free()
        self.actions = self.machine.start(0.0, verdict)
        self.attempt = 0

    def on(self, event):
        self.actions = self.machine.on(event, 0.0)
        for action in self.actions:
            if isinstance(action, ev.SendDispatch | ev.SendResume):
                self.attempt = action.attempt
        return self

    def route(self, agent='agent-1', incarnation='i1'):
        replica = make_replica(agent, incarnation)
        return self.on(ev.Routed(Plan(agent, ''), replica))

    def claim(self, verdict=None, number=1):
        settled = ev.ClaimSettled(f'r1.{number}', verdict or Owned(MINE))
        return self.on(settled)

    def fail(self, kind, ran):
        return self.on(ev.Received(Failed('r1', self.attempt, kind, ran)))

    def head(self, resume=''):
        head = AnswerHead('r1', self.attempt, 201, (('a', 'b'),), resume)
        return self.on(ev.Received(head))

    def chunk(self, data=b'booked'):
        return self.on(ev.Received(AnswerChunk('r1', self.attempt, 0, data)))

    def end(self):
        return self.on(ev.Received(AnswerEnd('r1', self.attempt, 1, b'')))

    def answer(self, state, claim=MINE, status=201, body=b'booked'):
        answer = ClaimAnswer('r1', claim, state, status, (('a', 'b'),), body)
        return self.on(ev.ClaimAnswered(answer))

    def fire(self):
        """Fire the timer that was started last."""
        timer = self.find(ev.StartTimer)
        return self.on(ev.TimerFired(timer.kind, timer.number))

    def find(self, kind):
        found = [action for action in self.actions if isinstance(action, kind)]
        assert found, (kind, self.actions)
        return found[-1]

    def refusal(self):
        assert self.machine.done
        refuse = self.find(ev.Refuse)
        return refuse.kind, refuse.ran


def make_run(**changes) -> Case:
    return Case(**changes).route()


def make_claimed_run() -> Case:
    return Case(key=KEY).route().claim()


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


def test_attempt_proven_not_run_goes_elsewhere():
    case = make_run().fail(ErrorKind.LEAVING, Ran.NO).fire()
    assert case.find(ev.Route).exclude == {'agent-1'}
    case.route('agent-2')
    assert case.find(ev.SendDispatch).attempt == 2


def test_unsent_attempt_goes_elsewhere():
    case = make_run().on(ev.Unsent(1)).fire()
    assert case.find(ev.Route).exclude == {'agent-1'}


@pytest.mark.parametrize(
    'failure',
    [
        Failed('r1', 1, ErrorKind.BACKEND_LOST, Ran.MAYBE),
        Failed('r1', 1, ErrorKind.BACKEND_FAILED, Ran.YES),
    ],
)
def test_what_may_have_run_is_not_sent_again(failure):
    case = make_run().on(ev.Received(failure))
    assert case.refusal() == (failure.kind, failure.ran)


NO_REPLICA = ev.NoRoute(Refusal(ErrorKind.NO_REPLICA, '', 5.0))


def test_lost_run_waits_for_a_replica_and_is_sent_again():
    case = make_run(idempotent=True).on(ev.LinkLost('agent-1', 'i1')).fire()
    assert case.find(ev.Route).exclude == {'agent-1'}
    # The server that was lost counts again when no other serves.
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


def test_retries_end_with_the_budget_at_once():
    case = make_run(idempotent=True, burst=0.5)
    case.on(ev.LinkLost('agent-1', 'i1'))
    assert case.refusal() == (ErrorKind.BACKEND_LOST, Ran.MAYBE)


def test_refusals_before_a_crash_do_not_cost_the_run_alone():
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
def test_crash_is_no_reason_to_exceed_the_settings(changes):
    case = make_run(idempotent=True, **changes)
    case.fail(ErrorKind.BACKEND_LOST, Ran.MAYBE)
    assert case.refusal() == (ErrorKind.BACKEND_LOST, Ran.MAYBE)


def test_retries_end_with_the_attempts():
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
def test_answer_that_broke_on_its_way_cancels_its_run(delivered):
    case = make_run(idempotent=True)
    if delivered:
        case.head().chunk()
    case.fail(ErrorKind.STREAM_BROKEN, Ran.MAYBE)
    assert case.actions[0] == ev.SendCancel('agent-1', 'i1', 1)
    assert case.machine.done is delivered


def test_claimed_answer_that_broke_on_its_way_is_never_cancelled():
    case = make_claimed_run().head()
    case.fail(ErrorKind.STREAM_BROKEN, Ran.MAYBE).find(ev.AskClaim)
    case.on(ev.DeadlinePassed())
    assert not any(isinstance(x, ev.SendCancel) for x in case.actions)


def test_resume_that_is_never_answered_ends_the_stream():
    case = make_run(idempotent=True, max_asks=2).head('token').chunk()
    case.on(ev.LinkLost('agent-1', 'i1')).fire().fire()
    assert case.refusal() == (ErrorKind.STREAM_BROKEN, Ran.MAYBE)


def lose_server(case):
    case.fail(ErrorKind.BACKEND_LOST, Ran.MAYBE)


def lose_link(case):
    """Lose a link and what was asked for over the next one."""
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
    assert case.actions == (ev.NoteResumable(),)
    lose(case)
    assert case.machine.ran is Ran.MAYBE
    assert case.fire().find(ev.Route).exclude == {'agent-1'}
    dispatch = case.route('agent-2', 'i2').find(ev.SendDispatch)
    assert dispatch.alone is (lose is lose_server)
    # Nothing of the first run may stand in for what the second one lacks.
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
def test_lost_stream_that_may_not_repeat_gets_the_typed_error(lose):
    case = make_run().head('token')
    lose(case)
    assert case.refusal() == (ErrorKind.BACKEND_LOST, Ran.MAYBE)


def test_held_head_goes_out_with_the_rest_of_its_run():
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


def test_receipt_is_recorded_before_it_is_delivered():
    case = make_claimed_run().head().chunk()
    assert case.actions == ()
    record = case.end().find(ev.AppendOutcome).record
    assert (record.offset, record.index, record.body) == (7, 1, b'booked')
    case.on(ev.OutcomeRecorded())
    assert (RECEIPT_HEADER, 'recorded') in case.find(ev.DeliverHead).headers
    assert case.machine.done


@pytest.mark.parametrize('event', [ev.OutcomeFailed(), ev.DeadlinePassed()])
def test_receipt_that_is_not_recorded_says_so(event):
    case = make_claimed_run().head().chunk().end().on(event)
    head = case.find(ev.DeliverHead)
    assert (RECEIPT_HEADER, 'unrecorded') in head.headers


def test_long_receipt_flows_and_only_its_digest_is_recorded():
    case = make_claimed_run().head().chunk(b'x' * (BODY_BOUND + 1))
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


def test_caller_gone_while_claiming_withdraws_in_silence():
    case = Case(key=KEY).route().on(ev.CallerGone())
    assert [type(a) for a in case.actions] == [ev.AppendRelease, ev.Done]


def test_refused_claim_is_released_with_the_next_claim():
    case = make_claimed_run().fail(ErrorKind.LEAVING, Ran.NO).fire()
    append = case.route('agent-2', 'i2').find(ev.AppendClaim)
    assert append.release == ReleaseRecord(KEY, 7, 1, 'i1')
    assert append.record.claim_id == 'r1.2'


def test_refused_claim_is_released_on_giving_up():
    case = make_claimed_run().fail(ErrorKind.FORBIDDEN, Ran.NO)
    assert case.refusal() == (ErrorKind.FORBIDDEN, Ran.NO)
    assert case.find(ev.AppendRelease).record.offset == 7


def test_lost_link_asks_the_agent():
    case = make_claimed_run().on(ev.LinkLost('agent-1', 'i1'))
    assert case.find(ev.AskClaim).claim == MINE
    case.answer(ClaimState.UNKNOWN)
    assert case.refusal() == (ErrorKind.OUTCOME_UNKNOWN, Ran.MAYBE)


def test_answer_found_by_asking_is_recorded_and_delivered():
    case = make_claimed_run().head().chunk(b'boo')
    case.on(ev.LinkLost('agent-1', 'i1')).answer(ClaimState.FINISHED)
    assert case.find(ev.AppendOutcome).record.body == b'booked'


def test_barred_claim_is_tried_again_elsewhere():
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
    assert case.find(ev.AskClaim).agent == 'agent-2'
    case.answer(ClaimState.RUNNING, OTHER).fire()
    assert case.find(ev.AskClaim)
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
def test_second_call_never_says_not_run(event, kind):
    case = Case(key=KEY, verdict=OwnedByOther(OTHER)).on(event)
    assert case.refusal() == (kind, Ran.MAYBE)


@pytest.mark.parametrize('event', [ev.CallerGone(), ev.DeadlinePassed()])
def test_claimed_run_is_recorded_after_its_caller_has_left(event):
    case = make_claimed_run().on(event)
    assert not case.machine.done
    case.head().chunk().end()
    assert case.find(ev.AppendOutcome)
    assert case.on(ev.OutcomeRecorded()).actions == (ev.Done(),)


def test_caller_gone_cancels_what_needs_no_record():
    case = make_run().on(ev.CallerGone())
    assert [type(a) for a in case.actions] == [ev.SendCancel, ev.Done]


def test_planned_stop_lets_running_work_end_but_starts_none():
    case = make_run().on(ev.Stopping())
    assert case.actions == ()
    case.fail(ErrorKind.LEAVING, Ran.NO)
    assert case.refusal() == (ErrorKind.LEAVING, Ran.NO)
    assert make_run().on(ev.Stopping(hurry=True)).refusal() == (
        ErrorKind.STOPPING,
        Ran.MAYBE,
    )


def test_crashed_request_is_tried_alone_once():
    case = make_run(idempotent=True)
    case.fail(ErrorKind.BACKEND_LOST, Ran.MAYBE).fire()
    assert case.find(ev.Route).alone
    case.route('agent-2').fail(ErrorKind.OVERLOADED, Ran.NO).fire()
    assert case.find(ev.Route).exclude == {'agent-1'}
    case.route('agent-2').fail(ErrorKind.BACKEND_LOST, Ran.MAYBE)
    assert case.refusal() == (ErrorKind.QUARANTINED, Ran.MAYBE)


def test_innocent_request_is_cleared_by_running_alone():
    case = make_run(idempotent=True)
    case.fail(ErrorKind.BACKEND_LOST, Ran.MAYBE).fire().route('agent-2')
    case.head().end()
    assert case.find(ev.ClearSuspect).digest == 'd'


def test_a_resumable_answer_goes_on_at_another_server():
    case = make_run(resumable=True).head().chunk()
    case.fail(ErrorKind.STREAM_BROKEN, Ran.MAYBE)
    case.fire()
    assert case.find(ev.Route).exclude == frozenset({'agent-1'})
    case.route('agent-2', 'i2').head()
    assert case.chunk(b'rest').actions == (ev.DeliverChunk(b'rest'),)
    case.end()
    assert case.machine.done


def test_a_resumable_answer_runs_no_more_often_than_allowed():
    case = make_run(resumable=True, max_attempts=2).head().chunk()
    case.fail(ErrorKind.STREAM_BROKEN, Ran.MAYBE).fire()
    case.route('agent-2', 'i2').head().chunk()
    case.fail(ErrorKind.STREAM_BROKEN, Ran.MAYBE)
    assert case.refusal() == (ErrorKind.STREAM_BROKEN, Ran.MAYBE)


def test_what_did_not_run_is_tried_elsewhere_beside_the_attempts():
    case = make_run(max_attempts=1, max_refusals=2)
    for agent in ('agent-2', 'agent-3'):
        case.fail(ErrorKind.OVERLOADED, Ran.NO).fire()
        case.route(agent, agent)
    case.fail(ErrorKind.OVERLOADED, Ran.NO)
    assert case.refusal() == (ErrorKind.OVERLOADED, Ran.NO)


def test_refusals_draw_on_the_budget_too():
    case = make_run(max_refusals=9, burst=1.0)
    case.fail(ErrorKind.OVERLOADED, Ran.NO).fire()
    case.route('agent-2', 'i2').fail(ErrorKind.OVERLOADED, Ran.NO)
    assert case.refusal() == (ErrorKind.OVERLOADED, Ran.NO)


def test_a_failure_is_welcome_only_where_it_leads_to_another_run():
    assert make_run(idempotent=True).machine.may_run_elsewhere()
    assert make_run(resumable=True).head().chunk().machine.may_run_elsewhere()
    assert not make_run().machine.may_run_elsewhere()
    begun = make_run(idempotent=True).head().chunk()
    assert not begun.machine.may_run_elsewhere()
    once = make_run(idempotent=True, max_attempts=1)
    assert not once.machine.may_run_elsewhere()
    assert not make_run(idempotent=True, burst=0.0).machine.may_run_elsewhere()
