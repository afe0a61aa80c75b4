"""Limit retries to a small share of first attempts.

Entries that share a limit divide it by the count of entries.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.presence import EntryCount

# Share of the operators' retry limits that is used, as a safety margin.
_USED_SHARE = 0.8
_RETRY_DELAY: Millis = 5.0


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
    BUCKET = 'bucket'
    RESERVED = 'reserved'
    COPY = 'copy'


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
        self._denied = 0

    @property
    def settings(self) -> RetrySettings:
        """Return the settings in force."""
        return self._settings

    @property
    def tokens(self) -> float:
        """Return the number of retries left, which may be fractional."""
        return self._tokens

    @property
    def denied(self) -> int:
        """Return the number of retries that the budget has refused."""
        return self._denied

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
            self._denied += 1
            return False
        self._tokens -= 1
        return True

    def try_withdraw_for_copy(self) -> bool:
        """Take one retry of a lost run that goes on at its copy."""
        return self.try_withdraw()

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

    Within any `window` they are at most `share` of its requests plus `slack`.
    """

    share: float = 0.2
    slack: float = 50.0
    window: Millis = 10 * SECOND


class RetryShares:
    """The retry budgets of one entry, by service."""

    def __init__(
        self,
        entries: EntryCount,
        find_limits: Callable[[], RetryLimits],
        random: Random,
    ) -> None:
        self._entries = entries
        self._find_limits = find_limits
        self._random = random
        self._budgets: dict[str, RetryBudget] = {}

    def find(self, service: str, now: Millis) -> RetryBudget:
        """Return this entry's budget for a service."""
        if service not in self._budgets:
            # A process can't know what the last one of its entry has used, so
            # it earns its tokens: all live processes together hold no more
            # than the slack.
            self._budgets[service] = RetryBudget(
                self.make_settings(now), self._random, tokens=0.0
            )
        return self._budgets[service]

    def list_budgets(self) -> Iterable[tuple[str, RetryBudget]]:
        """Return the budgets with their services."""
        return self._budgets.items()

    def resize(self, now: Millis) -> float:
        """Resize all budgets to the number of live entries.

        Return the burst of each.
        """
        settings = self.make_settings(now)
        for budget in self._budgets.values():
            budget.resize(settings)
        return settings.burst

    def make_settings(self, now: Millis) -> RetrySettings:
        """Return this entry's share of the limits."""
        limits = self._find_limits()
        slack = limits.slack * _USED_SHARE
        return RetrySettings(
            share=limits.share * _USED_SHARE,
            burst=max(slack / self._entries.count(now), 1.0),
            base_delay=_RETRY_DELAY,
        )
