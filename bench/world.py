"""Simulate a deployment with engines, a store, links and callers."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace
from random import Random

from bench.agent import EngineAgent, StoreNode
from bench.caches import EngineCache
from bench.callers import CallerHabits, Outcome
from bench.engine import BACKGROUND, Engine, Job
from bench.events import Events
from bench.history import make_chooser, warm
from bench.link import Link
from bench.parts import SERVICE, STORE, Entry, Lags, Request
from bench.reporting import Reporter
from bench.system import System
from bench.workload import Deployment, Visit, change_version
from oleanderdyke.clock import HOUR, SECOND, Millis
from oleanderdyke.kernel.demand import (
    SEGMENT_TOKENS,
    Admitted,
    Demand,
    Queued,
    Refusal,
    Router,
    SegmentHint,
)
from oleanderdyke.policies.registries import ADMISSIONS, ROUTERS, TeamTerms
from oleanderdyke.policies.routing import make_costs
from oleanderdyke.policies.settings import PRESETS

_ENTRY_COUNT = 3
_RELEASE_INTERVAL: Millis = 50.0
_REFUSED_CONNECTION_DELAY: Millis = 5.0
_MAX_ATTEMPTS = 3
_BACKGROUND_TIME_LIMIT: Millis = 10 * HOUR


class World:
    """Run the policies of one system in virtual time."""

    def __init__(
        self,
        deployment: Deployment,
        system: System,
        seed: int,
        *,
        lags: Lags | None = None,
        habits: CallerHabits | None = None,
        make_router: Callable[[World], Router] | None = None,
    ) -> None:
        self.deployment = deployment
        self.system = system
        self.events = Events()
        self.lags = lags or Lags()
        self.habits = habits or CallerHabits()
        self.settings = PRESETS[deployment.name]
        self.random = Random(f'world-{seed}')
        self.outcomes: list[Outcome] = []
        self.version = 0
        self.agents: dict[str, EngineAgent] = {}
        self._running: dict[str, Request] = {}
        self._router_factory = make_router
        self._start_totals = 0.0, 0.0
        self._build(seed)

    def load_window(self, visits: Sequence[Visit]) -> None:
        """Schedule the arrivals of visits."""
        for visit in visits:
            self.events.add(visit.at, self._arrive, visit)

    def run(self, until: Millis) -> None:
        """Process the events up to a time."""
        self.events.run(until)

    def start_measuring(self) -> None:
        """Start counting link bytes and background tokens."""
        self._start_totals = self._sum_link(), self._sum_background()

    def measure_link(self) -> float:
        """Return the link bytes since the start of measuring."""
        return self._sum_link() - self._start_totals[0]

    def count_background(self) -> float:
        """Return the background tokens since the start of measuring."""
        return self._sum_background() - self._start_totals[1]

    def _sum_link(self) -> float:
        return sum(each.link_bytes for each in self.agents.values())

    def _sum_background(self) -> float:
        engines = (each.engine for each in self.agents.values())
        return sum(each.background_tokens for each in engines)

    def crash(self, name: str) -> None:
        """Crash an engine and its agent; retry the requests that it runs."""
        agent = self.agents[name]
        agent.engine.crash()
        agent.drop_all()
        self.reporter.schedule_removal(name)
        for request in list(self._running.values()):
            if request.engine == name:
                self.events.add(0.0, self._handle_failure, request)

    def restart(self, name: str) -> None:
        """Restart a crashed engine with empty caches."""
        agent = self.agents[name]
        agent.engine.up = True
        agent.engine.life += 1
        self.reporter.report(name)

    def lose_store(self) -> None:
        """Stop the store for the rest of the run."""
        self.store.up = False
        for agent in self.agents.values():
            agent.lose_store(self.store)
        self.reporter.schedule_store_removal()

    def reload(self, name: str, version: int, time: Millis) -> None:
        """Drain an engine and load other weights, ready after `time`."""
        self.reporter.start_draining(name)
        self.events.add(time, self._end_reload, name, version)

    def _end_reload(self, name: str, version: int) -> None:
        self.agents[name].engine.cache.clear()
        self.reporter.finish_reload(name, version)

    def change_version(self, version: int) -> None:
        """Require another weight version for new requests."""
        self.version = version

    def _build(self, seed: int) -> None:
        deployment = self.deployment
        history = warm(deployment.name, self.system, seed)
        self.chooser = make_chooser(self.system, self.settings)
        if history.chooser is not None:
            self.chooser = history.chooser
        link = Link(self.events, deployment.link_rate)
        self.store = StoreNode(STORE, history.store, link)
        for index, cache in enumerate(history.engines):
            self.agents[f'engine-{index}'] = self._make_agent(cache)
        self.reporter = Reporter(
            self.events,
            deployment,
            self.lags,
            perfect=self.system.perfect,
            agents=self.agents,
            store=self.store,
            record_segments_removed=self._record_segments_removed,
        )
        self.fleet = self.reporter.fleet
        self.reporter.publish(STORE, history.store)
        for name, agent in self.agents.items():
            self.reporter.publish(name, agent.engine.cache)
        self.entries = self._make_entries(seed)
        self.reporter.report_all()
        self._release_all()

    def _make_agent(self, cache: EngineCache) -> EngineAgent:
        deployment = self.deployment
        engine = Engine(
            self.events,
            cache,
            rate=deployment.prefill_rate,
            slots=deployment.slots,
            step=deployment.step,
        )
        costs = make_costs(self.settings)
        return EngineAgent(
            self.events,
            engine,
            costs=costs if self.system.drops_fetches else None,
            rate=deployment.prefill_rate,
            segment_bytes=SEGMENT_TOKENS * deployment.kv_bytes_per_token,
        )

    def _make_entries(self, seed: int) -> list[Entry]:
        count = 1 if self.system.perfect else _ENTRY_COUNT
        settings = replace(self.settings, entries=count)
        centres = self.deployment.data_centres
        return [
            Entry(
                self._make_router(),
                ADMISSIONS.find(self.system.admission)(settings, _find_terms),
                Random(f'entry-{seed}-{index}'),
                centres[index % len(centres)],
            )
            for index in range(count)
        ]

    def _make_router(self) -> Router:
        if self._router_factory is not None:
            return self._router_factory(self)
        return ROUTERS.find(self.system.router)(self.settings)

    def _record_segments_removed(
        self, name: str, removed: Sequence[SegmentHint]
    ) -> None:
        for entry in self.entries:
            entry.router.record_segments_removed(name, removed)

    def _release_all(self) -> None:
        for entry in self.entries:
            self._release(entry)
        self.events.add(_RELEASE_INTERVAL, self._release_all)

    def _arrive(self, visit: Visit) -> None:
        time_limit = _BACKGROUND_TIME_LIMIT
        if not visit.background:
            time_limit = self.deployment.deadline
        outcome = Outcome(visit, visit.at + time_limit)
        self.outcomes.append(outcome)
        self._submit(outcome)

    def _submit(self, outcome: Outcome) -> None:
        outcome.tries += 1
        entry = self.random.choice(self.entries)
        visit = outcome.visit
        name = f'{visit.number}-{outcome.tries}'
        segments = visit.segments
        if self.version:
            segments = change_version(segments, self.version)
        demand = Demand(
            request=name,
            team=visit.team,
            service=SERVICE,
            deadline=outcome.deadline,
            tokens=visit.tokens,
            answer_tokens=visit.answer_tokens,
            segments=segments,
            weight_digest=f'w{self.version}',
            background=visit.background,
            data_centre=entry.data_centre,
        )
        request = Request(name, outcome, demand, entry)
        decision = entry.admission.admit(demand, self.fleet, self.events.now)
        self._apply_decision(request, decision)

    def _apply_decision(
        self, request: Request, decision: Admitted | Queued | Refusal
    ) -> None:
        match decision:
            case Admitted():
                self._dispatch(request)
            case Queued():
                request.entry.held[request.name] = request
            case Refusal():
                self._refuse(request.outcome, decision.retry_after)

    def _release(self, entry: Entry) -> None:
        if not entry.held:
            return
        now = self.events.now
        for name, decision in entry.admission.release(self.fleet, now):
            self._apply_decision(entry.held.pop(name), decision)

    def _refuse(self, outcome: Outcome, after: Millis) -> None:
        """Schedule the caller's next try, or give up."""
        outcome.refused += 1
        habits = self.habits
        tries = habits.tries
        if habits.impatient:
            after, tries = habits.impatient_wait, habits.impatient_tries
        after *= 1 + 0.1 * self.random.random()
        late = self.events.now + after >= outcome.deadline
        if late or outcome.tries >= tries:
            outcome.failed = True
            return
        self.events.add(after, self._submit, outcome)

    def _dispatch(self, request: Request, *excluded: str) -> None:
        entry = request.entry
        now = self.events.now
        plan = entry.router.choose(
            request.demand,
            self.fleet,
            now,
            entry.random,
            exclude=frozenset(excluded),
        )
        if isinstance(plan, Refusal):
            entry.admission.record_finished(request.name, now)
            self._refuse(request.outcome, plan.retry_after)
            return
        entry.router.record_sent(request.demand, plan, now)
        entry.admission.record_sent(request.demand, plan, now)
        request.plan = plan
        request.engine = plan.agent
        request.attempts += 1
        self._running[request.name] = request
        self.events.add(self.deployment.latency, self._send, request)

    def _send(self, request: Request) -> None:
        plan = request.plan
        assert plan is not None
        agent = self.agents[plan.agent]
        has_version = request.demand.weight_digest == (
            f'w{self.reporter.versions[plan.agent]}'
        )
        unavailable = plan.agent in self.reporter.leaving or not agent.engine.up
        if unavailable or not has_version:
            self.events.add(
                _REFUSED_CONNECTION_DELAY, self._handle_failure, request
            )
            return
        store = self.store if plan.store else None
        end = plan.cached + plan.fetched
        wanted = request.demand.segments[plan.cached : end]
        agent.run(self._make_job(request), store, wanted)

    def _make_job(self, request: Request) -> Job:
        demand = request.demand
        return Job(
            request=request.name,
            tokens=demand.tokens,
            answer_tokens=demand.answer_tokens,
            segments=demand.segments,
            priority=_get_priority(request),
            deadline=demand.deadline,
            on_first_token=lambda count: self._start_answer(request, count),
            on_finished=lambda: self._finish(request),
            on_late=lambda: self._fail_late(request),
        )

    def _start_answer(self, request: Request, computed: int) -> None:
        if request.done:
            return
        now = self.events.now
        outcome = request.outcome
        outcome.computed += computed
        outcome.first_token = now + self.deployment.latency
        request.entry.router.record_first_token(request.name, now)
        request.entry.admission.record_first_token(request.name, now)
        self._export(request)
        self._release(request.entry)

    def _export(self, request: Request) -> None:
        if self.system.exports == 'none':
            return
        segments = request.demand.segments
        count = len(segments)
        if self.chooser is not None:
            self.chooser.record_use(segments)
            count = self.chooser.count_worth_exporting(segments)
        held = self.fleet.count_leading(STORE, segments)
        if held < count and self.store.up:
            agent = self.agents[request.engine]
            agent.offer(self.store, segments[held:count])

    def _finish(self, request: Request) -> None:
        if request.done:
            return
        request.outcome.finished = self.events.now + self.deployment.latency
        self._close(request)

    def _fail_late(self, request: Request) -> None:
        if request.done:
            return
        request.outcome.failed = True
        self._close(request)

    def _close(self, request: Request) -> None:
        request.done = True
        self._running.pop(request.name, None)
        now = self.events.now
        request.entry.router.record_finished(request.name, now)
        request.entry.admission.record_finished(request.name, now)
        self._release(request.entry)

    def _handle_failure(self, request: Request) -> None:
        """Retry on another replica, as the work is idempotent, or give up."""
        if request.done:
            return
        now = self.events.now
        request.entry.router.record_finished(request.name, now)
        if request.attempts < _MAX_ATTEMPTS and now < request.outcome.deadline:
            self._dispatch(request, request.engine)
            return
        self._running.pop(request.name, None)
        request.done = True
        request.entry.admission.record_finished(request.name, now)
        self._refuse(request.outcome, SECOND)


def _get_priority(request: Request) -> int:
    if request.demand.background:
        return BACKGROUND
    return request.plan.priority if request.plan else 0


def _find_terms(team: str) -> TeamTerms:
    """Return the terms of a team; the two largest have twice the weight."""
    return TeamTerms(weight=2.0 if team in {'t0', 't1'} else 1.0)
