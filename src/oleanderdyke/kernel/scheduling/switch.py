"""Find the services whose load calls for scheduling across entries.

The load it answers: urgent requests with short prompts that share engines with
less urgent ones whose long prompts hold them up.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator

from oleanderdyke.kernel.deployment import CallKind, Deployment, Route
from oleanderdyke.kernel.servers import ModelDemand

# Prompts this many times as long hold up the shorter ones noticeably.
_LENGTH_RATIO = 4.0
# Requests of a route that are seen before its prompts count as known.
_MIN_SAMPLES = 2
_SAMPLE_WEIGHT = 0.1


class LoadSwitch:
    """Find the services that need scheduling, by configuration and prompts.

    A service needs it if its operators rank the stream with the tightest target
    first, while prompts on another route are much longer.
    """

    def __init__(self) -> None:
        self._deployment: Deployment | None = None
        self._pairs: dict[str, tuple[tuple[str, str], ...]] = {}
        self._lengths: dict[str, float] = {}
        self._samples: defaultdict[str, int] = defaultdict(int)
        self._needed: dict[str, bool] = {}

    def configure(self, deployment: Deployment) -> None:
        """Find the pairs of routes that may hold up each other."""
        if deployment is self._deployment:
            return
        self._deployment = deployment
        self._pairs = {
            service: tuple(_list_pairs(list_streams(deployment, service)))
            for service, traits in deployment.services.items()
            if traits.engine is not None
        }
        self._needed.clear()

    @property
    def is_needed_anywhere(self) -> bool:
        """Return whether requests for some service are to be scheduled."""
        return any(self.is_needed(service) for service in self._pairs)

    def record_prompt(self, route: str, model: ModelDemand) -> None:
        """Record the prompt of a request, to know how long they are."""
        length = self._lengths.get(route, float(model.prompt_tokens))
        length += _SAMPLE_WEIGHT * (model.prompt_tokens - length)
        self._lengths[route] = length
        self._samples[route] += 1
        if self._samples[route] <= _MIN_SAMPLES:
            self._needed.clear()

    def find_length(self, route: str) -> float | None:
        """Return the mean prompt of a route in tokens, None if unknown."""
        if self._samples[route] < _MIN_SAMPLES:
            return None
        return self._lengths[route]

    def is_needed(self, service: str) -> bool:
        """Return whether requests for a service are to be scheduled."""
        if service not in self._needed:
            self._needed[service] = any(
                self._holds_up(urgent, other)
                for urgent, other in self._pairs.get(service, ())
            )
        return self._needed[service]

    def list_long(self, service: str) -> frozenset[str]:
        """Return the routes whose prompts hold up more urgent ones."""
        return frozenset(
            other
            for urgent, other in self._pairs.get(service, ())
            if self._holds_up(urgent, other)
        )

    def is_long(self, service: str, route: str) -> bool:
        """Return whether prompts on a route hold up those of another one."""
        return route in self.list_long(service)

    def _holds_up(self, urgent: str, other: str) -> bool:
        short, long = self.find_length(urgent), self.find_length(other)
        if short is None or long is None:
            return False
        return long >= short * _LENGTH_RATIO


def list_streams(deployment: Deployment, service: str) -> list[Route]:
    """Return the streaming routes of a service."""
    return [
        route
        for route in deployment.routes
        if route.kind is CallKind.STREAM
        and any(share.service == service for share in route.shares)
    ]


def _list_pairs(routes: Iterable[Route]) -> Iterator[tuple[str, str]]:
    """Yield pairs of a most urgent route and one that may hold it up."""
    listed = list(routes)
    first = min((route.priority for route in listed), default=0)
    tightest = min((route.target for route in listed), default=0.0)
    for urgent in listed:
        if urgent.priority > first or urgent.target > tightest:
            continue
        for other in listed:
            is_later = other.priority > first and other.target > tightest
            if is_later:
                yield urgent.name, other.name
