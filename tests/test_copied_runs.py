"""Check when the state machine of a request goes on at a copy of its run."""

from __future__ import annotations

import pytest

from oleanderdyke.errors import ErrorKind, Ran
from oleanderdyke.kernel import attempt_events as ev
from oleanderdyke.kernel.demand import Refusal
from oleanderdyke.links.messages import Failed
from tests.attempt_case import make_run

MISSING = ev.NoRoute(Refusal(ErrorKind.STREAM_BROKEN, '', 0.0))


def lose(case, copy='agent-2'):
    failed = Failed('r1', case.attempt, ErrorKind.STREAM_BROKEN, Ran.MAYBE)
    return case.on(ev.MessageReceived(failed, copy))


def make_lost_run(**settings):
    return lose(make_run(**settings).head().chunk())


def test_lost_run_is_routed_to_its_copy_at_once_after_a_cancel():
    case = make_lost_run(max_attempts=1)
    assert [type(each) for each in case.actions] == [ev.SendCancel, ev.Route]
    assert case.find(ev.Route).copy == 'agent-2'
    case.route('agent-2').head()
    # The caller has the head of the first attempt.
    assert case.chunk(b'on').actions == (ev.DeliverChunk(b'on'),)


@pytest.mark.parametrize('resumable', [False, True])
def test_copy_is_used_once(resumable):
    case = make_lost_run(resumable=resumable).route('agent-2')
    lose(case, 'agent-3')
    routes = [each for each in case.actions if isinstance(each, ev.Route)]
    assert not routes


@pytest.mark.parametrize(
    'answer',
    [
        ev.DispatchNotSent(2),
        MISSING,
        ev.MessageReceived(Failed('r1', 2, ErrorKind.OVERLOADED, Ran.NO)),
    ],
)
@pytest.mark.parametrize('resumable', [False, True])
def test_missing_copy_leads_to_a_retry_only_if_a_run_may_be_repeated(
    answer, resumable
):
    case = make_lost_run(resumable=resumable)
    if answer is not MISSING:
        case.route('agent-2')
    case.on(answer)
    assert case.machine.done is not resumable
    if not resumable:
        assert case.refusal() == (ErrorKind.STREAM_BROKEN, Ran.MAYBE)


def test_no_copy_is_used_while_the_entry_stops():
    case = make_run().head().chunk().on(ev.Stopping())
    assert lose(case).refusal() == (ErrorKind.STREAM_BROKEN, Ran.MAYBE)


def test_no_copy_is_used_without_a_retry_in_the_budget():
    case = make_lost_run(burst=0.0)
    assert case.refusal() == (ErrorKind.STREAM_BROKEN, Ran.MAYBE)


def test_copy_counts_as_a_retry_where_retries_are_allowed():
    case = make_lost_run(resumable=True, max_attempts=1)
    assert case.refusal() == (ErrorKind.STREAM_BROKEN, Ran.MAYBE)
