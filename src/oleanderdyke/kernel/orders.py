"""Choose the next order to a model engine."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeAlias

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.objects import (
    ModelVersionSpec,
    ServiceKind,
    ServiceSpec,
)

SERVE_ROLE = 'serve'
RECHECK_INTERVAL: Millis = 1 * SECOND
ORDER_TIMEOUT: Millis = 10 * SECOND
VALIDITY_PERIOD: Millis = 250.0
# Confirming the right to an order asks one entry after the other for 200 ms;
# two of them may be silent.
_CONFIRM_TIME: Millis = 500.0


@dataclass(frozen=True, slots=True)
class Fence:
    """Order the orders: a configuration offset and who acts on it."""

    offset: int
    incarnation: str


@dataclass(frozen=True, slots=True)
class DesiredState:
    """Hold the state that the configuration asks of an engine."""

    model: str
    version: str
    digest: str
    adapter: str = ''
    role: str = SERVE_ROLE


@dataclass(frozen=True, slots=True)
class ObservedState:
    """Hold the state that an engine has reported.

    It is as old as the question, which was asked at `read_at`; the answer
    came `took` later. A state read before the last order was answered must
    not be used again.
    """

    model: str
    version: str
    digest: str
    adapter: str
    role: str
    fence: Fence | None
    read_at: Millis
    took: Millis = 0.0

    @property
    def due_at(self) -> Millis:
        """Return when to read anew, never before an order can be given.

        Else an engine that takes a second for its state would get none.
        """
        return self.read_at + max(RECHECK_INTERVAL, self.took + _CONFIRM_TIME)


@dataclass(frozen=True, slots=True)
class Validity:
    """Hold what an agent knows about its own right to order.

    `offset` is the highest configuration offset it has learned of from
    anyone; `ended` tells that a newer incarnation has taken its place;
    `read_at` is when an entry last confirmed both, by this process's clock.
    """

    incarnation: str
    offset: int
    ended: bool
    read_at: Millis


class StaleReason(enum.StrEnum):
    """Say why an agent must not order."""

    ENDED = 'ended'
    OLD_OFFSET = 'old_offset'
    NEWER_ORDER = 'newer_order'


@dataclass(frozen=True, slots=True)
class Order:
    """Send the desired state; not after the given time.

    The shell compares the time directly before the write and starts over
    when it has passed. After the answer, or its timeout, it reads the state.
    """

    desired: DesiredState
    fence: Fence
    not_after: Millis


@dataclass(frozen=True, slots=True)
class ReadState:
    """Read the engine's state, then reconcile."""


@dataclass(frozen=True, slots=True)
class ConfirmValidity:
    """Ask an entry for its configuration offset, then reconcile."""


@dataclass(frozen=True, slots=True)
class Converged:
    """Do nothing until `check_at`, then read the state again."""

    check_at: Millis


@dataclass(frozen=True, slots=True)
class StopOrdering:
    """Don't order; catch up or leave."""

    reason: StaleReason


Step: TypeAlias = Order | ReadState | ConfirmValidity | Converged | StopOrdering


def find_desired(
    service: ServiceSpec, versions: Iterable[ModelVersionSpec]
) -> DesiredState | None:
    """Return what the configuration asks; None unless it names one digest."""
    if service.kind is not ServiceKind.MODEL:
        return None
    wanted = (service.model, service.version)
    digests = {
        each.digest for each in versions if (each.model, each.version) == wanted
    }
    if len(digests) != 1:
        return None
    return DesiredState(
        model=service.model,
        version=service.version,
        digest=digests.pop(),
        adapter=service.adapter,
    )


def reconcile(
    desired: DesiredState,
    observed: ObservedState | None,
    fence: Fence,
    validity: Validity,
    now: Millis,
    *,
    checks_fencing: bool = False,
    changed_at: int = 0,
) -> Step:
    """Return the next step towards the desired state.

    `changed_at` is the offset of the last change of the desired state: a
    server that checks fences must have seen an order at least that new.
    """
    stale = _find_stale(observed, fence, validity)
    if stale is not None:
        return StopOrdering(stale)
    if observed is None or now >= observed.due_at:
        return ReadState()
    is_fenced = not checks_fencing or _get_offset(observed) >= changed_at
    if is_fenced and matches(observed, desired):
        return Converged(observed.due_at)
    if checks_fencing:
        return Order(desired, fence, now + ORDER_TIMEOUT)
    if now - validity.read_at >= VALIDITY_PERIOD:
        return ConfirmValidity()
    return Order(desired, fence, validity.read_at + VALIDITY_PERIOD)


def matches(observed: ObservedState, desired: DesiredState) -> bool:
    """Return whether an engine is in the desired state."""
    return desired == DesiredState(
        model=observed.model,
        version=observed.version,
        digest=observed.digest,
        adapter=observed.adapter,
        role=observed.role,
    )


def _find_stale(
    observed: ObservedState | None, fence: Fence, validity: Validity
) -> StaleReason | None:
    if validity.ended or validity.incarnation != fence.incarnation:
        return StaleReason.ENDED
    if validity.offset > fence.offset:
        return StaleReason.OLD_OFFSET
    if observed is not None and _get_offset(observed) > fence.offset:
        return StaleReason.NEWER_ORDER
    return None


def _get_offset(observed: ObservedState) -> int:
    return -1 if observed.fence is None else observed.fence.offset
