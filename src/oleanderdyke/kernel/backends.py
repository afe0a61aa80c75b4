"""Know the backend servers: what they told, and what requests showed."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from oleanderdyke.clock import MINUTE, SECOND, Millis
from oleanderdyke.kernel.backend import Owed
from oleanderdyke.kernel.server_list import ServerList
from oleanderdyke.kernel.servers import (
    AnswerField,
    PromptPart,
    ServerLoad,
    ServerStart,
)

# A server is left out for this long after a first failure to reach it, twice
# as long after each further one. A crashed server is back after seconds; a
# lost packet costs a connection one second.
_MIN_EJECTION: Millis = 500.0
_MAX_EJECTION: Millis = 4 * SECOND
# An engine that refuses while newer weights are named takes them now, which
# lasts about two seconds after its runs have ended.
_RELOAD_PAUSE: Millis = 1_500.0
# A server that refuses is asked again after this long, and after twice as
# long for each further refusal: a slot of the plain services frees in some
# ten milliseconds, new weights take over a second.
_REFUSAL_PAUSE: Millis = 100.0
_MAX_REFUSAL_PAUSE: Millis = 800.0
# Servers ask for pauses of seconds; a far larger number is an error.
_MAX_BACKOFF: Millis = 10 * MINUTE
# The share of the latest answer in the rate of failures of a server.
_ERROR_WEIGHT = 0.2


class BackendRegistry(ServerList):
    """Record what requests and answers show of the servers' present starts.

    What an earlier start showed changes nothing.
    """

    def record_sent(
        self,
        start: ServerStart,
        attempt: str,
        owed: Owed,
    ) -> None:
        """Count an attempt that was sent."""
        backend = self.find_start(start)
        if backend is not None:
            backend.running += 1
            backend.running_tokens += owed.memory
            backend.waiting[attempt] = owed

    def reset_silence(self, now: Millis) -> None:
        """Blame nobody for a time in which this process read nothing."""
        for backend in self._backends.values():
            backend.heard = max(backend.heard, now)

    def record_received(
        self, start: ServerStart, attempt: str, now: Millis
    ) -> None:
        """Learn that bytes of an attempt came."""
        backend = self.find_start(start)
        if backend is not None:
            backend.heard = now
            owed = backend.waiting.pop(attempt, None)
            if owed is not None:
                backend.note_first_byte(owed, now)

    def record_ended(
        self, start: ServerStart, attempt: str, memory: int
    ) -> None:
        """Forget an attempt that was sent and the tokens it took."""
        backend = self.find_start(start)
        if backend is not None:
            backend.running = max(backend.running - 1, 0)
            backend.running_tokens = max(backend.running_tokens - memory, 0)
            backend.waiting.pop(attempt, None)

    def record_success(self, start: ServerStart) -> None:
        """Learn that a server answered well."""
        backend = self.find_start(start)
        if backend is not None:
            backend.failures = 0
            backend.refusals = 0
            backend.errors *= 1 - _ERROR_WEIGHT

    def record_failure(self, start: ServerStart, now: Millis) -> None:
        """Learn that a server failed a request; leave it out for a while."""
        backend = self.find_start(start)
        if backend is None:
            return
        backend.errors += _ERROR_WEIGHT * (1 - backend.errors)
        pause = _MIN_EJECTION * 2**backend.failures
        backend.failures += 1
        until = now + min(pause, _MAX_EJECTION)
        backend.out_until = max(backend.out_until, until)

    def record_error(self, start: ServerStart) -> None:
        """Learn that a server answered with an error of its own."""
        backend = self.find_start(start)
        if backend is not None:
            backend.errors += _ERROR_WEIGHT * (1 - backend.errors)

    def record_refusal(self, start: ServerStart, now: Millis) -> None:
        """Learn that a server refused a request without running it."""
        backend = self.find_start(start)
        if backend is None:
            return
        pause = _REFUSAL_PAUSE * 2**backend.refusals
        backend.refusals += 1
        until = now + min(pause, _MAX_REFUSAL_PAUSE)
        backend.out_until = max(backend.out_until, until)

    def record_reload(self, start: ServerStart, now: Millis) -> None:
        """Learn that an engine refuses while it takes new weights."""
        backend = self.find_start(start)
        if backend is not None:
            backend.reload_until = now + _RELOAD_PAUSE

    def record_load(
        self, start: ServerStart, load: ServerLoad, now: Millis
    ) -> None:
        """Take the load that a server told with an answer."""
        backend = self.find_start(start)
        if backend is not None and now >= backend.load_at:
            backend.load = load
            backend.load_at = now

    def record_rate_limit(
        self,
        start: ServerStart,
        per_second: float,
        told_at: Millis,
        now: Millis,
    ) -> bool:
        """Take the rate that a server accepts; return whether that is new.

        It is infinite where the server names none.
        """
        backend = self.find_start(start)
        if backend is None:
            return False
        return backend.limit.update(per_second, told_at, now)

    def record_backoff(
        self, start: ServerStart, pause: Millis, now: Millis
    ) -> bool:
        """Send nothing for as long as a server asks; return whether it began.

        A later, shorter pause doesn't end one sooner.
        """
        backend = self.find_start(start)
        if backend is None:
            return False
        is_backing_off = backend.backoff_until > now
        until = now + min(pause, _MAX_BACKOFF)
        backend.backoff_until = max(backend.backoff_until, until)
        return not is_backing_off and backend.backoff_until > now

    def record_malformed(self, start: ServerStart, named: AnswerField) -> bool:
        """Learn that a field can't be read; return whether it is the first."""
        backend = self.find_start(start)
        if backend is None or named in backend.malformed:
            return False
        backend.malformed.add(named)
        return True

    def record_version(
        self, start: ServerStart, model: str, version: int
    ) -> None:
        """Take newer weights that a server was shown to hold."""
        backend = self.find_start(start)
        if backend is None:
            return
        versions = dict(backend.record.versions)
        if versions.get(model, 0) >= version:
            return
        versions[model] = version
        backend.record = replace(backend.record, versions=versions)
        backend.reload_until = 0.0
        backend.forget_kept()

    def record_kept(
        self, start: ServerStart, parts: Sequence[PromptPart], capacity: int
    ) -> None:
        """Assume that a server keeps a prompt's parts, the latest ones."""
        backend = self.find_start(start)
        if backend is None:
            return
        for part in parts:
            backend.kept_tokens -= backend.kept.pop(part.name, 0)
            backend.kept[part.name] = part.tokens
            backend.kept_tokens += part.tokens
        while backend.kept_tokens > capacity and backend.kept:
            _, tokens = backend.kept.popitem(last=False)
            backend.kept_tokens -= tokens
