"""The state of a model engine: its weights, load and cached segments."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from oleanderdyke.agent.backend import Backend, JsonObject
from oleanderdyke.clock import SECOND, Clock, Millis
from oleanderdyke.errors import ErrorKind, OleanderError
from oleanderdyke.events import EventName
from oleanderdyke.kernel.blocks import SegmentId, make_hint
from oleanderdyke.kernel.demand import SEGMENT_TOKENS, SegmentHint
from oleanderdyke.kernel.gate import LoadedWeights
from oleanderdyke.kernel.orders import Fence, ObservedState
from oleanderdyke.kernel.segment_log import SegmentLog
from oleanderdyke.links.messages import Load
from oleanderdyke.logs import EventLog

_STORED_EVENT = 'stored'


class EngineView:
    """Keep what the engine last reported.

    The set of cached segments is approximate: the engine may drop events.
    `loaded` is empty while admission is suspended.
    """

    def __init__(
        self,
        backend: Backend,
        *,
        clock: Clock,
        events: EventLog,
        on_loaded: Callable[[LoadedWeights], None],
    ) -> None:
        self._backend = backend
        self._clock = clock
        self._events = events
        self._on_loaded = on_loaded
        self._last_event = 0
        # In order of last use: the engine evicts the least recently used.
        self._cached: dict[SegmentHint, None] = {}
        self.segments = SegmentLog()
        self.observed: ObservedState | None = None
        self.admission_suspended = False
        self._reported = LoadedWeights()
        self.loaded = LoadedWeights()
        self.load = Load()

    def reset(self) -> None:
        """Discard all state after the engine was lost."""
        self._last_event = 0
        self._cached.clear()
        self.segments.replace(())
        self.observed = None
        self.load = Load()
        self._reported = LoadedWeights()
        self._publish_loaded()

    def suspend_admission(self) -> None:
        """Stop the admission of new runs, before the weights are replaced."""
        self.admission_suspended = True
        self._publish_loaded()

    def resume_admission(self) -> None:
        """Resume the admission of runs for the loaded weights."""
        self.admission_suspended = False
        self._publish_loaded()

    async def read_state(self) -> ObservedState:
        """Request the engine's state and publish its weights.

        Raises OleanderError.
        """
        asked_at = self._clock.now()
        state = await self._backend.get_json('/state')
        observed = _parse_state(state, asked_at, self._clock.now())
        self.observed = observed
        self._reported = _get_loaded_weights(observed)
        self._publish_loaded()
        return observed

    async def poll(self) -> None:
        """Request the load and new cache events; raise OleanderError."""
        self.load = _parse_load(await self._backend.get_json('/load'))
        self._apply_events(
            await self._backend.get_json(
                f'/cache/events?after={self._last_event}'
            )
        )

    def record_use(self, segments: Sequence[SegmentId]) -> None:
        """Mark segments as most recently used after a run has used them."""
        for segment in segments:
            self._add(make_hint(segment))

    def estimate_prefill(self, segments: int) -> Millis | None:
        """Return the time to prefill a number of segments; None if unknown."""
        rate = self.load.prefill_tokens_per_second
        if rate <= 0:
            return None
        return segments * SEGMENT_TOKENS * SECOND / rate

    def _publish_loaded(self) -> None:
        loaded = LoadedWeights() if self.admission_suspended else self._reported
        if loaded == self.loaded:
            return
        self.loaded = loaded
        self._on_loaded(loaded)

    def _apply_events(self, page: JsonObject) -> None:
        try:
            events = [
                (int(number), kind == _STORED_EVENT, bytes.fromhex(segment))
                for number, kind, segment in page['events']
            ]
            last = int(page['next']) - 1
        except (KeyError, TypeError, ValueError) as error:
            raise _make_answer_error('/cache/events') from error
        if last < self._last_event and last > 0:
            self._reset_cache()
            return
        for number, stored, segment in events:
            self._handle_lost_events(number - self._last_event - 1)
            self._last_event = number
            self._apply_event(make_hint(segment), stored=stored)

    def _reset_cache(self) -> None:
        # The event numbers start over: a new engine process, whose cache is
        # empty, has replaced the earlier one.
        self._last_event = 0
        self._cached.clear()
        self.segments.replace(())

    def _handle_lost_events(self, lost: int) -> None:
        if lost <= 0:
            return
        # Any lost event may be an eviction, so assume that as many of the least
        # recently used segments are gone.
        for segment in list(self._cached)[:lost]:
            self._remove(segment)
        self._events.write(EventName.SEGMENT_EVENTS_LOST, count=lost)

    def _apply_event(self, segment: SegmentHint, *, stored: bool) -> None:
        if stored:
            self._add(segment)
        else:
            self._remove(segment)

    def _add(self, segment: SegmentHint) -> None:
        if self._cached.pop(segment, segment) is not None:
            self.segments.add(segment)
        self._cached[segment] = None

    def _remove(self, segment: SegmentHint) -> None:
        if segment in self._cached:
            del self._cached[segment]
            self.segments.remove(segment)


def _parse_state(
    state: JsonObject, asked_at: Millis, now: Millis
) -> ObservedState:
    try:
        return ObservedState(
            model=str(state['model'] or ''),
            version=str(state['version'] or ''),
            digest=str(state['digest'] or ''),
            adapter=str(state.get('adapter') or ''),
            role=str(state.get('role') or ''),
            fence=_parse_fence(state.get('fence')),
            read_at=asked_at,
            took=now - asked_at,
        )
    except (KeyError, TypeError, ValueError) as error:
        raise _make_answer_error('/state') from error


def _get_loaded_weights(observed: ObservedState) -> LoadedWeights:
    if not observed.digest:
        return LoadedWeights()
    return LoadedWeights(
        observed.model, observed.version, observed.digest, observed.adapter
    )


def _parse_fence(found: Any) -> Fence | None:
    if not found:
        return None
    offset, incarnation = found
    return Fence(int(offset), str(incarnation))


def _parse_load(found: JsonObject) -> Load:
    try:
        return Load(
            running=int(found['running']),
            waiting=int(found['waiting']),
            waiting_tokens=int(found['waiting_tokens']),
            prefill_tokens_per_second=float(found['prefill_tokens_per_second']),
            slots=int(found['slots']),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise _make_answer_error('/load') from error


def _make_answer_error(path: str) -> OleanderError:
    return OleanderError(
        ErrorKind.BACKEND_FAILED,
        f'invalid response of the engine to GET {path}',
    )
