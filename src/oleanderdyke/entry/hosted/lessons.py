"""Learn about backend servers from how they answer."""

from __future__ import annotations

from oleanderdyke.entry.hosted.call import HostedCall
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.entry.hosted.weights import Weights
from oleanderdyke.events import EventName
from oleanderdyke.kernel.servers import AnswerMetadata, ServerStart


class Lessons:
    """Records in the book of servers what one start's answer shows."""

    def __init__(
        self, core: HostedCore, call: HostedCall, start: ServerStart
    ) -> None:
        self._core = core
        self._call = call
        self._start = start

    def take_facts(self, facts: AnswerMetadata) -> None:
        """Learn what an answer tells of its server."""
        if facts.is_leaving:
            self._core.mark_leaving(self._start, self._call.request)
        if facts.retry_after is not None:
            self._core.record_backoff(
                self._start, facts.retry_after, self._call.request
            )
        if facts.rate_limit is not None:
            self._core.record_rate_limit(
                self._start, facts.rate_limit, request=self._call.request
            )
        self._log_malformed(facts)
        if facts.load is not None:
            self._core.note_load(self._start, facts.load)
        demand = self._call.asked.demand
        if demand is not None and facts.weight_version is not None:
            self._core.backends.record_version(
                self._start, demand.model, facts.weight_version
            )

    def _log_malformed(self, facts: AnswerMetadata) -> None:
        core, start = self._core, self._start
        for found in facts.malformed:
            if core.backends.record_malformed(start, found.field):
                core.log.write(
                    EventName.RECORD_REFUSED,
                    name=found.field.value,
                    peer=start.server,
                    incarnation=start.born,
                    detail=f'found {found.text!r}; allowed: at least 0',
                )

    def take_refusal(self, facts: AnswerMetadata, sent: Weights) -> None:
        """Learn why a call that was `sent` for some weights was not run."""
        core, demand = self._core, self._call.asked.demand
        if facts.server and facts.server != self._start.server:
            core.backends.mark_replaced(self._start)
            return
        now = core.clock.now()
        backend = core.backends.find_start(self._start)
        if demand is not None and backend is not None:
            held = backend.record.versions.get(demand.model, 0)
            if facts.is_misdirected and facts.server:
                self._take_newer(demand.model, held, sent)
                return
            if held < core.rollout.weights.find_newest(demand.model):
                core.backends.record_reload(self._start, now)
                return
        core.backends.record_refusal(self._start, now)

    def take_begun(self) -> None:
        """Learn that a server has read a prompt, and likely keeps its parts."""
        core, demand = self._core, self._call.asked.demand
        backend = core.backends.find_start(self._start)
        deployment = core.deployment
        if demand is None or backend is None or deployment is None:
            return
        memory = deployment.find_memory_tokens(backend.record.service)
        if memory is not None:
            core.backends.record_kept(self._start, demand.parts, memory)

    def _take_newer(self, model: str, held: int, sent: Weights) -> None:
        """Learn that a server no longer holds the weights that it told.

        A start's weights are only replaced by newer ones. An engine that is
        cut off from the store tells that no other way, and would serve nobody
        until it is listed again.
        """
        core = self._core
        later = core.rollout.weights.find_next(model, held)
        if held != sent.get(model):
            return
        if later > held:
            core.backends.record_version(self._start, model, later)
        else:
            core.backends.record_refusal(self._start, core.clock.now())
