"""Decide the next step that brings a model engine to its desired state."""

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
# Confirming the right to order asks one entry after the other, with a timeout
# of 200 ms each; this allows for two entries that do not answer.
_CONFIRM_TIME: Millis = 500.0


@dataclass(frozen=True, slots=True)
class Fence:
    """Hold the fencing token of an order.

    Orders with a higher configuration offset supersede those with a lower
    one; `incarnation` is that of the agent that sends the order.
    """

    offset: int
    incarnation: str


@dataclass(frozen=True, slots=True)
class DesiredState:
    """Hold the state that the configuration requires of an engine."""

    model: str
    version: str
    digest: str
    adapter: str = ''
    role: str = SERVE_ROLE


@dataclass(frozen=True, slots=True)
class ObservedState:
    """Hold the state that an engine has reported.

    The state was requested at `read_at` and may be as old as that; the answer
    took `took`. A state that was read before the answer to the last order must
    not be used.
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
        """Return when to read the state again.

        The time always leaves room for one order after the read. Otherwise
        an engine that takes a second to report its state would get no order.
        """
        return self.read_at + max(RECHECK_INTERVAL, self.took + _CONFIRM_TIME)


@dataclass(frozen=True, slots=True)
class Validity:
    """Hold what an agent knows about its right to send orders.

    `offset` is the highest configuration offset received from any process;
    `ended` means that a newer incarnation has replaced the agent; `read_at`
    is when an entry last confirmed both, by this process's clock.
    """

    incarnation: str
    offset: int
    ended: bool
    read_at: Millis


class StaleReason(enum.StrEnum):
    """List the reasons for which an agent must not send orders."""

    ENDED = 'ended'
    OLD_OFFSET = 'old_offset'
    NEWER_ORDER = 'newer_order'


@dataclass(frozen=True, slots=True)
class Order:
    """Send the desired state to the engine, no later than `not_after`.

    The caller checks the time directly before the write and reconciles again
    if it has passed. After the answer, or a timeout, it reads the state.
    """

    desired: DesiredState
    fence: Fence
    not_after: Millis


@dataclass(frozen=True, slots=True)
class ReadState:
    """Read the engine's state, then reconcile again."""


@dataclass(frozen=True, slots=True)
class ConfirmValidity:
    """Confirm the configuration offset with an entry, then reconcile again."""


@dataclass(frozen=True, slots=True)
class Converged:
    """Wait until `check_at`, as the engine is in the desired state."""

    check_at: Millis


@dataclass(frozen=True, slots=True)
class StopOrdering:
    """Send no order until the agent has caught up, or leave if it ended."""

    reason: StaleReason


Step: TypeAlias = Order | ReadState | ConfirmValidity | Converged | StopOrdering


def find_desired(
    service: ServiceSpec, versions: Iterable[ModelVersionSpec]
) -> DesiredState | None:
    """Return the desired state of a model service's engines.

    Return None for a plain service, and unless exactly one digest is
    configured for the model version.
    """
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

    `changed_at` is the offset of the last change of the desired state. With
    `checks_fencing`, the engine itself rejects old orders, and it must have
    accepted an order of at least this offset.
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
