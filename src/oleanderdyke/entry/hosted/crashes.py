"""Detect servers that crash, and keep from them what they crash on."""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from oleanderdyke.clients.direct import Reachability
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.events import EventName
from oleanderdyke.kernel.lost_runs import NO_TURN, Turn
from oleanderdyke.kernel.poison import (
    Crash,
    Parts,
    PoisonNews,
    PoisonStatus,
    name_whole,
)
from oleanderdyke.metrics import Count

if TYPE_CHECKING:
    from oleanderdyke.entry.hosted.call import HostedCall
    from oleanderdyke.entry.hosted.core import HostedCore
    from oleanderdyke.kernel.servers import ServerStart

# A server that ends breaks its connections within this time of each other.
_GATHER_TIME: Millis = 10.0
_PROBES = 3
_PROBE_PAUSE: Millis = 50.0
# A server that sends nothing for so many pauses has ended if so many requests
# sent since have broken off, or another start took its place.
_SILENT_LOSSES = 2
_SILENCE_CHECKS = 80
# An entry that starts has no links for a while, over which others would tell it
# of their trials, and others don't know its turn.
_LEARNING_TIME: Millis = 5 * SECOND
_DIGEST_BYTES = 8
# Callers choose the names of parts.
_LONGEST_NAME = 64
# Why a server that is about to end isn't looked at; for logs.
_LEAVING = 'leaving'
# Which losses made a request a suspect, if not one of this entry; for logs.
_NEWS = 'news'


@dataclass(slots=True)
class _Loss:
    """The requests whose connections to one server broke together.

    `requests` lists what the server may have begun to answer just then. Since
    the first of them, `later` requests were sent there and broke off as well.
    """

    address: str
    at: Millis
    requests: list[HostedCall] = field(default_factory=list)
    later: int = 0


class CrashWatch:
    """Find out whether servers that broke connections have ended."""

    def __init__(self, core: HostedCore) -> None:
        self._core = core
        self._began_at = core.clock.now()
        self._losses: dict[ServerStart, _Loss] = {}
        # Those whose servers are being examined.
        self._examined: dict[ServerStart, _Loss] = {}
        self._wanted = anyio.Event()
        # Set once this entry knows what the store holds, or has waited for it.
        self.history_read = anyio.Event()
        # Set while there is news for entries without links.
        self.news_wanted = anyio.Event()
        self._lost_at: Millis = -math.inf
        self._alert = anyio.Event()
        self._table = core.peers.poison
        core.peers.on_news = self._handle_news

    def record_request(self, call: HostedCall) -> None:
        """Record a request, before it is sent or refused."""
        self._table.record_request(list_shared_parts(call))

    def find_status(self, call: HostedCall) -> PoisonStatus:
        """Return whether a request may be sent, and be sent again."""
        if self._table.is_empty:
            return PoisonStatus.CLEAN
        now = self._core.clock.now()
        return self._table.find_status(list_parts(call), now, self._find_turn())

    def begin_trial(self, call: HostedCall, server: ServerStart) -> None:
        """Record that a request is sent to a server as a trial."""
        now = self._core.clock.now()
        self._table.begin_trial(list_parts(call), _name_start(server), now)
        self._core.log.write(
            EventName.TRIAL_BEGUN,
            request=call.request,
            peer=server.server,
            digest=name_request(call),
        )
        self._share()

    def is_alert(self, duration: Millis) -> bool:
        """Return whether a server broke a connection so recently."""
        return self._core.clock.now() - self._lost_at < duration

    async def wait_alert(self) -> None:
        """Wait until the next server breaks a connection."""
        self._alert = anyio.Event()
        await self._alert.wait()

    def apply(self, news: PoisonNews) -> None:
        """Apply news that other entries left in the store."""
        self._handle_news(self._table.apply(news, self._core.clock.now()))

    def record_sound(self, call: HostedCall, began_at: Millis) -> None:
        """Record that the answer to a request went on or is complete."""
        self._table.record_sound(
            list_parts(call), began_at, self._core.clock.now()
        )
        self._share()

    def record_loss(
        self,
        start: ServerStart,
        address: str,
        call: HostedCall,
        *,
        sent_at: Millis,
        has_written: bool,
    ) -> None:
        """Record a connection that a server closed within an answer.

        With `has_written` the server had been answering for a while.
        """
        now = self._lost_at = self._core.clock.now()
        self._alert.set()
        if not has_written:
            self.record_lost_run(start, call)
        loss = self._examined.get(start)
        if loss is None:
            loss = self._losses.setdefault(start, _Loss(address, now))
        if sent_at > loss.at:
            loss.later += 1
        elif not has_written:
            loss.requests.append(call)
        self._wanted.set()

    def record_lost_run(self, start: ServerStart, call: HostedCall) -> None:
        """Record a run that broke off before its server had answered."""
        digest, now = name_request(call), self._core.clock.now()
        condemned = self._table.record_lost_run(digest, _name_start(start), now)
        count = self._table.lost_runs.count_losses(digest)
        if count > 1:
            self._core.log.write(
                EventName.REQUEST_SUSPECTED,
                request=call.request,
                peer=start.server,
                digest=digest,
                count=count,
            )
        self._log_quarantined(condemned)
        self._share()

    async def run(self) -> None:
        """Look at servers that broke connections, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._wanted.wait()
                self._wanted = anyio.Event()
                await anyio.sleep(_GATHER_TIME / SECOND)
                losses, self._losses = self._losses, {}
                self._examined |= losses
                for start, loss in losses.items():
                    tasks.start_soon(self._examine, start, loss)

    async def _examine(self, start: ServerStart, loss: _Loss) -> None:
        try:
            await self._find_crash(start, loss)
        finally:
            del self._examined[start]

    async def _find_crash(self, start: ServerStart, loss: _Loss) -> None:
        core = self._core
        if core.backends.is_leaving_or_gone(start):
            core.metrics.add(Count.BACKEND_LOSSES, label=_LEAVING)
            self._log_kept(start, loss, _LEAVING)
            return
        found = await self._probe(loss)
        core.metrics.add(Count.BACKEND_LOSSES, label=found.value)
        if not await self._has_ended(start, loss, found):
            self._log_kept(start, loss, found.value)
            return
        requests = frozenset(map(list_parts, loss.requests))
        condemned = self._table.record_crash(
            Crash(_name_start(start), loss.at, requests), core.clock.now()
        )
        self._log_suspects(requests)
        self._log_quarantined(condemned)
        self._share()
        core.metrics.add(Count.BACKEND_CRASHES)
        core.log.write(
            EventName.BACKEND_CRASHED,
            peer=start.server,
            incarnation=start.born,
            address=loss.address,
            reason=found.value,
            count=len(loss.requests),
            parts=_format(frozenset().union(*requests)),
        )

    def _log_kept(self, start: ServerStart, loss: _Loss, reason: str) -> None:
        """Log that a server that broke connections doesn't count as ended."""
        self._core.log.write(
            EventName.BACKEND_KEPT,
            peer=start.server,
            incarnation=start.born,
            address=loss.address,
            reason=reason,
            count=len(loss.requests),
        )

    async def _probe(self, loss: _Loss) -> Reachability:
        """Return what became of new connections to an address."""
        for _ in range(_PROBES):
            found = await self._core.pool.probe(loss.address)
            if found is not Reachability.CLOSED:
                return found
            await anyio.sleep(_PROBE_PAUSE / SECOND)
        return Reachability.CLOSED

    async def _has_ended(
        self, start: ServerStart, loss: _Loss, found: Reachability
    ) -> bool:
        """Return whether no server is left behind an address.

        A proxy accepts connections all the same, and closes them, or breaks off
        each request. So does a server at its limit of connections, but that one
        answers over others.
        """
        if found is Reachability.REFUSED:
            return True
        if found is Reachability.CLOSED:
            return not self._has_sent(start, loss)
        for _ in range(_SILENCE_CHECKS):
            if self._has_sent(start, loss):
                return False
            if loss.later >= _SILENT_LOSSES or self._is_replaced(start):
                return True
            await anyio.sleep(_PROBE_PAUSE / SECOND)
        return False

    def _is_replaced(self, start: ServerStart) -> bool:
        """Return whether a server that did not leave is off the list."""
        backends = self._core.backends
        return backends.find_start(start) is None or (
            backends.is_superseded(start)
        )

    def _has_sent(self, start: ServerStart, loss: _Loss) -> bool:
        """Return whether a server has sent anything since a loss."""
        backend = self._core.backends.find_start(start)
        ended_at = loss.at + _GATHER_TIME
        return backend is not None and backend.last_heard_at > ended_at

    def _log_suspects(self, requests: frozenset[Parts]) -> None:
        """Log how many ends point at the parts of requests, if several do."""
        parts = frozenset().union(*requests)
        for part, found in self._table.count_crashes(parts).items():
            if found.all > 1:
                self._core.log.write(
                    EventName.REQUEST_SUSPECTED,
                    parts=part,
                    count=found.all,
                    value=found.separate,
                )

    def _handle_news(self, condemned: tuple[Parts, ...]) -> None:
        """Log and pass on what news of others brings under suspicion."""
        learned = self._table.lost_runs.take_learned()
        for digest, count in learned.items():
            self._core.log.write(
                EventName.REQUEST_SUSPECTED,
                digest=digest,
                count=count,
                source=_NEWS,
            )
        self._log_quarantined(condemned)
        self._share()

    def _log_quarantined(self, condemned: tuple[Parts, ...]) -> None:
        for parts in condemned:
            self._core.log.write(
                EventName.REQUEST_QUARANTINED, parts=_format(parts)
            )

    def _share(self) -> None:
        if self._table.has_pending:
            self._core.peers.share_poison()
            self.news_wanted.set()

    def _find_turn(self) -> Turn:
        """Return the turn of this entry to send requests as trials."""
        core = self._core
        if core.clock.now() - self._began_at < _LEARNING_TIME:
            return NO_TURN
        known = sorted(core.entries.list_known())
        if core.settings.process not in known:
            return NO_TURN
        return Turn(known.index(core.settings.process), len(known))


def list_shared_parts(call: HostedCall) -> Parts:
    """Return the parts of a prompt that other requests may share.

    The last one belongs to the request or its session alone.
    """
    demand = call.parameters.demand
    shared = () if demand is None else demand.parts[:-1]
    return frozenset(_name_part(each.name) for each in shared)


def list_parts(call: HostedCall) -> Parts:
    """Return the shared parts, and a name of the request as a whole."""
    return list_shared_parts(call) | {name_request(call)}


def _name_part(name: str) -> str:
    if len(name) > _LONGEST_NAME:
        digest = hashlib.blake2b(name.encode(), digest_size=_DIGEST_BYTES)
        name = digest.hexdigest()
    return f'part:{name}'


def name_request(call: HostedCall) -> str:
    """Return a name that equal requests share.

    Requests are equal if path, caller and body are. Those without a body also
    differ by their query and the parts of their prompt.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    path, _, query = call.target.partition('?')
    names = [call.team, call.method, path]
    if not call.body:
        demand = call.parameters.demand
        prompt = () if demand is None else demand.parts
        names += [query, *(each.name for each in prompt)]
    for name in names:
        encoded = name.encode()
        digest.update(b'%d:' % len(encoded))
        digest.update(encoded)
    digest.update(call.body)
    return name_whole(digest.hexdigest())


def _name_start(start: ServerStart) -> str:
    return (
        start.server if start.born is None else f'{start.server}@{start.born}'
    )


def _format(parts: Parts) -> str | None:
    return ' '.join(sorted(parts)) or None
