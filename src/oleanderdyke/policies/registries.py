"""List the plug-ins that settings may name."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol, TypeAlias

from oleanderdyke.kernel.demand import Admission, RetentionPolicy, Router
from oleanderdyke.kernel.objects import Limits
from oleanderdyke.policies.settings import PolicySettings
from oleanderdyke.registry import Registry


@dataclass(frozen=True, slots=True)
class TeamTerms:
    """Hold the weight and the limits that admission applies to a team."""

    weight: float = 1.0
    limits: Limits = field(default_factory=Limits)


FindTerms: TypeAlias = Callable[[str], TeamTerms]


class MakeRouter(Protocol):
    """Build a router."""

    def __call__(self, settings: PolicySettings) -> Router:
        """Return a new router."""


class MakeAdmission(Protocol):
    """Build an admission."""

    def __call__(
        self, settings: PolicySettings, find_terms: FindTerms
    ) -> Admission:
        """Return a new admission that looks teams up by name."""


class MakeKeeper(Protocol):
    """Build a keeper."""

    def __call__(self, settings: PolicySettings) -> RetentionPolicy:
        """Return a new keeper."""


ROUTERS: Registry[MakeRouter] = Registry('router')
ADMISSIONS: Registry[MakeAdmission] = Registry('admission')
KEEPERS: Registry[MakeKeeper] = Registry('keeper')
