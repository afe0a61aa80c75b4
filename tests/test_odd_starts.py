"""Start times that one record tells, and no other does.

A record decides for its own server alone, and for that one only until the
server itself writes on.
"""

from __future__ import annotations

import time

import anyio
import pytest

from oleanderdyke.kernel.backends import BackendRegistry
from oleanderdyke.kernel.servers import ServerRecord
from tests.hosted import SERVERS, make_record, staging
from tests.standins.scripts import answer_well

pytestmark = pytest.mark.anyio

BORN = 1_000_000
AHEAD = BORN + 23 * 3_600_000


def make(server, born=None, **changes) -> ServerRecord:
    return ServerRecord(
        server, 'desk', f'{server}:1', 'hall', born=born, **changes
    )


class Listed:
    """A list of servers that is read again after each change."""

    def __init__(self, *records) -> None:
        self.registry = BackendRegistry()
        self.now = 0.0
        self.registry.replace(records, self.now)
        self.registry.complete_read(self.now)

    def put(self, record) -> None:
        self.now += 100.0
        self.registry.put(record, self.now)
        self.registry.complete_read(self.now)

    def remove(self, server) -> None:
        self.now += 100.0
        self.registry.remove(server, self.now)
        self.now += 100.0
        self.registry.complete_read(self.now)

    def find(self) -> list[tuple[str, int | None]]:
        starts = [
            backend.record.start
            for backend in self.registry.list_service('desk', self.now)
        ]
        return sorted((start.server, start.born) for start in starts)


# Guards against one record with a start time that ends the use of all servers
# which tell none.
@pytest.mark.parametrize('sound', [('a',), ('a', 'b'), ('a', 'b', 'c')])
@pytest.mark.parametrize('key', ['x', 'a'])
def test_servers_without_start_times_are_used_beside_one_with(sound, key):
    listed = Listed(*map(make, sound))
    listed.put(make(key, BORN))
    rest = [(server, None) for server in sound if server != key]
    assert listed.find() == sorted([*rest, (key, BORN)])
    for server in sound:
        assert listed.registry.is_leaving_or_gone(make(server).start) is (
            server == key
        )


# Guards against the same at an entry that starts while the record is there.
@pytest.mark.parametrize('key', ['x', 'a'])
def test_a_first_list_with_one_start_time_ends_the_use_of_no_others(key):
    listed = Listed(
        *(make(server) for server in 'abc' if server != key), make(key, BORN)
    )
    found = listed.find()
    assert {('b', None), ('c', None), (key, BORN)} <= set(found)


def test_a_single_server_is_used_at_the_latest_once_it_writes_again():
    listed = Listed(make('a', revision=4), make('x', BORN))
    assert listed.find() == [('x', BORN)]
    listed.put(make('a', revision=4))
    assert listed.find() == [('x', BORN)]
    listed.put(make('a', revision=5))
    assert listed.find() == [('a', None), ('x', BORN)]


def test_a_record_without_a_start_time_among_many_with_is_ignored():
    listed = Listed(make('a', BORN), make('b', BORN))
    listed.put(make('x', versions={'m': 0}))
    assert listed.find() == [('a', BORN), ('b', BORN)]
    assert listed.registry.find_oldest_version('m') is None
    listed.remove('a')
    listed.remove('b')
    assert listed.find() == [('x', None)]


# Guards against one record under the key of a real server that ends its use for
# good: all that it writes later would seem to be of an earlier start.
@pytest.mark.parametrize('born', [None, BORN])
@pytest.mark.parametrize('revision', [1, 2**53 - 1])
def test_a_server_that_writes_on_outlives_a_start_time_of_another(
    born, revision
):
    listed = Listed(make('a', born, revision=7), make('b', born))
    listed.put(make('a', AHEAD, revision=revision))
    for number in (8, 9):
        listed.put(make('a', born, revision=number))
        assert ('a', AHEAD) in listed.find()
    listed.put(make('a', born, revision=10))
    assert listed.find() == [('a', born), ('b', born)]
    listed.put(make('a', born, revision=11, is_leaving=True))
    assert listed.find() == [('b', born)]


def test_late_records_of_an_earlier_start_do_not_count_as_writing_on():
    listed = Listed(make('a', BORN, revision=7))
    listed.put(make('a', BORN + 1, revision=1))
    for number in range(20):
        # The later start writes as well, or the same record is read again.
        listed.put(make('a', BORN, revision=8 + number))
        listed.put(make('a', BORN, revision=8 + number))
        listed.put(make('a', BORN + 1, revision=2 + number))
    for _ in range(9):
        listed.put(make('a', BORN, revision=30))
        listed.put(make('a', BORN, revision=29))
    assert listed.find() == [('a', BORN + 1)]


# Guards against 503 for all calls, with sound servers beside the record.
@pytest.mark.parametrize('key', ['x-1', 'i-0'])
async def test_calls_are_answered_beside_one_record_with_a_start_time(
    tmp_path, key
):
    born = time.time_ns() // 1_000_000
    async with staging(tmp_path, answer_well, answer_well) as stage:
        odd = make_record('127.0.0.1:9', born=born)
        stage.store.put(SERVERS, key, odd)
        with anyio.fail_after(5):
            while (
                found := stage.core.backends.find(key)
            ) is None or found.record.born != born:
                await anyio.sleep(0.02)
        answers = [await stage.call(f'/safe/{at}') for at in range(20)]
        assert {answer.status for answer in answers} == {200}
