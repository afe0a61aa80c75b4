"""Run one context store of a soak as a process of its own.

It starts empty and keeps saving parts of weights that no engine holds any
more, so that entries free them again and again.
"""

from __future__ import annotations

import argparse
import sys
import time

import anyio

from tests.hosted import MODEL
from tests.standins import server
from tests.standins.contexts import ContextStore

_SAVE_SECONDS = 0.3
_TOKENS = 100
_OUTDATED_SALT = f'0/{MODEL}/'


async def _save_parts(store: ContextStore) -> None:
    number = 0
    while True:
        number += 1
        store.add(_OUTDATED_SALT, f'part-{number}', _TOKENS)
        await anyio.sleep(_SAVE_SECONDS)


async def _serve(port: int) -> None:
    store = ContextStore()
    store.boot = time.time_ns() // 1_000_000
    async with (
        server.serving(store, ports=(port,)),
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(_save_parts, store)
        await anyio.sleep_forever()


def main() -> int:
    """Serve until the process is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, required=True)
    anyio.run(_serve, parser.parse_args().port)
    return 0


if __name__ == '__main__':
    sys.exit(main())
