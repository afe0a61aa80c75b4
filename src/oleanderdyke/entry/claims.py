"""Append claim records in batches and settle claims read from the log."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from oleanderdyke.clients.log import LogClient, LogUnavailable
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.entry.core import Core
from oleanderdyke.entry.inbox import Inbox
from oleanderdyke.errors import Ran
from oleanderdyke.events import EventName
from oleanderdyke.kernel.attempt_events import (
    AppendClaim,
    AppendOutcome,
    AppendRelease,
    ClaimFailed,
    ClaimSettled,
    OutcomeFailed,
    OutcomeRecorded,
)
from oleanderdyke.kernel.claim_records import (
    ClaimsRecord,
    OutcomeRecord,
    encode_batch,
)
from oleanderdyke.kernel.claims import Owned
from oleanderdyke.metrics import Count, Timing

_MAX_CONCURRENT_APPENDS = 4
_RETRY_LIMIT = 40
_QUEUE_LIMIT = 2_000
_RENEWAL_LIMIT = 1_000
# Range of the random renewal interval, as shares of the log retention.
_RENEWAL_INTERVAL_SHARES = (0.02, 0.06)


@dataclass(slots=True)
class _PendingAppend:
    """Hold records for one append and the callbacks for its result."""

    records: tuple[ClaimsRecord, ...]
    on_appended: Callable[[int], None]
    on_failed: Callable[[Ran], None]
    retries: int = 0


@dataclass(slots=True)
class _PendingClaim:
    """Hold a claim whose verdict has not been read from the log yet."""

    key: str
    digest: str
    inbox: Inbox
    queued_at: float
    offset: int | None = None


class ClaimLog:
    """Append claim records and report claim verdicts to requests."""

    def __init__(self, core: Core, client: LogClient) -> None:
        self._core = core
        self._client = client
        self._settings = core.settings.claims
        self._log = core.settings.log.claims
        self._pending: deque[_PendingAppend] = deque()
        self._pending_claims: dict[str, _PendingClaim] = {}
        self._wake = anyio.Event()
        self._active = 0

    @property
    def is_caught_up(self) -> bool:
        """Return whether the claims log has been read to its end."""
        return self._core.claims.caught_up

    @property
    def idle(self) -> bool:
        """Return whether no append is pending or running."""
        return not self._pending and not self._active

    def append_claim(
        self, action: AppendClaim, digest: str, inbox: Inbox
    ) -> None:
        """Append a claim; put its verdict into the inbox once it is read."""
        record = action.record
        claim = _PendingClaim(
            record.key, digest, inbox, queued_at=self._core.clock.now()
        )
        self._pending_claims[record.claim_id] = claim

        def handle_appended(offset: int) -> None:
            claim.offset = offset
            self._core.metrics.add(Count.CLAIMS)
            self._settle(record.claim_id)

        def handle_failed(ran: Ran) -> None:
            if ran is Ran.NO:
                self._pending_claims.pop(record.claim_id, None)
                inbox.put(ClaimFailed(record.claim_id))

        release = () if action.release is None else (action.release,)
        self._add(
            _PendingAppend((*release, record), handle_appended, handle_failed)
        )

    def append_release(self, action: AppendRelease) -> None:
        """Append a release or withdrawal; retry while the log is down."""
        self._add(
            self._make_retried(
                action.record, EventName.CLAIM_RELEASED, lambda _: None
            )
        )

    def append_outcome(self, action: AppendOutcome, inbox: Inbox) -> None:
        """Append an outcome with retries; report to the inbox.

        OutcomeFailed is reported once, after the first failed attempt.
        """

        def handle_failed(pending: _PendingAppend) -> None:
            if pending.retries == 1:
                inbox.put(OutcomeFailed())

        pending = self._make_retried(
            action.record, EventName.OUTCOME_APPENDED, handle_failed
        )
        log_appended = pending.on_appended

        def handle_appended(offset: int) -> None:
            log_appended(offset)
            inbox.put(OutcomeRecorded())

        pending.on_appended = handle_appended
        self._add(pending)

    def discard_inbox(self, inbox: Inbox) -> None:
        """Stop reporting to the inbox of a finished request."""
        for claim_id, claim in tuple(self._pending_claims.items()):
            if claim.inbox is inbox:
                del self._pending_claims[claim_id]

    def settle_claims(self) -> None:
        """Report the verdicts of claims that have been read from the log."""
        for claim_id in tuple(self._pending_claims):
            self._settle(claim_id)

    async def run(self) -> None:
        """Append pending records in batches until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._wake.wait()
                await anyio.sleep(self._settings.delay / SECOND)
                while self._pending and self._active < _MAX_CONCURRENT_APPENDS:
                    self._active += 1
                    tasks.start_soon(self._append, self._take_group())
                self._wake = anyio.Event()

    async def renew_claims(self) -> None:
        """Append live claims again before their records expire.

        Runs in every entry until cancelled. The interval is random, so that
        usually one entry renews a claim and the others find it renewed.
        """
        retention = self._core.settings.log.retention
        while True:
            share = self._core.random.uniform(*_RENEWAL_INTERVAL_SHARES)
            await anyio.sleep(retention * share / SECOND)
            self.append_due_renewals(retention)

    def append_due_renewals(self, retention: Millis) -> None:
        """Renew claims whose latest record is older than half the retention."""
        table = self._core.claims
        latest = max(table.log_time, self._core.clock.wall())
        due = table.list_due_renewals(latest - retention / 2, _RENEWAL_LIMIT)
        for start in range(0, len(due), self._settings.batch):
            records = due[start : start + self._settings.batch]
            self._add(_PendingAppend(records, _ignore, _ignore))

    async def retry(self, pending: _PendingAppend) -> None:
        """Queue an append again after the retry delay."""
        await anyio.sleep(self._core.settings.log.retry / SECOND)
        self._add(pending)

    def _add(self, pending: _PendingAppend) -> None:
        self._pending.append(pending)
        self._wake.set()

    def _take_group(self) -> list[_PendingAppend]:
        size = min(self._settings.batch, len(self._pending))
        return [self._pending.popleft() for _ in range(size)]

    async def _append(self, group: list[_PendingAppend]) -> None:
        records = [record for item in group for record in item.records]
        try:
            offset = await self._client.append(
                self._log,
                [encode_batch(records)],
                timeout=self._core.settings.log.timeout,
            )
        except LogUnavailable as error:
            for item in group:
                item.on_failed(error.ran)
        else:
            self._core.log.write(
                EventName.CLAIM_APPENDED, offset=offset, records=len(records)
            )
            for item in group:
                item.on_appended(offset)
        finally:
            self._active -= 1
            self._wake.set()

    def _make_retried(
        self,
        record: ClaimsRecord,
        event: EventName,
        handle_failed: Callable[[_PendingAppend], None],
    ) -> _PendingAppend:
        def log_appended(offset: int) -> None:
            self._core.log.write(event, offset=offset)

        def schedule_retry(_: Ran) -> None:
            pending.retries += 1
            handle_failed(pending)
            full = len(self._pending) >= _QUEUE_LIMIT
            if full or pending.retries > _RETRY_LIMIT:
                self._abandon(record)
                return
            self._core.spawn(self.retry, pending)

        pending = _PendingAppend((record,), log_appended, schedule_retry)
        return pending

    def _abandon(self, record: ClaimsRecord) -> None:
        """Log an outcome that could not be recorded.

        A release needs no log line: it is requested again later.
        """
        if isinstance(record, OutcomeRecord):
            self._core.log.write(
                EventName.OUTCOME_UNRECORDED, offset=record.offset
            )

    def _settle(self, claim_id: str) -> None:
        """Report the verdict once the log has been read past the claim.

        While the result of the append is unknown, only ownership settles it.
        """
        claim = self._pending_claims.get(claim_id)
        if claim is None:
            return
        table = self._core.claims
        verdict = table.get_claim_verdict(claim_id, claim.key, claim.digest)
        read = (
            claim.offset is not None
            and table.caught_up
            and table.next_offset > claim.offset
        )
        if not read and not isinstance(verdict, Owned):
            return
        del self._pending_claims[claim_id]
        waited = self._core.clock.now() - claim.queued_at
        self._core.metrics.time(Timing.CLAIM, waited)
        claim.inbox.put(ClaimSettled(claim_id, verdict))


def _ignore(_: object) -> None:
    """Ignore the result: the next renewal run covers a failed append."""
