"""Update the state of backend servers from their responses."""

from __future__ import annotations

from oleanderdyke.entry.hosted.call import HostedCall
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.entry.hosted.dispatch import Weights
from oleanderdyke.events import EventName
from oleanderdyke.kernel.servers import AnswerMetadata, ServerStart


class BackendUpdates:
    """Apply the responses to one call to the state of one incarnation."""

    def __init__(
        self, core: HostedCore, call: HostedCall, start: ServerStart
    ) -> None:
        self._core = core
        self._call = call
        self._start = start

    def apply_metadata(self, metadata: AnswerMetadata) -> None:
        """Record what the response headers report about their server."""
        if metadata.is_leaving:
            self._core.mark_leaving(self._start, self._call.request)
        if metadata.retry_after is not None:
            self._core.record_backoff(
                self._start, metadata.retry_after, self._call.request
            )
        if metadata.rate_limit is not None:
            self._core.record_rate_limit(
                self._start, metadata.rate_limit, request=self._call.request
            )
        self._log_malformed(metadata)
        if metadata.load is not None:
            self._core.record_load(self._start, metadata.load)
        demand = self._call.parameters.demand
        if demand is not None and metadata.weight_version is not None:
            self._core.backends.record_version(
                self._start, demand.model, metadata.weight_version
            )

    def _log_malformed(self, metadata: AnswerMetadata) -> None:
        core, start = self._core, self._start
        for found in metadata.malformed:
            if core.backends.record_malformed(start, found.field):
                core.log.write(
                    EventName.RECORD_REFUSED,
                    name=found.field.value,
                    peer=start.server,
                    incarnation=start.born,
                    detail=f'found {found.text!r}; allowed: at least 0',
                )

    def apply_refusal(self, metadata: AnswerMetadata, sent: Weights) -> None:
        """Record why the server did not run a call sent for these weights."""
        core, demand = self._core, self._call.parameters.demand
        if metadata.server and metadata.server != self._start.server:
            core.backends.mark_replaced(self._start)
            return
        now = core.clock.now()
        backend = core.backends.find_start(self._start)
        if demand is not None and backend is not None:
            held = backend.record.versions.get(demand.model, 0)
            if metadata.is_misdirected and metadata.server:
                self._record_newer_weights(demand.model, held, sent)
                return
            if held < core.rollout.weights.find_newest(demand.model):
                core.backends.record_reload(self._start, now)
                return
        core.backends.record_refusal(self._start, now)

    def apply_stream_start(self) -> None:
        """Record that the server has read a prompt and likely caches it."""
        core, demand = self._core, self._call.parameters.demand
        backend = core.backends.find_start(self._start)
        deployment = core.deployment
        if demand is None or backend is None or deployment is None:
            return
        memory = deployment.find_memory_tokens(backend.record.service)
        if memory is not None:
            core.backends.record_kept(self._start, demand.parts, memory)

    def _record_newer_weights(
        self, model: str, held: int, sent: Weights
    ) -> None:
        """Assume newer weights after a server rejected the version it listed.

        An incarnation replaces weights only by newer ones. An engine cut off
        from the store can't list its new version, so without this update it
        would get no requests until its record is written again.
        """
        core = self._core
        later = core.rollout.weights.find_next(model, held)
        if held != sent.get(model):
            return
        if later > held:
            core.backends.record_version(self._start, model, later)
        else:
            core.backends.record_refusal(self._start, core.clock.now())
