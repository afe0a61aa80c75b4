"""Check that an answer cut in its head or first bytes is never a whole one."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from oleanderdyke.clients.direct import BackendConnection, make_head
from tests.hosted import (
    CONFIGURATION,
    OPERATOR,
    SERVERS,
    make_record,
    staging,
    starting,
)
from tests.processes import Ports
from tests.relays import relaying
from tests.standins.cuts import (
    Cut,
    cut_in_turn,
    list_cuts,
    make_shapes,
)
from tests.standins.framing import EVENT_STREAM, Ending
from tests.standins.records import RecordStore
from tests.standins.replica import Peer, make_event, serving_replica
from tests.standins.scripts import answer_well, stream

pytestmark = pytest.mark.anyio

_TYPES = {
    '/once/': 'text/plain',
    '/safe/': 'text/plain',
    '/stream/': EVENT_STREAM,
    '/letter/': EVENT_STREAM,
}
_ONCE = ('/once/', '/letter/')
_EVENTS = make_event(1) + make_event(2)
_RETRIES = 10_000
# An entry has retries for this share of the cuts.
_STRIDE = 6
# Tests with three requests for each cut play this share of them.
_SAMPLE = 4
_ENDINGS = (Ending.CLOSE, Ending.HALF_CLOSE, Ending.RESET)
# Statuses that tell a caller that its request has not run.
_PROMISES = (408, 421, 429, 503)


def _list_cuts(path: str, ending: Ending) -> list[Cut]:
    return list_cuts(make_shapes(_TYPES[path]), ending)


# Guards against a cut answer that reaches a caller as whole, or as a promise
# that the request has not run.
@pytest.mark.parametrize('path', _TYPES)
@pytest.mark.parametrize('ending', _ENDINGS)
async def test_cut_answer_is_neither_whole_nor_a_promise(
    tmp_path, path, ending
):
    cuts = _list_cuts(path, ending)
    wrong = []
    async with staging(tmp_path, cut_in_turn(cuts)) as stage:
        for number, cut in enumerate(cuts):
            found = await stage.call(f'{path}{number}')
            is_whole = found.status == 200 and found.is_whole
            if is_whole and not cut.may_be_whole:
                wrong.append((cut, found))
            if found.status in _PROMISES:
                wrong.append((cut, found))
        (replica,) = stage.replicas
        targets = [each.target for each in replica.received]
    assert wrong == []
    assert set(targets) == {f'{path}{number}' for number in range(len(cuts))}
    if path in _ONCE:
        assert len(targets) == len(cuts)


async def _call_each_cut(directory, path, cuts):
    """Cut the first answer of two servers to each path.

    Return the answers of callers and how often each path reached a server.
    """
    seen: Counter[str] = Counter()

    async def run(peer: Peer) -> None:
        target = peer.request.target
        seen[target] += 1
        if seen[target] == 1:
            await cuts[int(target.rpartition('/')[2])].send(peer)
        elif _TYPES[path] == EVENT_STREAM:
            last = int(peer.request.headers.get('last-event-id', 0))
            await stream(last + 1, 2)(peer)
        else:
            await answer_well(peer)

    answers = []
    routes = [{**each, 'maxAttempts': 2} for each in CONFIGURATION['routes']]
    configuration = {**CONFIGURATION, 'routes': routes}
    async with staging(
        directory, run, run, configuration=configuration
    ) as stage:
        # The budget for retries is not what is tested.
        core = stage.core
        core.settings = replace(
            core.settings, retry_share=_RETRIES, retry_slack=_RETRIES
        )
        for number in range(len(cuts)):
            core.find_budget('desk').deposit()
            answers.append(await stage.call(f'{path}{number}'))
    return answers, seen


# Guards against a request that its first server may have run reaching a second.
@pytest.mark.parametrize('path', _ONCE)
@pytest.mark.parametrize('ending', _ENDINGS)
async def test_request_with_a_cut_answer_is_not_sent_again(
    tmp_path, path, ending
):
    cuts = _list_cuts(path, ending)
    answers, seen = await _call_each_cut(tmp_path, path, cuts)
    assert len(seen) == len(cuts)
    assert set(seen.values()) == {1}
    assert not {each.status for each in answers}.intersection(_PROMISES)


# Guards against giving up requests that another server can answer, and against
# joining its answer to the bytes before the cut.
@pytest.mark.parametrize('path', ['/safe/', '/stream/'])
@pytest.mark.parametrize('ending', _ENDINGS)
async def test_request_that_may_run_again_goes_on_elsewhere(
    tmp_path, path, ending
):
    cuts = _list_cuts(path, ending)[_ENDINGS.index(ending) :: _STRIDE]
    answers, seen = await _call_each_cut(tmp_path, path, cuts)
    whole = b'booked' if path == '/safe/' else _EVENTS
    wrong = [
        (cut, found)
        for cut, found in zip(cuts, answers, strict=True)
        if (found.body, found.is_whole) != (whole, True)
        and not cut.may_be_whole
        and not _has_begun(path, cut, found)
    ]
    assert wrong == []
    assert max(seen.values()) == 2
    assert {
        seen[f'{path}{number}']
        for number, cut in enumerate(cuts)
        if cut.place < cut.shape.head_end
    } == {2}


def _has_begun(path, cut, found):
    """Return whether bytes of a body have reached the caller before the cut.

    Only a stream goes on elsewhere after that.
    """
    is_in_body = cut.place > cut.shape.head_end
    return path == '/safe/' and is_in_body and not found.is_whole


def _cut_between(path, cuts, turns):
    """Return a script that cuts the answers to paths that say so."""

    async def run(peer: Peer) -> None:
        name, _, number = peer.request.target.rpartition('/')
        if name.endswith('cut'):
            turns[number] += 1
            await cuts[int(number)].send(peer)
        elif _TYPES[path] == EVENT_STREAM:
            await stream(1, 2)(peer)
        else:
            await answer_well(peer)

    return run


async def _call_around(stage, path, number):
    """Call before a cut answer, for it, and after it."""
    return [
        await stage.call(
            f'{path}{kind}/{number}',
            oleanderdyke_request_id=f'{kind}-{number}',
        )
        for kind in ('sound', 'cut', 'after')
    ]


def _is_spoilt(path, cut, found):
    whole = _EVENTS if _TYPES[path] == EVENT_STREAM else b'booked'
    sound = [(each.body, each.is_whole) for each in found[::2]]
    is_whole = found[1].status == 200 and found[1].is_whole
    return sound != [(whole, True)] * 2 or (is_whole and not cut.may_be_whole)


# Guards against a cut answer that is taken together with what comes on another
# connection, or that keeps a connection in use.
@pytest.mark.parametrize('path', _TYPES)
@pytest.mark.parametrize('ending', _ENDINGS)
async def test_cut_answer_on_a_kept_connection_spoils_no_other(
    tmp_path, path, ending
):
    cuts = _list_cuts(path, ending)[::_SAMPLE]
    turns: Counter[str] = Counter()
    async with staging(tmp_path, _cut_between(path, cuts, turns)) as stage:
        found = [
            (cut, await _call_around(stage, path, number))
            for number, cut in enumerate(cuts)
        ]
        (replica,) = stage.replicas
        reused = len(replica.received) - replica.connections
    assert [each for each in found if _is_spoilt(path, *each)] == []
    # The cut answers came on connections that had carried sound ones.
    assert reused >= len(cuts)
    if path in _ONCE:
        assert set(turns.values()) == {1}


# Guards against taking the orderly end of a proxy, whose server was reset, for
# that of an answer.
@pytest.mark.parametrize('path', _TYPES)
async def test_proxy_that_closes_for_its_server_makes_no_answer_whole(
    tmp_path, path
):
    cuts = _list_cuts(path, Ending.RESET)[::_SAMPLE]
    store = RecordStore()
    store.put(OPERATOR, 'config', CONFIGURATION)
    async with (
        serving_replica(cut_in_turn(cuts)) as (replica, where),
        relaying(where) as (_, address),
    ):
        store.put(SERVERS, 'i-0', make_record(address))
        with Ports() as ports:
            async with starting(tmp_path, store, ports, [replica]) as stage:
                found = [
                    await stage.call(f'{path}{number}')
                    for number in range(len(cuts))
                ]
    wrong = [
        (cut, each)
        for cut, each in zip(cuts, found, strict=True)
        if each.status == 200
        and each.is_whole
        and not replace(cut, ending=Ending.CLOSE).may_be_whole
    ]
    targets = [each.target for each in replica.received]
    assert wrong == []
    assert set(targets) == {f'{path}{number}' for number in range(len(cuts))}
    if path in _ONCE:
        assert len(targets) == len(cuts)


@pytest.mark.parametrize('path', ['/once/', '/letter/'])
@pytest.mark.parametrize('name', ['length', 'bare line feeds', 'hints'])
def test_no_place_of_a_head_ends_an_answer(path, name):
    shapes = make_shapes(_TYPES[path])
    shape = shapes['length after hints' if name == 'hints' else name]
    for place in range(shape.head_end):
        listener = _Listener()
        connection = BackendConnection(lambda _: None)
        head = make_head('POST', path, (), b'', 'desk')
        connection.send(head, b'', listener, request='req-1')
        connection.data_received(shape.data[:place])
        connection.eof_received()
        connection.connection_lost(None)
        assert listener.calls == ['failure'], place


class _Listener:
    def __init__(self):
        self.calls = []

    def find_other_request(self, _):
        return ''

    def take_head(self, *_):
        self.calls.append('head')

    def take_part(self, _):
        self.calls.append('part')

    def take_end(self):
        self.calls.append('end')

    def take_failure(self, _):
        self.calls.append('failure')
