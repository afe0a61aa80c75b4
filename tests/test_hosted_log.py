from __future__ import annotations

import time

import anyio
import pytest

from oleanderdyke.clock import ManualClock
from oleanderdyke.entry.hosted.server_changes import ServerChangeLog
from oleanderdyke.kernel.backends import BackendRegistry
from oleanderdyke.kernel.servers import ServerRecord
from oleanderdyke.logs import make_event_log, parse_line
from tests.hosted import KEY, SERVERS, prefer, staging
from tests.standins.framing import Response, respond
from tests.standins.scripts import answer_well, stream


def list_events(path, *names):
    lines = map(parse_line, path.read_text().splitlines())
    return [line for line in lines if line.get('event') in names]


def list_changes(path):
    found = list_events(path, 'backend_up', 'backend_lost')
    return [(line['event'], line['peer'], line['reason']) for line in found]


def log_reads(path, steps):
    backends, clock = BackendRegistry(), ManualClock()
    with path.open('w', buffering=1) as stream:
        changes = ServerChangeLog(
            make_event_log('front-1', clock=clock, stream=stream)
        )
        for records in steps:
            clock.advance(600)
            for record in records:
                backends.put(record, clock.now())
            changes.log_changes(backends, clock.now(), 600)


def make_server(name, **changes):
    return ServerRecord(name, 'desk', '10.0.0.1:80', 'hall', **changes)


def test_server_that_appears_and_leaves_is_logged_once_each(tmp_path):
    path = tmp_path / 'log'
    leaving = make_server('i-1', is_leaving=True)
    log_reads(
        path, [[make_server('i-1')], [make_server('i-1')], [leaving], [leaving]]
    )
    assert list_changes(path) == [
        ('backend_up', 'i-1', 'listed'),
        ('backend_lost', 'i-1', 'leaving'),
    ]


def test_restart_under_the_same_name_is_logged(tmp_path):
    path = tmp_path / 'log'
    log_reads(
        path, [[make_server('i-1', born=1)], [make_server('i-1', born=2)]]
    )
    logged = [
        (line['event'], line['incarnation'], line['reason'])
        for line in list_events(path, 'backend_up', 'backend_lost')
    ]
    assert logged[1:] == [
        ('backend_up', '2', 'listed'),
        ('backend_lost', '1', 'gone'),
    ]


def test_many_changes_at_once_are_counted(tmp_path):
    path = tmp_path / 'log'
    log_reads(path, [[make_server(f'i-{number}') for number in range(40)]])
    assert len(list_changes(path)) == 16
    (rest,) = list_events(path, 'backends_changed')
    assert rest['count'] == '24'


@pytest.mark.anyio
async def test_log_lines_have_the_age_and_version_of_the_inputs(tmp_path):
    async with staging(tmp_path, answer_well) as stage:
        await stage.call('/once/0')
        await stage.call('/nowhere/')
        stage.store.drop(SERVERS, 'i-0')
        await anyio.sleep(1.5)
    accepted, refused = (
        list_events(stage.log, name)[0]
        for name in ('request_accepted', 'request_refused')
    )
    for line in (accepted, refused):
        assert line['version'] == '7'
        assert float(line['age']) < 1_500
    (routed,) = list_events(stage.log, 'request_routed')
    assert float(routed['list_age']) < 1_500
    (sent,) = list_events(stage.log, 'dispatch_sent')
    limits = [int(line['limit']) for line in (accepted, routed, sent)]
    assert limits == sorted(limits, reverse=True)
    assert list_changes(stage.log)[-1][:2] == ('backend_lost', 'i-0')


@pytest.mark.anyio
async def test_log_contains_no_key_prompt_or_response(tmp_path):
    async def run(peer):
        await peer.answer(body=b'hidden-answer')

    async with staging(tmp_path, run) as stage:
        await stage.call('/once/0', body=b'hidden-prompt')
        await stage.call('/once/0', oleanderdyke_key='hidden-key')
        await anyio.sleep(0.1)
    text = stage.log.read_text()
    assert 'event=request_finished' in text
    assert 'event=request_refused' in text
    assert KEY not in text
    assert 'hidden' not in text


@pytest.mark.anyio
async def test_stalled_process_is_logged(tmp_path):
    async with staging(tmp_path, answer_well) as stage:
        await anyio.sleep(0.2)
        time.sleep(0.7)
        await anyio.sleep(0.2)
        (line,) = list_events(stage.log, 'process_stalled')
    assert int(line['duration']) > 600


def answer_with_limits(*limits):
    """Succeed with the next limit each time, and then repeat the last one."""
    left = list(limits)

    async def run(peer):
        limit = left.pop(0) if len(left) > 1 else left[0]
        await peer.answer(server_limit=limit)

    return run


@pytest.mark.anyio
async def test_a_rate_limit_is_logged_when_it_changes(tmp_path):
    limits = answer_with_limits('250', '250', '400', '')
    async with staging(tmp_path, limits) as stage:
        for _ in range(5):
            await anyio.sleep(0.3)
            assert (await stage.call('/safe/x')).status == 200
        lines = list_events(stage.log, 'backend_limited')
    logged = [(line['peer'], line.get('value')) for line in lines]
    assert logged == [('i-0', '250.0'), ('i-0', '400.0'), ('i-0', None)]


@pytest.mark.anyio
async def test_malformed_rate_limit_is_logged_once(tmp_path):
    async with staging(
        tmp_path, answer_with_limits('few', '-1', 'few')
    ) as stage:
        for _ in range(3):
            assert (await stage.call('/safe/x')).status == 200
        lines = list_events(stage.log, 'record_refused')
    (line,) = [line for line in lines if line['name'] == 'rate limit']
    assert line['peer'] == 'i-0'


def list_passed(line):
    names = ('attempt', 'peer', 'software', 'events', 'count')
    return tuple(line.get(name) for name in names)


# Guards against events out of order of which no log tells where they came from.
@pytest.mark.anyio
async def test_log_tells_which_attempt_passed_on_which_events(tmp_path):
    scripts = (stream(1, 3, ending=b''), stream(4, 6))
    async with staging(tmp_path, *scripts, versions=('v1', 'v1')) as stage:
        prefer(stage, 0)
        await stage.call('/stream/1')
    (broken,) = list_events(stage.log, 'answer_broken')
    (finished,) = list_events(stage.log, 'request_finished')
    assert list_passed(broken) == ('1', 'i-0', 'v1', '1-3', '3')
    assert list_passed(finished) == ('2', 'i-1', 'v1', '4-6', '3')


@pytest.mark.anyio
async def test_log_tells_the_number_of_a_long_event(tmp_path):
    event = b'id: 5\ndata: ' + b'x' * 700_000 + b'\n\n'
    async with staging(tmp_path, respond(Response((event,)))) as stage:
        await stage.call('/letter/1')
    (finished,) = list_events(stage.log, 'request_finished')
    assert list_passed(finished)[3:] == ('5-5', '1')
