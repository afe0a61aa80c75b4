"""Publish configuration changes and wait for their outcomes."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

import anyio

from oleanderdyke.clients.log import LogUnavailable
from oleanderdyke.clock import SECOND, Clock, Millis
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.events import EventName
from oleanderdyke.kernel.catalog import Applied, Catalog, Outcome
from oleanderdyke.kernel.objects import Change
from oleanderdyke.kernel.records import CONFIGURATION_LOG, encode_change
from oleanderdyke.logs import EventLog

SETTLE_WAIT: Millis = 5 * SECOND
_POLL: Millis = 10.0


class Appender(Protocol):
    """Client that appends records to a log."""

    async def append(
        self, log: str, records: Sequence[bytes], *, timeout: Millis = ...
    ) -> int:
        """Append the records atomically; raise LogUnavailable."""


class Publisher:
    """Append changes to the log and wait until they are read back.

    Only reading a record back decides its outcome, so an append is not
    repeated when its response was lost.
    """

    def __init__(
        self,
        catalog: Catalog,
        appender: Appender,
        clock: Clock,
        log: EventLog,
        *,
        name: str = CONFIGURATION_LOG,
        settle_wait: Millis = SETTLE_WAIT,
    ) -> None:
        self._catalog = catalog
        self._appender = appender
        self._clock = clock
        self._log = log
        self._name = name
        self._settle_wait = settle_wait

    async def publish(self, changes: Sequence[Change]) -> tuple[Outcome, ...]:
        """Append changes and return their outcomes in order.

        Raise LOG_UNAVAILABLE if nothing was appended, OUTCOME_UNKNOWN if
        the records were not read back in time.
        """
        new = [item for item in changes if not self._find(item.record_id)]
        if new:
            await self._append(new)
        outcomes = await self.settle(
            [item.record_id for item in changes], self._settle_wait
        )
        for outcome in outcomes:
            self._log_outcome(outcome)
        return outcomes

    async def settle(
        self, record_ids: Sequence[str], wait: Millis
    ) -> tuple[Outcome, ...]:
        """Wait for the outcomes of records, in order; raise OUTCOME_UNKNOWN."""
        await wait_until(
            lambda: all(map(self._find, record_ids)), wait, self._clock
        )
        found = tuple(map(self._find, record_ids))
        outcomes = tuple(item for item in found if item is not None)
        if len(outcomes) == len(record_ids):
            return outcomes
        raise OleanderError(
            ErrorKind.OUTCOME_UNKNOWN,
            'not read back from the log in time; query the outcomes of the '
            f'records {", ".join(record_ids)}, and do not publish them again',
            ran=Ran.MAYBE,
        )

    def _find(self, record_id: str) -> Outcome | None:
        return self._catalog.find_outcome(record_id)

    async def _append(self, changes: Sequence[Change]) -> None:
        records = [encode_change(change) for change in changes]
        try:
            await self._appender.append(self._name, records)
        except LogUnavailable as error:
            if error.ran is Ran.NO:
                raise
            # The append may have succeeded; reading the log back decides.

    def _log_outcome(self, outcome: Outcome) -> None:
        applied = isinstance(outcome, Applied)
        self._log.write(
            EventName.CONFIGURATION_PUBLISHED,
            operator=outcome.operator,
            kind=outcome.kind.value,
            object=outcome.name,
            generation=outcome.generation,
            offset=outcome.offset,
            detail='applied' if applied else 'lost',
        )


async def wait_until(
    condition: Callable[[], bool],
    wait: Millis,
    clock: Clock,
    *,
    poll: Millis = _POLL,
) -> bool:
    """Poll a condition until `wait` is over; return whether it was met."""
    deadline = clock.now() + wait
    while not condition():
        if clock.now() >= deadline:
            return False
        await anyio.sleep(poll / SECOND)
    return True
