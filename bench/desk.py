"""Simulate calls that run at most once, and the log they depend on."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from bench.events import Events
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import REPLIES, ErrorKind
from oleanderdyke.kernel.admission import hash_to_fraction

_CALLS_PER_SECOND = 20.0
_APPENDS_PER_SECOND = 300.0
_CALLS_PER_APPEND = 16
_CALLER_TIMEOUT: Millis = 60 * SECOND
_JITTER = 0.5


@dataclass(slots=True)
class Call:
    """One booking call and its completion time, if any."""

    number: int
    at: Millis
    done: Millis | None = None
    tries: int = 0


@dataclass(frozen=True, slots=True)
class DeskResult:
    """The calls of one run and the most tries in a second after the outage."""

    calls: Sequence[Call]
    busiest_second: int


class Desk:
    """Simulate bookings, which are refused while the log is unavailable."""

    def __init__(self, seed: int, *, jitter: bool = True) -> None:
        self.events = Events()
        self._random = Random(f'desk-{seed}')
        self._jitter = _JITTER if jitter else 0.0
        self._log_down = False
        self._free_at: Millis = 0.0
        self._tries_by_second: dict[int, int] = {}
        self.calls: list[Call] = []

    def run(self, length: Millis, outage: tuple[Millis, Millis]) -> DeskResult:
        """Simulate bookings for `length` with the log down during `outage`."""
        at = 0.0
        number = 0
        while at < length:
            at += self._random.expovariate(_CALLS_PER_SECOND / SECOND)
            number += 1
            call = Call(number, at)
            self.calls.append(call)
            self.events.add(at, self._try, call)
        self.events.add(outage[0], self._stop_log)
        self.events.add(outage[1], self._start_log)
        self.events.run(length + _CALLER_TIMEOUT)
        tries_after = [
            count
            for second, count in self._tries_by_second.items()
            if second * SECOND >= outage[1]
        ]
        return DeskResult(self.calls, max(tries_after, default=0))

    def _stop_log(self) -> None:
        self._log_down = True

    def _start_log(self) -> None:
        self._log_down = False

    def _try(self, call: Call) -> None:
        now = self.events.now
        second = int(now // SECOND)
        self._tries_by_second[second] = self._tries_by_second.get(second, 0) + 1
        call.tries += 1
        if self._log_down:
            self._refuse(call)
            return
        wait = SECOND / _APPENDS_PER_SECOND / _CALLS_PER_APPEND
        self._free_at = max(now, self._free_at) + wait
        call.done = self._free_at

    def _refuse(self, call: Call) -> None:
        delay = REPLIES[ErrorKind.LOG_UNAVAILABLE].retry_after or SECOND
        delay *= 1 + self._jitter * hash_to_fraction(
            f'{call.number}-{call.tries}'
        )
        if self.events.now + delay < call.at + _CALLER_TIMEOUT:
            self.events.add(delay, self._try, call)
