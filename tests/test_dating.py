"""Messages are dated by when they were sent, however late they are read."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from oleanderdyke.clock import ManualClock
from oleanderdyke.kernel.neighbours import Neighbour, Neighbours
from oleanderdyke.kernel.poison import PoisonTable
from oleanderdyke.kernel.scheduling.demand_meter import DemandMeter
from oleanderdyke.kernel.scheduling.work_account import WorkAccount
from oleanderdyke.kernel.scheduling.work_reports import ReportSource
from oleanderdyke.kernel.scheduling.work_table import WorkTable
from oleanderdyke.kernel.software_history import SoftwareHistory
from oleanderdyke.kernel.stream_sharing import make_stream_sharing
from oleanderdyke.links.dating import PeerClock
from oleanderdyke.links.link import Link
from oleanderdyke.links.messages import Pong
from oleanderdyke.links.messages.news import (
    ContextRequest,
    CrashReport,
    LoadNews,
    PoisonReport,
    SoftwareNews,
    StreamNews,
    WorkNews,
    WorkReport,
)
from oleanderdyke.links.news_client import NewsClient
from oleanderdyke.links.news_server import NewsServer
from oleanderdyke.links.poison_exchange import PoisonExchange
from oleanderdyke.links.stream_exchange import StreamExchange
from oleanderdyke.links.work_exchange import WorkExchange
from oleanderdyke.metrics import Metrics

OWN = Neighbour('front-0', '127.0.0.1:1', 'hall')
NOW, DELAY = 50_000.0, 3_000.0
# What the clock of the peer shows more.
AHEAD = 700_000.0
SENT = NOW - DELAY + AHEAD


class LateLink:
    """A link whose messages lay in a socket."""

    closed = False

    def __init__(self, *, has_echo=True) -> None:
        self.peer = SimpleNamespace(process='front-9', data_centre='hall')
        self.counters = SimpleNamespace(last_in=0)
        self.peer_clock = PeerClock()
        if has_echo:
            self.peer_clock.record_echo(NOW - 4_000.0, NOW - 4_000.0 + AHEAD)

    def ask_time(self, _now) -> None:
        """Do nothing."""

    def write(self, _message) -> bool:
        return True

    async def send(self, _message) -> None:
        """Do nothing."""


def make_client(clock):
    return NewsClient(Neighbours('front-0', 'hall'), clock, (), health=None)


def make_stream_exchange(history, poison=None):
    clock = ManualClock(NOW)
    return StreamExchange(
        OWN,
        make_stream_sharing(history),
        client=make_client(clock),
        clock=clock,
        poison=poison,
    )


def learn_late(link, sent_at):
    """Return whether a claim that arrives at NOW makes the entry certain."""
    history = SoftwareHistory()
    history.configure({'desk': 8_000.0})
    history.record_list({'desk': {'v1': 9}}, NOW - 1_000.0)
    news = StreamNews(
        claims=(SoftwareNews('desk', 'v1', 60_000.0, 0.0),), sent_at=sent_at
    )
    make_stream_exchange(history).receive(link, news)
    return history.find_only('desk', NOW) is not None


# Guards against ORDER: a claim that lay in the socket of a frozen entry joined
# what that entry read after it was back, over a version that came meanwhile.
def test_claim_that_was_read_late_does_not_count_as_fresh():
    assert learn_late(LateLink(), SENT + DELAY)
    assert not learn_late(LateLink(), SENT)


@pytest.mark.parametrize(
    ('has_echo', 'sent_at'), [(False, SENT + DELAY), (True, 0.0)]
)
def test_claim_of_unknown_delay_does_not_count(has_echo, sent_at):
    assert not learn_late(LateLink(has_echo=has_echo), sent_at)


# Guards against taking work for new that was reported before a standstill.
def test_work_that_was_read_late_is_as_old_as_its_sending():
    account, meter, clock = WorkAccount(), DemandMeter(), ManualClock(NOW)
    table = WorkTable(OWN.name, account, meter)
    exchange = WorkExchange(
        OWN,
        ReportSource(OWN.name, 'hall', 1, account=account, meter=meter),
        table,
        client=make_client(clock),
        clock=clock,
        metrics=Metrics(),
        count_entries=lambda: 2,
    )
    exchange.receive_up(LateLink(), WorkNews(sent_at=SENT))
    assert table.find_age(NOW) == pytest.approx(DELAY, abs=10.0)
    report = WorkReport(
        'front-9',
        incarnation=1,
        sequence=1,
        data_centre='hall',
        is_whole=True,
        servers=('i-0',),
        born=(1,),
        amounts=(5, 5, 1, 0, 0),
    )
    exchange.receive_up(LateLink(), WorkNews((report,), sent_at=SENT))
    assert table.find_age(NOW) == pytest.approx(DELAY, abs=10.0)


# Guards against counting a crash from before a standstill as a new one.
def test_crash_that_was_read_late_is_as_old_as_its_sending():
    found = []
    table = PoisonTable()
    table.apply = lambda news, _now: found.append(news) or ()
    poison = PoisonExchange(
        table, ManualClock(NOW), on_news=lambda _parts: None
    )
    exchange = make_stream_exchange(SoftwareHistory(), poison)
    report = PoisonReport((CrashReport('i-0', 500.0, (('a',),)),), sent_at=SENT)
    exchange.receive_poison(LateLink(), report)
    ((crash,),) = (each.crashes for each in found)
    assert crash.at == pytest.approx(NOW - DELAY - 500.0, abs=10.0)


# Guards against taking the load of a server before a standstill for its load.
@pytest.mark.anyio
async def test_load_that_was_read_late_is_as_old_as_its_sending():
    found = []
    desk = NewsServer(Neighbours('front-0', 'hall'), ManualClock(NOW))
    desk.loads.update = found.append
    request = ContextRequest(
        1, (), 0.0, 0.0, (LoadNews(100.0, 'i-0', 1, 0, 4),), sent_at=SENT
    )
    await desk._answer_events(
        LateLink(), request, SimpleNamespace(load_number=0)
    )
    (load,) = found
    assert load.at == pytest.approx(NOW - DELAY - 100.0, abs=10.0)


# Guards against ORDER: an entry that had stood still, cut off, took its links
# for open and began streams at a version that had left the list.
def test_entry_is_in_touch_only_while_links_answer():
    exchange = make_stream_exchange(SoftwareHistory())
    link = LateLink(has_echo=False)
    exchange.receive_inbound(link, StreamNews())
    exchange._poison = SimpleNamespace(
        step=lambda *_: None, is_active=lambda _: False
    )
    exchange.step(NOW)
    assert not exchange.has_links
    link.peer_clock.record_echo(NOW - 6_000.0, AHEAD)
    assert not exchange.has_links
    # Entries of an older release answer without their clock.
    link.peer_clock.record_echo(NOW - 4_000.0, 0.0)
    assert exchange.has_links


def test_a_late_echo_makes_messages_seem_older_never_newer():
    clock = PeerClock()
    assert clock.find_delay(AHEAD, 0.0) is None
    # The peer read the question two seconds late.
    clock.record_echo(1_000.0, 3_000.0 + AHEAD)
    assert clock.find_delay(4_000.0 + AHEAD, 4_000.0) == pytest.approx(
        2_000.0, abs=10.0
    )
    clock.record_echo(5_000.0, 5_001.0 + AHEAD)
    late = clock.find_delay(6_000.0 + AHEAD, 6_000.0)
    assert 0.0 < late < 10.0
    clock.record_echo(7_000.0, 9_000.0 + AHEAD)
    assert clock.find_delay(9_000.0 + AHEAD, 9_000.0) < 10.0


# Guards against messages that seem fresh for good after the clock of this
# process stood still while that of the peer went on.
def test_an_echo_shows_that_the_own_clock_stood_still():
    clock, stood = PeerClock(), 3_000.0
    clock.record_echo(1_000.0, 1_005.0 + AHEAD, 1_010.0)
    clock.record_echo(5_000.0, 5_005.0 + stood + AHEAD, 5_010.0)
    sent_at = 6_000.0 + stood + AHEAD
    assert clock.find_delay(sent_at, 6_000.0) < 10.0
    late = clock.find_delay(sent_at, 6_000.0 + DELAY)
    assert late == pytest.approx(DELAY, abs=10.0)
    # An echo that took long may have been read by the peer just now.
    clock.record_echo(10_000.0, 12_000.0 + stood + AHEAD, 12_010.0)
    assert clock.find_delay(12_000.0 + stood + AHEAD, 12_000.0) < 20.0


@pytest.mark.anyio
async def test_link_tells_when_an_echo_came():
    link = Link.__new__(Link)
    link._clock, link.peer_clock = ManualClock(NOW), PeerClock()
    link._nonce = 0
    link._make_ping()
    link.peer_clock.record_echo(NOW, NOW + AHEAD - DELAY)
    link._clock.advance(10.0)
    link._record_pong(Pong(1, NOW + AHEAD))
    sent_at = NOW + AHEAD
    delay = link.peer_clock.find_delay(sent_at, NOW + DELAY)
    assert delay == pytest.approx(DELAY, abs=20.0)


def test_an_old_echo_allows_for_clocks_that_part():
    clock = PeerClock()
    clock.record_echo(0.0, AHEAD)
    assert clock.find_delay(60_000.0 + AHEAD, 60_000.0) == pytest.approx(60.0)
    clock.record_echo(60_000.0, 60_010.0 + AHEAD)
    assert clock.find_delay(60_000.0 + AHEAD, 60_000.0) == pytest.approx(10.0)
