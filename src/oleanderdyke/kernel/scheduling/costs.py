"""The cost of sending a call to an engine whose load all entries share."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Protocol

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.scheduling.speeds import SpeedView
from oleanderdyke.kernel.scheduling.work import NO_WORK, ServerWork, WorkView
from oleanderdyke.kernel.servers import ModelDemand, ServerStart


@dataclass(frozen=True, slots=True)
class PricedCall:
    """Describe a call of a model whose cost at one server is asked for.

    `missing` prompt tokens are neither cached at the server nor fetchable,
    `fetched` ones come from a context store. `target` is the longest time to
    the first byte that counts as on time. The run needs `memory` tokens of
    engine memory. `work` is in flight at the server, which takes `read_time` to
    prefill a token and `step` to generate one.
    """

    service: str
    route: str
    team: str
    rank: int
    model: ModelDemand
    data_centre: str
    target: Millis
    missing: int = 0
    fetched: int = 0
    memory: float = 0.0
    work: ServerWork = NO_WORK
    read_time: Millis = 0.0
    step: Millis = 0.0


class FirstByteEstimate(Protocol):
    """Estimate the time to the first byte of a call at a server."""

    def estimate_first_byte(
        self, call: PricedCall, backend: Backend, now: Millis
    ) -> Millis:
        """Return the expected time to the first byte."""


class CostTerm(Protocol):
    """Add what a choice costs beyond the delay of the call itself."""

    def find_cost(
        self, call: PricedCall, backend: Backend, now: Millis
    ) -> Millis:
        """Return the cost in milliseconds of expected delay."""


class Draw(Protocol):
    """Choose among servers by their scores."""

    def choose(self, scores: Sequence[Millis], tolerance: Millis) -> int:
        """Return the index of a score, the lowest or one not much higher."""


@dataclass(frozen=True, slots=True)
class Costs:
    """Replace the usual score of engines for one call.

    `pool` holds the engines that are kept for its kind, None without pools.
    """

    service: str
    route: str
    team: str
    rank: int
    data_centre: str
    target: Millis
    first_byte: FirstByteEstimate
    view: WorkView
    speeds: SpeedView
    memory: float = 0.0
    terms: Sequence[CostTerm] = ()
    draw: Draw | None = None
    pool: frozenset[ServerStart] | None = None

    def price(
        self,
        model: ModelDemand,
        backend: Backend,
        now: Millis,
        *,
        fetched: int,
        missing: int,
    ) -> PricedCall:
        """Describe the call at a server that lacks so much of its prompt."""
        return PricedCall(
            service=self.service,
            route=self.route,
            team=self.team,
            rank=self.rank,
            model=model,
            data_centre=self.data_centre,
            target=self.target,
            missing=missing,
            fetched=fetched,
            memory=self.memory,
            work=self.view.find_work(backend.record.start, now),
            read_time=self.speeds.estimate_read(backend, 1.0, now),
            step=self.speeds.estimate_step(backend, now),
        )

    def list_homes(self, backends: Iterable[Backend]) -> list[Backend]:
        """Return the engines that may keep the context of such calls."""
        return [
            backend
            for backend in backends
            if self.pool is None or backend.record.start in self.pool
        ]

    def estimate_first_byte(
        self, call: PricedCall, backend: Backend, now: Millis
    ) -> Millis:
        """Return the expected time to the first byte."""
        return self.first_byte.estimate_first_byte(call, backend, now)

    def find_score(
        self, call: PricedCall, backend: Backend, now: Millis
    ) -> Millis:
        """Return the sum of all terms; the lowest one is chosen."""
        return self.estimate_first_byte(call, backend, now) + sum(
            term.find_cost(call, backend, now) for term in self.terms
        )

    def choose(
        self,
        call: PricedCall,
        scores: Sequence[Millis],
        backend: Backend,
        now: Millis,
    ) -> int:
        """Return the index of the chosen score, the lowest without a draw.

        `call` is priced at the `backend` with the lowest score.
        """
        if self.draw is None:
            return min(range(len(scores)), key=scores.__getitem__)
        estimate = self.first_byte.estimate_first_byte
        rest = replace(call, missing=0, fetched=0)
        added = estimate(call, backend, now) - estimate(rest, backend, now)
        return self.draw.choose(scores, added)
