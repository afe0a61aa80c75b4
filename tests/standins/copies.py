"""Simulate engines that copy runs to each other and may crash."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import anyio

from tests.standins.replica import Peer, make_chunk, make_event, make_head

_EVENTS = 6
# A reset may overtake data sent before it.
_FLUSH_SECONDS = 0.05


class CopyStore:
    """Hold the copies of all engines; a copy can be used once."""

    def __init__(self) -> None:
        self._copies: set[str] = set()

    def save(self, peer: Peer) -> None:
        """Copy the run of a request if it asks for that."""
        headers = peer.request.headers
        if target := headers.get('oleanderdyke-kv-backup'):
            request = headers['oleanderdyke-request-id']
            self._copies.add(f'{target}/{request}')

    def take(self, peer: Peer) -> bool:
        """Return whether a request that is to go on finds its copy."""
        name = peer.request.headers.get('kv-from')
        if name is None:
            return True
        address = peer.writer.get_extra_info('sockname')
        is_here = name.startswith(f'{address[0]}:{address[1]}/')
        found = is_here and name in self._copies
        self._copies.discard(name)
        return found


class CopyingEngine:
    """Serve all engines of a service, the first `crashes` runs of which crash.

    A run crashes after so many of its own events, or hangs after an event.
    """

    def __init__(
        self,
        *,
        crashes_after: int | None = None,
        crashes: int = 1,
        hangs_after: int | None = None,
        sends_half: bool = False,
        loses_copies: bool = False,
        make_event: Callable[[int], bytes] = make_event,
    ) -> None:
        self._copies = CopyStore()
        self._crashes_after = crashes_after
        self._crashes = 0 if crashes_after is None else crashes
        self._hangs_after = hangs_after
        self._sends_half = sends_half
        self._loses_copies = loses_copies
        self._make_event = make_event
        self.before_crash: Callable[[], object] = lambda: None
        self.runs = 0
        self.open = 0

    async def __call__(self, peer: Peer) -> None:
        """Run a request, or refuse one whose copy is missing."""
        if not self._copies.take(peer):
            await peer.answer(503, b'none', oleanderdyke_not_executed='1')
            return
        if not self._loses_copies:
            self._copies.save(peer)
        self.runs += 1
        self.open += 1
        try:
            with contextlib.suppress(ConnectionError):
                await self._run(peer)
        finally:
            self.open -= 1

    async def _run(self, peer: Peer) -> None:
        number = int(peer.request.headers.get('last-event-id', '0'))
        crashes_at = None
        if self._crashes:
            self._crashes -= 1
            crashes_at = number + (self._crashes_after or 0)
        if crashes_at != 0:
            await self._send_head(peer)
        while number < _EVENTS and number not in {
            crashes_at,
            self._hangs_after,
        }:
            number += 1
            await peer.send(make_chunk(self._make_event(number)))
        if number == crashes_at:
            await self._crash(peer, number)
        elif number == self._hangs_after:
            await peer.wait_closed()
        else:
            await peer.send(b'0\r\n\r\n')

    async def _send_head(self, peer: Peer) -> None:
        await peer.send(
            make_head(
                peer.request,
                content_type='text/event-stream',
                transfer_encoding='chunked',
                x_start=str(self.runs),
            )
        )

    async def _crash(self, peer: Peer, number: int) -> None:
        if self._sends_half:
            await peer.send(make_chunk(self._make_event(number + 1)[:7]))
        await anyio.sleep(_FLUSH_SECONDS)
        self.before_crash()
        peer.reset()
