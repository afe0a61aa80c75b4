"""Read the body of a request that comes in several parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.kernel.drain import DrainPhase

if TYPE_CHECKING:
    from oleanderdyke.entry.answers import CallerConnection
    from oleanderdyke.entry.edge import Body
    from oleanderdyke.entry.hosted.core import HostedCore

# A stop refuses a request of which nothing more has come for this long.
_STOP_IDLE_TIME: Millis = 1 * SECOND


class ArrivingRequest:
    """A request that is not whole yet, and has not been sent to any server."""

    def __init__(self, core: HostedCore, connection: CallerConnection) -> None:
        self._core = core
        self._connection = connection

    async def read(self, body: Body, key: str) -> bytes:
        """Return the whole body; `key` identifies the request meanwhile.

        Raise OleanderError, with nothing run, or CallerGone.
        """
        running = self._core.running
        running[key] = self
        try:
            return await body.read()
        finally:
            del running[key]

    def stop(self, *, immediate: bool) -> None:
        """Refuse the request if the entry must stop at once."""
        if immediate:
            self._refuse()

    def hand_over(self) -> None:
        """Do nothing, as nothing has begun."""

    def check_attempt(self, _: Millis) -> None:
        """Refuse the request if a stop would have to wait for it."""
        if self._core.drain.phase in {
            DrainPhase.SERVING,
            DrainPhase.ANNOUNCED,
        }:
            return
        if self._connection.find_idle_time() >= _STOP_IDLE_TIME:
            self._refuse()

    def _refuse(self) -> None:
        self._connection.refuse_rest(
            OleanderError(
                ErrorKind.STOPPING, 'this entry is stopping', ran=Ran.NO
            )
        )
