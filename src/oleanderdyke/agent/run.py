"""The state of one attempt at an agent."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import TypeAlias

import anyio

from oleanderdyke.agent.body import RequestBody
from oleanderdyke.agent.outbox import Outbox
from oleanderdyke.clock import Millis
from oleanderdyke.kernel.stream_buffer import (
    AnswerTotals,
    Reader,
    StreamBuffer,
)
from oleanderdyke.links.messages import Dispatch, Headers

RunKey: TypeAlias = tuple[str, int]

_TAIL_BYTES = 4 * 1024
_PROMPT_TOKENS_PATTERN = re.compile(rb'"prompt_tokens"\s*:\s*(\d+)')
_CACHED_TOKENS_PATTERN = re.compile(rb'"cached_tokens"\s*:\s*(\d+)')


@dataclass(slots=True)
class Run:
    """One attempt, from its dispatch to the end of its response.

    `stopped`: nothing more is sent for it. `forwarded`: the backend server may
    have received it. `started`: the response has begun. `discarded`: nobody
    reads the response. `record` collects the response of a run with a claim;
    it is None without a claim, or once it exceeds `record_limit` bytes.
    """

    dispatch: Dispatch
    outbox: Outbox
    body: RequestBody
    deadline: Millis
    record_limit: int
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    stopped: bool = False
    forwarded: bool = False
    started: bool = False
    discarded: bool = False
    buffer: StreamBuffer | None = None
    link_bytes: int = 0
    status: int = 0
    headers: Headers = ()
    record: bytearray | None = None
    length: int = 0
    chunks: int = 0
    tail: bytes = b''
    changed: anyio.Event = field(default_factory=anyio.Event)

    @property
    def key(self) -> RunKey:
        """Return the request ID and attempt number."""
        return (self.dispatch.request, self.dispatch.attempt)

    @property
    def work_id(self) -> str:
        """Return the ID of the run in the drain."""
        return f'{self.dispatch.request}/{self.dispatch.attempt}'

    @property
    def is_cancellable(self) -> bool:
        """Return whether the run may be cancelled once nobody waits for it."""
        return self.dispatch.idempotent and self.dispatch.claim is None

    @property
    def reader(self) -> Reader:
        """Return the reader of the response, by default the dispatching one."""
        if self.buffer is not None and self.buffer.reader is not None:
            return self.buffer.reader
        return Reader(self.outbox.name, *self.key)

    def add_data(self, data: bytes) -> None:
        """Count response data, and record it for the claim of the run."""
        self.length += len(data)
        self.chunks += 1
        self.tail = (self.tail + data)[-_TAIL_BYTES:]
        if self.record is None:
            return
        self.record += data
        if len(self.record) > self.record_limit:
            self.record = None

    def make_totals(self) -> AnswerTotals:
        """Return the totals, with token counts from the end of the response."""
        prompt = _find_last_number(_PROMPT_TOKENS_PATTERN, self.tail)
        cached = _find_last_number(_CACHED_TOKENS_PATTERN, self.tail)
        return AnswerTotals(
            recomputed_tokens=max(0, prompt - cached),
            prompt_tokens=prompt,
            link_bytes=self.link_bytes,
        )

    def notify(self) -> None:
        """Wake the task in `wait_changed`."""
        self.changed.set()
        self.changed = anyio.Event()

    async def wait_changed(self) -> None:
        """Wait until the credit, the reader or the buffer has changed."""
        await self.changed.wait()


def _find_last_number(pattern: re.Pattern[bytes], data: bytes) -> int:
    found = pattern.findall(data)
    return int(found[-1]) if found else 0
