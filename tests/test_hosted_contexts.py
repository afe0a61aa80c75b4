from __future__ import annotations

import contextlib

import anyio
import pytest

from oleanderdyke.clock import SECOND
from oleanderdyke.kernel.context_stores import VIEW_MAX_AGE
from tests.context_scene import SALT, SOURCE, ask_prompt, staging_contexts
from tests.hosted import MODEL
from tests.standins.contexts import ContextStore

SINK = 'oleanderdyke-kv-sink'
UNTIL = 'oleanderdyke-kv-until'

pytestmark = pytest.mark.anyio


@contextlib.asynccontextmanager
async def staging_store(directory):
    """Run an entry with an engine and a context store."""
    contexts = ContextStore()
    async with staging_contexts(directory, contexts) as (stage, address):
        with anyio.fail_after(5):
            while not contexts.reads:
                await anyio.sleep(0.02)
        yield stage, contexts, address


async def test_stored_context_is_fetched_and_the_rest_is_saved(tmp_path):
    async with staging_store(tmp_path) as (stage, contexts, address):
        contexts.add(SALT, 'aa', 2_000)
        # An entry can't know whether a store that it sees for the first time
        # has just restarted, so it waits for the lifetime of a view.
        await anyio.sleep(VIEW_MAX_AGE / SECOND + 0.3)
        headers = await ask_prompt(stage)
    assert headers['oleanderdyke-cache-salt'] == SALT
    assert headers[SOURCE] == f'{address}/2000,-,-'
    assert headers[SINK] == f'-,{address},-'
    assert int(headers[UNTIL]) > 0


async def test_context_of_other_weights_is_not_fetched(tmp_path):
    async with staging_store(tmp_path) as (stage, contexts, _):
        contexts.add(f'2/{MODEL}/', 'aa', 2_000)
        await anyio.sleep(0.3)
        headers = await ask_prompt(stage)
    assert SOURCE not in headers


async def test_nothing_is_fetched_from_a_restarted_store(tmp_path):
    async with staging_store(tmp_path) as (stage, contexts, _):
        contexts.add(SALT, 'aa', 2_000)
        await anyio.sleep(0.3)
        contexts.restart()
        await anyio.sleep(0.3)
        headers = await ask_prompt(stage)
    assert SOURCE not in headers
    # Other entries may not know yet that it restarted, and would fetch what is
    # saved there.
    assert SINK not in headers


async def test_nothing_is_fetched_from_an_unresponsive_store(tmp_path):
    async with staging_store(tmp_path) as (stage, contexts, _):
        contexts.add(SALT, 'aa', 2_000)
        await anyio.sleep(0.3)
        contexts.faults = type(contexts.faults)(silent=True)
        await anyio.sleep(4.5)
        headers = await ask_prompt(stage)
    assert SOURCE not in headers
