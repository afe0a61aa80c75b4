"""Guard streams against servers that start anew between reads of the list."""

from __future__ import annotations

import contextlib

import pytest

from oleanderdyke.entry.hosted import watch
from tests.hosted import SERVERS, make_record, staging
from tests.standins.replica import Peer
from tests.standins.scripts import send_events

pytestmark = pytest.mark.anyio

_OLD, _NEW = 'v1', 'v2'
_BROKEN_AFTER, _LAST = 3, 6


class _RestartingServer:
    """Break streams off, and come back with another version meanwhile."""

    def __init__(self, version):
        self._version = version
        self._stage = None
        self.resumed = 0

    def join(self, stage):
        self._stage = stage

    async def play(self, peer: Peer) -> None:
        if 'last-event-id' in peer.request.headers:
            self.resumed += 1
            await send_events(peer, _BROKEN_AFTER + 1, _LAST)
            await peer.send(b'0\r\n\r\n')
            return
        await send_events(peer, 1, _BROKEN_AFTER)
        # A server is listed before it accepts connections again.
        listener = self._stage.replicas[0].server
        host, port = listener.sockets[0].getsockname()[:2]
        record = make_record(f'{host}:{port}', version=self._version, born=9)
        self._stage.store.put(SERVERS, 'i-0', record)
        peer.reset()


@contextlib.asynccontextmanager
async def _staging(directory, version):
    """Run an entry whose server starts anew with a version within a stream."""
    server = _RestartingServer(version)
    async with staging(
        directory, server.play, versions=(_OLD,), born=1
    ) as stage:
        server.join(stage)
        yield stage, server


@pytest.fixture(autouse=True)
def _rare_lists(monkeypatch):
    """Read the list only when it is requested."""
    monkeypatch.setattr(watch, '_SERVERS_PERIOD', 60_000.0)


# Guards against a stream that goes on at another version of the software, which
# its server started with after the list was read.
async def test_stream_does_not_go_on_at_a_newer_version_not_read_yet(tmp_path):
    async with _staging(tmp_path, _NEW) as (stage, server):
        broken = await stage.call('/stream/1', oleanderdyke_request_id='first')
        resumed = await stage.call(
            '/stream/1',
            oleanderdyke_request_id='second',
            last_event_id=str(_BROKEN_AFTER),
            resumes='first',
        )
    assert not broken.is_whole
    assert broken.body.count(b'data:') == _BROKEN_AFTER
    assert (resumed.status, server.resumed) == (503, 0)


async def test_stream_goes_on_at_a_server_restarted_with_its_version(tmp_path):
    async with _staging(tmp_path, _OLD) as (stage, server):
        found = await stage.call('/stream/1', oleanderdyke_request_id='first')
    assert found.is_whole
    assert found.body.count(b'data:') == _LAST
    assert server.resumed == 1
