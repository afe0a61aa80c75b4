"""Registries of the plug-ins that settings may name."""

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
    """Weight and limits that admission applies to a team."""

    weight: float = 1.0
    limits: Limits = field(default_factory=Limits)


FindTerms: TypeAlias = Callable[[str], TeamTerms]


class MakeRouter(Protocol):
    """Factory of routers."""

    def __call__(self, settings: PolicySettings) -> Router:
        """Return a new router."""


class MakeAdmission(Protocol):
    """Factory of admissions."""

    def __call__(
        self, settings: PolicySettings, find_terms: FindTerms
    ) -> Admission:
        """Return a new admission that looks up teams by name."""


class MakeRetentionPolicy(Protocol):
    """Factory of retention policies."""

    def __call__(self, settings: PolicySettings) -> RetentionPolicy:
        """Return a new retention policy."""


ROUTERS: Registry[MakeRouter] = Registry('router')
ADMISSIONS: Registry[MakeAdmission] = Registry('admission')
KEEPERS: Registry[MakeRetentionPolicy] = Registry('keeper')
