"""Let copies of runs use the retries that were left over within a window.

The load it answers: an engine that crashes loses tens of runs at one moment,
while a bucket of retries that refills slowly holds one or two for each entry.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from itertools import chain

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.outstanding_sends import OutstandingSends
from oleanderdyke.kernel.retries import (
    LEAST_BURST,
    RetryBudget,
    RetrySettings,
    find_most_aged,
)

# Windows that are checked besides those that begin with a retry.
_CHECKED_WINDOWS = 20


class WindowedBudget(RetryBudget):
    """Limit the retries of one service within any window.

    Usual retries also need a token of `budget`, which all retries share. The
    retries within a window never exceed the burst and a share of the requests
    within it, the window before it or the one half a window earlier, whichever
    has most. Earlier sends that servers have left unread count as retries of
    each window. In the first window only the tokens that are there at first are
    used in place of the burst, as others may have been used before; then a
    single one, while servers may hold sends of an earlier process.
    """

    def __init__(
        self,
        budget: RetryBudget,
        window: Millis,
        now: Callable[[], Millis],
        sends: OutstandingSends | None = None,
        *,
        may_have_earlier: Callable[[], bool] = bool,
    ) -> None:
        self._budget = budget
        self._sends = OutstandingSends(now) if sends is None else sends
        self._window = window
        self._now = now
        self._requests: deque[Millis] = deque()
        self._spent: deque[Millis] = deque()
        self._may_have_earlier = may_have_earlier
        self._started_at = now()
        self._initial_tokens = budget.tokens

    @property
    def settings(self) -> RetrySettings:
        """Return the settings of the shared budget."""
        return self._budget.settings

    @property
    def tokens(self) -> float:
        """Return the number of usual retries left, which may be fractional."""
        return self._budget.tokens

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
        # Stuck requests ask often, and the tokens are checked faster.
        if self.tokens < 1 or not self._has_left():
            return False
        self._budget.try_withdraw()
        self._spent.append(self._now())
        return True

    def try_withdraw_for_copy(self) -> bool:
        """Take one retry that goes on at a copy; return False if none is left.

        It takes a token too, if there is one, to leave later ones no more.
        """
        if not self._has_left():
            return False
        if self._budget.tokens >= 1:
            self._budget.try_withdraw()
        self._spent.append(self._now())
        return True

    def refund(self) -> None:
        """Give back a retry that was taken and not sent, but no token.

        Some retries of copies took none.
        """
        if self._spent:
            self._spent.pop()

    def delay(self, retry: int) -> Millis:
        """Return a random exponential backoff; `retry` counts from 1."""
        return self._budget.delay(retry)

    def _has_left(self) -> bool:
        """Return whether every window that ends later allows one more."""
        self._forget_earlier()
        now = self._now()
        free = self._find_free(now)
        most_aged = find_most_aged(free)
        requests = tuple(self._requests)
        spent = tuple(self._spent)
        for begin in self._list_begins(now):
            count = len(spent) - bisect_left(spent, begin) + 1
            unread = self._sends.count_given_up(begin, most_aged)
            most = self._count_requests(requests, begin)
            if count + unread > free + self.settings.share * most:
                return False
        return True

    def _find_free(self, now: Millis) -> float:
        """Return the retries of a window beyond the share of its requests."""
        burst = self.settings.burst
        if now - self._started_at < self._window:
            return min(burst, self._initial_tokens)
        if self._may_have_earlier():
            return min(burst, LEAST_BURST)
        return burst

    def _list_begins(self, now: Millis) -> Iterable[Millis]:
        """Return the beginnings of the windows to check.

        Between two retries the requests that count change gradually.
        """
        recent = (at for at in self._spent if at > now - self._window)
        step = self._window / _CHECKED_WINDOWS
        spread = (now - number * step for number in range(_CHECKED_WINDOWS + 1))
        return chain(recent, spread)

    def _count_requests(self, requests: Sequence[Millis], begin: Millis) -> int:
        """Return the requests that count for the window from `begin` on.

        Only those of the last window are known.
        """
        window = self._window
        return max(
            bisect_right(requests, at + window) - bisect_right(requests, at)
            for at in (begin, begin - window / 2, begin - window)
        )

    def _forget_earlier(self) -> None:
        end = self._now() - self._window
        for times in (self._requests, self._spent):
            while times and times[0] <= end:
                times.popleft()
