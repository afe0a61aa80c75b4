"""Start runs and send their responses in simulated time."""

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
    """Send messages to one link without a separate task."""

    def __init__(self, name: str, end: End) -> None:
        self.name = name
        self.end = end
        self.peer = end.peer

    def put(self, message: Message) -> None:
        """Send a message and drop it if the link is closed."""
        drive(self._send(message))

    async def push(self, messages: Iterable[Message]) -> None:
        """Send messages in order, waiting for each."""
        for message in messages:
            self.put(message)

    async def send(self, message: Message) -> None:
        """Send a message immediately; raise LinkClosed."""
        await self.end.send(message)

    async def _send(self, message: Message) -> None:
        try:
            await self.end.send(message)
        except LinkClosed:
            return


class ModelRuns(Runs):
    """Start each run once its request body is complete."""

    model: ModelAgent

    def add_body(self, outbox: Any, chunk: BodyChunk) -> None:
        """Add a received part to a run's request body."""
        super().add_body(outbox, chunk)
        run = self._runs.get((chunk.request, chunk.attempt))
        if run is not None and run.body.ended and not run.forwarded:
            self.model.forward(run)

    def drop_link(self, link: str) -> None:
        """End runs with an incomplete body, which never reached the server."""
        cut = [
            run
            for run in self._runs.values()
            if run.outbox.name == link and not run.body.ended
        ]
        super().drop_link(link)
        for run in cut:
            fault = OleanderError(ErrorKind.STREAM_BROKEN, 'body cut off')
            self._stop(run, fault)
