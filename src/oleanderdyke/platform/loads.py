"""Exchange notices about loading of weights through the store."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from oleanderdyke.kernel.load_queue import LoadNotice, LoadStep
from oleanderdyke.platform import names
from oleanderdyke.platform.documents import MalformedRecord
from oleanderdyke.platform.feed import Refuse, report_refused
from oleanderdyke.platform.fields import (
    MALFORMED,
    load_object,
    read_integer,
    read_number,
    read_text,
)
from oleanderdyke.platform.store import (
    RecordsExpired,
    StoreClient,
    StoreRestored,
)

# Names of processes and ids of servers have some tens of characters.
_MAX_NAME_LENGTH = 256
# More than the fences of one era: each agent appends only a few.
_FENCES_PER_ERA = 2**32


class LoadFeed:
    """Read load notices in the order in which they were appended.

    Malformed notices are reported to `refuse` and skipped.
    """

    def __init__(self, client: StoreClient, refuse: Refuse) -> None:
        self._client = client
        self._refuse = refuse
        self._position = 0

    async def read(self) -> tuple[LoadNotice, ...] | None:
        """Return the next notices, waiting for the first.

        None means that the store was restored: all notices read before are
        void. Raise StoreUnavailable.
        """
        try:
            records = await self._client.read_plain(
                names.LOAD_TOPIC, self._position
            )
        except StoreRestored:
            self._position = 0
            return None
        except RecordsExpired as error:
            self._position = error.first or 0
            return ()
        self._position += len(records)
        return tuple(self._decode(records))

    def _decode(self, records: tuple[bytes, ...]) -> list[LoadNotice]:
        notices: list[LoadNotice] = []
        refused: list[tuple[str, MalformedRecord]] = []
        for record in records:
            try:
                notices.append(_decode_notice(load_object(record)))
            except MALFORMED as error:
                message = f'load notice: {type(error).__name__}: {error}'
                refused.append(('loads', MalformedRecord(message)))
        report_refused(refused, self._refuse)
        return notices


async def append_fence(client: StoreClient, process: str) -> int:
    """Append a fence and return its number; raise StoreUnavailable.

    The number is higher than that of every fence before it.
    """
    appended = await client.append(names.FENCE_TOPIC, process.encode())
    # A restored store assigns offsets again, but fences must keep rising.
    return appended.era * _FENCES_PER_ERA + appended.offset + 1


async def append_notice(client: StoreClient, notice: LoadNotice) -> None:
    """Append a load notice; raise StoreUnavailable."""
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
    has_age = found.get('newest_at') is not None
    return LoadNotice(
        server=_read_name(found, 'server'),
        step=LoadStep(read_text(found, 'step')),
        agent=_read_name(found, 'agent'),
        model=_read_name(found, 'model'),
        held=read_integer(found, 'held') if 'held' in found else 0,
        newest_at=read_number(found, 'newest_at') if has_age else None,
    )


def _read_name(found: Mapping[str, Any], name: str) -> str:
    """Return a name, which may be empty; raise one of MALFORMED."""
    if found.get(name, '') == '':
        return ''
    text = read_text(found, name)
    if len(text) > _MAX_NAME_LENGTH:
        raise ValueError(
            f'{name}: found {len(text)} characters; '
            f'allowed: at most {_MAX_NAME_LENGTH}'
        )
    return text
