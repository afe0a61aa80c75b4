"""Check which engines an entry counts for its pools, and what it shows."""

from __future__ import annotations

import math

import anyio
import pytest

from oleanderdyke.entry.hosted.pools import UsableEngines, follow_demand
from oleanderdyke.kernel.cold_starts import ColdLimit
from oleanderdyke.kernel.scheduling.pool_sizes import SizeReason
from oleanderdyke.kernel.scheduling.pools import PoolState
from oleanderdyke.metrics import Gauge
from tests.hosted import staging

pytestmark = pytest.mark.anyio


async def answer(peer) -> None:
    await peer.answer()


def evacuate(core, backend):
    core.limits.evacuations.begin(backend.record.data_centre)


def cool(core, backend):
    core.limits.cold_limits = {'desk': ColdLimit(1.0, 3_000.0)}
    backend.cold_until = math.inf


def leave(core, backend):
    core.backends.mark_leaving(backend.record.start)


def reload(core, backend):
    core.backends.record_reload(backend.record.start, core.clock.now())


@pytest.mark.parametrize('act', [evacuate, cool, leave, reload])
async def test_engines_that_may_get_no_requests_are_not_counted(tmp_path, act):
    async with staging(tmp_path, answer) as stage:
        backend = stage.core.backends.find('i-0')
        backend.listed_at = -math.inf
        engines, now = UsableEngines(stage.core), stage.core.clock.now()
        assert engines.list_usable('desk', now) == [backend]
        act(stage.core, backend)
        assert engines.list_usable('desk', now) == []


async def test_sizes_are_logged_once_and_shown_by_side(tmp_path):
    state = PoolState('desk', 3, 20, SizeReason.DEMAND)

    changes = [state]

    class Pools:
        def update(self, _now):
            return [changes.pop()] if changes else []

        def list_states(self):
            return [state]

    async with staging(tmp_path, answer) as stage:
        with anyio.move_on_after(0.6):
            await follow_demand(stage.core, Pools())
        shown = dict(stage.core.metrics.list_gauges(Gauge.POOL_SIZE))
        assert shown == {'desk short': 3, 'desk long': 17}
        found = [
            line
            for line in stage.log.read_text().splitlines()
            if 'event=pools_changed' in line
        ]
        assert len(found) == 1
        assert 'service=desk' in found[0]
        assert 'reason=demand' in found[0]
