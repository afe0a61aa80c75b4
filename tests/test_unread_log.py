from __future__ import annotations

import contextlib
import os
import sys

import anyio
import pytest

from oleanderdyke.logs import parse_line
from tests.hosted import (
    CONFIGURATION,
    OPERATOR,
    SERVERS,
    call,
    format_settings,
    make_record,
)
from tests.processes import Ports
from tests.standins import server
from tests.standins.records import RecordStore
from tests.standins.replica import serving_replica
from tests.standins.scripts import answer_well

pytestmark = pytest.mark.anyio

# A call logs four lines of 160 bytes each; all together exceed the pipe.
CALL_COUNT = 200
PIPE_BYTES = 64 * 1024


@contextlib.asynccontextmanager
async def running(directory, output):
    """Run an entry process whose log goes to a file descriptor."""
    path = directory / 'boot.conf'
    store = RecordStore()
    store.put(OPERATOR, 'config', CONFIGURATION)
    with Ports() as ports:
        callers, readiness = ports.reserve(), ports.reserve()
        async with (
            server.serving(store) as (address,),
            serving_replica(answer_well) as (_, where),
        ):
            store.put(SERVERS, 'i-0', make_record(where))
            path.write_text(
                format_settings(
                    address,
                    callers=callers,
                    readiness=readiness,
                    grace_seconds=2,
                )
            )
            command = ['-m', 'oleanderdyke.entry.main', '--platform']
            async with await anyio.open_process(
                [sys.executable, *command],
                env={**os.environ, 'OLEANDERDYKE_SETTINGS': str(path)},
                stdout=output,
            ) as process:
                await wait_ready(('127.0.0.1', readiness))
                yield '127.0.0.1', callers
                process.kill()


async def wait_ready(address):
    with anyio.fail_after(20):
        while True:
            with contextlib.suppress(OSError):
                found = await call(address, '/api/readiness', method='GET')
                if found.status == 200:
                    return
            await anyio.sleep(0.05)


def read_events(reader):
    data = os.read(reader, 1 << 20)
    lines = data.decode(errors='replace').splitlines()
    return len(data), [parse_line(line).get('event') for line in lines]


async def test_entry_serves_all_calls_while_its_log_is_not_read(tmp_path):
    reader, writer = os.pipe()
    try:
        async with running(tmp_path, writer) as address:
            for _ in range(CALL_COUNT):
                found = await call(address, '/once/1')
                assert found.status == 200
            size, events = read_events(reader)
            assert size <= PIPE_BYTES
            assert events.count('request_finished') < CALL_COUNT
            await anyio.sleep(1.1)
            assert (await call(address, '/once/1')).status == 200
            _, events = read_events(reader)
    finally:
        os.close(reader)
        os.close(writer)
    assert 'lines_dropped' in events
