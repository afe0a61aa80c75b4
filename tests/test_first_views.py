"""An entry that had just started had all context read from nothing.

What was seen: in the quarter of a second after an entry was back, 52 parts of
prompts were read again that stores held: a third of all on that day.

How it came about: an entry serves some ten milliseconds after its start, but
looked for the stores that the configuration names only every 250 ms.

What proved it: its dispatches named no store in that time, and all did after.
"""

from __future__ import annotations

import contextlib

import anyio
import pytest

from tests.hosted import MODEL, configure_store, staging
from tests.standins import server
from tests.standins.contexts import ContextStore
from tests.standins.scripts import answer_well

SALT = f'1/{MODEL}/'
SOURCE = 'oleanderdyke-kv-source'

pytestmark = pytest.mark.anyio


@contextlib.asynccontextmanager
async def starting(directory, contexts):
    """Start an entry before an engine and a store of context."""
    async with (
        server.serving(contexts) as (address,),
        staging(
            directory,
            answer_well,
            configuration=configure_store(address),
            models=[{'name': MODEL, 'version': 1, 'adapters': []}],
        ) as stage,
    ):
        yield stage, address


async def ask(stage):
    found = await stage.call(
        '/safe/1',
        oleanderdyke_model=MODEL,
        oleanderdyke_token_usage='7500,80',
        oleanderdyke_prompt_prefix='aa:2000,bb:5000,cc:500',
    )
    assert found.status == 200
    return stage.replicas[0].received[-1].headers


async def test_the_first_request_is_told_what_stores_hold(tmp_path):
    contexts = ContextStore()
    contexts.add(SALT, 'aa', 2_000)
    async with starting(tmp_path, contexts) as (stage, address):
        told = await ask(stage)
    assert told[SOURCE] == f'{address}/2000,-,-'


async def test_a_store_that_is_silent_holds_up_the_first_request_for_little(
    tmp_path,
):
    contexts = ContextStore()
    contexts.faults = type(contexts.faults)(silent=True)
    async with starting(tmp_path, contexts) as (stage, _):
        with anyio.fail_after(1.0):
            told = await ask(stage)
    assert SOURCE not in told
