"""Announcements of entries at addresses that no connection can be opened to.

Each entry connects to all that are announced, so one such record in the
platform's store concerns them all, and those that start later as well.
"""

from __future__ import annotations

from random import Random

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from oleanderdyke.clock import make_clock
from oleanderdyke.kernel.neighbours import Neighbour
from oleanderdyke.links.dialer import DialFailed, dial
from oleanderdyke.links.link import LinkSettings
from oleanderdyke.links.messages import PROTOCOL_VERSION, Hello, Role
from oleanderdyke.links.pool import LinkPool, PoolSettings
from oleanderdyke.platform import names
from oleanderdyke.platform.entries import EntryFeed
from tests import foreign
from tests.hosted import staging_linked
from tests.standins.scripts import answer_well

pytestmark = pytest.mark.anyio

LABEL = 'a' * 64
ODD = {
    'port_99999': '127.0.0.1:99999',
    'negative': '127.0.0.1:-5',
    'huge': f'127.0.0.1:{10**200}',
    'empty_label': 'a..b:80',
    'dot': '.:80',
    'label': f'{LABEL}:80',
    'colons': '[::::]:80',
    'port_0': '127.0.0.1:0',
    'user': 'a@127.0.0.1:80',
    'path': '127.0.0.1/x:80',
    'bracket': '[:80',
}
each_odd = pytest.mark.parametrize('odd', ODD.values(), ids=ODD)
HELLO = Hello(PROTOCOL_VERSION, Role.ENTRY, 'front-9', '', '', 0)


async def read_announced(*records: str):
    """Return what an entry takes from announcements, and what it refuses."""
    refused: list[str] = []
    texts = [record.encode('utf-8', 'surrogatepass') for record in records]
    feed = EntryFeed(
        foreign.CannedStore(foreign.make_history(texts)),
        lambda name, _: refused.append(name),
    )
    return await feed.read(), refused


# Guards against an announcement that passes the check of its form and ends
# each entry that connects to it.
@each_odd
async def test_an_announcement_at_an_odd_address_is_skipped(odd):
    found, refused = await read_announced(
        f'front-8 {odd} hall', 'front-9 127.0.0.1:80 hall'
    )
    assert found == (Neighbour('front-9', '127.0.0.1:80', 'hall'),)
    assert refused == ['entries']


# Guards against an error of resolving that is no failure to connect.
@each_odd
async def test_a_link_to_an_odd_address_is_one_that_cannot_be_opened(odd):
    with pytest.raises(DialFailed):
        await dial(odd, HELLO, settings=LinkSettings(), clock=make_clock())


async def test_a_link_fails_whatever_resolving_raises(monkeypatch):
    def fail(*_, **__):
        raise UnicodeError

    monkeypatch.setattr('socket.getaddrinfo', fail)
    with pytest.raises(DialFailed):
        await dial(
            'rooms.example:80',
            HELLO,
            settings=LinkSettings(),
            clock=make_clock(),
        )


async def ignore(*_) -> None:
    """Do nothing with a link."""


# None of these is the address of another machine.
ADDRESSES = st.sampled_from(sorted(ODD.values())) | st.text('.:[]-/@ä 0\n')


@given(addresses=st.lists(ADDRESSES, max_size=4))
def test_a_pool_goes_on_whatever_its_addresses_are(addresses):
    async def play() -> None:
        pool = LinkPool(
            lambda: HELLO,
            on_up=ignore,
            on_message=ignore,
            on_down=ignore,
            settings=PoolSettings(first_backoff=0.0, last_backoff=0.0),
            clock=make_clock(),
            random=Random(1),
        )
        pool.set_addresses({str(at): each for at, each in enumerate(addresses)})
        with anyio.move_on_after(0.02) as played:
            await pool.run()
        assert played.cancelled_caught

    anyio.run(play)


# Guards against entries that end, and end again at each start, for as long as
# one announcement is in the store.
async def test_entries_go_on_and_start_beside_odd_announcements(tmp_path):
    async with staging_linked(tmp_path, answer_well, entries=1) as linked:
        topic = linked.store.find(names.ENTRY_TOPIC)
        for number, odd in enumerate(ODD.values()):
            topic.append(f'odd-{number} {odd} hall'.encode())
        topic.append(b'front-9 hall')
        await wait_known(linked.stages[0], 'front-9')
        await wait_known(await linked.start(), 'front-9')
        await anyio.sleep(0.5)
        found = [
            (await stage.call('/once/1')).status for stage in linked.stages
        ]
    assert found == [200, 200]


async def wait_known(stage, name) -> None:
    with anyio.fail_after(20):
        while name not in stage.core.entries.list_known():
            await anyio.sleep(0.05)
