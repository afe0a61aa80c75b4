"""Addresses that look sound, but that no connection can be opened to.

Resolving or connecting raises other errors than OSError for them: UnicodeError
for an empty or too long label, OverflowError for a port.
"""

from __future__ import annotations

import anyio
import pytest

from oleanderdyke.agent.backend import Backend
from oleanderdyke.agent.process_watch import ProcessWatch
from oleanderdyke.agent.settings import BackendSettings
from oleanderdyke.clients.addresses import split_address
from oleanderdyke.clients.direct import ConnectionPool, Reachability
from oleanderdyke.clients.http import HttpBackend, HttpError
from oleanderdyke.clients.keep_alive import KeepAliveHttp
from oleanderdyke.clock import make_clock
from oleanderdyke.kernel.servers import ServerStart
from oleanderdyke.links.messages import BackendKind
from tests.hosted import SERVERS, make_record, staging
from tests.standins.scripts import answer_well

pytestmark = pytest.mark.anyio

LABEL = 'a' * 64
ODD = {
    'empty': '',
    'no_port': '127.0.0.1',
    'word': '127.0.0.1:http',
    'empty_port': '127.0.0.1:',
    'port_0': '127.0.0.1:0',
    'port_99999': '127.0.0.1:99999',
    'negative': '127.0.0.1:-5',
    'huge': f'127.0.0.1:{10**200}',
    'no_host': ':80',
    'empty_label': 'a..b:80',
    'dot': '.:80',
    'leading_dot': '.a:80',
    'final_dot': 'a.:80',
    'label': f'{LABEL}:80',
    'labels': f'{"a." * 127}abc:80',
    'colons': '[::::]:80',
    'no_literal': '[127.0.0.1]:80',
    'no_brackets': '::1:80',
    'half': '[::1:80',
    'user': 'b@127.0.0.1:80',
    'path': '127.0.0.1/x:80',
    'letter': 'ä:80',
    'line': 'a\n:80',
}
each_odd = pytest.mark.parametrize('odd', ODD.values(), ids=ODD)
# Sound by their form, so that only the use of them fails.
UNRESOLVED = ('a..b:80', '.:80', f'{LABEL}:80')


def make_settings(address) -> BackendSettings:
    return BackendSettings(BackendKind.ENGINE, address, 'desk')


@pytest.mark.parametrize(
    ('address', 'found'),
    [
        ('127.0.0.1:1', ('127.0.0.1', 1)),
        ('[::1]:65535', ('::1', 65_535)),
        ('[::ffff:10.0.0.1]:80', ('::ffff:10.0.0.1', 80)),
        ('some_host-1.example:080', ('some_host-1.example', 80)),
        (f'{LABEL[1:]}:80', (LABEL[1:], 80)),
    ],
)
def test_a_sound_address_is_split(address, found):
    assert split_address(address) == found


# Guards against an address that passes the check of its form and fails where
# it is used.
@each_odd
def test_an_odd_address_is_refused_as_a_value_and_as_a_peer(odd):
    with pytest.raises(ValueError, match='allowed') as fault:
        split_address(odd)
    assert isinstance(fault.value, OSError)


# Guards against an error of resolving that no handler of connects expects.
@each_odd
async def test_a_connect_to_an_odd_address_fails_as_to_a_closed_port(odd):
    pool = ConnectionPool(500.0)
    with pytest.raises(OSError, match=r'allowed|Error'):
        await pool.open(odd)
    assert await pool.probe(odd) is Reachability.UNCLEAR
    assert await pool.replace(odd)
    assert not await pool.is_refused(odd)


@each_odd
@pytest.mark.parametrize('make', [HttpBackend, KeepAliveHttp])
async def test_a_request_to_an_odd_address_fails_as_to_a_closed_port(odd, make):
    with pytest.raises(HttpError):
        async with make(odd).request('GET', '/'):
            pass


@each_odd
async def test_an_agent_takes_an_odd_address_for_a_server_that_is_down(odd):
    settings = make_settings(odd)
    with pytest.raises(HttpError):
        await Backend(settings).connect()
    with anyio.move_on_after(0.2) as watched:
        await ProcessWatch(settings, clock=make_clock()).run()
    assert watched.cancelled_caught


# Guards against resolvers that raise what the check of the form can't know.
@pytest.mark.parametrize(
    'fault', [UnicodeError, ValueError, OverflowError], ids=str
)
async def test_whatever_resolving_raises_is_a_failure_to_connect(
    monkeypatch, fault
):
    def fail(*_, **__):
        raise fault

    monkeypatch.setattr('socket.getaddrinfo', fail)
    with pytest.raises(OSError, match=r'allowed|Error'):
        await ConnectionPool(500.0).open('rooms.example:80')
    for make in (HttpBackend, KeepAliveHttp):
        with pytest.raises(HttpError):
            async with make('rooms.example:80').request('GET', '/'):
                pass
    with pytest.raises(HttpError):
        await Backend(make_settings('rooms.example:80')).connect()


# Guards against calls answered 500 by the entry for as long as one server with
# such an address is listed beside sound ones.
@pytest.mark.parametrize('odd', UNRESOLVED, ids=['empty', 'dot', 'long'])
async def test_calls_are_answered_beside_a_server_at_an_odd_address(
    tmp_path, odd
):
    async with staging(tmp_path, answer_well) as stage:
        stage.store.put(SERVERS, 'x-1', make_record(odd, slots=96))
        stage.store.put(SERVERS, 'i-0', write_again(stage, 10))
        await wait_seq(stage, 10)
        found = []
        for number in range(15):
            # The odd server is the better choice.
            stage.core.backends.record_error(ServerStart('i-0'))
            for kind in ('safe', 'once'):
                answer = await stage.call(f'/{kind}/{number}')
                found.append(answer.status)
    assert found == [200] * 30


def write_again(stage, revision):
    """Return the record of the first server as it writes it once more."""
    host, port = stage.replicas[0].server.sockets[0].getsockname()
    return make_record(f'{host}:{port}', seq=revision)


async def wait_seq(stage, revision) -> None:
    with anyio.fail_after(5):
        while stage.core.backends.find('i-0').record.revision < revision:
            await anyio.sleep(0.02)
