"""Which sends may still arrive as repeats, and what they take of a budget."""

from __future__ import annotations

from random import Random

import pytest

from oleanderdyke.clock import MINUTE, SECOND
from oleanderdyke.kernel.outstanding_sends import OutstandingSends
from oleanderdyke.kernel.presence import EntryCount
from oleanderdyke.kernel.retries import (
    RequestRetries,
    RetryLimits,
    RetrySettings,
    RetryShares,
    SharedBudget,
)
from oleanderdyke.kernel.servers import ServerStart

ONE, OTHER = ServerStart('one'), ServerStart('other')
SETTINGS = RetrySettings(share=0.2, burst=4.0)


class Scene:
    def __init__(self):
        self.now = 0.0
        self.sends = OutstandingSends(lambda: self.now)
        self.budget = SharedBudget(lambda: SETTINGS, Random(1), self.sends)
        self.deposit(100)

    def deposit(self, count):
        for _ in range(count):
            self.budget.deposit()

    def open(self):
        return RequestRetries(self.budget, self.sends.open(self.budget.refund))

    def leave_unread(self, start=ONE, *, is_closed=False):
        """Send a request that its server leaves unread, and again elsewhere."""
        request = self.open()
        left = request.sends.begin(start)
        assert request.try_withdraw()
        left.give_up(is_closed=is_closed)
        request.sends.begin(OTHER).record_answer()
        return request


def make_shares(scene):
    """Return the budgets of an entry that others count."""
    count = EntryCount('front', is_first_start=False)
    shares = RetryShares(
        'front',
        count,
        RetryLimits,
        random=Random(1),
        now=lambda: scene.now,
    )
    for _ in range(2):
        count.record_announcement(scene.now)
        count.record_entry('front', scene.now)
        count.record_read(scene.now)
    return shares


@pytest.fixture
def scene():
    return Scene()


def test_first_send_is_no_repeat(scene):
    request = scene.open()
    request.sends.begin(ONE)
    assert scene.sends.repeats == 0
    assert scene.budget.tokens == 4


def test_retry_that_waits_to_be_sent_counts(scene):
    request = scene.open()
    request.sends.begin(ONE).record_answer()
    assert request.try_withdraw()
    assert (scene.sends.repeats, scene.sends.reserved) == (1, 1)
    request.sends.close()
    assert (scene.sends.repeats, scene.sends.reserved) == (0, 0)


# A retry of a request that was never sent used up one that another needed.
def test_request_that_was_never_sent_is_sent_again_for_free(scene):
    request = scene.open()
    request.sends.record_unsent()
    assert request.try_withdraw()
    assert (scene.budget.tokens, scene.sends.repeats) == (4, 0)
    request.sends.begin(OTHER).record_answer()
    assert request.try_withdraw()
    assert scene.budget.tokens == 3


# A retry that was paid for and never sent was lost.
@pytest.mark.parametrize('end', ['close', 'record_unsent'])
def test_retry_that_is_not_sent_is_given_back(scene, end):
    request = scene.open()
    request.sends.begin(ONE).record_answer()
    assert request.try_withdraw()
    getattr(request.sends, end)()
    assert (scene.budget.tokens, scene.sends.repeats) == (4, 0)


def test_unread_send_counts_after_its_repeat_was_answered(scene):
    scene.leave_unread()
    assert scene.sends.repeats == 1
    scene.deposit(100)
    assert scene.budget.tokens == 3


# Servers answer over some connections while they leave others unread.
def test_answer_to_a_later_send_does_not_show_that_earlier_ones_arrived(scene):
    scene.leave_unread()
    scene.open().sends.begin(OTHER).record_answer()
    scene.open().sends.begin(ONE).record_answer()
    assert scene.sends.repeats == 1


def test_answer_to_an_earlier_send_shows_nothing(scene):
    answered = scene.open().sends.begin(ONE)
    scene.leave_unread()
    answered.record_answer()
    assert scene.sends.repeats == 1


def test_end_of_the_start_ends_its_sends(scene):
    scene.leave_unread()
    scene.sends.record_ended(OTHER)
    assert scene.sends.repeats == 1
    scene.sends.record_ended(ONE)
    assert scene.sends.repeats == 0


# A proxy closes a connection as quickly as a server does, and passes on later.
@pytest.mark.parametrize('after', [0, 10, 200])
@pytest.mark.parametrize('is_heard', [False, True])
def test_close_does_not_show_that_a_send_arrived(scene, is_heard, after):
    request = scene.open()
    lost = request.sends.begin(ONE)
    scene.now += after
    if is_heard:
        scene.open().sends.begin(ONE).record_answer()
    lost.give_up(is_closed=True)
    assert request.try_withdraw()
    request.sends.begin(OTHER).record_answer()
    assert scene.sends.repeats == 1


def test_tokens_and_unread_sends_never_exceed_the_burst(scene):
    for _ in range(4):
        scene.leave_unread()
    scene.deposit(100)
    assert scene.budget.tokens == 0
    assert not scene.open().try_withdraw()


# Requests of an earlier process may lie unread whatever the servers answer.
def test_next_process_of_an_entry_saves_up_one_retry_at_first(scene):
    shares = make_shares(scene)
    budget = shares.find('desk')
    for _ in range(100):
        budget.deposit()
    assert budget.tokens == 1
    scene.now = 31 * SECOND
    for _ in range(100):
        budget.deposit()
    assert budget.tokens > 1


def test_first_process_of_an_entry_saves_up_as_others(scene):
    shares = make_shares(scene)
    shares.record_first_process()
    budget = shares.find('desk')
    for _ in range(100):
        budget.deposit()
    assert budget.tokens > 1


def test_only_send_of_a_request_that_failed_is_no_repeat(scene):
    request = scene.open()
    request.sends.begin(ONE).give_up(is_closed=False)
    assert scene.sends.unread == 1
    request.sends.close()
    assert (scene.sends.unread, scene.sends.repeats) == (0, 0)


# Sends to servers that are lost for good would hold all retries for ever.
@pytest.mark.parametrize(('is_closed', 'after'), [(False, 30), (True, 10)])
def test_sends_given_up_long_ago_leave_half_of_the_burst(
    scene, is_closed, after
):
    for _ in range(4):
        scene.leave_unread(is_closed=is_closed)
    scene.now = (after - 1) * SECOND
    scene.deposit(100)
    assert scene.budget.tokens == 0
    scene.now = (after + 2) * SECOND
    scene.deposit(100)
    assert scene.budget.tokens == 2
    scene.now = 2 * MINUTE + 2 * SECOND
    scene.deposit(100)
    assert scene.budget.tokens == 4


# Requests with two unread sends each were counted twice among the old ones, and
# recent ones not at all.
def test_sends_given_up_long_ago_do_not_hide_recent_ones(scene):
    for _ in range(4):
        request = scene.open()
        request.sends.begin(ONE).give_up(is_closed=False)
        request.sends.plan(is_paid=True)
        request.sends.begin(OTHER).give_up(is_closed=False)
    scene.now = 32 * SECOND
    scene.deposit(100)
    scene.leave_unread()
    scene.deposit(100)
    assert scene.budget.tokens == 1


# Each connection that fails would take a retry for good.
def test_connections_that_fail_for_a_week_leave_retries(scene):
    hour, retried = 60 * MINUTE, 0
    for second in range(7 * 24 * 60 * 60 // 10):
        scene.now = second * 10 * SECOND
        scene.deposit(10)
        request = scene.open()
        lost = request.sends.begin(ONE)
        if request.try_withdraw():
            lost.give_up(is_closed=False)
            request.sends.begin(OTHER).record_answer()
            retried += scene.now > 7 * 24 * hour - hour
        request.sends.close()
    assert retried >= 60 * MINUTE / (30 * SECOND)
