"""Lead one request at an entry from its arrival to its answer."""

from __future__ import annotations

from dataclasses import dataclass

from oleanderdyke.clock import HOUR, SECOND, Millis
from oleanderdyke.kernel.attempt_events import Action, Event
from oleanderdyke.kernel.claims import Verdict
from oleanderdyke.kernel.retries import RetryBudget


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """Hold what stays the same through a request.

    `key` is the claim key of `make_key`, empty without an Idempotency-Key.
    `suspect` tells that the entry's quarantine suspects the digest.
    """

    request: str
    team: str
    service: str
    digest: str
    appender: str
    idempotent: bool
    key: str = ''
    horizon: Millis = 24 * HOUR
    suspect: bool = False


@dataclass(frozen=True, slots=True)
class MachineSettings:
    """Bound the waits and tries of one request."""

    claim_wait: Millis = 2 * SECOND
    receipt_wait: Millis = 1 * SECOND
    ask_wait: Millis = 1 * SECOND
    poll_wait: Millis = 250.0
    linger: Millis = 60 * SECOND
    max_attempts: int = 4
    max_asks: int = 4
    max_alone_tries: int = 40


class RequestMachine:
    """Answer events of one request with actions.

    It is the only place that decides on retries, `ran` and the final answer.
    """

    def __init__(
        self,
        facts: RequestFacts,
        *,
        settings: MachineSettings,
        budget: RetryBudget,
    ) -> None:
        raise NotImplementedError

    @property
    def done(self) -> bool:
        """Tell whether nothing follows."""
        raise NotImplementedError

    def start(
        self, now: Millis, verdict: Verdict | None = None
    ) -> tuple[Action, ...]:
        """Begin; a keyed request gives `ClaimTable.verdict` of its key."""
        raise NotImplementedError

    def on(self, event: Event, now: Millis) -> tuple[Action, ...]:
        """Answer one event."""
        raise NotImplementedError
