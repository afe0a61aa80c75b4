"""An entry selects servers for calls that were tried or that waited.

Engines fail or news of other entries ends while a service lacks room.
"""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from oleanderdyke.entry.hosted import selection
from oleanderdyke.entry.hosted.selection import Rejection, ServerSelector
from oleanderdyke.errors import ErrorKind
from oleanderdyke.kernel.scheduling.placement import CallDemand, Choice
from oleanderdyke.kernel.send_limits import Obstacle

CHOICE = Choice(SimpleNamespace(), score=1.0, candidates=1, expected=1.0)
REFUSED = Rejection(ErrorKind.OVERLOADED, 'no room')


class Admission:
    """Answer as the test sets it."""

    answer: Choice | Rejection | None = REFUSED
    has_news = True
    left = 0

    def is_informed(self, _now):
        return self.has_news

    def admit(self, _call, _choice, _now):
        return self.answer

    def leave(self, _call):
        self.left += 1


@pytest.fixture
def choices(monkeypatch):
    """Return the choices to come, None for no server."""
    found = []
    monkeypatch.setattr(
        selection, 'make_demand', lambda *_: CallDemand('desk', '')
    )
    monkeypatch.setattr(selection, 'choose_among', lambda *_: found.pop(0))
    monkeypatch.setattr(selection, 'find_obstacle', lambda *_: Obstacle.REGION)
    return found


def make_selector(admission):
    scheduler = SimpleNamespace(admission=admission)
    core = SimpleNamespace(
        clock=SimpleNamespace(now=lambda: 0.0),
        backends=SimpleNamespace(list_service=lambda *_: ()),
        scheduling=SimpleNamespace(
            find_scheduler=lambda _: scheduler, record_left=admission.leave
        ),
    )
    parameters = SimpleNamespace(demand=None)
    call = SimpleNamespace(
        service='desk', deadline=9_000.0, parameters=parameters
    )
    return ServerSelector(core, call)


def test_a_call_that_was_tried_is_not_refused_after_a_wait_for_servers(choices):
    selector = make_selector(Admission())
    choices += [None, None, CHOICE]
    assert isinstance(selector.select(frozenset({'engine-1'})), Rejection)
    assert selector.select(frozenset()) is CHOICE


def test_a_call_that_waited_frees_its_place_when_news_ends(choices):
    admission = Admission()
    admission.answer = None
    selector = make_selector(admission)
    choices += [CHOICE, CHOICE]
    assert selector.select(frozenset()) is None
    admission.has_news = False
    assert selector.select(frozenset()) is CHOICE
    assert admission.left == 1
