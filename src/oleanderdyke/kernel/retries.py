"""Keep retries a small share of fresh requests."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from oleanderdyke.clock import SECOND, Millis


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Bound the retries over the whole path.

    Each fresh request earns `share` of a retry, up to `burst`.
    """

    share: float = 0.1
    burst: float = 20.0
    base_delay: Millis = 20.0
    max_delay: Millis = 1 * SECOND


class RetryBudget:
    """Spend retries from a token bucket that fresh requests fill."""

    def __init__(self, settings: RetrySettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._tokens = settings.burst

    @property
    def tokens(self) -> float:
        """Return how many retries are left."""
        return self._tokens

    def resize(self, settings: RetrySettings) -> None:
        """Take other bounds; what is over them is lost."""
        self._settings = settings
        self._tokens = min(self._tokens, settings.burst)

    def deposit(self) -> None:
        """Count a fresh request."""
        self._tokens = min(
            self._settings.burst, self._tokens + self._settings.share
        )

    def try_withdraw(self) -> bool:
        """Spend one retry, or tell that none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def delay(self, retry: int) -> Millis:
        """Return a jittered delay before the given retry, counted from 1."""
        ceiling = min(
            self._settings.max_delay,
            self._settings.base_delay * 2 ** (retry - 1),
        )
        return self._random.uniform(0, ceiling)


def make_retry_budget(settings: RetrySettings, random: Random) -> RetryBudget:
    """Build a full budget."""
    return RetryBudget(settings, random)
