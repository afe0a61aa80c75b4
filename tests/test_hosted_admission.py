"""An entry refuses by shares while a service lacks room.

The load is a burst of one team on a route that is less urgent than another.
"""

from __future__ import annotations

from types import SimpleNamespace

import anyio
import pytest

from oleanderdyke.entry.hosted.admission import EntryAdmission
from oleanderdyke.kernel.scheduling.work import Demand, ServerWork
from oleanderdyke.kernel.servers import ModelDemand
from oleanderdyke.metrics import Count
from tests import hosted
from tests.hosted import CONFIGURATION, KEY, MODEL, STREAM_ROUTE
from tests.test_hosted_log import list_events

SHORT = {**STREAM_ROUTE, 'name': 'short', 'pathPrefix': '/s/', 'priority': 0}
LONG = {
    **STREAM_ROUTE,
    'name': 'long',
    'pathPrefix': '/l/',
    'targetLatencyMs': 800,
}
DESK = {'name': 'desk', 'maxConnections': 96, 'engine': {'kvCapacity': 40_000}}
MODELS = [{'name': MODEL, 'version': 1, 'adapters': []}]

pytestmark = pytest.mark.anyio


class View:
    """Show demand of the long route for ten times what one engine reads."""

    age = 0.0

    def find_work(self, _start, _now):
        return ServerWork()

    def list_demand(self, service, _now):
        rate = {'arrived': 50.0, 'unread': 500_000.0}
        return [Demand(service, 'long', 'red', **rate)]

    def find_age(self, _now):
        return self.age


async def ask(stage, route, tokens):
    return await stage.call(
        f'/{route}/1',
        oleanderdyke_model=MODEL,
        oleanderdyke_token_usage=f'{tokens},10',
    )


async def ask_both(stage):
    for _ in range(2):
        for route, tokens in (('s', 100), ('l', 1_000)):
            assert (await ask(stage, route, tokens)).status == 200


async def start_scheduler(stage):
    """Show the entry that it needs its scheduler, and use it."""
    scheduling = stage.core.scheduling
    with anyio.fail_after(5):
        while scheduling._switch is None:
            await anyio.sleep(0.05)
    await ask_both(stage)
    with anyio.fail_after(5):
        while scheduling.scheduler is None:
            await anyio.sleep(0.05)
    # Without news of other entries, nobody is refused by shares.
    await ask_both(stage)
    return scheduling.scheduler


async def answer_full(peer):
    """Answer, and report that requests wait."""
    await peer.answer(200, b'done', oleanderdyke_instance_load='6,2,6')


async def test_a_team_beyond_its_share_is_refused_with_the_cause(tmp_path):
    configuration = {
        **CONFIGURATION,
        'routes': [SHORT, LONG],
        'services': [DESK],
        'tenants': [{'name': 'red', 'apiKeys': [KEY], 'priority': 1}],
    }
    async with hosted.staging(
        tmp_path, answer_full, configuration=configuration, models=MODELS
    ) as stage:
        scheduler = await start_scheduler(stage)
        scheduler.view = View()
        answers = [await ask(stage, 'l', 1_000) for _ in range(10)]
        urgent = [await ask(stage, 's', 100) for _ in range(4)]
        refused = [each for each in answers if each.status == 503]
        assert len(refused) >= 8
        assert all(float(each.headers['retry-after']) > 0 for each in refused)
        assert len(stage.replicas[0].received) == 8 + 10 - len(refused) + 4
        assert [each.status for each in urgent] == [200] * 4
        ranks = [
            each.headers['oleanderdyke-request-priority']
            for each in stage.replicas[0].received[4:8]
        ]
        # The team's rank of 1 does not hide which route is more urgent.
        assert ranks == ['1', '2'] * 2
        scheduler.view.age = 1_500.0
        assert (await ask(stage, 'l', 1_000)).status == 200
        found = list_events(stage.log, 'admission_refused')
    assert len(found) == len(refused)
    line = found[0]
    assert (line['request'], line['team']) == ('req-1', 'red')
    assert (line['reason'], line['rank']) == ('share', '1.2')
    assert float(line['use']) > 5
    count = stage.core.metrics.read_count(Count.ADMISSION_REFUSALS, 'share 1.2')
    assert count == len(refused)


async def answer_idle(peer):
    await peer.answer(200, b'done', oleanderdyke_instance_load='0,0,0')


async def test_a_long_prompt_starts_at_an_idle_engine_beyond_its_share(
    tmp_path,
):
    configuration = {
        **CONFIGURATION,
        'routes': [SHORT, LONG],
        'services': [DESK],
    }
    async with hosted.staging(
        tmp_path, answer_idle, configuration=configuration, models=MODELS
    ) as stage:
        scheduler = await start_scheduler(stage)
        scheduler.view = View()
        answers = [await ask(stage, 'l', 30_000) for _ in range(10)]
        assert [each.status for each in answers] == [200] * 10


async def test_an_engine_that_refused_counts_as_capacity(tmp_path):
    """Otherwise no engine is left, and nothing is refused by shares."""
    configuration = {
        **CONFIGURATION,
        'routes': [SHORT, LONG],
        'services': [DESK],
    }
    async with hosted.staging(
        tmp_path, answer_full, configuration=configuration, models=MODELS
    ) as stage:
        core = stage.core
        scheduler = await start_scheduler(stage)
        scheduler.view = View()
        (engine,) = core.backends.list_known()
        engine.excluded_until = core.clock.now() + 60_000
        answers = [await ask(stage, 'l', 1_000) for _ in range(10)]
        assert [each.status for each in answers].count(503) >= 8


async def test_the_memory_of_a_run_follows_the_tokens_of_ended_answers(
    tmp_path,
):
    """Callers announce the longest answer; an event holds several tokens."""
    engine = {'kvCapacity': 40_000, 'stride': 7}
    configuration = {
        **CONFIGURATION,
        'routes': [SHORT],
        'services': [{**DESK, 'engine': engine}],
    }
    async with hosted.staging(
        tmp_path, answer_full, configuration=configuration, models=MODELS
    ) as stage:
        admission = EntryAdmission(stage.core, View())
        model = ModelDemand('m', prompt_tokens=800, output_tokens=952)
        call = SimpleNamespace(
            service='desk',
            route=SimpleNamespace(name='short'),
            parameters=SimpleNamespace(demand=model, last_event=''),
        )
        assert admission.estimate_memory(call, model) == 800 + 952 // 2
        for _ in range(8):
            admission.record_answer(call, 20, 500.0)
        assert admission.estimate_memory(call, model) == pytest.approx(940)
