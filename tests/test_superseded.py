"""Test that an entry notifies an agent that a newer one has replaced."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any

import anyio

from edges import Edge, FakeLink
from oleanderdyke.entry.agents import AgentLinks
from oleanderdyke.entry.configuration import ConfigurationFeed
from oleanderdyke.links.messages import (
    PROTOCOL_VERSION,
    AgentPhase,
    BackendKind,
    Heartbeat,
    Hello,
    Load,
    Role,
    Superseded,
)

OLD = Hello(
    PROTOCOL_VERSION, Role.AGENT, 'a', 'i1', 'here', 0, BackendKind.PLAIN, 's'
)
NEW = replace(OLD, incarnation='i2')


@dataclass
class ClosableLink(FakeLink):
    """Record whether it was closed."""

    async def close(self) -> None:
        self.closed = True


def connect(*links: Any, beats: Sequence[tuple[Any, str]] = ()) -> None:
    """Bring up the links in order, then handle the heartbeats."""

    async def act() -> None:
        async with anyio.create_task_group() as tasks:
            edge = Edge()
            edge.core.spawn = tasks.start_soon  # type: ignore[method-assign]
            feed = ConfigurationFeed(edge.core, edge.log)  # type: ignore[arg-type] # a fake log
            agents = AgentLinks(edge.core, feed)
            for link in links:
                await agents.on_up(link)
            for number, (link, incarnation) in enumerate(beats, 1):
                beat = Heartbeat(
                    incarnation, number, 0, AgentPhase.SERVING, Load()
                )
                await agents.on_message(link, beat)
            await anyio.wait_all_tasks_blocked()
            tasks.cancel_scope.cancel()

    anyio.run(act)


def test_hello_of_a_former_incarnation_is_answered_and_refused():
    first, new, again = ClosableLink(OLD), ClosableLink(NEW), ClosableLink(OLD)
    connect(first, new, again)
    assert again.find(Superseded) == [Superseded('a', 'i1')]
    assert again.closed
    assert not new.find(Superseded)


def test_heartbeat_of_a_former_incarnation_is_answered():
    old, new = ClosableLink(OLD), ClosableLink(NEW)
    connect(old, new, beats=[(old, 'i1'), (new, 'i2'), (new, 'i2')])
    assert old.find(Superseded) == [Superseded('a', 'i1')]
    assert not new.find(Superseded)
