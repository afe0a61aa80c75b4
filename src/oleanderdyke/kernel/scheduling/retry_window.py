"""Let copies of runs use the retries that were left over within a window.

The load it answers: an engine that crashes loses tens of runs at one moment,
while a bucket of retries that refills slowly holds one or two for each entry.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.retries import RetryBudget, RetrySettings


class WindowedBudget(RetryBudget):
    """Limit the retries of one service within any window.

    Usual retries also need a token of `budget`, which all retries share. The
    retries within a window never exceed the burst and the share of the
    requests within it, so that windows of the platform hold no more. What the
    bucket lacks at first may have been taken within the window, and counts.
    """

    def __init__(
        self, budget: RetryBudget, window: Millis, now: Callable[[], Millis]
    ) -> None:
        self._budget = budget
        self._window = window
        self._now = now
        self._requests: deque[Millis] = deque()
        taken = math.ceil(max(budget.settings.burst - budget.tokens, 0.0))
        self._spent: deque[Millis] = deque([now()] * taken)
        self._own_denied = 0

    @property
    def settings(self) -> RetrySettings:
        """Return the settings of the shared budget."""
        return self._budget.settings

    @property
    def tokens(self) -> float:
        """Return the number of usual retries left, which may be fractional."""
        return self._budget.tokens

    @property
    def denied(self) -> int:
        """Return the number of retries that either limit has refused."""
        return self._own_denied + self._budget.denied

    def resize(self, settings: RetrySettings) -> None:
        """Change the settings of the shared budget."""
        self._budget.resize(settings)

    def deposit(self) -> None:
        """Add the share of one new request."""
        self._budget.deposit()
        self._requests.append(self._now())
        self._forget_earlier()

    def try_withdraw(self) -> bool:
        """Take one usual retry; return False if none is left."""
        if not self._check_left() or not self._budget.try_withdraw():
            return False
        self._spent.append(self._now())
        return True

    def try_withdraw_for_copy(self) -> bool:
        """Take one retry that goes on at a copy; return False if none is left.

        It takes a token too, if there is one, to leave later ones no more.
        """
        if not self._check_left():
            return False
        if self._budget.tokens >= 1:
            self._budget.try_withdraw()
        self._spent.append(self._now())
        return True

    def delay(self, retry: int) -> Millis:
        """Return a random exponential backoff; `retry` counts from 1."""
        return self._budget.delay(retry)

    def _check_left(self) -> bool:
        is_left = self._has_left()
        self._own_denied += not is_left
        return is_left

    def _has_left(self) -> bool:
        self._forget_earlier()
        settings = self.settings
        most = settings.share * len(self._requests) + settings.burst
        return len(self._spent) + 1 <= most

    def _forget_earlier(self) -> None:
        start = self._now() - self._window
        for times in (self._requests, self._spent):
            while times and times[0] <= start:
                times.popleft()
