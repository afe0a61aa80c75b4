"""Retry budgets of an entry on the users' platform."""

from __future__ import annotations

import anyio
import pytest

from oleanderdyke.logs import parse_line
from tests import hosted
from tests.hosted import staging, staging_linked

pytestmark = pytest.mark.anyio


async def refuse(peer) -> None:
    await peer.answer(503, b'full', oleanderdyke_not_executed='1')


def read_events(stage, event):
    lines = stage.log.read_text().splitlines()
    return [parse_line(line) for line in lines if f'event={event} ' in line]


def keep_tokens(stage, count):
    """Use up the retries that the entry has saved up, but for `count`."""
    budget = stage.core.find_budget('desk')
    while budget.tokens >= count + 1:
        assert budget.try_withdraw()
    return budget


async def test_log_tells_which_retry_was_taken_from_which_bucket(tmp_path):
    async with staging(tmp_path, refuse, refuse, refuse) as stage:
        budget = keep_tokens(stage, 2)
        left = budget.tokens + budget.settings.share
        await stage.call('/safe/x', oleanderdyke_request_id='req-7')
        retries = read_events(stage, 'request_retried')
    assert [each['request'] for each in retries] == ['req-7'] * 2
    assert [each['source'] for each in retries] == ['bucket'] * 2
    assert [float(each['budget']) for each in retries] == [
        pytest.approx(left - 1, abs=0.01),
        pytest.approx(left - 2, abs=0.01),
    ]


async def test_log_and_metrics_tell_that_the_budget_refused_a_retry(tmp_path):
    async with staging(tmp_path, refuse, refuse) as stage:
        budget = keep_tokens(stage, 0)
        await stage.call('/safe/x')
        (refused,) = read_events(stage, 'request_refused')
        stage.core.update_gauges()
        metrics = stage.core.metrics.render().decode().splitlines()
        left, burst = budget.tokens, budget.settings.burst
    assert float(refused['budget']) == pytest.approx(left, abs=0.01)
    assert 'oleander_retries_denied_total{label="desk"} 1.0' in metrics
    assert f'oleander_retry_tokens{{label="desk"}} {left}' in metrics
    assert f'oleander_retry_burst{{label="desk"}} {burst}' in metrics


# A count of what may still arrive stayed low, and nothing told why.
async def test_metrics_tell_why_sends_no_longer_count_as_unread(tmp_path):
    async with staging(tmp_path, refuse, refuse) as stage:
        await stage.call('/safe/x')
        retries = read_events(stage, 'request_retried')
        stage.core.update_gauges()
        metrics = stage.core.metrics.render().decode().splitlines()
    sends = float(len(retries) + 1)
    ended = f'oleander_sends_ended_total{{label="desk, answered"}} {sends}'
    assert [each['unread'] for each in retries] == ['0', '0']
    assert 'oleander_retry_unread{label="desk"} 0.0' in metrics
    assert ended in metrics


async def test_log_tells_a_changed_share_with_the_count_behind_it(tmp_path):
    async with staging(tmp_path, refuse) as stage:
        stage.core.entries.record_entry('front-2', stage.core.clock.now())
        await anyio.sleep(0.2)
        for _ in range(3):
            stage.core.log_retry_share()
        changes = read_events(stage, 'retry_budget_changed')
    first, second = changes
    assert float(first['limit']) > float(second['limit'])
    assert [each['count'] for each in changes] == ['3', '4']
    assert all(float(each['age']) < 1_500 for each in changes)


# Entries without an address for links announced themselves in a form that no
# entry could read, so that nobody was counted and each share was too large.
async def test_entry_without_an_address_for_links_is_counted(tmp_path):
    async with staging(tmp_path, refuse) as stage:
        with anyio.fail_after(10):
            while not stage.core.entries.list_known():
                await anyio.sleep(0.02)
        assert stage.core.entries.list_known() == ('front-1',)
        refused = read_events(stage, 'record_refused')
    assert all(each['name'] != 'entries' for each in refused)


async def answer_other(peer) -> None:
    await peer.answer(503, b'late', oleanderdyke_request_id='req-0')


async def answer_as_proxy(peer) -> None:
    await peer.answer(
        502,
        b'gateway',
        oleanderdyke_request_id='',
        oleanderdyke_response_seal='',
    )


# A late answer to another request, or one that a proxy made itself, was taken
# for a proof that the server had read the request.
@pytest.mark.parametrize('script', [answer_other, answer_as_proxy])
async def test_answer_without_the_request_id_shows_no_arrival(tmp_path, script):
    async with staging(tmp_path, script, script) as stage:
        await stage.call('/safe/x', oleanderdyke_request_id='req-7')
        sends = stage.core.retries.find_sends('desk')
    assert sends.repeats == 1


# Starts recorded by a machine whose clock is late seemed long ago, so that each
# start of the others began with a retry.
@pytest.mark.parametrize('at', ['1000', '99999999999999'])
@pytest.mark.parametrize(('earlier', 'granted'), [(0, 1), (40, 0)])
async def test_starts_that_the_store_keeps_count_whatever_their_clocks(
    tmp_path, earlier, granted, at
):
    async with staging_linked(tmp_path, refuse, entries=0) as linked:
        starts = linked.store.find('oleander-starts')
        for _ in range(earlier):
            starts.append(f'{at} front-9'.encode())
        stage = await linked.start()
        with anyio.fail_after(5):
            while not stage.core.entries.list_known():
                await anyio.sleep(0.01)
        events = read_events(stage, 'start_retry_granted')
    assert len(events) == granted


def forget_starts(starts) -> None:
    starts.append(b'1000 front-9')
    starts.forget()


@pytest.mark.parametrize(
    ('prepare', 'is_limited'),
    [
        (lambda starts: starts.append(b'1000 front-9'), False),
        (lambda starts: starts.append(b'1000 front-1'), True),
        # The store keeps starts for a while only.
        (forget_starts, True),
    ],
    ids=['other', 'own', 'expired'],
)
# Guards against settings that still tell of a first start as a process starts
# again: it saved up a whole share beside what its last one had left unread.
async def test_process_is_the_first_only_if_the_store_shows_no_earlier_one(
    tmp_path, monkeypatch, prepare, is_limited
):
    monkeypatch.setattr(hosted, '_save_up_retries', wait_announced)
    monkeypatch.setattr(hosted, 'format_settings', format_first_start)
    async with staging_linked(tmp_path, refuse, entries=0) as linked:
        prepare(linked.store.find('oleander-starts'))
        stage = await linked.start()
        await anyio.sleep(0.5)
        assert stage.core.retries.may_have_earlier() is is_limited


def format_first_start(
    *arguments, _format_settings=hosted.format_settings, **options
) -> str:
    text = _format_settings(*arguments, **options)
    return text.replace('firstStart=false', 'firstStart=true')


async def wait_announced(core) -> None:
    with anyio.fail_after(5):
        while not core.entries.list_known():
            await anyio.sleep(0.01)
