"""Start and send an agent's runs in simulated time."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from oleanderdyke.agent.runs import Runs
from oleanderdyke.errors import ErrorKind, OleanderError
from oleanderdyke.links.link import LinkClosed
from oleanderdyke.links.messages import BodyChunk, Message
from tests.matrix.loop import drive
from tests.matrix.net import End

if TYPE_CHECKING:
    from tests.matrix.agent import ModelAgent


class ModelOutbox:
    """Send to one link, without a task of its own."""

    def __init__(self, name: str, end: End) -> None:
        self.name = name
        self.end = end
        self.peer = end.peer

    def put(self, message: Message) -> None:
        """Send a message; it is lost where the link is."""
        drive(self._send(message))

    async def push(self, messages: Iterable[Message]) -> None:
        """Send messages."""
        for message in messages:
            self.put(message)

    async def send(self, message: Message) -> None:
        """Send now; raise LinkClosed."""
        await self.end.send(message)

    async def _send(self, message: Message) -> None:
        try:
            await self.end.send(message)
        except LinkClosed:
            return


class ModelRuns(Runs):
    """Start a run once its body is there."""

    model: ModelAgent

    def add_body(self, outbox: Any, chunk: BodyChunk) -> None:
        """Take a part of a run's body."""
        super().add_body(outbox, chunk)
        run = self._runs.get((chunk.request, chunk.attempt))
        if run is not None and run.body.ended and not run.forwarded:
            self.model.forward(run)

    def drop_link(self, link: str) -> None:
        """End the runs whose body was cut off; none reached the server."""
        cut = [
            run
            for run in self._runs.values()
            if run.outbox.name == link and not run.body.ended
        ]
        super().drop_link(link)
        for run in cut:
            fault = OleanderError(ErrorKind.STREAM_BROKEN, 'body cut off')
            self._stop(run, fault)
