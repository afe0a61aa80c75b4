"""Keep a stream at the version of the software that began it."""

from __future__ import annotations

from collections.abc import Collection
from typing import TYPE_CHECKING

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.scheduling.placement import is_usable
from oleanderdyke.kernel.stream_origins import (
    StreamOrigin,
    StreamStart,
    hash_stream,
)

if TYPE_CHECKING:
    from oleanderdyke.entry.hosted.call import HostedCall
    from oleanderdyke.entry.hosted.core import HostedCore
    from oleanderdyke.kernel.backend import Backend
    from oleanderdyke.kernel.servers import ServerRecord, ServerStart

# Other entries learn of a stream within some tens of milliseconds, or once they
# have a new link to the reader of their data centre.
_NEWS_WAIT: Millis = 250.0
# An entry that has just started opens its links within this time.
_LEARNING_WAIT: Millis = 1_500.0


class StreamPin:
    """The version that a call's stream has to go on at, once it has begun.

    Only for streams that are taken up, or may be.
    """

    def __init__(self, core: HostedCore, call: HostedCall) -> None:
        self._core = core
        self._call = call
        self._is_resumption = bool(call.parameters.last_event)
        self._asked_at = core.clock.now()
        self.software: str | None = None

    def is_resolved(self, now: Millis) -> bool:
        """Return whether it is known which version the stream needs, if any."""
        if self.software is None and self._is_resumption:
            self.software = self._find_software(now)
            if self.software is None:
                self._core.origins_requested.set()
        if self.software is not None:
            return True
        return not self._is_resumption and self._may_begin(now)

    def may_wait(self, now: Millis) -> bool:
        """Return whether another entry may still tell which version it is."""
        wait = _NEWS_WAIT
        if self._core.peers.is_learning:
            wait = _LEARNING_WAIT
        return now - self._asked_at < wait

    def find_settling(self, now: Millis) -> frozenset[str]:
        """Return the versions that may not begin this stream yet."""
        if self.software is not None:
            return frozenset()
        return self._core.software.find_settling(self._call.service, now)

    def is_other(self, record: ServerRecord) -> bool:
        """Return whether a server has a version that did not begin it."""
        return self.software not in {None, record.software}

    def find_send_fault(self, record: ServerRecord, now: Millis) -> str:
        """Return why the request may not be sent to a server by now, or ''.

        What was concluded of a stream that has begun stays true; whether one
        may begin does not, as opening a connection takes time.
        """
        if self.is_other(record):
            return 'another version of the software began the stream'
        if self.software is not None:
            return ''
        if not self._may_begin(now):
            return 'the list of servers is too old to begin streams'
        if record.software in self.find_settling(now):
            return 'other entries may not know the version of the server yet'
        return ''

    def find_fault(self, start: ServerStart, software: str) -> str:
        """Return why events of a server may not be passed on, or ''.

        `software` is the version that it had as the request was sent.
        """
        backend = self._core.backends.find_start(start)
        if backend is None:
            return 'the server has ended meanwhile'
        if backend.record.software != software:
            return 'the server has changed its version of the software'
        if self.is_other(backend.record):
            return 'another version of the software began the stream'
        return ''

    def begin(self, software: str) -> None:
        """Pin the stream to the version whose first event has arrived."""
        self.software = software
        self._record_start()

    def has_alternative(self, current: ServerStart, now: Millis) -> bool:
        """Return whether another server can go on with the stream."""
        if self.software is None:
            return True
        return any(
            self._can_continue(each, current, now)
            for each in self._core.backends.list_service(
                self._call.service, now
            )
        )

    def _can_continue(
        self, backend: Backend, current: ServerStart, now: Millis
    ) -> bool:
        record = backend.record
        is_other = record.start != current
        return (
            is_other
            and record.software == self.software
            and is_usable(backend, now)
        )

    def _may_begin(self, now: Millis) -> bool:
        core = self._core
        if core.software.may_begin(now) or core.peers.has_links:
            return True
        # An entry alone is the only one to resume what it began.
        return len(core.entries.list_known()) <= 1

    def _find_software(self, now: Millis) -> str | None:
        core, call = self._core, self._call
        origin = core.peers.find_origin(call.team, call.parameters.resumes)
        if origin is not None:
            # Another service may go on with it at an equal version only, as
            # nothing says that any other one fits.
            return origin.software
        return core.software.find_common(self._list_services(now), now)

    def _list_services(self, now: Millis) -> Collection[str]:
        """Return the services at which the stream may have begun."""
        core, route = self._core, self._call.route
        if core.is_stale:
            # The route may lead elsewhere by now.
            return core.software.list_services()
        found = core.software.routes.find(route.host, route.prefix, now)
        return found or {self._call.service}

    def _record_start(self) -> None:
        call, software = self._call, self.software
        if software is None or not call.request:
            return
        wait = call.parameters.wait or call.route.timeout
        self._core.peers.begin_stream(
            StreamStart(
                hash_stream(call.team, call.request),
                StreamOrigin(call.service, software),
                call.started + max(wait, call.route.timeout),
            )
        )
