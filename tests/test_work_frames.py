"""Frames of reports stay within the size of a message, whatever peers send.

The load is that of many entries whose reports are passed on together.
"""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from oleanderdyke.clock import make_clock
from oleanderdyke.kernel.neighbours import Neighbour, Neighbours
from oleanderdyke.kernel.scheduling.demand_meter import DemandMeter
from oleanderdyke.kernel.scheduling.work_account import WorkAccount
from oleanderdyke.kernel.scheduling.work_reports import ReportSource
from oleanderdyke.kernel.scheduling.work_table import WorkTable
from oleanderdyke.links.codec import MAX_MESSAGE, decode, encode
from oleanderdyke.links.dating import PeerClock
from oleanderdyke.links.messages.news import WorkNews, WorkReport
from oleanderdyke.links.news_client import NewsClient
from oleanderdyke.links.work_exchange import WorkExchange
from oleanderdyke.metrics import Metrics

_OWN = Neighbour('front-0', '127.0.0.1:9', 'hall')


class FakeLink:
    """A link from another entry of the data centre."""

    closed = False

    def __init__(self) -> None:
        self.peer = SimpleNamespace(process='front-9', data_centre='hall')
        self.counters = SimpleNamespace(last_in=0)
        self.peer_clock = PeerClock()
        self.sent: list[WorkReport] = []

    def ask_time(self, _now) -> None:
        """Do nothing, as this peer never tells its clock."""

    def write_encoded(self, _message, data) -> bool:
        self.sent += decode(data).reports
        return True


def make_exchange():
    account, meter, clock = WorkAccount(), DemandMeter(), make_clock()
    neighbours = Neighbours(_OWN.name, _OWN.data_centre)
    exchange = WorkExchange(
        _OWN,
        ReportSource(
            _OWN.name, _OWN.data_centre, 1, account=account, meter=meter
        ),
        WorkTable(_OWN.name, account, meter),
        client=NewsClient(neighbours, clock, (), health=None),
        clock=clock,
        metrics=Metrics(),
        count_entries=lambda: 2,
    )
    return exchange, clock


def make_large_report(entry, length, text='s') -> WorkReport:
    return WorkReport(
        entry,
        incarnation=1,
        sequence=0,
        data_centre='hall',
        is_whole=True,
        servers=(text * length,),
        born=(1,),
        amounts=(1, 1, 1, 0, 0),
    )


@pytest.mark.parametrize('text', ['s', '\u20ac'])
def test_large_reports_are_passed_on_in_frames_of_their_own(text):
    exchange, clock = make_exchange()
    link = FakeLink()
    names = [f'front-{number}' for number in range(1, 7)]
    for name in names:
        length = 200_000 // len(text.encode())
        exchange.receive_inbound(
            link, WorkNews((make_large_report(name, length, text),))
        )
    exchange.step(clock.now())
    assert {each.entry for each in link.sent} == set(names)


def test_a_report_that_fills_a_frame_is_not_passed_on():
    exchange, clock = make_exchange()
    link = FakeLink()
    rest = len(encode(WorkNews((make_large_report('front-1', 100_000),))))
    length = MAX_MESSAGE - rest + 100_000
    full = WorkNews((make_large_report('front-1', length),))
    assert len(encode(full)) == MAX_MESSAGE
    exchange.receive_inbound(link, full)
    exchange.receive_inbound(link, WorkNews((make_large_report('front-2', 9),)))
    exchange.step(clock.now())
    assert {each.entry for each in link.sent} == {'front-2'}
