"""Walk through a world of requests at random."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from oleanderdyke.kernel import attempt_events as ev
from oleanderdyke.links.messages import (
    AgentPhase,
)
from tests.safety_model import (
    AGENTS,
    ENTRIES,
    TEAMS,
    ModelAgent,
    ModelEntry,
    Variants,
    World,
)


class Walk:
    """Take one step after another; each picks its own details."""

    def __init__(self, variants: Variants | None = None) -> None:
        self.world = World(variants)

    def take(self, name: str, random: Random) -> None:
        self.random = random
        getattr(self, name)()
        self.world.check()

    def run(self, seed: int, count: int, steps: Sequence[str]) -> None:
        random = Random(seed)
        for _ in range(count):
            self.take(random.choice(steps), random)

    def book(self) -> None:
        """Send a keyed request; few keys, so that callers collide."""
        team = self.random.choice((TEAMS[0], TEAMS[0], TEAMS[1]))
        self.world.call(self._entry().name, team, 'key')

    def call(self) -> None:
        idempotent = self.random.random() < 0.5
        self.world.call(self._entry().name, TEAMS[0], '', idempotent=idempotent)

    def deliver(self) -> None:
        if self.world.network:
            self.world.deliver(self._index())

    def deliver_copy(self) -> None:
        if self.world.network:
            self.world.deliver(self._index(), keep=True)

    def lose(self) -> None:
        if self.world.network:
            self.world.lose(self._index())

    def lose_link(self) -> None:
        self.world.lose_link(self._entry().name, self._agent().name)

    def append(self) -> None:
        if self.world.appends:
            answer = self.random.random() < 0.7
            self.world.take_effect(self._index(), answer=answer)

    def fail_append(self) -> None:
        if self.world.appends:
            self.world.fail_append(self._index())

    def read(self) -> None:
        self._entry().read(self.random.choice((1, 3, 100)))

    def fire(self) -> None:
        entry = self._entry()
        if entry.timers:
            entry.fire(self._index())

    def finish(self) -> None:
        agent = self._agent()
        if agent.running:
            agent.finish(self._index(), cut=self.random.random() < 0.2)

    def beat(self) -> None:
        self._agent().tick(self.random.choice((1, 2, 10)))

    def hear(self) -> None:
        self._entry().hear(self._agent().name)

    def replace_agent(self) -> None:
        self.world.replace_agent(self._agent().name)

    def replace_entry(self) -> None:
        self.world.replace_entry(self._entry().name)

    def crash(self) -> None:
        self._agent().crash()

    def leave(self) -> None:
        self._agent().gate.set_phase(AgentPhase.LEAVING)

    def turn_log(self) -> None:
        self.world.log.up = not self.world.log.up

    def carry(self) -> None:
        self.world.carry(self._entry().name)

    def forget(self) -> None:
        self.world.forget()

    def interrupt(self) -> None:
        entry = self._entry()
        if entry.machines:
            request = self.random.choice(sorted(entry.machines))
            entry.tell(request, self.random.choice(INTERRUPTIONS))

    def go_on(self) -> None:
        """Let what is under way happen in its usual order."""
        world = self.world
        world.log.up = True
        for _ in range(len(world.appends)):
            world.take_effect(0, answer=True)
        for entry in world.entries.values():
            entry.read(limit=100)
        for _ in range(len(world.network)):
            world.deliver(0)
        for agent in world.agents.values():
            if agent.running:
                agent.finish(0, cut=False)

    def calm_down(self, rounds: int) -> set[str]:
        """End the faults; return the calls that still have no answer."""
        for _ in range(rounds):
            self.go_on()
            for agent in self.world.replaced:
                while agent.running:
                    agent.finish(0, cut=False)
            for entry in self.world.entries.values():
                for _ in range(len(entry.timers)):
                    entry.fire(0)
            self._find_lost_links()
            self.world.check()
        entries = self.world.entries.values()
        return {request for entry in entries for request in entry.machines}

    def _find_lost_links(self) -> None:
        """Give up every link that has nothing under way any more."""
        if self.world.network or any(
            agent.running for agent in self.world.agents.values()
        ):
            return
        for agent in (*self.world.agents.values(), *self.world.replaced):
            lost = ev.LinkLost(agent.name, str(agent.incarnation))
            for entry in self.world.entries.values():
                entry.tell_all(lost)

    def _entry(self) -> ModelEntry:
        return self.world.entries[self.random.choice(ENTRIES)]

    def _agent(self) -> ModelAgent:
        """Pick an agent, now and then one that was replaced."""
        if self.world.replaced and self.random.random() < 0.2:
            return self.random.choice(self.world.replaced)
        return self.world.agents[self.random.choice(AGENTS)]

    def _index(self) -> int:
        return self.random.randrange(8)


INTERRUPTIONS = (
    ev.CallerGone(),
    ev.DeadlinePassed(),
    ev.Stopping(),
    ev.Stopping(immediate=True),
)


STEPS = (
    *('book',) * 4,
    *('call',) * 2,
    *('deliver',) * 8,
    *('deliver_copy',) * 2,
    *('append',) * 4,
    *('read',) * 4,
    *('fire',) * 4,
    *('finish',) * 4,
    *('go_on',) * 5,
    *('beat', 'hear', 'hear') * 2,
    *('lose', 'lose_link', 'fail_append', 'replace_agent', 'replace_entry'),
    *('crash', 'leave', 'turn_log', 'carry', 'forget', 'interrupt'),
)


# Steps of a log that forgets quickly, while its readers lag.
FORGETTING_STEPS = (
    *STEPS,
    *('carry', 'forget', 'replace_entry', 'append', 'go_on') * 6,
)
