"""Scene with an entry, an engine and a context store."""

from __future__ import annotations

import contextlib
import pathlib
from collections.abc import AsyncGenerator

from tests.hosted import MODEL, Stage, configure_store, staging
from tests.standins import server
from tests.standins.contexts import ContextStore
from tests.standins.scripts import answer_well

SALT = f'1/{MODEL}/'
SOURCE = 'oleanderdyke-kv-source'


@contextlib.asynccontextmanager
async def staging_contexts(
    directory: pathlib.Path, contexts: ContextStore
) -> AsyncGenerator[tuple[Stage, str]]:
    """Run the scene; yield the stage and the address of the store."""
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


async def ask_prompt(stage: Stage) -> dict[str, str]:
    """Send a prompt of three parts; return the headers the engine got."""
    found = await stage.call(
        '/safe/1',
        oleanderdyke_model=MODEL,
        oleanderdyke_token_usage='7500,80',
        oleanderdyke_prompt_prefix='aa:2000,bb:5000,cc:500',
    )
    assert found.status == 200
    return stage.replicas[0].received[-1].headers
