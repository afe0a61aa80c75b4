"""Choose the next order to a model engine."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeAlias

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.objects import ModelVersionSpec, ServiceSpec

SERVE_ROLE = 'serve'
RECHECK: Millis = 1 * SECOND
ORDER_TIMEOUT: Millis = 10 * SECOND
VALIDITY_TIME: Millis = 250.0


@dataclass(frozen=True, slots=True)
class Fence:
    """Order the orders: a configuration offset and who acts on it."""

    offset: int
    incarnation: str


@dataclass(frozen=True, slots=True)
class Desired:
    """Hold the state that the configuration asks of an engine."""

    model: str
    version: str
    digest: str
    adapter: str = ''
    role: str = SERVE_ROLE


@dataclass(frozen=True, slots=True)
class Observed:
    """Hold the state that an engine has reported, and when it was read."""

    model: str
    version: str
    digest: str
    adapter: str
    role: str
    fence: Fence | None
    read_at: Millis


@dataclass(frozen=True, slots=True)
class Validity:
    """Hold what an agent knows about its own right to order.

    `offset` is the highest configuration offset it has learned of from
    anyone; `ended` tells that a newer incarnation has taken its place.
    """

    incarnation: str
    offset: int
    ended: bool
    read_at: Millis


class Stale(enum.StrEnum):
    """Say why an agent must not order."""

    ENDED = 'ended'
    OLD_OFFSET = 'old_offset'
    NEWER_ORDER = 'newer_order'


@dataclass(frozen=True, slots=True)
class Order:
    """Send the desired state; not after the given time.

    The shell compares the time directly before the write and starts over
    when it has passed.
    """

    desired: Desired
    fence: Fence
    not_after: Millis


@dataclass(frozen=True, slots=True)
class ReadState:
    """Read the engine's state (again), then reconcile."""


@dataclass(frozen=True, slots=True)
class Settled:
    """Do nothing until `check_at`, then read the state again."""

    check_at: Millis


@dataclass(frozen=True, slots=True)
class StandDown:
    """Don't order; catch up or leave."""

    reason: Stale


Step: TypeAlias = Order | ReadState | Settled | StandDown


def find_desired(
    service: ServiceSpec, versions: Sequence[ModelVersionSpec]
) -> Desired | None:
    """Return what the configuration asks; None when it names no weights."""
    raise NotImplementedError


def reconcile(
    desired: Desired,
    observed: Observed | None,
    fence: Fence,
    validity: Validity,
    now: Millis,
) -> Step:
    """Return the next step towards the desired state."""
    raise NotImplementedError
