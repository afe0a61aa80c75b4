"""Backend servers that refuse a request may ask for time without any."""

from __future__ import annotations

import pytest

from oleanderdyke.clock import SECOND, make_clock
from tests.hosted import Stage, prefer, staging
from tests.standins.scripts import answer_well

ANSWERED, REFUSED = 200, 503
CLOCK = make_clock()


class RestingServer:
    """Refuse each request, ask for rest, and note when requests came."""

    def __init__(self, rest: str) -> None:
        self.rest = rest
        self.arrivals: list[float] = []

    async def __call__(self, peer) -> None:
        self.arrivals.append(CLOCK.now())
        await peer.answer(
            503, oleanderdyke_not_executed='1', retry_after=self.rest
        )


async def send_until(stage: Stage, moment: float) -> list[int]:
    statuses = []
    while CLOCK.now() < moment:
        statuses.append((await stage.call('/once/x')).status)
    return statuses


# Two servers that had each asked an entry for three seconds of rest got six
# requests and more of it meanwhile, and callers were refused for want of
# retries while other servers had room.
@pytest.mark.anyio
async def test_a_server_that_asks_for_rest_gets_nothing_meanwhile(tmp_path):
    resting = RestingServer('1.5')
    async with staging(tmp_path, resting, answer_well) as stage:
        prefer(stage, 0)
        assert (await stage.call('/once/x')).status == ANSWERED
        (begun,) = resting.arrivals
        statuses = await send_until(stage, begun + 1.4 * SECOND)
        assert set(statuses) == {ANSWERED}
        assert len(resting.arrivals) == 1
