"""Log routing and outcome of a call, and count missed latency targets."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from oleanderdyke.clock import Millis
from oleanderdyke.entry.hosted.call import HostedCall
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.events import EventName
from oleanderdyke.kernel.attempt_events import Refuse
from oleanderdyke.kernel.outstanding_sends import OutstandingSends
from oleanderdyke.kernel.retries import RetrySource
from oleanderdyke.kernel.scheduling.placement import Choice
from oleanderdyke.logs import LogValue
from oleanderdyke.metrics import Count

_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class Progress:
    """The last server of a call, and the time to its first byte.

    `framing` is set if the latest response had neither a length nor chunks.
    `events` describes what the latest attempt passed on of a stream.
    """

    peer: str | None
    first_byte: Millis | None
    framing: str | None = None
    events: Mapping[str, LogValue] = field(default_factory=dict)

    def describe(self) -> Mapping[str, LogValue]:
        """Return the fields of a log line."""
        first = None if self.first_byte is None else round(self.first_byte, 1)
        return {
            'peer': self.peer,
            'first_token': first,
            'framing': self.framing,
            **self.events,
        }


class CallLog:
    """Write the log lines of one call."""

    def __init__(self, core: HostedCore, call: HostedCall) -> None:
        self._core = core
        self._call = call

    def log_routed(self, choice: Choice) -> None:
        """Log the chosen server and the estimates behind the choice."""
        core, call = self._core, self._call
        now, backend = core.clock.now(), choice.backend
        load = backend.load
        core.log.write(
            EventName.REQUEST_ROUTED,
            request=call.request,
            peer=backend.record.server,
            value=round(choice.score, 1),
            count=choice.candidates,
            expected=round(choice.expected, 1),
            fill=round(choice.fill, 2),
            side=core.scheduling.find_side(call, backend.record.start),
            delay=round(choice.delay, 1),
            running=None if load is None else load.running,
            waiting=None if load is None else load.waiting,
            load_age=None if load is None else _find_age(now, backend.load_at),
            list_age=_find_age(now, core.servers_read_at),
            limit=round(call.deadline - now),
            **core.scheduling.describe_choice(call, choice),
        )

    def log_retried(
        self,
        attempt: int,
        server: str,
        *,
        source: RetrySource,
        left: float,
        sends: OutstandingSends,
    ) -> None:
        """Log another attempt of a call, and the retries left after it.

        `sends` of the service may still arrive, some of them as repeats.
        """
        self._core.log.write(
            EventName.REQUEST_RETRIED,
            request=self._call.request,
            attempt=attempt,
            peer=server,
            service=self._call.service,
            source=source.value,
            budget=round(left, 2),
            outstanding=sends.repeats,
            unread=sends.unread,
        )

    def log_refused(
        self,
        refusal: Refuse,
        progress: Progress,
        *,
        retries_left: float | None = None,
    ) -> None:
        """Log why the entry itself answers a call with an error.

        Pass `retries_left` if the retry budget refused another attempt.
        """
        call = self._call
        self._core.log.write(
            EventName.REQUEST_REFUSED,
            request=call.request,
            service=call.service,
            kind=refusal.kind.value,
            ran=refusal.ran.value,
            detail=refusal.detail or None,
            budget=None if retries_left is None else round(retries_left, 2),
            **self._describe_time(),
            **progress.describe(),
        )

    def log_cancelled(self, progress: Progress) -> None:
        """Log that the caller disconnected before the response ended."""
        self._core.log.write_warning(
            EventName.REQUEST_CANCELLED,
            request=self._call.request,
            **self._describe_time(),
            **progress.describe(),
        )

    def log_finished(
        self, status: int, duration: Millis, progress: Progress
    ) -> None:
        """Log a finished response, as a warning if it failed or was slow."""
        core, call = self._core, self._call
        first = duration if progress.first_byte is None else progress.first_byte
        is_late = first > call.route.target
        is_bad = is_late or status >= _SERVER_ERROR
        if progress.framing is not None:
            core.metrics.add(Count.ANSWERS_CLOSED, label=call.service)
        if is_late:
            core.metrics.add(Count.MISSED_TARGETS, label=call.service)
        write = core.log.write_warning if is_bad else core.log.write
        write(
            EventName.REQUEST_FINISHED,
            request=call.request,
            service=call.service,
            status=status,
            duration=round(duration, 1),
            target=round(call.route.target) if is_late else None,
            **progress.describe(),
        )

    def _describe_time(self) -> Mapping[str, LogValue]:
        now, call = self._core.clock.now(), self._call
        return {
            'duration': round(now - call.started, 1),
            'limit': round(call.deadline - now),
        }


def _find_age(now: Millis, read_at: Millis | None) -> int | None:
    return None if read_at is None else round(now - read_at)
