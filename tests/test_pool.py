from __future__ import annotations

import itertools
from contextlib import asynccontextmanager
from random import Random

import anyio
import pytest
from websockets.asyncio.server import serve

from oleanderdyke.clock import make_clock
from oleanderdyke.errors import ErrorKind, OleanderError
from oleanderdyke.links.link import LinkSettings
from oleanderdyke.links.listener import serve_links
from oleanderdyke.links.messages import (
    PROTOCOL_VERSION,
    Cancel,
    Hello,
    Role,
)
from oleanderdyke.links.pool import LinkPool, PoolSettings, choose_backoff
from relays import relaying

HOST = '127.0.0.1'
QUICK = LinkSettings(ping_interval=40)
SETTINGS = PoolSettings(link=QUICK, first_backoff=5, last_backoff=20)
# No link of a test lives long enough to reset the backoff.
RARE = PoolSettings(link=QUICK, first_backoff=5, last_backoff=60_000)
CLOCK = make_clock()

pytestmark = pytest.mark.anyio


def make_hello(name: str, incarnation: str = 'i1') -> Hello:
    return Hello(PROTOCOL_VERSION, Role.AGENT, name, incarnation, 'hall', 0)


class Recorder:
    """Record the callbacks of a pool in order."""

    def __init__(self) -> None:
        self.links = []
        self.messages = []
        self.events = []
        self.fail_on = None

    async def note_up(self, link):
        self.links.append(link)
        self.events.append(('up', link.peer.process, link.peer.incarnation))

    async def note_message(self, link, message):
        self.messages.append(message)
        if message == self.fail_on:
            raise OleanderError(ErrorKind.PROTOCOL, 'no')

    async def note_down(self, link):
        assert link.closed
        self.events.append(('down', link.peer.process, link.peer.incarnation))


@asynccontextmanager
async def pooling(recorder, addresses, settings=SETTINGS, random=None):
    pool = LinkPool(
        lambda: make_hello('entry'),
        on_up=recorder.note_up,
        on_message=recorder.note_message,
        on_down=recorder.note_down,
        settings=settings,
        clock=CLOCK,
        random=random or Random(1),
    )
    pool.set_addresses(addresses)
    async with anyio.create_task_group() as group:
        group.start_soon(pool.run)
        yield pool
        group.cancel_scope.cancel()


class Bounds(Random):
    """Record the upper bounds of the drawn waits and return the lower ones."""

    def __init__(self) -> None:
        super().__init__(1)
        self.drawn = []

    def uniform(self, low, high):
        self.drawn.append(high)
        return low


async def keep_reading(link):
    while True:
        await link.receive()


async def greet(link):
    await link.send(Cancel('r', 1))
    await keep_reading(link)


@asynccontextmanager
async def agent(name='agent', incarnation='i1', port=0, handle=greet):
    async with serve_links(
        HOST,
        port,
        lambda: make_hello(name, incarnation),
        handle,
        settings=QUICK,
        clock=CLOCK,
    ) as bound:
        yield f'{HOST}:{bound}'


async def wait_until(condition):
    while not condition():
        await anyio.sleep(0.005)


async def test_a_link_is_found_by_vm_address_and_process():
    recorder = Recorder()
    async with (
        agent('agent-7') as address,
        pooling(recorder, {'vm-7': address}) as pool,
    ):
        await wait_until(lambda: recorder.messages)
        (link,) = pool.links()
        for name in ('vm-7', address, 'agent-7'):
            assert pool.find(name) is link
        assert pool.find('vm-8') is None
        assert recorder.messages == [Cancel('r', 1)]


async def test_a_silent_link_is_replaced():
    recorder = Recorder()
    async with (
        agent() as address,
        relaying(address) as (relay, through),
        pooling(recorder, {'vm': through}) as pool,
    ):
        await wait_until(pool.links)
        (old,) = pool.links()
        relay.silence()
        await wait_until(lambda: pool.find('vm') not in {None, old})
        assert old.closed
        assert relay.accepted == 2
        assert [event[0] for event in recorder.events] == ['up', 'down', 'up']


async def test_a_silent_link_is_replaced_at_once_after_failed_dials():
    recorder, waits = Recorder(), Bounds()
    async with agent('unused') as address:
        port = int(address.rpartition(':')[2])
    async with (
        relaying(address) as (relay, through),
        pooling(recorder, {'vm': through}, RARE, waits) as pool,
    ):
        await wait_until(lambda: waits.drawn[:3] == [5, 10, 20])
        async with agent(port=port):
            await wait_until(pool.links)
            before = len(waits.drawn)
            relay.silence()
            await wait_until(lambda: len(recorder.links) == 2)
            assert waits.drawn[before] == RARE.first_backoff


async def test_a_peer_that_drops_each_link_is_dialed_with_growing_backoff():
    async def drop(link):
        await link.close()

    recorder, waits = Recorder(), Bounds()
    async with (
        agent(handle=drop) as address,
        pooling(recorder, {'vm': address}, RARE, waits),
    ):
        await wait_until(lambda: len(recorder.links) >= 4)
    assert waits.drawn[:4] == [5, 10, 20, 40]


async def test_a_peer_that_comes_back_is_a_new_link_of_its_incarnation():
    recorder = Recorder()
    incarnations = iter(('i1', 'i2'))
    stop = anyio.Event()

    async def run_twice(port):
        for incarnation in incarnations:
            async with agent(incarnation=incarnation, port=port):
                await stop.wait()

    async with agent('unused') as address:
        port = int(address.rpartition(':')[2])
    async with (
        anyio.create_task_group() as group,
        pooling(recorder, {'vm': address}) as pool,
    ):
        group.start_soon(run_twice, port)
        await wait_until(pool.links)
        first, stop = stop, anyio.Event()
        first.set()
        await wait_until(lambda: len(recorder.events) == 3)
        stop.set()
    assert recorder.events[:3] == [
        ('up', 'agent', 'i1'),
        ('down', 'agent', 'i1'),
        ('up', 'agent', 'i2'),
    ]


async def test_a_removed_address_is_closed_and_not_dialed_again():
    recorder = Recorder()
    async with agent() as address, pooling(recorder, {'vm': address}) as pool:
        await wait_until(pool.links)
        pool.set_addresses({})
        await wait_until(lambda: len(recorder.events) == 2)
        await anyio.sleep(0.1)
        assert pool.links() == ()
        assert pool.find('vm') is None
        assert len(recorder.events) == 2


async def test_a_name_that_moves_is_dialed_at_its_new_address():
    recorder = Recorder()
    async with (
        agent('first') as old,
        agent('second') as new,
        pooling(recorder, {'vm': old, 'other': new}) as pool,
    ):
        await wait_until(lambda: len(pool.links()) == 2)
        kept = pool.find('other')
        pool.set_addresses({'vm': new, 'other': new})
        await wait_until(lambda: pool.find('vm') and not pool.find('first'))
        assert pool.find('vm').peer.process == 'second'
        assert pool.find('other') is kept


async def test_an_error_of_a_callback_replaces_the_link():
    recorder = Recorder()
    recorder.fail_on = Cancel('r', 1)
    async with agent() as address, pooling(recorder, {'vm': address}):
        await wait_until(lambda: len(recorder.events) >= 4)
    assert [event[0] for event in recorder.events[:4]] == ['up', 'down'] * 2


async def test_unresponsive_peers_occupy_a_bounded_number_of_dials():
    waiting, most = [0], [0]

    async def say_nothing(socket):
        waiting[0] += 1
        most[0] = max(most[0], waiting[0])
        await socket.wait_closed()
        waiting[0] -= 1

    settings = PoolSettings(
        link=LinkSettings(dial_timeout=60),
        first_backoff=1,
        last_backoff=1,
        concurrent_dials=3,
    )
    recorder = Recorder()
    async with serve(say_nothing, HOST, 0) as server, agent() as good:
        port = next(iter(server.sockets)).getsockname()[1]
        bad = {f'vm-{number}': f'{HOST}:{port}' for number in range(12)}
        async with pooling(recorder, {**bad, 'good': good}, settings) as pool:
            await wait_until(lambda: pool.find('good') and most[0] == 3)
    # The server may see a connection end slightly later than the client.
    assert most[0] <= 2 * settings.concurrent_dials


async def test_a_pool_that_stops_closes_its_links():
    recorder = Recorder()
    async with agent() as address:
        async with pooling(recorder, {'vm': address}) as pool:
            await wait_until(pool.links)
        assert recorder.links[0].closed
        assert pool.links() == ()


def test_backoff_doubles_to_its_bound_with_full_jitter():
    settings = PoolSettings(first_backoff=100, last_backoff=5000)
    for failures, bound in ((0, 100), (1, 200), (5, 3200), (6, 5000)):
        random = Random(failures)
        waits = [choose_backoff(settings, failures, random) for _ in range(500)]
        assert min(waits) < bound / 10
        assert bound * 0.9 < max(waits) <= bound
    assert choose_backoff(settings, 10_000, Random(1)) <= 5000


def test_two_pools_do_not_dial_in_step():
    settings = PoolSettings()
    one, other = (
        [choose_backoff(settings, n, random) for n in range(8)]
        for random in (Random(1), Random(2))
    )
    assert all(a != b for a, b in itertools.product(one, other))
