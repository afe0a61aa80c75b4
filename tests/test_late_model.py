"""Retries of all entries as their servers read them, whatever stands still.

The failure it guards against: servers and links that held requests back let
more repeats arrive in one window than the platform allows.
"""

from __future__ import annotations

import hypothesis.strategies as st
import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from oleanderdyke.clock import SECOND
from oleanderdyke.kernel.outstanding_sends import Send, SendEnd
from oleanderdyke.kernel.retries import RetryShares
from tests.late_world import LateWorld

MOST_ENTRIES = 8
NUMBERS = st.integers(0, 9)
SHARES = st.sampled_from((0.3, 0.5, 0.7, 1.0))
STEP = 0.25 * SECOND


class LateRetries(RuleBasedStateMachine):
    """Draw what stands still, starts and ends, in series that overlap."""

    def __init__(self):
        super().__init__()
        self.world = LateWorld()

    @initialize(entries=st.integers(1, 6), servers=st.integers(1, 6))
    def begin(self, entries, servers):
        self.world.add_servers(servers)
        for _ in range(entries):
            self.world.start(is_first_start=True)
        self.world.advance(8 * SECOND)
        self.serve(20, 4, fails=False)

    def pick(self, number):
        entries = self.world.entries
        return entries[number % len(entries)]

    @rule(
        rate=st.integers(1, 30),
        seconds=st.sampled_from((1, 3, 6)),
        fails=st.booleans(),
    )
    def serve(self, rate, seconds, fails):
        """Let each entry get `rate` requests a second for a time."""
        for step in range(round(seconds * SECOND / STEP)):
            for entry in tuple(self.world.entries):
                count = rate * (step + 1) // 4 - rate * step // 4
                self.world.send(entry, count, fails=fails)
            self.world.advance(STEP)

    @rule(number=NUMBERS, count=st.integers(1, 60), fails=st.booleans())
    def send_herd(self, number, count, fails):
        self.world.send(self.pick(number), count, fails=fails)

    @rule(seconds=st.sampled_from((0.1, 1.0, 4.0, 11.0, 26.0)))
    def wait(self, seconds):
        self.world.advance(seconds * SECOND)

    @rule(number=NUMBERS)
    def pause(self, number):
        self.world.pause(number)

    @rule()
    def pause_all(self):
        for number in range(len(self.world.servers)):
            self.world.pause(number)

    @rule(number=NUMBERS, share=SHARES, is_resetting=st.booleans())
    def leave_unread(self, number, share, is_resetting):
        """Leave a share of the connections of one server unread."""
        self.world.pause(number, share, is_resetting=is_resetting)

    @rule(share=SHARES, is_resetting=st.booleans())
    def leave_unread_at_all(self, share, is_resetting):
        for number in range(len(self.world.servers)):
            self.world.pause(number, share, is_resetting=is_resetting)

    @rule(
        total=st.integers(30, 100),
        seconds=st.sampled_from((6, 12, 25)),
        share=SHARES,
        is_resetting=st.booleans(),
        starts=st.sampled_from((0, 0, 4, 8)),
    )
    def serve_unread(self, total, seconds, share, is_resetting, starts):
        """Leave connections of all servers unread under steady load.

        All entries start again that often meanwhile.
        """
        rate = total // len(self.world.entries)
        self.leave_unread_at_all(share, is_resetting)
        for _ in range(starts):
            self.serve(rate, seconds / starts, fails=True)
            for entry in tuple(self.world.entries):
                self.world.restart(entry)
        self.serve(rate, 0 if starts else seconds, fails=True)
        self.resume_all()
        self.serve(rate, 10, fails=True)

    @rule(number=NUMBERS)
    def resume(self, number):
        self.world.resume(number)

    @rule()
    def resume_all(self):
        for number in range(len(self.world.servers)):
            self.world.resume(number)

    @rule(number=NUMBERS)
    def restart_server(self, number):
        self.world.restart_server(number)

    @rule(number=NUMBERS)
    def reset_connections(self, number):
        self.world.reset_connections(number)

    @rule(number=NUMBERS, server=NUMBERS)
    def silence_link(self, number, server):
        self.world.silence_link(self.pick(number), server)

    @rule()
    def silence_all_links(self):
        for entry in self.world.entries:
            for number in range(len(self.world.servers)):
                self.world.silence_link(entry, number)

    @rule()
    def heal_links(self):
        self.world.heal_links()

    @rule(number=NUMBERS, seconds=st.sampled_from((0.5, 5.0, 15.0)))
    def freeze(self, number, seconds):
        self.world.freeze(self.pick(number), seconds * SECOND)

    @rule(number=NUMBERS, count=st.integers(1, 4))
    def restart_in_series(self, number, count):
        """Kill an entry in series; it gets requests in between."""
        for _ in range(count):
            self.world.restart(self.pick(number))
            self.serve(20, 3, fails=True)

    @rule(number=NUMBERS)
    def replace(self, number):
        """Start the next process of an entry while the last one drains."""
        entry = self.pick(number)
        self.world.leave(entry)
        self.world.start(entry.name)

    @rule()
    @precondition(lambda self: len(self.world.entries) < MOST_ENTRIES)
    def add(self):
        self.world.start()

    def teardown(self):
        for number in range(len(self.world.servers)):
            self.world.resume(number)
        self.world.heal_links()
        self.world.advance(6 * SECOND)
        excess = self.world.find_excess()
        assert excess is None, excess


TestLateRetries = LateRetries.TestCase
TestLateRetries.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
)


def trust_later_answers(monkeypatch):
    """Take an answer for the arrival of all earlier sends to its server."""
    record_answer = Send.record_answer

    def record_earlier(self):
        record_answer(self)
        for send in tuple(self.request.service._by_start.get(self.start, ())):
            if send.sent_at < self.sent_at:
                send.arrive(SendEnd.ANSWERED)

    monkeypatch.setattr(Send, 'record_answer', record_earlier)


def trust_closes(monkeypatch):
    """Take a closed connection for the end of what was sent over it."""
    give_up = Send.give_up

    def end(self, *, is_closed):
        if is_closed:
            self.arrive(SendEnd.ANSWERED)
        else:
            give_up(self, is_closed=False)

    monkeypatch.setattr(Send, 'give_up', end)


def trust_starts(monkeypatch):
    """Let each process of an entry save up a whole share at once."""
    monkeypatch.setattr(RetryShares, 'may_have_earlier', lambda _: False)


@pytest.mark.parametrize(
    'trust', [trust_later_answers, trust_closes, trust_starts]
)
def test_unsafe_guess_is_caught(monkeypatch, trust):
    trust(monkeypatch)
    drawn = settings(TestLateRetries.settings, phases=[Phase.generate])
    with pytest.raises(AssertionError, match='Excess'):
        run_state_machine_as_test(LateRetries, settings=drawn)


# A reset of the link was taken for the server's own, which reads nothing more.
@pytest.mark.parametrize(
    ('entries', 'rate', 'every'), [(3, 30, 1), (3, 30, 2), (6, 20, 1)]
)
def test_links_that_are_reset_while_servers_stand_still_keep_to_the_limit(
    entries, rate, every
):
    machine = LateRetries()
    machine.begin(entries=entries, servers=6)
    machine.serve(rate, 5, fails=False)
    machine.pause_all()
    for step in range(48):
        machine.serve(rate, 0.25, fails=True)
        for number in range(6 if step % every == 0 else 0):
            machine.world.reset_connections(number)
    machine.resume_all()
    machine.serve(rate, 10, fails=True)
    machine.teardown()


# The next process of an entry saved up a share anew, while servers had not read
# yet what the last one had sent.
@pytest.mark.parametrize(
    ('entries', 'rate', 'pause'), [(3, 30, 12), (3, 10, 20), (6, 7, 12)]
)
def test_entries_that_start_again_while_servers_stand_still_keep_to_the_limit(
    entries, rate, pause
):
    machine = LateRetries()
    machine.begin(entries=entries, servers=6)
    machine.serve(rate, 5, fails=False)
    machine.pause_all()
    for _ in range(6):
        machine.serve(rate, pause / 6, fails=True)
        for entry in tuple(machine.world.entries):
            machine.world.restart(entry)
    machine.resume_all()
    machine.serve(rate, 10, fails=True)
    machine.teardown()


# Servers that answered the next process of an entry were taken to have read
# what the last one had sent over other connections.
@pytest.mark.parametrize('is_resetting', [False, True])
@pytest.mark.parametrize(('entries', 'rate'), [(3, 30), (6, 15)])
def test_starts_in_series_keep_to_the_limit_while_connections_are_unread(
    entries, rate, is_resetting
):
    machine = LateRetries()
    machine.begin(entries=entries, servers=6)
    machine.serve(rate, 40, fails=False)
    machine.leave_unread_at_all(0.5, is_resetting)
    for _ in range(8):
        machine.serve(rate, 3, fails=True)
        for entry in tuple(machine.world.entries):
            machine.world.restart(entry)
    machine.resume_all()
    machine.serve(rate, 10, fails=True)
    machine.teardown()


def play_unread(entries, rate, seconds, share, *, fails, is_resetting=False):
    """Leave connections of all servers unread for a time."""
    machine = LateRetries()
    machine.begin(entries=entries, servers=6)
    machine.serve(rate, 5, fails=False)
    machine.leave_unread_at_all(share, is_resetting)
    machine.serve(rate, seconds, fails=fails)
    machine.resume_all()
    machine.serve(rate, 10, fails=fails)
    machine.teardown()


# An answer over one connection was taken for the arrival of what had been sent
# over another one, which its server had not read.
def test_answers_over_other_connections_do_not_free_retries():
    for entries, rate in ((3, 30), (6, 15)):
        for share in (0.3, 0.5, 0.7):
            play_unread(entries, rate, 25, share, fails=True)
            play_unread(entries, rate, 25, share, fails=False)


# A connection that was closed quickly was taken for the end of what had been
# sent over it, which a proxy delivered later.
def test_quick_closes_do_not_free_retries():
    for entries, rate in ((3, 30), (6, 15)):
        for share in (0.5, 1.0):
            play_unread(entries, rate, 12, share, fails=True, is_resetting=True)
