"""Records that are sound by their form, from the store to the call.

Decoders are fuzzed on their own; here the decoded value goes on to where it is
used, beside servers that are sound.
"""

from __future__ import annotations

import pathlib
import tempfile
import time

import anyio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.hosted import (
    MODEL,
    SERVERS,
    Stage,
    make_record,
    staging,
    starting,
)
from tests.processes import Ports
from tests.standins.scripts import answer_well

MODELS = [{'name': MODEL, 'version': 1, 'adapters': []}]
MOST = 2**53 - 1
# None of these is the address of another machine, and no server listens there.
ADDRESSES = [
    '127.0.0.1:9',
    '127.0.0.2:65535',
    '[::1]:9',
    '[::]:9',
    '0.0.0.0:9',
    'a..b:80',
    '.:80',
    f'{"a" * 64}:80',
    '[::::]:80',
    '127.0.0.1:0',
    '127.0.0.1:99999',
    '-.-:80',
]
TEXTS = st.sampled_from(
    ['desk', 'hall', 'v1', 'Łódź', 'a b', "'", '%s', '{}', 'x' * 300]
)
COUNTS = st.sampled_from([0, 1, 2, 9, 2**31, 2**53 - 1])
NOW = time.time_ns() // 1_000_000
RECORDS = st.fixed_dictionaries(
    {
        'address': st.sampled_from(ADDRESSES),
        'slots': COUNTS,
        'seq': COUNTS,
    },
    optional={
        'born': st.sampled_from([0, 1, NOW - 9_000, NOW, NOW + 82_800_000]),
        'coldRemainingMs': COUNTS | st.sampled_from([0.5, 1e15]),
        'zone': TEXTS,
        'service': TEXTS,
        'version': TEXTS,
        'state': st.sampled_from(['ready', 'draining']),
        'stage': TEXTS,
        'models': st.lists(
            st.fixed_dictionaries(
                {'name': TEXTS | st.just(MODEL), 'version': COUNTS}
            ),
            max_size=3,
        ),
    },
)
KEYS = st.sampled_from(['x-0', 'x-1', 'x-2', 'x-3', 'i-0'])
LISTS = st.lists(st.tuples(KEYS, RECORDS), min_size=1, max_size=12)
PROMPT = {
    'oleanderdyke_model': MODEL,
    'oleanderdyke_token_usage': '7500,80',
    'oleanderdyke_prompt_prefix': 'aa:2000,bb:5000,cc:500',
}

few = settings(
    max_examples=12,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)


async def call_all(stage: Stage) -> set[int]:
    """Send calls of several kinds; return their statuses."""
    answers = [
        await stage.call(f'/{kind}/{number}', **headers)
        for number in range(3)
        for kind in ('safe', 'once')
        for headers in ({}, PROMPT)
    ]
    return {answer.status for answer in answers}


async def wait_listed(stage: Stage, revision: int) -> None:
    """Wait until the second server's latest record has been read."""
    with anyio.fail_after(5):
        while True:
            found = stage.core.backends.find('i-1')
            if found is not None and found.record.revision == revision:
                return
            await anyio.sleep(0.02)


def write_again(stage: Stage, revision: int) -> None:
    """Let the second and third server write their records once more."""
    for number in (1, 2):
        server = stage.replicas[number].server
        assert server is not None
        host, port = server.sockets[0].getsockname()
        record = make_record(f'{host}:{port}', seq=revision, models=MODELS)
        stage.store.put(SERVERS, f'i-{number}', record)


# Guards against a server's record that ends the use of sound servers, or that
# gives callers a 500.
@few
@given(LISTS)
def test_sound_servers_are_used_beside_any_decoded_record(records):
    async def play(directory: pathlib.Path) -> None:
        scripts = [answer_well] * 3
        async with staging(directory, *scripts, models=MODELS) as stage:
            for key, odd in records:
                stage.store.put(SERVERS, key, make_record(**odd))
            write_again(stage, 10)
            await wait_listed(stage, 10)
            await call_all(stage)
            assert await call_all(stage) == {200}
            # An entry that starts while the records are there.
            with Ports() as ports:
                async with starting(
                    directory, stage.store, ports, stage.replicas, name='late'
                ) as late:
                    write_again(late, 11)
                    await wait_listed(late, 11)
                    await call_all(late)
                    assert await call_all(late) == {200}

    with tempfile.TemporaryDirectory() as directory:
        anyio.run(play, pathlib.Path(directory))
