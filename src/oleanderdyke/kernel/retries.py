"""Limit retries to a small share of first attempts.

Entries that share a limit divide it by the count of entries.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.outstanding_sends import (
    LONG_UNREAD,
    OutstandingSends,
    RequestSends,
)
from oleanderdyke.kernel.presence import EntryCount
from oleanderdyke.kernel.scheduling.ranks import count_ahead
from oleanderdyke.kernel.servers import ServerStart

# Share of the operators' retry limits that is used, as a safety margin.
_USED_SHARE = 0.8
_RETRY_DELAY: Millis = 5.0
# Retries that an entry may save up if it has no share of the slack.
LEAST_BURST = 1.0
# Sends that were given up long ago hold at most this share of the burst, and
# leave one retry: they likely never arrive.
_AGED_SHARE = 0.5
# Share of the slack that is set aside for starts, one retry for each.
_START_SHARE = 0.1
_START_RETRIES = 1.0
# What entries are ranked for if there are more of them than retries.
_RANKED = 'retries'
# A share is computed again after this time, as each request asks for it.
_SETTINGS_AGE: Millis = 100.0


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Limit the number of retries and the delays before them.

    Each new request adds `share` of a retry to the budget, up to `burst`.
    """

    share: float = 0.1
    burst: float = 20.0
    base_delay: Millis = 20.0
    max_delay: Millis = 1 * SECOND


class RetrySource(enum.StrEnum):
    """What a retry was taken from."""

    NONE = 'none'
    UNSENT = 'unsent'
    BUCKET = 'bucket'
    RESERVED = 'reserved'
    COPY = 'copy'


def find_most_aged(burst: float) -> float:
    """Return how much of a burst is held by sends given up long ago."""
    return max(min(burst * _AGED_SHARE, burst - 1), 0.0)


class RetryAllowance(Protocol):
    """What one request asks for its retries."""

    @property
    def tokens(self) -> float:
        """Return the number of retries left, which may be fractional."""

    def deposit(self) -> None:
        """Add the share of one new request."""

    def try_withdraw(self) -> bool:
        """Take one retry; return False if none is left."""

    def try_withdraw_for_copy(self) -> bool:
        """Take one retry of a lost run that goes on at its copy."""

    def delay(self, retry: int) -> Millis:
        """Return a random exponential backoff; `retry` counts from 1."""


class RetryBudget:
    """Limit retries by a token bucket that new requests refill.

    It begins with `tokens`, or else with a full burst.
    """

    def __init__(
        self,
        settings: RetrySettings,
        random: Random,
        *,
        tokens: float | None = None,
    ) -> None:
        self._settings = settings
        self._random = random
        self._tokens = settings.burst if tokens is None else tokens

    @property
    def settings(self) -> RetrySettings:
        """Return the settings in force."""
        return self._settings

    @property
    def tokens(self) -> float:
        """Return the number of retries left, which may be fractional."""
        return self._tokens

    def resize(self, settings: RetrySettings) -> None:
        """Change the settings; tokens above the new burst are lost."""
        self._settings = settings
        self._tokens = min(self._tokens, settings.burst)

    def deposit(self) -> None:
        """Add the share of one new request."""
        self._tokens = min(
            self._settings.burst, self._tokens + self._settings.share
        )

    def try_withdraw(self) -> bool:
        """Take one retry from the budget; return False if none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def try_withdraw_for_copy(self) -> bool:
        """Take one retry of a lost run that goes on at its copy."""
        return self.try_withdraw()

    def refund(self) -> None:
        """Give back a retry that was taken and not sent."""
        self._tokens = min(self._settings.burst, self._tokens + 1)

    def delay(self, retry: int) -> Millis:
        """Return a random exponential backoff; `retry` counts from 1."""
        ceiling = min(
            self._settings.max_delay,
            self._settings.base_delay * 2 ** (retry - 1),
        )
        return self._random.uniform(0, ceiling)


def make_retry_budget(settings: RetrySettings, random: Random) -> RetryBudget:
    """Build a budget with a full burst of retries."""
    return RetryBudget(settings, random)


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limit the retries of all entries together to a service.

    Within any window they are at most `share` of its requests plus `slack`.
    """

    share: float = 0.2
    slack: float = 50.0


@dataclass(frozen=True, slots=True)
class StartGrants:
    """Decide which starts of entries begin with a retry.

    All starts have places in one order, in which the platform keeps them for a
    while; of those that it keeps, `most` begin with one.
    """

    most: int

    def find_earlier(self, place: int) -> int | None:
        """Return the start that must have expired, None if there is none."""
        earlier = place - self.most
        return earlier if earlier >= 0 else None

    def may_grant(self, *, has_expired: bool) -> bool:
        """Return whether a start begins with a retry.

        The clocks of machines may be apart by any time, so the platform tells
        whether the deciding start was long ago: it keeps it no more.
        """
        return bool(self.most) and has_expired


class SharedBudget(RetryBudget):
    """A budget whose size follows the share of its entry at each use.

    It begins empty but for a retry of its start. A process can't know what the
    last one of its entry has used, so it earns its tokens: those that began
    before a window together bring no more than the slack into it. Nor can it
    know what that one has left unread, so it saves up little while
    `may_have_earlier` is true.

    Tokens and the sends that may still arrive as repeats together never exceed
    the burst. So the repeats that arrive within a window are at most one burst
    and the share of its requests, however long servers leave them unread.
    """

    def __init__(
        self,
        find_settings: Callable[[], RetrySettings],
        random: Random,
        sends: OutstandingSends,
        *,
        tokens: float = 0.0,
        may_have_earlier: Callable[[], bool] = bool,
    ) -> None:
        super().__init__(find_settings(), random, tokens=tokens)
        self.find_settings = find_settings
        self._sends = sends
        self._may_have_earlier = may_have_earlier

    @property
    def settings(self) -> RetrySettings:
        """Return the settings in force."""
        self._fit()
        return super().settings

    @property
    def tokens(self) -> float:
        """Return the number of retries left, which may be fractional."""
        self._fit()
        return super().tokens

    def deposit(self) -> None:
        """Add the share of one new request."""
        self.add(self.find_settings().share)

    def try_withdraw(self) -> bool:
        """Take one retry from the budget; return False if none is left."""
        self._fit()
        return super().try_withdraw()

    def refund(self) -> None:
        """Give back a retry that was taken and not sent."""
        self.add(1)

    def add(self, tokens: float) -> None:
        """Add retries, up to the burst."""
        self._tokens += tokens
        self._fit()

    def _fit(self) -> None:
        """Drop the tokens that exceed the burst together with sends."""
        self._settings = self.find_settings()
        burst = self._settings.burst
        if self._may_have_earlier():
            burst = min(burst, LEAST_BURST)
        if self._sends.repeats:
            held = self._sends.count_repeats(find_most_aged(burst))
            burst = max(burst - held, 0.0)
        self._tokens = min(self._tokens, burst)


class RequestRetries:
    """The retries of one request, and what became of its sends.

    A send after one that was never written is no repeat.
    """

    def __init__(self, budget: RetryBudget, sends: RequestSends) -> None:
        self._budget = budget
        self.sends = sends

    @property
    def tokens(self) -> float:
        """Return the number of retries left, which may be fractional."""
        return self._budget.tokens

    def find_source(self, taken_from: RetrySource) -> RetrySource:
        """Return what pays for the planned send, taken from a source."""
        return taken_from if self.sends.is_paid else RetrySource.UNSENT

    def deposit(self) -> None:
        """Add the share of one new request."""
        self._budget.deposit()

    def try_withdraw(self) -> bool:
        """Take one retry; return False if none is left."""
        return self._plan(self._budget.try_withdraw)

    def try_withdraw_for_copy(self) -> bool:
        """Take one retry of a lost run that goes on at its copy."""
        return self._plan(self._budget.try_withdraw_for_copy)

    def delay(self, retry: int) -> Millis:
        """Return a random exponential backoff; `retry` counts from 1."""
        return self._budget.delay(retry)

    def _plan(self, withdraw: Callable[[], bool]) -> bool:
        """Plan another send, which is free if it is the first to arrive."""
        is_free = self.sends.is_unsent
        if not is_free and not withdraw():
            return False
        self.sends.plan(is_paid=not is_free)
        return True


class RetryShares:
    """The retry budgets of one entry, named `own`, by service."""

    def __init__(
        self,
        own: str,
        entries: EntryCount,
        find_limits: Callable[[], RetryLimits],
        *,
        random: Random,
        now: Callable[[], Millis],
        is_leaving: Callable[[], bool] = bool,
    ) -> None:
        self._own_name = own
        self._entries = entries
        self._find_limits = find_limits
        self._random = random
        self._now = now
        self._is_leaving = is_leaving
        self._started_at = now()
        self._is_first_process = False
        self._budgets: dict[str, SharedBudget] = {}
        self._first_tokens = 0.0
        self._sends: dict[str, OutstandingSends] = {}
        self._settings: RetrySettings | None = None
        self._found_at: Millis = -math.inf

    def find(self, service: str) -> RetryBudget:
        """Return this entry's budget for a service."""
        if service not in self._budgets:
            self._budgets[service] = SharedBudget(
                self.find_settings,
                self._random,
                self.find_sends(service),
                tokens=self._first_tokens,
                may_have_earlier=self.may_have_earlier,
            )
        return self._budgets[service]

    def make_start_grants(self) -> StartGrants:
        """Build the rule by which starts of entries begin with a retry."""
        return StartGrants(int(self._find_limits().slack * _START_SHARE))

    def grant_start(self) -> None:
        """Let this process begin with a retry for each service."""
        self._first_tokens = _START_RETRIES
        for budget in self._budgets.values():
            budget.add(_START_RETRIES)

    def record_first_process(self) -> None:
        """Record that no other process of this entry ran before this one."""
        self._is_first_process = True

    def may_have_earlier(self) -> bool:
        """Return whether servers may hold sends of an earlier process.

        Answers to this one tell nothing of those, which came over connections
        of their own.
        """
        if self._is_first_process:
            return False
        return self._now() - self._started_at < LONG_UNREAD

    def find_sends(self, service: str) -> OutstandingSends:
        """Return this entry's sends to a service that may still arrive."""
        if service not in self._sends:
            self._sends[service] = OutstandingSends(self._now)
        return self._sends[service]

    def open_request(self, service: str, budget: RetryBudget) -> RequestRetries:
        """Return the retries of a new request, paid for by a budget."""
        sends = self.find_sends(service).open(budget.refund)
        return RequestRetries(budget, sends)

    def record_ended(self, start: ServerStart) -> None:
        """Record that a start of a server has ended: nothing arrives there."""
        for sends in self._sends.values():
            sends.record_ended(start)

    def list_budgets(self) -> Iterable[tuple[str, RetryBudget]]:
        """Return the budgets with their services."""
        return self._budgets.items()

    def find_settings(self) -> RetrySettings:
        """Return this entry's share of the limits."""
        now = self._now()
        if self._settings is None or now - self._found_at >= _SETTINGS_AGE:
            self._settings = self._make_settings(now)
            self._found_at = now
        return self._settings

    def _make_settings(self, now: Millis) -> RetrySettings:
        limits = self._find_limits()
        return RetrySettings(
            share=limits.share * _USED_SHARE,
            burst=self._find_burst(limits.slack * _USED_SHARE, now),
            base_delay=_RETRY_DELAY,
        )

    def _find_burst(self, slack: float, now: Millis) -> float:
        """Return the retries that this entry may save up for a service."""
        count = self._entries.count(now)
        # The next process of a leaving entry has its share.
        has_share = self._entries.is_counted(now) and not self._is_leaving()
        if math.isinf(count) or not has_share:
            return LEAST_BURST if slack >= LEAST_BURST else 0.0
        if slack >= count:
            return slack / count
        # More entries than retries: those that rank first have one each.
        ahead = count_ahead(
            _RANKED,
            self._own_name,
            known=self._entries.list_known(),
            count=count,
        )
        return LEAST_BURST if ahead + 1 <= slack else 0.0
