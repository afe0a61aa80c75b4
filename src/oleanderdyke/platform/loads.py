"""Tell all processes, through the store, who takes new weights."""

from __future__ import annotations

import json
import math
from collections.abc import Iterator, Mapping
from typing import Any

from oleanderdyke.kernel.load_queue import LoadNotice, LoadStep
from oleanderdyke.platform import names
from oleanderdyke.platform.documents import MalformedRecord
from oleanderdyke.platform.feed import Refuse
from oleanderdyke.platform.store import RecordsExpired, StoreClient

_MALFORMED = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class LoadFeed:
    """Read notices of loads in the order in which they were appended.

    What can't be read is passed to `refuse` and left out.
    """

    def __init__(self, client: StoreClient, refuse: Refuse) -> None:
        self._client = client
        self._refuse = refuse
        self._position = 0

    async def read(self) -> tuple[LoadNotice, ...]:
        """Return the next notices, waiting for some.

        Raise StoreUnavailable.
        """
        try:
            records = await self._client.read_plain(
                names.LOAD_TOPIC, self._position
            )
        except RecordsExpired as error:
            self._position = error.first or 0
            return ()
        self._position += len(records)
        return tuple(self._decode(records))

    def _decode(self, records: tuple[bytes, ...]) -> Iterator[LoadNotice]:
        for record in records:
            try:
                yield _decode_notice(json.loads(record))
            except _MALFORMED as error:
                self._refuse(
                    'loads', MalformedRecord(f'load notice: {error!r}')
                )


async def append_fence(client: StoreClient, process: str) -> int:
    """Return a fence above all before it; raise StoreUnavailable."""
    offset = await client.append(names.FENCE_TOPIC, process.encode())
    return offset + 1


async def append_notice(client: StoreClient, notice: LoadNotice) -> None:
    """Append a notice; raise StoreUnavailable."""
    record = {
        'server': notice.server,
        'step': notice.step.value,
        'agent': notice.agent,
        'model': notice.model,
        'held': notice.held,
        'newest_at': notice.newest_at,
    }
    await client.append(names.LOAD_TOPIC, json.dumps(record).encode())


def _decode_notice(found: Mapping[str, Any]) -> LoadNotice:
    told = found.get('newest_at')
    newest_at = None if told is None else float(told)
    if newest_at is not None and not math.isfinite(newest_at):
        raise ValueError(f'newest_at is {newest_at}')
    return LoadNotice(
        server=str(found['server']),
        step=LoadStep(found['step']),
        agent=str(found.get('agent') or ''),
        model=str(found.get('model') or ''),
        held=int(found.get('held') or 0),
        newest_at=newest_at,
    )
