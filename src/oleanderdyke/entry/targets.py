"""Evaluate requests against the targets of their services."""

from __future__ import annotations

from oleanderdyke.clock import Millis
from oleanderdyke.entry.calls import Call
from oleanderdyke.entry.core import Core
from oleanderdyke.entry.delivery import Delivery
from oleanderdyke.errors import ErrorKind
from oleanderdyke.events import EventName
from oleanderdyke.kernel.objects import ServiceKind
from oleanderdyke.kernel.targets import CALLER_FAULTS, ServedRequest
from oleanderdyke.links.messages import AnswerEnd
from oleanderdyke.metrics import Count

_DIGITS = 3


def evaluate_answered(
    core: Core, call: Call, delivery: Delivery, end: AnswerEnd | None
) -> None:
    """Evaluate a complete answer; token times are known for streams only."""
    streamed = delivery.is_stream
    served = ServedRequest(
        call.request,
        delivery.first_token if streamed else None,
        delivery.between_tokens if streamed else None,
        0 if end is None else end.prompt_tokens,
        0 if end is None else end.recomputed_tokens,
    )
    _evaluate(core, call, served)


def evaluate_refused(
    core: Core,
    call: Call,
    kind: ErrorKind,
    *,
    duration: Millis,
    delivery: Delivery | None = None,
) -> None:
    """Count a refusal; it misses the targets unless the caller caused it.

    An answer that broke off after its first token is evaluated by its times.
    """
    core.targets.get(call.service).refusals[kind] += 1
    if delivery is not None and delivery.first_token is not None:
        times = delivery.first_token, delivery.between_tokens
        _evaluate(core, call, ServedRequest(call.request, *times))
    elif kind not in CALLER_FAULTS:
        _evaluate(
            core, call, ServedRequest(call.request, duration, refused=kind)
        )


def _evaluate(core: Core, call: Call, served: ServedRequest) -> None:
    if call.background or call.spec.kind is not ServiceKind.MODEL:
        return
    monitor = core.targets.get(call.service)
    clock = core.clock
    missed = monitor.add(
        served, call.spec.targets, now=clock.now(), wall=clock.wall()
    )
    for item in missed:
        core.metrics.add(Count.MISSED_TARGETS, label=call.service)
        core.log.write(
            EventName.TARGET_MISSED,
            request=call.request,
            team=call.team,
            service=call.service,
            target=item.target.value,
            value=round(item.value, _DIGITS),
            limit=item.limit,
            kind=item.refused or None,
        )
