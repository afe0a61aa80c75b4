"""An entry that had just started had all context read from nothing.

What was seen: in the quarter of a second after an entry was back, it named no
store for 52 parts of prompts that were asked for before. With all starts of the
day these were 289,000 tokens; 484,000 were read again.

How it came about: an entry serves some ten milliseconds after its start, but
looked for the stores that the configuration names only every 250 ms.

What proved it: its dispatches named no store in that time, and all did after.
"""

from __future__ import annotations

import anyio
import pytest

from tests.context_scene import SALT, SOURCE, ask_prompt, staging_contexts
from tests.standins.contexts import ContextStore

pytestmark = pytest.mark.anyio


async def test_the_first_request_names_the_store_of_its_context(tmp_path):
    contexts = ContextStore()
    contexts.add(SALT, 'aa', 2_000)
    async with staging_contexts(tmp_path, contexts) as (stage, address):
        request_headers = await ask_prompt(stage)
    assert request_headers[SOURCE] == f'{address}/2000,-,-'


async def test_an_unresponsive_store_delays_the_first_request_briefly(
    tmp_path,
):
    contexts = ContextStore()
    contexts.faults = type(contexts.faults)(silent=True)
    async with staging_contexts(tmp_path, contexts) as (stage, _):
        with anyio.fail_after(1.0):
            request_headers = await ask_prompt(stage)
    assert SOURCE not in request_headers
