"""An entry samples the streams of scheduled services, and no others.

The load is that of engines that differ: their speeds show in the streams.
"""

from __future__ import annotations

import anyio
import pytest

from oleanderdyke.entry.hosted.scheduler import make_scheduler
from oleanderdyke.kernel.scheduling.learned_speeds import FirstByte
from oleanderdyke.kernel.servers import ServerStart
from oleanderdyke.logs import parse_line
from oleanderdyke.metrics import Gauge
from tests.hosted import MODEL, staging
from tests.standins.scripts import answer_well, send_events

pytestmark = pytest.mark.anyio

_MODELS = [{'name': MODEL, 'version': 1}]
_PAUSE = 0.02
_TOKENS = 2_000


async def stream_slowly(peer):
    await send_events(peer, 1, 1)
    for number in range(2, 12):
        await anyio.sleep(_PAUSE)
        await peer.send(make_part(number))
    await peer.send(b'0\r\n\r\n')


def make_part(number):
    event = f'id: {number}\ndata: word\n\n'.encode()
    return f'{len(event):x}\r\n'.encode() + event + b'\r\n'


@pytest.mark.parametrize('path', ['/stream/1', '/letter/1'])
@pytest.mark.parametrize('is_scheduled', [True, False])
async def test_streams_of_scheduled_services_are_sampled(
    tmp_path, path, is_scheduled
):
    async with staging(tmp_path, stream_slowly, models=_MODELS) as stage:
        core = stage.core
        scheduler = make_scheduler(core)
        found = scheduler if is_scheduled else None
        core.scheduling.find_scheduler = lambda _call: found
        backend = core.backends.find_start(ServerStart('i-0'))
        for number in range(4):
            answer = await stage.call(
                path,
                oleanderdyke_model=MODEL,
                oleanderdyke_token_usage=f'{_TOKENS},12',
                oleanderdyke_prompt_prefix=f'ab{number}:{_TOKENS}',
            )
            assert (answer.status, answer.is_whole) == (200, True)
        step = scheduler.speeds.estimate_step(backend, core.clock.now())
        rates = list(core.metrics.list_gauges(Gauge.PREFILL_RATE))
    # Nothing else says that a step takes as long as the pauses.
    assert (step > 0.7 * _PAUSE * 1_000) is is_scheduled
    assert [label for label, _ in rates] == ['desk'] * is_scheduled


async def test_an_engine_that_turns_slow_and_recovers_is_logged(tmp_path):
    async with staging(tmp_path, answer_well, answer_well) as stage:
        sampler = make_scheduler(stage.core).speed_sampler
        now = stage.core.clock.now()
        sound, slow = ServerStart('i-0'), ServerStart('i-1')
        for start, duration in ((sound, 200.0), (slow, 900.0)) * 8:
            first = FirstByte(duration, 8_000)
            sampler.record_first_byte(start, first, now)
            sampler.record_first_byte(sound, FirstByte(200.0, 8_000), now)
        for later in (2_000.0, 3_000.0, 20_000.0, 21_000.0):
            first = FirstByte(200.0, 8_000)
            sampler.record_first_byte(sound, first, now + later)
    lines = map(parse_line, stage.log.read_text().splitlines())
    found = [
        (line['event'], line['peer'])
        for line in lines
        if line['event'] in {'backend_slow', 'backend_recovered'}
    ]
    assert found == [('backend_slow', 'i-1'), ('backend_recovered', 'i-1')]
