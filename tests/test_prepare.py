"""Check the priority that an engine gets with its requests."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import pytest

from agents import wait_until
from oleanderdyke.agent.body import RequestBody
from oleanderdyke.agent.fetch import Fetched
from oleanderdyke.agent.prepare import EnginePreparer
from oleanderdyke.agent.run import Run
from oleanderdyke.kernel.blocks import make_namespace
from oleanderdyke.kernel.gate import LoadedWeights
from oleanderdyke.kernel.routing import (
    BACKGROUND_PRIORITY,
    LONG_PRIORITY,
    SHORT_PRIORITY,
)
from oleanderdyke.links.messages import BodyChunk, Dispatch, FetchPlan
from test_fetch import BODY, site
from test_gate import make_dispatch

pytestmark = pytest.mark.anyio
SEGMENTS = tuple(bytes([number]) * 32 for number in range(8))
PLAN = FetchPlan('memoria', 'm:1', SEGMENTS[2:])
SHORT_TOKENS = 1_024


class FakeEngine:
    loaded = LoadedWeights('m', 'v1', 'digest-1', '')

    def estimate_prefill(self, segments: int) -> None:
        """Return no estimate."""


class FakeFetcher:
    def __init__(self, whole: int) -> None:
        self._whole = whole

    async def fetch(self, *_: Any, **__: Any) -> Fetched:
        return Fetched(self._whole, 0)


async def prepare(dispatch: Dispatch, whole: int) -> int:
    names = (dispatch.team, dispatch.service, 'm', 'digest-1', '')
    dispatch = replace(dispatch, namespace=make_namespace(*names))
    body = RequestBody(100)
    body.put(BodyChunk('r1', 1, 0, b'{"priority": -9}', last=True))
    preparer: Any = EnginePreparer(
        FakeEngine(),  # type: ignore[arg-type] # a fake engine
        FakeFetcher(whole),  # type: ignore[arg-type] # a fake fetcher
        None,  # type: ignore[arg-type] # nothing is exported
        patience=1.0,
        fetch_timeout=1.0,
        short_tokens=SHORT_TOKENS,
    )
    run: Any = Run(dispatch, None, body, 1_000.0, 0)  # type: ignore[arg-type] # nothing is answered
    prepared = await preparer.prepare(run)
    return int(json.loads(prepared.body)['priority'])


@pytest.mark.parametrize(
    ('changes', 'whole', 'priority'),
    [
        ({}, 0, SHORT_PRIORITY),
        ({'priority': LONG_PRIORITY}, 0, LONG_PRIORITY),
        (
            {'priority': LONG_PRIORITY, 'background': True},
            0,
            BACKGROUND_PRIORITY,
        ),
        ({'fetch': PLAN}, 6, SHORT_PRIORITY),
        ({'fetch': PLAN}, 2, SHORT_PRIORITY),
        ({'fetch': PLAN}, 1, LONG_PRIORITY),
        ({'fetch': PLAN, 'priority': LONG_PRIORITY}, 6, LONG_PRIORITY),
        ({'fetch': PLAN, 'background': True}, 0, BACKGROUND_PRIORITY),
    ],
)
async def test_the_priority_follows_the_context_that_was_fetched(
    changes: dict[str, Any], whole: int, priority: int
) -> None:
    dispatch = make_dispatch(segments=SEGMENTS, **changes)
    assert await prepare(dispatch, whole) == priority


@pytest.mark.parametrize('first', [0, 2])
async def test_a_store_records_the_depth_of_a_segment(first: int) -> None:
    async with site() as place:
        chat, plan = place.make_chat(0, 'r')
        segments = plan.segments[first:]
        keep = replace(plan, segments=segments)
        await place.entries[0].call(replace(chat, keep=keep), BODY)
        await wait_until(lambda: len(place.store.objects) == 2 * len(segments))
        entries = place.keeper._role._store._index._entries
        await wait_until(lambda: len(entries) == len(segments))
        depths = [entries.get(each).meta.depth for each in segments]
        assert depths == list(range(first, len(plan.segments)))
