"""Fail every call of every background task's clients, in turn."""

from __future__ import annotations

import inspect
from collections import Counter
from random import Random

import anyio
import pytest

from oleanderdyke import background
from oleanderdyke.background import BackgroundTasks
from oleanderdyke.clients.http import HttpError
from oleanderdyke.clock import make_clock
from oleanderdyke.errors import Ran
from oleanderdyke.kernel import outdated_context
from oleanderdyke.links.news_client import NewsClient
from oleanderdyke.logs import make_event_log
from oleanderdyke.metrics import Metrics
from oleanderdyke.platform.contexts import ContextClient, ContextUnavailable
from oleanderdyke.platform.documents import MalformedRecord
from oleanderdyke.platform.engines import EngineClient, EngineUnavailable
from oleanderdyke.platform.store import (
    RecordsExpired,
    StoreClient,
    StoreRestored,
    StoreUnavailable,
)
from tests.context_scene import ask_prompt, staging_contexts
from tests.hosted import MODEL, OPERATOR, configure_store
from tests.standins.contexts import ContextStore
from tests.test_hosted_agent import staging as staging_agent

pytestmark = pytest.mark.anyio

# What any client may raise, whatever its documentation says.
_ANY = (
    OSError('reset'),
    TimeoutError('late'),
    MalformedRecord('malformed'),
    HttpError('broken', ran=Ran.MAYBE),
)
_ERRORS = {
    StoreClient: (
        StoreUnavailable('away'),
        StoreRestored(),
        RecordsExpired(3),
        *_ANY,
    ),
    ContextClient: (ContextUnavailable('away'), *_ANY),
    EngineClient: (EngineUnavailable('away'), *_ANY),
    NewsClient: _ANY,
}
# Calls that are seen to be made again after each of the errors.
_REPEATED = {
    StoreClient: {'list_newest'},
    ContextClient: {'read_events', 'free'},
    EngineClient: {'read_state', 'give_order'},
    NewsClient: {'ask_records'},
}


@pytest.fixture
def _short_pauses(monkeypatch):
    """Let tasks start again soon, so that each call meets each error."""
    monkeypatch.setattr(background, '_LAST_PAUSE', 250.0)
    monkeypatch.setattr(outdated_context, 'VIEW_MAX_AGE', 100.0)
    monkeypatch.setattr(outdated_context, '_MARGIN', 0.0)
    monkeypatch.setattr(outdated_context, '_JITTER', 100.0)
    monkeypatch.setattr(outdated_context, '_MAX_RETRY_PAUSE', 100.0)


def _break_calls(monkeypatch, client):
    """Let each public coroutine of a client raise each error once.

    Return how often each of them was called.
    """
    errors, calls = _ERRORS[client], Counter()

    def break_call(name, call):
        async def run(*args, **kwargs):
            calls[name] += 1
            number = calls[name]
            await anyio.sleep(0)
            if number <= len(errors):
                raise errors[number - 1]
            return await call(*args, **kwargs)

        monkeypatch.setattr(client, name, run)

    for name, call in inspect.getmembers(client, inspect.iscoroutinefunction):
        if not name.startswith('_') and name != 'close':
            break_call(name, call)
    return calls


def _check_repeated(client, calls):
    for name in _REPEATED[client]:
        assert calls[name] > len(_ERRORS[client]), (name, calls)


async def _wait_until(condition):
    with anyio.fail_after(30):
        while not condition():
            await anyio.sleep(0.05)


async def _play_entry(directory, monkeypatch, client):
    """Run an entry whose calls fail; look that all its tasks go on."""
    calls = _break_calls(monkeypatch, client)
    contexts = ContextStore()
    contexts.add(f'0/{MODEL}/', 'old', 2_000)
    async with staging_contexts(directory, contexts) as (stage, address):
        named = {'model': MODEL, 'version': 1}
        stage.store.put(OPERATOR, f'version/{MODEL}', named)
        await _wait_until(lambda: contexts.freed)
        newer = {**configure_store(address), 'version': 9}
        stage.store.put(OPERATOR, 'config', newer)
        await _wait_until(lambda: stage.core.deployment.version == 9)
        await ask_prompt(stage)
    _check_repeated(client, calls)


# Guards against a failed call of any client that ends the whole entry.
@pytest.mark.parametrize('client', [StoreClient, ContextClient, NewsClient])
@pytest.mark.usefixtures('_short_pauses')
async def test_entry_goes_on_whatever_call_of_a_peer_fails(
    tmp_path, monkeypatch, client
):
    await _play_entry(tmp_path, monkeypatch, client)


# Guards against a failed call of any client that ends the whole agent.
@pytest.mark.parametrize('client', [StoreClient, EngineClient, NewsClient])
@pytest.mark.usefixtures('_short_pauses')
async def test_agent_goes_on_whatever_call_of_a_peer_fails(
    tmp_path, monkeypatch, client
):
    calls = _break_calls(monkeypatch, client)
    async with staging_agent(tmp_path) as stage:
        stage.publish_version(2)
        await _wait_until(lambda: stage.engine.orders)
        await _wait_until(lambda: stage.list_notices()[-1]['step'] == 'ended')
    _check_repeated(client, calls)


async def _run_bare(self, name, work):
    await work()


@pytest.mark.usefixtures('_short_pauses')
async def test_entry_that_has_no_boundary_is_caught(tmp_path, monkeypatch):
    monkeypatch.setattr(BackgroundTasks, 'run', _run_bare)
    with pytest.raises(ExceptionGroup):
        await _play_entry(tmp_path, monkeypatch, ContextClient)


@pytest.fixture
def tasks(tmp_path):
    """Return background tasks that log to a file."""
    with (tmp_path / 'log').open('w', buffering=1) as stream:
        yield BackgroundTasks(
            make_event_log('front-1', stream=stream),
            Metrics(),
            make_clock(),
            Random(3),
        )


async def test_error_of_the_program_still_ends_the_process(tasks):
    async def fail():
        raise ExceptionGroup('tasks', [OSError('reset'), KeyError('fault')])

    with pytest.raises(ExceptionGroup) as caught:
        await tasks.run('fails', fail)
    assert caught.group_contains(KeyError)
    assert not caught.group_contains(OSError)


async def test_task_that_a_peer_fails_is_logged_and_started_again(
    tasks, tmp_path
):
    runs = []

    async def fail_twice():
        runs.append(anyio.current_time())
        if len(runs) < 3:
            raise StoreUnavailable('away')

    await tasks.run('reads', fail_twice)
    assert len(runs) == 3
    assert runs[2] - runs[1] > 0.2
    lines = (tmp_path / 'log').read_text().splitlines()
    failed = [line for line in lines if 'event=task_failed' in line]
    assert len(failed) == 2
    assert all('name=reads' in line for line in failed)
