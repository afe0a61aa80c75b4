"""Names of the platform's headers, topics, keys and paths."""

from __future__ import annotations

SETTINGS_VARIABLE = 'OLEANDERDYKE_SETTINGS'

READINESS_PATH = '/api/readiness'
REPORT_PATH = '/api/report'
ORDER_PATH = '/api/order'

REQUEST_ID = 'oleanderdyke-request-id'
DEADLINE = 'oleanderdyke-deadline-ms'
API_KEY = 'oleanderdyke-key'
TEAM = 'oleanderdyke-tenant-id'
MODEL = 'oleanderdyke-model'
TOKENS = 'oleanderdyke-token-usage'
PROMPT_PARTS = 'oleanderdyke-prompt-prefix'
LAST_EVENT = 'last-event-id'
# The id of the request that brought the first event of a stream.
RESUMES = 'resumes'

EXPECTED_INSTANCE = 'oleanderdyke-expect-instance'
EXPECTED_VERSION = 'oleanderdyke-expect-version'
PRIORITY = 'oleanderdyke-request-priority'
CACHE_SALT = 'oleanderdyke-cache-salt'
CONTEXT_SOURCE = 'oleanderdyke-kv-source'
CONTEXT_SINK = 'oleanderdyke-kv-sink'
CONTEXT_UNTIL = 'oleanderdyke-kv-until'
COPY_TARGET = 'oleanderdyke-kv-backup'
COPY_SOURCE = 'kv-from'

STORE_ERA = 'store-era'

SEAL = 'oleanderdyke-response-seal'
NOT_RUN = 'oleanderdyke-not-executed'
INSTANCE = 'oleanderdyke-instance-id'
LOAD = 'oleanderdyke-instance-load'
WEIGHT_VERSION = 'oleanderdyke-weight-versions'
RATE_LIMIT = 'server-limit'
LEAVING = 'server-leaving'

# Headers to backend servers that only the system may set; those of callers are
# dropped.
OWN_HEADERS = frozenset(
    {
        DEADLINE,
        API_KEY,
        TEAM,
        EXPECTED_INSTANCE,
        EXPECTED_VERSION,
        PRIORITY,
        CACHE_SALT,
        CONTEXT_SOURCE,
        CONTEXT_SINK,
        CONTEXT_UNTIL,
        'oleanderdyke-hold',
        'oleanderdyke-pin-ms',
        COPY_TARGET,
        COPY_SOURCE,
        'oleanderdyke-kv-from',
        NOT_RUN,
        SEAL,
        INSTANCE,
        LOAD,
        WEIGHT_VERSION,
    }
)

# Topics of the platform, for which it retains the newest record of each key.
OPERATOR_TOPIC = 'keyed.op'
SERVER_TOPIC = 'keyed.servers'
CONFIGURATION_KEY = 'config'
VERSION_KEY_PREFIX = 'version/'
EVACUATION_KEY_PREFIX = 'evacuate/'
# Topic of the system: an agent appends a record at its start, to get a fence.
FENCE_TOPIC = 'oleander-fences'
# Topic of the system: agents announce which of them loads new weights.
LOAD_TOPIC = 'oleander-loads'
# Topic of the system: entries that leave tell which streams have begun.
STREAM_TOPIC = 'oleander-streams'
# Topic of the system: entries announce that they are alive.
ENTRY_TOPIC = 'oleander-entries'
# Topic of the system: each start of an entry, for the retries of starts.
CRASH_TOPIC = 'oleander-crashes'
START_TOPIC = 'oleander-starts'
