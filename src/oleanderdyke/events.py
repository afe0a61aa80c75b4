"""The events and keys that may be logged."""

from __future__ import annotations

import enum
from collections.abc import Mapping


class Level(enum.StrEnum):
    """Severity of an event."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


class EventName(enum.StrEnum):
    """The name of an event; a fixed list."""

    PROCESS_STARTED = 'process_started'
    PROCESS_READY = 'process_ready'
    PROCESS_NOT_READY = 'process_not_ready'
    PROCESS_STALLED = 'process_stalled'
    PROCESS_STOPPING = 'process_stopping'
    PROCESS_STOPPED = 'process_stopped'
    PROCESS_FAILED = 'process_failed'
    TASK_FAILED = 'task_failed'
    LINK_UP = 'link_up'
    LINK_DOWN = 'link_down'
    LINK_REFUSED = 'link_refused'
    MESSAGE_REFUSED = 'message_refused'
    CONFIGURATION_APPLIED = 'configuration_applied'
    EVACUATION_BEGUN = 'evacuation_begun'
    EVACUATION_ENDED = 'evacuation_ended'
    CONFIGURATION_BEHIND = 'configuration_behind'
    CONFIGURATION_PUBLISHED = 'configuration_published'
    SNAPSHOT_APPENDED = 'snapshot_appended'
    LOG_DOWN = 'log_down'
    LOG_UP = 'log_up'
    VM_LIST_DOWN = 'vm_list_down'
    VM_LIST_CHANGED = 'vm_list_changed'
    AGENT_JOINED = 'agent_joined'
    AGENT_LOST = 'agent_lost'
    AGENT_LEAVING = 'agent_leaving'
    REQUEST_ACCEPTED = 'request_accepted'
    REQUEST_QUEUED = 'request_queued'
    REQUEST_ROUTED = 'request_routed'
    REQUEST_RETRIED = 'request_retried'
    REQUEST_REFUSED = 'request_refused'
    START_RETRY_GRANTED = 'start_retry_granted'
    RETRY_BUDGET_CHANGED = 'retry_budget_changed'
    ADMISSION_REFUSED = 'admission_refused'
    REQUEST_FINISHED = 'request_finished'
    REQUEST_CANCELLED = 'request_cancelled'
    REQUEST_CUT = 'request_cut'
    TARGET_MISSED = 'target_missed'
    DISPATCH_SENT = 'dispatch_sent'
    DISPATCH_RECEIVED = 'dispatch_received'
    DISPATCH_REFUSED = 'dispatch_refused'
    ANSWER_STARTED = 'answer_started'
    ANSWER_RECEIVED = 'answer_received'
    ANSWER_ENDED = 'answer_ended'
    ANSWER_BROKEN = 'answer_broken'
    STREAM_RESUMED = 'stream_resumed'
    STREAM_HANDED_OVER = 'stream_handed_over'
    COPY_ASKED = 'copy_asked'
    COPY_USED = 'copy_used'
    COPY_MISSING = 'copy_missing'
    UNREAD_ENDED = 'unread_ended'
    CLAIM_APPENDED = 'claim_appended'
    CLAIM_SETTLED = 'claim_settled'
    CLAIM_RELEASED = 'claim_released'
    OUTCOME_APPENDED = 'outcome_appended'
    OUTCOME_UNRECORDED = 'outcome_unrecorded'
    SEGMENTS_FETCHED = 'segments_fetched'
    SEGMENTS_REJECTED = 'segments_rejected'
    SEGMENTS_KEPT = 'segments_kept'
    SEGMENT_EVENTS_LOST = 'segment_events_lost'
    BACKEND_UP = 'backend_up'
    BACKEND_LOST = 'backend_lost'
    BACKENDS_CHANGED = 'backends_changed'
    BACKEND_CRASHED = 'backend_crashed'
    BACKEND_KEPT = 'backend_kept'
    BACKEND_LIMITED = 'backend_limited'
    BACKEND_LEAVING = 'backend_leaving'
    BACKEND_BACKOFF = 'backend_backoff'
    BACKEND_SLOW = 'backend_slow'
    BACKEND_RECOVERED = 'backend_recovered'
    POOLS_CHANGED = 'pools_changed'
    ORDER_SENT = 'order_sent'
    ORDER_REFUSED = 'order_refused'
    ORDER_DONE = 'order_done'
    REQUEST_SUSPECTED = 'request_suspected'
    REQUEST_QUARANTINED = 'request_quarantined'
    SUSPECTS_STORED = 'suspects_stored'
    TRIAL_BEGUN = 'trial_begun'
    DRAIN_STARTED = 'drain_started'
    DRAIN_FINISHED = 'drain_finished'
    LINES_DROPPED = 'lines_dropped'
    VERSION_NAMED = 'version_named'
    LOAD_QUEUED = 'load_queued'
    LOAD_PASSED_OVER = 'load_passed_over'
    CONTEXT_FREED = 'context_freed'
    RECORD_REFUSED = 'record_refused'
    SETTINGS_RELOADED = 'settings_reloaded'


# Every event has the time, level, event, process and sequence. Events of sent
# and received messages also have `request`, `attempt` and `peer`, by which the
# timeline tool pairs them.
COMMON_KEYS = ('at', 'level', 'event', 'process', 'sequence')

LEVELS: Mapping[EventName, Level] = {
    EventName.PROCESS_FAILED: Level.ERROR,
    EventName.TASK_FAILED: Level.ERROR,
    EventName.PROCESS_NOT_READY: Level.WARNING,
    EventName.PROCESS_STALLED: Level.WARNING,
    EventName.RECORD_REFUSED: Level.WARNING,
    EventName.REQUEST_REFUSED: Level.WARNING,
    EventName.COPY_MISSING: Level.WARNING,
    EventName.UNREAD_ENDED: Level.WARNING,
    EventName.LINES_DROPPED: Level.WARNING,
    EventName.LINK_REFUSED: Level.WARNING,
    EventName.MESSAGE_REFUSED: Level.WARNING,
    EventName.LOG_DOWN: Level.WARNING,
    EventName.VM_LIST_DOWN: Level.WARNING,
    EventName.AGENT_LOST: Level.WARNING,
    EventName.REQUEST_RETRIED: Level.WARNING,
    EventName.REQUEST_CUT: Level.ERROR,
    EventName.ANSWER_BROKEN: Level.WARNING,
    EventName.OUTCOME_UNRECORDED: Level.WARNING,
    EventName.SEGMENTS_REJECTED: Level.WARNING,
    EventName.BACKEND_LOST: Level.WARNING,
    EventName.BACKEND_CRASHED: Level.WARNING,
    EventName.BACKEND_SLOW: Level.WARNING,
    EventName.ORDER_REFUSED: Level.WARNING,
    EventName.LOAD_PASSED_OVER: Level.WARNING,
    EventName.REQUEST_SUSPECTED: Level.WARNING,
    EventName.REQUEST_QUARANTINED: Level.ERROR,
    EventName.SEGMENT_EVENTS_LOST: Level.DEBUG,
    EventName.REQUEST_QUEUED: Level.DEBUG,
}


class Key(enum.StrEnum):
    """The key of a value in an event; a fixed list."""

    REQUEST = 'request'
    ATTEMPT = 'attempt'
    TEAM = 'team'
    SERVICE = 'service'
    PEER = 'peer'
    AGENT = 'agent'
    ENTRY = 'entry'
    INCARNATION = 'incarnation'
    KIND = 'kind'
    RAN = 'ran'
    STATUS = 'status'
    REASON = 'reason'
    DETAIL = 'detail'
    OFFSET = 'offset'
    RECORDS = 'records'
    OBJECT = 'object'
    NAME = 'name'
    GENERATION = 'generation'
    OPERATOR = 'operator'
    STORE = 'store'
    SEGMENTS = 'segments'
    LENGTH = 'length'
    TOKENS = 'tokens'
    RECOMPUTED = 'recomputed'
    CHUNKS = 'chunks'
    FIRST_TOKEN = 'first_token'
    TARGET = 'target'
    VALUE = 'value'
    LIMIT = 'limit'
    DURATION = 'duration'
    RETRY_AFTER = 'retry_after'
    PHASE = 'phase'
    MODEL = 'model'
    VERSION = 'version'
    SOFTWARE = 'software'
    BEGUN_BY = 'begun_by'
    NEWEST = 'newest'
    AGE = 'age'
    LIST_AGE = 'list_age'
    LOAD_AGE = 'load_age'
    ADDRESS = 'address'
    COUNT = 'count'
    RUNNING = 'running'
    WAITING = 'waiting'
    DELAY = 'delay'
    FILL = 'fill'
    EXPECTED = 'expected'
    RANK = 'rank'
    SHARE = 'share'
    USE = 'use'
    DIGEST = 'digest'
    SIGNAL = 'signal'
    WORK_AGE = 'work_age'
    UNREAD = 'unread'
    SIDE = 'side'
    BUDGET = 'budget'
    SOURCE = 'source'
    OUTSTANDING = 'outstanding'
    FRAMING = 'framing'
    PARTS = 'parts'
    EVENTS = 'events'


def find_level(event: EventName) -> Level:
    """Return the level at which an event is logged."""
    return LEVELS.get(event, Level.INFO)
