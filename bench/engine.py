"""Simulate an engine with prefill queues, a prefix cache and slots."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from bench.caches import EngineCache
from bench.events import Events
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.demand import SEGMENT_TOKENS, SegmentHint
from oleanderdyke.links.messages import Load

LONG = 1
BACKGROUND = 2
_CHUNK_TOKENS = 512


@dataclass(slots=True)
class Job:
    """A request inside an engine.

    `left` is the number of tokens to prefill, negative before the first chunk;
    `epoch` counts how often its decoding was paused.
    """

    request: str
    tokens: int
    answer_tokens: int
    segments: tuple[SegmentHint, ...]
    priority: int
    deadline: Millis
    on_first_token: Callable[[int], None]
    on_finished: Callable[[], None]
    on_late: Callable[[], None]
    left: float = -1.0
    computed: int = 0
    epoch: int = 0
    decode_left: Millis = 0.0
    decoding_since: Millis = 0.0


class Engine:
    """Prefill jobs by priority, first come first served, and decode in slots.

    Long and background prefills run in chunks, between which jobs of higher
    priority go first. When all slots are taken, interactive jobs pause the
    decoding of background jobs. `rate` is in tokens per second and `step` is
    the time to decode one token. `life` increases when the engine loses its
    work, so that callbacks scheduled before that are ignored.
    """

    def __init__(
        self,
        events: Events,
        cache: EngineCache,
        *,
        rate: float,
        slots: int,
        step: Millis,
    ) -> None:
        self._events = events
        self._rate = rate
        self._slots = slots
        self._step = step
        self.cache = cache
        self._queues = _make_queues()
        self._paused: deque[Job] = deque()
        self._decoding: dict[str, Job] = {}
        self._prefilling: Job | None = None
        self._chunk_start: Millis = 0.0
        self.up = True
        self.life = 0
        self.background_tokens = 0

    def submit(self, job: Job) -> None:
        """Queue a job for prefill."""
        self._queues[job.priority].append(job)
        self._advance()

    def crash(self) -> None:
        """Drop all jobs and the cache and stop running."""
        self.up = False
        self.life += 1
        self._queues = _make_queues()
        self._paused.clear()
        self._decoding.clear()
        self._prefilling = None
        self.cache.clear()

    def measure(self) -> Load:
        """Return the current load."""
        waiting = sum(len(queue) for queue in self._queues)
        running = len(self._decoding) + (self._prefilling is not None)
        return Load(
            running=running,
            waiting=waiting + len(self._paused),
            waiting_tokens=int(self.count_tokens()),
            prefill_tokens_per_second=self._rate,
            slots=self._slots,
        )

    def count_tokens(self, through: int = BACKGROUND) -> float:
        """Count the tokens left to prefill for priorities up to `through`.

        Prefixes that an earlier job will compute count as cached.
        """
        coming: set[SegmentHint] = set()
        total = 0.0
        current = self._prefilling
        if current is not None:
            coming.update(current.segments)
            elapsed = self._events.now - self._chunk_start
            left = current.left - elapsed * self._rate / SECOND
            if current.priority > through:
                left = min(left, _CHUNK_TOKENS)
            total += max(0.0, left)
        for queue in self._queues[: through + 1]:
            for job in queue:
                total += self._count_job(job, coming)
                coming.update(job.segments)
        return total

    def list_coming(self) -> set[SegmentHint]:
        """Return the segments that running and queued prefills will cache.

        Queued background jobs are left out.
        """
        coming: set[SegmentHint] = set()
        if self._prefilling is not None:
            coming.update(self._prefilling.segments)
        for queue in self._queues[:BACKGROUND]:
            for job in queue:
                coming.update(job.segments)
        return coming

    def _count_job(self, job: Job, coming: set[SegmentHint]) -> float:
        if job.left >= 0:
            return job.left
        cached_count = 0
        for segment in job.segments:
            if segment not in coming and segment not in self.cache:
                break
            cached_count += 1
        return max(0, job.tokens - cached_count * SEGMENT_TOKENS)

    def _advance(self) -> None:
        if self._prefilling is not None or not self.up:
            return
        job = self._take_next()
        if job is None:
            return
        if job.left < 0:
            hit_count = self.cache.count_leading(job.segments)
            job.computed = max(1, job.tokens - hit_count * SEGMENT_TOKENS)
            job.left = job.computed
            self.cache.use(job.segments[:hit_count])
        self._prefilling = job
        self._run_chunk(job)

    def _take_next(self) -> Job | None:
        for queue in self._queues[:BACKGROUND]:
            if queue:
                if not self._has_slot() and not self._pause_background():
                    return None
                return self._drop_late(queue.popleft())
        if not self._has_slot():
            return None
        if self._paused:
            self._resume(self._paused.popleft())
            return self._take_next()
        background = self._queues[BACKGROUND]
        return background.popleft() if background else None

    def _drop_late(self, job: Job) -> Job | None:
        """Return a job, or the next one if its deadline has passed."""
        if job.deadline > self._events.now:
            return job
        self._events.add(0.0, job.on_late)
        return self._take_next()

    def _has_slot(self) -> bool:
        return len(self._decoding) < self._slots

    def _pause_background(self) -> bool:
        for job in self._decoding.values():
            if job.priority == BACKGROUND:
                elapsed = self._events.now - job.decoding_since
                job.decode_left = max(0.0, job.decode_left - elapsed)
                job.epoch += 1
                del self._decoding[job.request]
                self._paused.append(job)
                return True
        return False

    def _run_chunk(self, job: Job) -> None:
        tokens = job.left
        if job.priority:
            tokens = min(tokens, _CHUNK_TOKENS)
        self._chunk_start = self._events.now
        wait = tokens * SECOND / self._rate
        self._events.add(wait, self._end_chunk, job, tokens, self.life)

    def _end_chunk(self, job: Job, tokens: float, life: int) -> None:
        if life != self.life:
            return
        job.left -= tokens
        self._prefilling = None
        if job.left > 0:
            self._queues[job.priority].appendleft(job)
            self._advance()
            return
        self.cache.use(job.segments)
        self._start_decoding(job)
        job.on_first_token(job.computed)
        self._advance()

    def _start_decoding(self, job: Job) -> None:
        job.decode_left = job.answer_tokens * self._step
        self._resume(job)

    def _resume(self, job: Job) -> None:
        job.decoding_since = self._events.now
        self._decoding[job.request] = job
        self._events.add(
            job.decode_left, self._end_decoding, job, job.epoch, self.life
        )

    def _end_decoding(self, job: Job, epoch: int, life: int) -> None:
        if life != self.life or epoch != job.epoch:
            return
        del self._decoding[job.request]
        if job.priority == BACKGROUND:
            self.background_tokens += job.answer_tokens
        job.on_finished()
        self._advance()


def _make_queues() -> tuple[deque[Job], ...]:
    return tuple(deque() for _ in range(BACKGROUND + 1))
