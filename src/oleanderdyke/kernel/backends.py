"""The state of backend servers as requests and answers show it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from oleanderdyke.clock import MINUTE, SECOND, Millis
from oleanderdyke.kernel.backend import PendingAttempt
from oleanderdyke.kernel.server_list import ServerList
from oleanderdyke.kernel.servers import (
    AnswerField,
    PromptPart,
    ServerLoad,
    ServerStart,
)

# A server is ejected for this long after its first failure, and twice as long
# after each further one. A crashed server is back after seconds; a lost packet
# delays a connection by one second.
_MIN_EJECTION: Millis = 500.0
_MAX_EJECTION: Millis = 4 * SECOND
# An engine that refuses requests while newer weights are announced is loading
# them, which takes about two seconds once its running requests have ended.
_RELOAD_PAUSE: Millis = 1_500.0
# A server that refuses is retried after this pause, which doubles with each
# further refusal: a slot of a plain service frees up within tens of
# milliseconds, loading new weights takes over a second.
_REFUSAL_PAUSE: Millis = 100.0
_MAX_REFUSAL_PAUSE: Millis = 800.0
# Servers ask for pauses of seconds; a far larger value is an error.
_MAX_BACKOFF: Millis = 10 * MINUTE
# Weight of the latest answer in the moving average of the error rate.
_ERROR_WEIGHT = 0.2


class BackendRegistry(ServerList):
    """Track requests and answers of the current starts of servers.

    Reports about earlier starts are ignored.
    """

    def record_sent(
        self,
        start: ServerStart,
        attempt: str,
        pending: PendingAttempt,
    ) -> None:
        """Record that an attempt was sent."""
        backend = self.find_start(start)
        if backend is not None:
            backend.running += 1
            backend.running_tokens += pending.memory
            backend.waiting[attempt] = pending

    def reset_silence(self, now: Millis) -> None:
        """Restart the silence timers of all servers at `now`.

        For use after a time in which this process read no data, for which no
        server is to blame.
        """
        for backend in self._backends.values():
            backend.last_heard_at = max(backend.last_heard_at, now)

    def record_received(
        self, start: ServerStart, attempt: str, now: Millis
    ) -> None:
        """Record that bytes of an attempt arrived."""
        backend = self.find_start(start)
        if backend is not None:
            backend.last_heard_at = now
            pending = backend.waiting.pop(attempt, None)
            if pending is not None:
                backend.record_first_byte(pending, now)

    def record_ended(
        self, start: ServerStart, attempt: str, memory: int
    ) -> None:
        """Remove an attempt and the `memory` tokens that it took."""
        backend = self.find_start(start)
        if backend is not None:
            backend.running = max(backend.running - 1, 0)
            backend.running_tokens = max(backend.running_tokens - memory, 0)
            backend.waiting.pop(attempt, None)

    def record_success(self, start: ServerStart) -> None:
        """Record a successful answer."""
        backend = self.find_start(start)
        if backend is not None:
            backend.failures = 0
            backend.refusals = 0
            backend.errors *= 1 - _ERROR_WEIGHT

    def record_failure(self, start: ServerStart, now: Millis) -> None:
        """Record that a server failed a request, and eject it for a while."""
        backend = self.find_start(start)
        if backend is None:
            return
        backend.errors += _ERROR_WEIGHT * (1 - backend.errors)
        pause = _MIN_EJECTION * 2**backend.failures
        backend.failures += 1
        until = now + min(pause, _MAX_EJECTION)
        backend.excluded_until = max(backend.excluded_until, until)

    def record_error(self, start: ServerStart) -> None:
        """Record that a server answered with an error of its own."""
        backend = self.find_start(start)
        if backend is not None:
            backend.errors += _ERROR_WEIGHT * (1 - backend.errors)

    def record_refusal(self, start: ServerStart, now: Millis) -> None:
        """Record that a server refused a request without executing it."""
        backend = self.find_start(start)
        if backend is None:
            return
        pause = _REFUSAL_PAUSE * 2**backend.refusals
        backend.refusals += 1
        until = now + min(pause, _MAX_REFUSAL_PAUSE)
        backend.excluded_until = max(backend.excluded_until, until)

    def record_reload(self, start: ServerStart, now: Millis) -> None:
        """Record that an engine refused because it is loading new weights."""
        backend = self.find_start(start)
        if backend is not None:
            backend.reload_until = now + _RELOAD_PAUSE

    def record_load(
        self, start: ServerStart, load: ServerLoad, now: Millis
    ) -> None:
        """Record the load that a server reported with an answer."""
        backend = self.find_start(start)
        if backend is not None and now >= backend.load_at:
            backend.load = load
            backend.load_at = now

    def record_rate_limit(
        self,
        start: ServerStart,
        per_second: float,
        reported_at: Millis,
        now: Millis,
    ) -> bool:
        """Update the rate that a server accepts; return whether it changed.

        The rate is infinite if the server reports no limit.
        """
        backend = self.find_start(start)
        if backend is None:
            return False
        return backend.limit.update(per_second, reported_at, now)

    def record_backoff(
        self, start: ServerStart, pause: Millis, now: Millis
    ) -> bool:
        """Back off from a server; return whether that is new.

        A later, shorter pause does not shorten the current one.
        """
        backend = self.find_start(start)
        if backend is None:
            return False
        is_backing_off = backend.backoff_until > now
        until = now + min(pause, _MAX_BACKOFF)
        backend.backoff_until = max(backend.backoff_until, until)
        return not is_backing_off and backend.backoff_until > now

    def record_malformed(
        self, start: ServerStart, answer_field: AnswerField
    ) -> bool:
        """Record a malformed field; return whether it is the first."""
        backend = self.find_start(start)
        if backend is None or answer_field in backend.malformed:
            return False
        backend.malformed.add(answer_field)
        return True

    def record_version(
        self, start: ServerStart, model: str, version: int
    ) -> None:
        """Record newer weights that an answer shows the server to hold."""
        backend = self.find_start(start)
        if backend is None:
            return
        versions = dict(backend.record.versions)
        if versions.get(model, 0) >= version:
            return
        versions[model] = version
        backend.record = replace(backend.record, versions=versions)
        backend.reload_until = 0.0
        backend.clear_cache()

    def record_kept(
        self, start: ServerStart, parts: Sequence[PromptPart], capacity: int
    ) -> None:
        """Assume that a server caches the parts of a prompt.

        The least recently used parts are dropped beyond `capacity` tokens.
        """
        backend = self.find_start(start)
        if backend is None:
            return
        for part in parts:
            backend.cached_tokens -= backend.cached_parts.pop(part.name, 0)
            backend.cached_parts[part.name] = part.tokens
            backend.cached_tokens += part.tokens
        while backend.cached_tokens > capacity and backend.cached_parts:
            _, tokens = backend.cached_parts.popitem(last=False)
            backend.cached_tokens -= tokens
