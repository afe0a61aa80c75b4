"""Entries agree on which version of the software began a stream.

Lists of servers are read late, news of other entries is late or lost, and
entries end and start anew.
"""

from __future__ import annotations

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import rule

from machines import CheckedMachine, assert_caught, assert_holds
from oleanderdyke.kernel.route_services import RouteServices, StreamRoute
from oleanderdyke.kernel.software_history import (
    SETTLING_TIME,
    SoftwareClaim,
    SoftwareHistory,
)
from oleanderdyke.kernel.stream_origins import (
    StreamOrigin,
    StreamOrigins,
    StreamStart,
    hash_stream,
)
from oleanderdyke.kernel.stream_sharing import (
    StreamSharing,
    make_stream_sharing,
)

LIFETIME = 8_000.0
OLD, NEW = StreamOrigin('desk', 'v1'), StreamOrigin('desk', 'v2')


def make_history(**options):
    history = SoftwareHistory(**options)
    history.configure({'desk': LIFETIME})
    return history


def make_start(name, origin=OLD, until=5_000.0):
    return StreamStart(hash_stream('red', name), origin, until)


def test_one_version_began_all_streams_once_it_has_served_long_enough():
    history = make_history()
    history.record_list({'desk': {'v1': 9}}, 100.0)
    assert history.find_only('desk', 100.0) is None
    for now in range(1_100, 13_100, 1_000):
        history.record_list({'desk': {'v1': 9}}, now)
        assert history.find_only('desk', now) is None
    # An entry that is cut off may begin streams for five seconds more.
    history.record_list({'desk': {'v1': 9}}, 13_100.0)
    assert history.find_only('desk', 13_100.0) == 'v1'
    assert history.find_only('other', 13_100.0) is None


def test_the_first_start_of_the_system_leaves_no_earlier_streams():
    history = make_history(is_first_start=True)
    history.record_list({'desk': {'v1': 1}}, 100.0)
    assert history.find_only('desk', 100.0) == 'v1'


def test_an_old_list_of_servers_proves_nothing():
    history = make_history(is_first_start=True)
    history.record_list({'desk': {'v1': 1}}, 0.0)
    assert history.is_certain(1_000.0)
    assert not history.is_certain(1_500.0)
    assert history.find_only('desk', 1_500.0) == 'v1'
    assert history.find_only('desk', SETTLING_TIME) is None


def test_a_version_that_has_gone_may_have_begun_streams_for_a_while():
    history = make_history(is_first_start=True)
    history.record_list({'desk': {'v1': 9}}, 0.0)
    history.record_list({'desk': {'v1': 10, 'v2': 1}}, 100.0)
    assert history.find_only('desk', 100.0) is None
    history.record_list({'desk': {'v2': 2}}, 200.0)
    assert history.find_only('desk', 200.0) is None
    for now in range(1_200, 13_200, 1_000):
        history.record_list({'desk': {'v2': 9}}, now)
        assert history.find_only('desk', now) is None
    history.record_list({'desk': {'v2': 9}}, 13_200.0)
    assert history.find_only('desk', 13_200.0) == 'v2'


# A version that came and went while nobody read the list was not missed.
def test_a_gap_between_lists_leaves_nothing_certain():
    history = make_history(is_first_start=True)
    history.record_list({'desk': {'v1': 1}}, 0.0)
    history.record_list({'desk': {'v1': 3}}, SETTLING_TIME)
    assert history.find_only('desk', SETTLING_TIME) == 'v1'
    history.record_list({'desk': {'v1': 9}}, 3 * SETTLING_TIME)
    assert history.find_only('desk', 3 * SETTLING_TIME) is None


# Guards against ORDER: an entry that had missed lists forgot only the services
# that the next list named, and took one of them for unchanged as it came back.
def test_a_gap_leaves_nothing_certain_of_a_service_that_comes_back_later():
    history = make_history(is_first_start=True)
    history.record_list({'desk': {'v1': 9}}, 0.0)
    history.record_list({}, 5_000.0)
    history.record_list({'desk': {'v1': 13}}, 5_600.0)
    assert history.find_only('desk', 5_600.0) is None
    assert not history.is_certain(5_600.0)
    for now in range(6_600, 18_600, 1_000):
        history.record_list({'desk': {'v1': 19}}, now)
        assert history.find_only('desk', now) is None
    history.record_list({'desk': {'v1': 19}}, 18_600.0)
    assert history.find_only('desk', 18_600.0) == 'v1'


def test_a_service_that_vanishes_from_lists_without_a_gap_keeps_its_version():
    history = make_history(is_first_start=True)
    for now in range(0, 30_000, 1_000):
        listed = {} if 2_000 < now < 28_000 else {'desk': {'v1': 9}}
        history.record_list(listed, now)
    assert history.find_only('desk', 29_000.0) == 'v1'


# Guards against ORDER: a version that was listed again after streams had ended
# elsewhere began some at once, while others took another for the only one.
@pytest.mark.parametrize('is_read_meanwhile', [True, False])
@pytest.mark.parametrize(('away', 'is_settled'), [(5, True), (13, False)])
def test_a_version_that_was_away_for_longer_than_streams_settles_anew(
    away, is_settled, is_read_meanwhile
):
    history = make_history()
    history.record_list({'desk': {'v1': 9, 'v2': 9}}, 0.0)
    for now in range(1, away):
        if is_read_meanwhile:
            history.record_list({}, now * 1_000.0)
    now = away * 1_000.0
    history.record_list({'desk': {'v1': 9, 'v2': 9}}, now)
    settling = set() if is_settled else {'v1', 'v2'}
    assert history.find_settling('desk', now) == settling
    assert history.find_settling('desk', now + SETTLING_TIME) == set()


# Guards against ORDER: a version seen once before a gap was taken for settled
# after it, though it may have been listed anew.
def test_a_version_that_had_not_settled_before_a_gap_settles_anew():
    history = make_history()
    history.record_list({'desk': {'v1': 9}}, 0.0)
    history.record_list({'desk': {'v1': 9, 'v2': 1}}, 600.0)
    history.record_list({'desk': {'v1': 9, 'v2': 1}}, 4_000.0)
    assert history.find_settling('desk', 4_000.0) == {'v2'}


# Guards against ORDER: a version in a list that arrived late was taken for as
# old as the request for it, and began streams before others knew it.
def test_a_version_in_a_list_that_arrives_late_is_as_new_as_its_arrival():
    history = make_history(is_first_start=True)
    history.record_list({'desk': {'v1': 9}}, 0.0)
    history.record_list({'desk': {'v1': 9, 'v2': 1}}, 600.0, 1_900.0)
    assert history.find_settling('desk', 3_800.0) == {'v2'}
    history.record_list({'desk': {'v2': 9}}, 2_000.0, 3_000.0)
    for now in range(4_000, 16_000, 1_000):
        history.record_list({'desk': {'v2': 9}}, now)
        assert history.find_only('desk', now) is None
    history.record_list({'desk': {'v2': 9}}, 16_000.0)
    assert history.find_only('desk', 16_000.0) == 'v2'


# Guards against ORDER: lists whose requests were close together hid a gap
# between the moments in which they were made.
def test_a_list_that_arrives_late_may_hide_a_gap():
    history = make_history(is_first_start=True)
    history.record_list({'desk': {'v1': 9}}, 0.0, 100.0)
    history.record_list({'desk': {'v1': 9}}, 700.0, 2_100.0)
    assert history.find_only('desk', 2_100.0) is None


def make_routes(lifetime=8, **services):
    """Return routes by the last part of their prefix."""
    return [
        StreamRoute(
            'a.test',
            f'/{name.replace("_", "/")}/',
            frozenset(each),
            lifetime,
        )
        for name, each in services.items()
    ]


# Guards against ORDER: a stream that no entry knew was taken for one of the
# service to which its route leads by now.
def test_a_stream_may_have_begun_where_its_route_led_before():
    known = RouteServices(5.0)
    known.configure(make_routes(a={'desk'}, b={'till'}), 0.0)
    assert known.find('a.test', '/a/', 0.0) == {'desk'}
    assert known.find('a.test', '/c/', 0.0) == set()
    known.configure(make_routes(a={'till', 'mill'}, b={'till'}), 100.0)
    assert known.find('a.test', '/a/', 112.0) == {'desk', 'till', 'mill'}
    assert known.find('a.test', '/b/', 112.0) == {'till'}
    known.configure(make_routes(a={'mill'}), 110.0)
    assert known.find('a.test', '/a/', 112.0) == {'desk', 'till', 'mill'}
    assert known.find('a.test', '/a/', 113.0) == {'till', 'mill'}
    assert known.find('a.test', '/a/', 123.0) == {'mill'}


# Guards against ORDER: the paths of a route that is added or removed belonged,
# or belong, to another one.
def test_a_stream_may_have_begun_at_a_route_that_came_or_went():
    known = RouteServices(5.0)
    known.configure(make_routes(a={'desk'}, b={'till'}), 0.0)
    known.configure(make_routes(a={'desk'}, a_b={'mill'}, b={'till'}), 100.0)
    assert known.find('a.test', '/a/b/', 112.0) == {'desk', 'mill'}
    assert known.find('a.test', '/a/', 112.0) == {'desk'}
    known.configure(make_routes(a={'desk'}, b={'till'}), 200.0)
    assert known.find('a.test', '/a/', 212.0) == {'desk', 'mill'}
    assert known.find('a.test', '/b/', 212.0) == {'till'}
    assert known.find('a.test', '/a/', 213.0) == {'desk'}


# Guards against ORDER: streams that began under a longer timeout were taken for
# ended, and one that its caller took up for one of the new service.
def test_a_shorter_timeout_does_not_shorten_where_a_route_led():
    known = RouteServices(5.0)
    known.configure(make_routes(lifetime=100, a={'desk'}), 0.0)
    known.configure(make_routes(a={'desk'}), 10.0)
    known.configure(make_routes(a={'till'}), 20.0)
    assert known.find('a.test', '/a/', 105.0) == {'desk', 'till'}
    assert known.find('a.test', '/a/', 125.0) == {'till'}


# Guards against ORDER: the same for a route that was away for a while.
@pytest.mark.parametrize('name', ['a', 'a_b'])
def test_a_stream_may_have_begun_at_a_route_that_comes_back(name):
    known = RouteServices(5.0)
    known.configure(make_routes(lifetime=100, a={'desk'}), 0.0)
    known.configure(make_routes(b={'mill'}), 10.0)
    known.configure(make_routes(b={'mill'}), 20.0)
    known.configure(make_routes(b={'mill'}, **{name: {'till'}}), 30.0)
    prefix = f'/{name.replace("_", "/")}/'
    assert known.find('a.test', prefix, 114.0) == {'desk', 'till'}
    assert known.find('a.test', prefix, 115.0) == {'till'}
    assert known.find('a.test', '/b/', 30.0) == {'mill'}


# Guards against ORDER: entries told nothing of streams that began where a route
# led to services with different versions.
def test_services_of_one_route_are_certain_only_with_one_version():
    for version in ('v1', 'v2'):
        history = make_history(is_first_start=True)
        history.configure({'desk': LIFETIME, 'till': LIFETIME})
        history.routes.configure(make_routes(a={'desk'}, b={'till'}), 0.0)
        history.record_list({'desk': {'v1': 1}, 'till': {version: 1}}, 0.0)
        assert history.is_certain(1.0)
        history.routes.configure(make_routes(a={'desk', 'till'}), 1.0)
        is_alike = version == 'v1'
        assert history.is_certain(1.0) is is_alike
        found = history.find_common({'desk', 'till'}, 1.0)
        assert found == ('v1' if is_alike else None)


# Streams that began under the longer timeout were taken for ended.
def test_a_shorter_timeout_does_not_shorten_the_past():
    history = make_history()
    for now in range(0, 14_000, 1_000):
        history.record_list({'desk': {'v1': 9}}, now)
    assert history.find_only('desk', 13_000.0) == 'v1'
    history.configure({'desk': 4 * LIFETIME})
    assert history.find_only('desk', 13_000.0) is None
    history.configure({'desk': LIFETIME})
    assert history.find_only('desk', 13_000.0) is None


# The same where no route led to the service for a while.
def test_a_service_that_is_used_again_keeps_its_longest_timeout():
    history = make_history()
    history.configure({'desk': 8 * LIFETIME})
    for now in range(0, 14_000, 1_000):
        history.record_list({'desk': {'v1': 9}}, now)
    history.configure({'till': LIFETIME})
    assert history.find_only('desk', 13_000.0) is None
    history.configure({'desk': LIFETIME})
    assert history.find_only('desk', 13_000.0) is None
    for now in range(14_000, 80_000, 1_000):
        history.record_list({'desk': {'v1': 9}}, now)
    assert history.find_only('desk', 79_000.0) == 'v1'


def test_a_new_version_begins_no_streams_until_all_entries_know_it():
    history = make_history()
    history.record_list({'desk': {'v1': 3}}, 0.0)
    history.record_list({'desk': {'v1': 4, 'v2': 1}}, 500.0)
    assert history.find_settling('desk', 500.0) == {'v2'}
    assert history.find_settling('desk', 500.0 + SETTLING_TIME) == set()
    # Servers of others may serve on after they have left the list.
    history.record_list({'desk': {'v3': 1}}, 600.0)
    assert history.find_settling('desk', 600.0) == {'v3'}


def test_an_entry_that_starts_trusts_servers_that_have_been_listed_long():
    history = make_history()
    history.record_list({'desk': {'v1': 3, 'v2': 2}}, 0.0)
    assert history.find_settling('desk', 0.0) == {'v2'}
    together = make_history()
    together.record_list({'desk': {'v1': 1, 'v2': 2}}, 0.0)
    assert together.find_settling('desk', 0.0) == set()


# Guards against ORDER: servers that write often were taken for listed long.
@pytest.mark.parametrize(
    ('heartbeat', 'settled'), [(1_200.0, 3), (400.0, 7), (5_000.0, 2)]
)
def test_records_tell_how_long_a_server_has_been_listed_by_their_period(
    heartbeat, settled
):
    history = make_history(heartbeat=heartbeat)
    listed = {'v1': settled, 'v2': settled - 1}
    history.record_list({'desk': listed}, 0.0)
    assert history.find_settling('desk', 0.0) == {'v2'}


def test_an_entry_learns_from_a_claim_that_joins_what_it_has_read():
    history = make_history()
    history.record_list({'desk': {'v1': 9}}, 10_000.0)
    assert history.is_asking(10_500.0)
    for claim in (
        SoftwareClaim('desk', 'v2', 0.0, 10_500.0),
        SoftwareClaim('desk', 'v1', 0.0, 10_100.0),
        SoftwareClaim('other', 'v1', 0.0, 10_500.0),
        # Differences in transit are no news.
        SoftwareClaim('desk', 'v1', 9_900.0, 10_500.0),
    ):
        assert not history.apply_claim(claim)
    assert history.find_only('desk', 10_500.0) is None
    assert history.apply_claim(SoftwareClaim('desk', 'v1', -9_000.0, 10_400.0))
    assert history.find_only('desk', 10_500.0) == 'v1'
    assert not history.is_asking(10_500.0)


def test_the_id_of_another_team_names_another_stream():
    origins = StreamOrigins()
    origins.record(make_start('a'), 0.0)
    assert origins.find(hash_stream('red', 'a'), 1.0) == OLD
    assert origins.find(hash_stream('blue', 'a'), 1.0) is None


# A stream whose id was used twice went on at either version.
def test_an_id_used_at_two_versions_names_no_stream():
    origins = StreamOrigins()
    assert origins.record(make_start('a'), 0.0)
    assert not origins.record(make_start('a'), 0.0)
    assert origins.record(make_start('a', NEW), 0.0)
    assert origins.find(hash_stream('red', 'a'), 1.0) is None
    assert not list(origins.list_live(1.0))
    assert not origins.record(make_start('a'), 0.0)


def test_the_memory_for_streams_is_bounded_in_time_and_number():
    origins = StreamOrigins(limit=10)
    for number in range(30):
        origins.record(make_start(f'{number}'), 0.0)
    assert len(origins) == 10
    assert origins.find(hash_stream('red', '29'), 1.0) == OLD
    origins.record(make_start('last', until=9_000.0), 5_000.0)
    assert len(origins) == 1
    assert origins.find(hash_stream('red', 'last'), 9_000.0) is None


def test_nothing_is_told_while_one_version_serves():
    sharing = make_stream_sharing(make_history(is_first_start=True))
    sharing.history.record_list({'desk': {'v1': 1}}, 0.0)
    sharing.begin(make_start('a'), 1.0)
    assert not sharing.take_pending()
    # Earlier streams are told once another version appears.
    sharing.history.record_list({'desk': {'v1': 2, 'v2': 1}}, 600.0)
    sharing.begin(make_start('b', NEW), 700.0)
    told = [each.start.digest for each in sharing.take_pending()]
    assert told == [hash_stream('red', 'a'), hash_stream('red', 'b')]


def test_news_is_passed_on_once():
    sharing = make_stream_sharing(make_history())
    sharing.receive([make_start('a')], 'link', 0.0)
    sharing.receive([make_start('a')], 'other link', 0.0)
    assert [each.source for each in sharing.take_pending()] == ['link']


class Entry:
    """One process of an entry."""

    def __init__(self, make_sharing):
        self.sharing = make_sharing(make_history())
        self.listed = {}
        self.mail = []


class World(CheckedMachine):
    """Streams begin, break off and are taken up at other entries.

    Checks `mixed`, a stream that goes on at a version that did not begin it.
    """

    make_sharing = staticmethod(make_stream_sharing)

    def __init__(self):
        super().__init__()
        self.now = 100_000.0
        self.softwares = {'v1': 9}
        self.entries = [Entry(self.make_sharing) for _ in range(3)]
        self.begun = {}
        self.settle()

    @rule()
    def settle(self):
        """Let the first version serve alone, and all entries know it."""
        self.softwares = dict([min(self.softwares.items())])
        for _ in range(20):
            self.now += LIFETIME / 10
            for entry in self.entries:
                self.read(entry)

    def read(self, entry):
        entry.listed = dict(self.softwares)
        entry.sharing.history.record_list({'desk': entry.listed}, self.now)
        entry.sharing.update(self.now)

    @rule(index=st.integers(0, 2))
    def read_list(self, index):
        self.read(self.entries[index])

    @rule(index=st.integers(0, 2))
    def add_version(self, index):
        self.softwares[f'v{len(self.begun) + len(self.softwares) + 1}'] = 1
        self.read(self.entries[index])

    @rule(pick=st.integers(0, 9))
    def remove_version(self, pick):
        if len(self.softwares) > 1:
            known = sorted(self.softwares)
            del self.softwares[known[pick % len(known)]]

    @rule(by=st.sampled_from([20.0, 300.0, 900.0, 2_500.0, 9_000.0]))
    def wait(self, by):
        self.now += by
        for software in self.softwares:
            self.softwares[software] += int(by / 1_200)

    @rule(index=st.integers(0, 2), pick=st.integers(0, 9))
    def begin(self, index, pick):
        entry = self.entries[index]
        settling = entry.sharing.history.find_settling('desk', self.now)
        usable = sorted(entry.listed.keys() & self.softwares.keys() - settling)
        if not usable:
            return
        software = usable[pick % len(usable)]
        name = f's{len(self.begun)}'
        self.begun[name] = (software, self.now)
        origin = StreamOrigin('desk', software)
        entry.sharing.begin(
            make_start(name, origin, self.now + LIFETIME / 2), self.now
        )

    @rule(index=st.integers(0, 2), is_lost=st.booleans())
    def tell(self, index, is_lost):
        entry = self.entries[index]
        entry.sharing.update(self.now)
        starts = [each.start for each in entry.sharing.take_pending()]
        claims = list(entry.sharing.history.list_claims())
        if is_lost:
            return
        for other in self.entries:
            if other is not entry:
                other.sharing.receive(starts, entry, self.now)
                other.sharing.apply_claims(claims)

    @rule(index=st.integers(0, 2))
    def restart(self, index):
        self.entries[index] = Entry(self.make_sharing)
        self.read(self.entries[index])

    @rule(index=st.integers(0, 2), pick=st.integers(0, 9))
    def take_up(self, index, pick):
        live = [
            name
            for name, (_, at) in self.begun.items()
            if self.now - at < LIFETIME / 2
        ]
        if not live:
            return
        name = live[pick % len(live)]
        sharing = self.entries[index].sharing
        origin = sharing.find_origin('red', name, self.now)
        found = (
            sharing.history.find_only('desk', self.now)
            if origin is None
            else origin.software
        )
        self.check(found in {None, self.begun[name][0]}, 'mixed')


class GuessesTheOnlyListed(SoftwareHistory):
    def find_only(self, service, now):
        return self._services[service].only


class UsesNewVersionsAtOnce(SoftwareHistory):
    def find_settling(self, service, now):
        return frozenset()


def test_no_stream_goes_on_at_a_version_that_did_not_begin_it():
    assert_holds(World)


@pytest.mark.parametrize('kind', [GuessesTheOnlyListed, UsesNewVersionsAtOnce])
def test_checks_of_streams_catch_an_unsafe_history(kind):
    def make_sharing(_history):
        unsafe = kind()
        unsafe.configure({'desk': LIFETIME})
        return StreamSharing(StreamOrigins(), unsafe)

    world = type(
        'UnsafeWorld', (World,), {'make_sharing': staticmethod(make_sharing)}
    )
    assert_caught(world, 'mixed')
