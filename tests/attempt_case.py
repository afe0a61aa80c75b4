"""Drive the state machine of one request event by event."""

from __future__ import annotations

from random import Random

from oleanderdyke.kernel import attempt_events as ev
from oleanderdyke.kernel.attempts import (
    AttemptSettings,
    RequestFacts,
    RequestStateMachine,
)
from oleanderdyke.kernel.claim_records import (
    OutcomeRecord,
)
from oleanderdyke.kernel.claims import (
    Free,
    Owned,
)
from oleanderdyke.kernel.demand import Plan, Replica
from oleanderdyke.kernel.retries import RetryBudget, RetrySettings
from oleanderdyke.links.messages import (
    AgentPhase,
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    BackendKind,
    Failed,
    Load,
)
from oleanderdyke.links.messages.claims import Claim, ClaimAnswer

KEY = 'ab' * 20


MINE = Claim(7, 1, KEY, 'agent-1', 'i1', 3)


OTHER = Claim(5, 0, KEY, 'agent-2', 'i2', 9)


OUTCOME = OutcomeRecord(KEY, 5, 0, 201, (('a', 'b'),), b'booked')


def make_replica(agent: str = 'agent-1', incarnation: str = 'i1') -> Replica:
    return Replica(
        agent=agent,
        address='',
        incarnation=incarnation,
        backend=BackendKind.PLAIN,
        service='taquilla',
        data_centre='',
        phase=AgentPhase.SERVING,
        load=Load(),
        beat=3,
        heard=0.0,
    )


def make_budget(burst: float) -> RetryBudget:
    return RetryBudget(RetrySettings(burst=burst), Random(1))


class Case:
    """Feed events to one state machine and keep its latest actions."""

    def __init__(
        self,
        *,
        idempotent=False,
        resumable=False,
        key='',
        verdict=None,
        burst=20.0,
        budget=None,
        **settings,
    ):
        facts = RequestFacts(
            request='r1',
            team='team-1',
            service='taquilla',
            digest='d',
            appender='entry-1',
            idempotent=idempotent,
            key=key,
            resumable=resumable,
        )
        self.machine = RequestStateMachine(
            facts,
            settings=AttemptSettings(**settings),
            budget=budget or make_budget(burst),
        )
        if key and verdict is None:
            verdict = Free()
        self.actions = self.machine.start(0.0, verdict)
        self.attempt = 0

    def on(self, event):
        self.actions = self.machine.handle_event(event, 0.0)
        for action in self.actions:
            if isinstance(action, ev.SendDispatch | ev.SendResume):
                self.attempt = action.attempt
        return self

    def route(self, agent='agent-1', incarnation='i1'):
        replica = make_replica(agent, incarnation)
        return self.on(ev.Routed(Plan(agent, ''), replica))

    def claim(self, verdict=None, number=1):
        settled = ev.ClaimSettled(f'r1.{number}', verdict or Owned(MINE))
        return self.on(settled)

    def fail(self, kind, ran):
        return self.on(
            ev.MessageReceived(Failed('r1', self.attempt, kind, ran))
        )

    def head(self, resume=''):
        head = AnswerHead('r1', self.attempt, 201, (('a', 'b'),), resume)
        return self.on(ev.MessageReceived(head))

    def chunk(self, data=b'booked'):
        return self.on(
            ev.MessageReceived(AnswerChunk('r1', self.attempt, 0, data))
        )

    def end(self):
        return self.on(
            ev.MessageReceived(AnswerEnd('r1', self.attempt, 1, b''))
        )

    def answer(self, state, claim=MINE, status=201, body=b'booked'):
        answer = ClaimAnswer('r1', claim, state, status, (('a', 'b'),), body)
        return self.on(ev.ClaimAnswered(answer))

    def fire(self):
        """Fire the timer that was started last."""
        timer = self.find(ev.StartTimer)
        return self.on(ev.TimerFired(timer.kind, timer.number))

    def find(self, kind):
        found = [action for action in self.actions if isinstance(action, kind)]
        assert found, (kind, self.actions)
        return found[-1]

    def refusal(self):
        assert self.machine.done
        refuse = self.find(ev.Refuse)
        return refuse.kind, refuse.ran


def make_run(**changes) -> Case:
    return Case(**changes).route()


def make_claimed_run() -> Case:
    return Case(key=KEY).route().claim()
