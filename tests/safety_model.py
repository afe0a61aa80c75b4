"""A small world of entries, agents and a log for the safety proofs.

Nothing happens by itself: a test picks which message arrives, which timer
fires and which process takes a step. So a pause is a process that is not
picked, and clocks are as far apart as the picks make them.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import ClassVar

from oleanderdyke.errors import ErrorKind, Ran
from oleanderdyke.kernel import attempt_events as ev
from oleanderdyke.kernel.attempts import (
    AttemptSettings,
    RequestFacts,
    RequestStateMachine,
)
from oleanderdyke.kernel.claim_records import (
    ClaimsRecord,
    encode_batch,
    make_key,
)
from oleanderdyke.kernel.claim_runs import RunAnswer
from oleanderdyke.kernel.claims import ClaimTable, Free
from oleanderdyke.kernel.demand import Plan, Refusal, Replica
from oleanderdyke.kernel.gate import Accepted, Gate, GateSettings
from oleanderdyke.kernel.quarantine import QuarantineSettings, make_quarantine
from oleanderdyke.kernel.retries import RetryBudget, RetrySettings
from oleanderdyke.links.messages import (
    AgentPhase,
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    BackendKind,
    Dispatch,
    Failed,
    Load,
)
from oleanderdyke.links.messages.claims import ClaimQuery

SERVICE = 'taquilla'
MAX_AGE = 5
ENTRIES = ('entry-1', 'entry-2', 'entry-3')
AGENTS = ('agent-1', 'agent-2')
TEAMS = ('team-1', 'team-2')


class Violation(AssertionError):
    """Name the promise that was broken."""

    def __init__(self, promise: str, detail: object) -> None:
        super().__init__(f'{promise}: {detail}')
        self.promise = promise


@dataclass(frozen=True)
class Run:
    """One start of a dispatch at a backend server."""

    request: str
    team: str
    key: str
    idempotent: bool
    body: bytes


@dataclass
class Call:
    """One request of a caller and what the caller got."""

    request: str
    team: str
    key: str
    idempotent: bool
    body: bytes = b''
    whole: bool = False
    refusal: ev.Refuse | None = None


@dataclass
class Append:
    entry: str
    machine: str
    records: tuple[ClaimsRecord, ...]
    claim_id: str = ''
    is_outcome: bool = False
    through: int = -1


@dataclass
class Envelope:
    """A message on its way; what goes to an agent names its sender."""

    name: str
    incarnation: int
    message: object
    sender: tuple[str, int] = ('', 0)

    @property
    def to_agent(self) -> bool:
        return bool(self.sender[0])


@dataclass
class Variants:
    """The classes under test; proofs swap one for an unsafe one."""

    gate: type[Gate] = Gate
    table: type[ClaimTable] = ClaimTable
    machine: type[RequestStateMachine] = RequestStateMachine
    make_key: Callable[[str, str, str], str] = make_key


class Anyone:
    def allows(self, team: str, service: str) -> bool | None:
        return None


class ModelAgent:
    """An agent process; a replaced one may still wake up and act."""

    def __init__(self, world: World, name: str, incarnation: int) -> None:
        self.world = world
        self.name = name
        self.incarnation = incarnation
        self.beat = 1
        self.running: list[tuple[Dispatch, bytes, tuple[str, int]]] = []
        self.gate = world.variants.gate(
            name,
            str(incarnation),
            SERVICE,
            settings=GateSettings(max_age=MAX_AGE, claims=4),
            quarantine=make_quarantine(QuarantineSettings()),
            rights=Anyone(),
        )
        self.gate.set_phase(AgentPhase.SERVING)
        self.gate.record_heartbeat(1)

    def receive(self, envelope: Envelope) -> None:
        message = envelope.message
        if isinstance(message, ClaimQuery):
            answer = self.gate.answer_query(message)
            self._send(envelope.sender, ev.ClaimAnswered(answer))
        elif isinstance(message, Dispatch):
            self._admit(message, envelope.sender)
        elif isinstance(message, ev.SendCancel):
            self.gate.cancel(envelope.sender[0], message.attempt)

    def _admit(self, dispatch: Dispatch, sender: tuple[str, int]) -> None:
        result = self.gate.admit(dispatch, 0.0)
        if isinstance(result, Failed):
            self._send(sender, ev.MessageReceived(result))
        elif isinstance(result, Accepted):
            body = f'{dispatch.team}/run-{len(self.world.runs)}/'.encode()
            self.world.note_run(dispatch, body)
            self.running.append((dispatch, body, sender))

    def finish(self, index: int, *, cut: bool) -> None:
        dispatch, body, sender = self.running.pop(index % len(self.running))
        self.gate.finish(
            dispatch.request,
            dispatch.attempt,
            None if cut else RunAnswer(200, (), body + body),
        )
        events: list[ev.Event] = [
            ev.MessageReceived(
                AnswerHead(dispatch.request, dispatch.attempt, 200, ())
            ),
            ev.MessageReceived(
                AnswerChunk(dispatch.request, dispatch.attempt, 0, body)
            ),
        ]
        if cut:
            failed = Failed(
                dispatch.request,
                dispatch.attempt,
                ErrorKind.BACKEND_FAILED,
                Ran.YES,
            )
            events.append(ev.MessageReceived(failed))
        else:
            events += [
                ev.MessageReceived(
                    AnswerChunk(dispatch.request, dispatch.attempt, 1, body)
                ),
                ev.MessageReceived(
                    AnswerEnd(dispatch.request, dispatch.attempt, 2, b'')
                ),
            ]
        self._send(sender, *events)

    def tick(self, count: int) -> None:
        """Send heartbeats, which count as the agent's own time."""
        self.beat += count
        self.gate.record_heartbeat(self.beat)

    def crash(self) -> None:
        senders = {
            (d.request, d.attempt): sender for d, _, sender in self.running
        }
        self.running.clear()
        for failed in self.gate.finish_crashed(0.0):
            sender = senders[failed.request, failed.attempt]
            self._send(sender, ev.MessageReceived(failed))

    def _send(self, sender: tuple[str, int], *events: ev.Event) -> None:
        """Send one bundle; within a link the order is kept."""
        name, incarnation = sender
        self.world.network.append(Envelope(name, incarnation, tuple(events)))


class ModelEntry:
    """An entry process: performs the actions of its machines."""

    def __init__(self, world: World, name: str, incarnation: int) -> None:
        self.world = world
        self.name = name
        self.incarnation = incarnation
        self.table = world.variants.table()
        self.machines: dict[str, RequestStateMachine] = {}
        self.timers: list[tuple[str, ev.TimerFired]] = []
        self.claims: dict[str, tuple[str, str, str]] = {}
        self.view = {
            n: (a.incarnation, a.beat) for n, a in world.agents.items()
        }
        self.turn = 0
        random = Random(0)
        self.budget = RetryBudget(RetrySettings(burst=1000), random)
        self.read(limit=10_000)

    def call(self, call: Call, digest: str) -> None:
        key = ''
        if call.key:
            key = self.world.variants.make_key(call.team, SERVICE, call.key)
        machine = self.world.variants.machine(
            RequestFacts(
                request=call.request,
                team=call.team,
                service=SERVICE,
                digest=digest,
                appender=self.name,
                idempotent=call.idempotent,
                key=key,
                horizon=1e12,
            ),
            settings=AttemptSettings(max_queries=2),
            budget=self.budget,
        )
        self.machines[call.request] = machine
        verdict = self.table.get_verdict(key, digest) if key else None
        self._perform(call.request, machine.start(0.0, verdict))

    def tell(self, request: str, event: ev.Event) -> None:
        machine = self.machines.get(request)
        if machine is not None:
            self._perform(request, machine.handle_event(event, 0.0))

    def tell_all(self, event: ev.Event) -> None:
        for request in list(self.machines):
            self.tell(request, event)

    def read(self, limit: int) -> None:
        log = self.world.log
        if not log.up:
            return
        self.table.set_catch_up_target(log.end)
        start = max(self.table.next_offset, log.first)
        for offset in range(start, min(log.end, start + limit)):
            self.table.apply(offset, float(offset), log.records[offset])
        self.table.set_catch_up_target(log.end)
        self._settle()

    def _settle(self) -> None:
        for claim_id, (request, key, digest) in list(self.claims.items()):
            verdict = self.table.get_claim_verdict(claim_id, key, digest)
            if not isinstance(verdict, Free):
                del self.claims[claim_id]
                self.tell(request, ev.ClaimSettled(claim_id, verdict))

    def fire(self, index: int) -> None:
        request, event = self.timers.pop(index % len(self.timers))
        self.tell(request, event)

    def hear(self, agent: str) -> None:
        current = self.world.agents[agent]
        known, _ = self.view[agent]
        self.view[agent] = (current.incarnation, current.beat)
        if known != current.incarnation:
            self.tell_all(ev.IncarnationEnded(agent, str(known)))

    def _perform(self, request: str, actions: tuple[ev.Action, ...]) -> None:
        for action in actions:
            if type(action) in self.HANDLERS:
                self.HANDLERS[type(action)](self, request, action)

    def _do_route(self, request: str, action: ev.Route) -> None:
        names = [n for n in AGENTS if n not in action.exclude]
        if not names:
            refusal = Refusal(ErrorKind.NO_REPLICA, 'none', 0.0)
            self.tell(request, ev.NoRoute(refusal))
            return
        self.turn += 1
        name = names[self.turn % len(names)]
        incarnation, beat = self.view[name]
        replica = Replica(
            agent=name,
            address='',
            incarnation=str(incarnation),
            backend=BackendKind.PLAIN,
            service=SERVICE,
            data_centre='',
            phase=AgentPhase.SERVING,
            load=Load(),
            beat=beat,
            heard=0.0,
        )
        self.tell(request, ev.Routed(Plan(name, ''), replica))

    def _do_append_claim(self, request: str, action: ev.AppendClaim) -> None:
        record = action.record
        self.claims[record.claim_id] = (request, record.key, record.digest)
        records: tuple[ClaimsRecord, ...] = (record,)
        if action.release is not None:
            records = (action.release, record)
        self._append(request, records, claim_id=record.claim_id)

    def _do_append_release(
        self, request: str, action: ev.AppendRelease
    ) -> None:
        self._append(request, (action.record,))

    def _do_append_outcome(
        self, request: str, action: ev.AppendOutcome
    ) -> None:
        self._append(request, (action.record,), is_outcome=True)

    def _append(
        self,
        request: str,
        records: tuple[ClaimsRecord, ...],
        *,
        claim_id: str = '',
        is_outcome: bool = False,
    ) -> None:
        self.world.appends.append(
            Append(self.name, request, records, claim_id, is_outcome)
        )

    def _do_ask_claim(self, request: str, action: ev.QueryClaim) -> None:
        call = self.world.calls[request]
        query = ClaimQuery(request, call.team, action.claim)
        self._send(action.agent, action.claim.incarnation, query)

    def _do_send_dispatch(self, request: str, action: ev.SendDispatch) -> None:
        call = self.world.calls[request]
        dispatch = Dispatch(
            request=request,
            attempt=action.attempt,
            team=call.team,
            service=SERVICE,
            method='POST',
            path='/',
            headers=(),
            digest=request,
            deadline=0.0,
            idempotent=call.idempotent,
            offset=0,
            alone=action.alone,
            claim=action.claim,
            incarnation=action.incarnation,
            beat=action.beat,
        )
        self._send(action.agent, action.incarnation, dispatch)

    def _send(self, agent: str, incarnation: str, message: object) -> None:
        me = (self.name, self.incarnation)
        self.world.network.append(
            Envelope(agent, int(incarnation), message, me)
        )

    def _do_start_timer(self, request: str, action: ev.StartTimer) -> None:
        event = ev.TimerFired(action.kind, action.number)
        self.timers.append((request, event))

    def _do_deliver_chunk(self, request: str, action: ev.DeliverChunk) -> None:
        self.world.calls[request].body += action.data

    def _do_deliver_end(self, request: str, _action: ev.DeliverEnd) -> None:
        self.world.calls[request].whole = True

    def _do_refuse(self, request: str, action: ev.Refuse) -> None:
        self.world.calls[request].refusal = action

    def _do_done(self, request: str, _action: ev.Done) -> None:
        del self.machines[request]
        self.claims = {
            i: waits for i, waits in self.claims.items() if waits[0] != request
        }

    HANDLERS: ClassVar[dict[type, Callable[..., None]]] = {
        ev.Route: _do_route,
        ev.AppendClaim: _do_append_claim,
        ev.AppendRelease: _do_append_release,
        ev.AppendOutcome: _do_append_outcome,
        ev.QueryClaim: _do_ask_claim,
        ev.SendDispatch: _do_send_dispatch,
        ev.StartTimer: _do_start_timer,
        ev.DeliverChunk: _do_deliver_chunk,
        ev.DeliverEnd: _do_deliver_end,
        ev.Refuse: _do_refuse,
        ev.Done: _do_done,
    }


@dataclass
class ModelLog:
    records: list[bytes] = field(default_factory=list)
    first: int = 0
    up: bool = True

    @property
    def end(self) -> int:
        return len(self.records)


class World:
    """Everything there is, and the steps a test may take."""

    def __init__(self, variants: Variants | None = None) -> None:
        self.variants = variants or Variants()
        self.log = ModelLog()
        self.network: list[Envelope] = []
        self.appends: list[Append] = []
        self.runs: list[Run] = []
        self.calls: dict[str, Call] = {}
        self.covered = 0
        self.incarnations = 0
        self.agents = {name: self._make_agent(name) for name in AGENTS}
        self.replaced: list[ModelAgent] = []
        self.entries = {name: self._make_entry(name) for name in ENTRIES}

    def call(
        self, entry: str, team: str, key: str, *, idempotent: bool = False
    ) -> str:
        """Send a request; an entry that has not read the log refuses it."""
        if not self.entries[entry].table.caught_up:
            return ''
        request = f'r{len(self.calls)}'
        call = Call(request, team, key, idempotent)
        self.calls[request] = call
        self.entries[entry].call(call, digest='same')
        return request

    def deliver(self, index: int, *, keep: bool = False) -> None:
        """Let one message arrive; `keep` leaves a copy on the way."""
        index %= len(self.network)
        envelope = self.network[index]
        if not keep:
            del self.network[index]
        if envelope.to_agent:
            self._deliver_to_agent(envelope)
        else:
            self._deliver_to_entry(envelope)

    def lose(self, index: int) -> None:
        """Lose a message; its link is given up."""
        envelope = self.network.pop(index % len(self.network))
        if envelope.to_agent:
            name, incarnation = envelope.sender
            entry = self.entries[name]
            if entry.incarnation == incarnation:
                lost = ev.LinkLost(envelope.name, str(envelope.incarnation))
                entry.tell_all(lost)

    def lose_link(self, entry: str, agent: str) -> None:
        incarnation, _ = self.entries[entry].view[agent]
        self.entries[entry].tell_all(ev.LinkLost(agent, str(incarnation)))

    def take_effect(self, index: int, *, answer: bool) -> None:
        """Let one append happen, with or without its answer."""
        if not self.log.up:
            return
        append = self.appends.pop(index % len(self.appends))
        self.log.records.append(encode_batch(append.records))
        self.covered = max(self.covered, append.through + 1)
        if answer and append.is_outcome:
            entry = self.entries[append.entry]
            entry.tell(append.machine, ev.OutcomeRecorded())

    def fail_append(self, index: int) -> None:
        """Let one append surely not happen."""
        append = self.appends.pop(index % len(self.appends))
        entry = self.entries[append.entry]
        if append.claim_id:
            entry.claims.pop(append.claim_id, None)
            entry.tell(append.machine, ev.ClaimFailed(append.claim_id))
        if append.is_outcome:
            entry.tell(append.machine, ev.OutcomeFailed())

    def replace_agent(self, name: str) -> None:
        """Start a new incarnation; the old one may be only frozen."""
        self.replaced.append(self.agents[name])
        self.agents[name] = self._make_agent(name)

    def replace_entry(self, name: str) -> None:
        self.entries[name] = self._make_entry(name)

    def carry(self, entry: str) -> None:
        """Repeat every live claim, before the log forgets."""
        table = self.entries[entry].table
        if table.caught_up:
            records = table.list_due_renewals(float('inf'), 10_000)
            through = table.next_offset - 1
            append = Append(entry, '', tuple(records), through=through)
            self.appends.append(append)

    def forget(self) -> None:
        """Let the log forget what has been carried."""
        self.log.first = max(self.log.first, self.covered)

    def note_run(self, dispatch: Dispatch, body: bytes) -> None:
        key = self.calls[dispatch.request].key
        self.runs.append(
            Run(dispatch.request, dispatch.team, key, dispatch.idempotent, body)
        )

    def check(self) -> None:
        """Raise Violation where a promise is broken."""
        for check in CHECKS:
            check(self)

    def _deliver_to_agent(self, envelope: Envelope) -> None:
        agents = [*self.agents.values(), *self.replaced]
        for agent in agents:
            if (agent.name, agent.incarnation) == (
                envelope.name,
                envelope.incarnation,
            ):
                agent.receive(envelope)

    def _deliver_to_entry(self, envelope: Envelope) -> None:
        entry = self.entries[envelope.name]
        if entry.incarnation != envelope.incarnation:
            return
        assert isinstance(envelope.message, tuple)
        for event in envelope.message:
            entry.tell(find_request(event), event)

    def _make_agent(self, name: str) -> ModelAgent:
        self.incarnations += 1
        return ModelAgent(self, name, self.incarnations)

    def _make_entry(self, name: str) -> ModelEntry:
        self.incarnations += 1
        return ModelEntry(self, name, self.incarnations)


def find_request(event: ev.Event) -> str:
    if isinstance(event, ev.MessageReceived):
        return event.message.request
    assert isinstance(event, ev.ClaimAnswered)
    return event.answer.request


def check_one_run(world: World) -> None:
    counts: dict[tuple[str, str], int] = defaultdict(int)
    for run in world.runs:
        if not run.idempotent:
            counts[run.team, run.key or run.request] += 1
    for name, count in counts.items():
        if count > 1:
            raise Violation('at most once', name)


def check_not_run(world: World) -> None:
    ran = {run.request for run in world.runs}
    for call in world.calls.values():
        refusal = call.refusal
        if refusal and refusal.ran is Ran.NO and call.request in ran:
            raise Violation('not run', (call.request, refusal))


def check_same_answer(world: World) -> None:
    answers: dict[tuple[str, str], set[bytes]] = defaultdict(set)
    for call in world.calls.values():
        if call.whole and call.key and not call.idempotent:
            answers[call.team, call.key].add(call.body)
    for name, bodies in answers.items():
        if len(bodies) > 1:
            raise Violation('same answer', name)


def check_whole_answer(world: World) -> None:
    bodies = {run.body + run.body for run in world.runs}
    for call in world.calls.values():
        if call.whole and call.body not in bodies:
            raise Violation('whole answer', call.request)


def check_teams(world: World) -> None:
    for call in world.calls.values():
        other = next(team for team in TEAMS if team != call.team)
        if other.encode() in call.body:
            raise Violation('teams apart', call.request)


CHECKS = (
    check_one_run,
    check_not_run,
    check_same_answer,
    check_whole_answer,
    check_teams,
)
