"""Guard against engines that idle for seconds after loading new weights.

Entries requested the old version until the server list showed the new one, up
to two seconds later, or never if the engine was cut off from the store. The
engine rejected these requests under its own name and without running them.
Entries took that for a load in progress, skipped the engine for 1.5 s and then
requested the old version again. Engines idled for one to nine seconds while
others refused requests for lack of room.
"""

from __future__ import annotations

import json

import anyio
import pytest

from tests import hosted
from tests.hosted import MODEL, OPERATOR
from tests.standins.scripts import answer_well

OLD = [{'name': MODEL, 'version': 1, 'adapters': []}]
EXPECTED = 'oleanderdyke-expect-version'

pytestmark = pytest.mark.anyio


def name_weights(store, version):
    named = {'model': MODEL, 'version': version}
    store.put(OPERATOR, f'version/{MODEL}', named)


async def ask(stage):
    return await stage.call(
        '/letter/1',
        oleanderdyke_deadline_ms='2000',
        oleanderdyke_model=MODEL,
        oleanderdyke_token_usage='100,10',
    )


def list_expected(stage):
    received = stage.replicas[0].received
    return [each.headers[EXPECTED] for each in received]


async def test_engine_is_used_as_soon_as_its_load_is_reported(
    tmp_path,
):
    async with hosted.staging(tmp_path, answer_well, models=OLD) as stage:
        name_weights(stage.store, 2)
        steps = ('waits', 1), ('ended', 2)
        for step, held in steps:
            notice = {
                'server': 'i-0',
                'step': step,
                'agent': 'side-0',
                'model': MODEL,
                'held': held,
            }
            stage.store.find('oleander-loads').append(
                json.dumps(notice).encode()
            )
        await anyio.sleep(0.3)
        assert (await ask(stage)).status == 200
        assert list_expected(stage) == ['2']


@pytest.mark.parametrize('held', [2, 3])
async def test_engine_that_rejects_old_weights_is_assumed_to_hold_newer(
    tmp_path, held
):
    async def answer(peer):
        if peer.request.headers[EXPECTED] == str(held):
            await answer_well(peer)
        else:
            await peer.answer(421, oleanderdyke_instance_id='i-0')

    async with hosted.staging(tmp_path, answer, models=OLD) as stage:
        for version in (2, 3):
            name_weights(stage.store, version)
            await anyio.sleep(0.2)
        await ask(stage)
        await ask(stage)
        with anyio.fail_after(1):
            assert (await ask(stage)).status == 200
        assert list_expected(stage)[-1] == str(held)
