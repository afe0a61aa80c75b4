"""Names of the platform's protocol are used or listed with a reason.

A new name of the protocol must be added to one of the lists here.
"""

from __future__ import annotations

import pathlib
import re

import pytest

from oleanderdyke.platform import names
from oleanderdyke.platform import settings as host_settings

FOLDER = pathlib.Path(names.__file__).parent

USED_HEADERS = frozenset(
    {
        'oleanderdyke-request-id',
        'oleanderdyke-deadline-ms',
        'oleanderdyke-key',
        'oleanderdyke-tenant-id',
        'oleanderdyke-model',
        'oleanderdyke-token-usage',
        'oleanderdyke-prompt-prefix',
        'last-event-id',
        'oleanderdyke-expect-instance',
        'oleanderdyke-expect-version',
        'oleanderdyke-request-priority',
        'oleanderdyke-cache-salt',
        'oleanderdyke-kv-source',
        'oleanderdyke-kv-sink',
        'oleanderdyke-kv-until',
        'oleanderdyke-kv-backup',
        'kv-from',
        'oleanderdyke-response-seal',
        'oleanderdyke-not-executed',
        'oleanderdyke-instance-id',
        'oleanderdyke-instance-load',
        'oleanderdyke-weight-versions',
        'server-limit',
        'server-leaving',
        'store-era',
    }
)
UNUSED_HEADERS = {
    'oleanderdyke-length-hint': 'an estimate that is often far off',
    'oleanderdyke-cold-ms': 'only in health calls, and in the server list',
    'oleanderdyke-hold': 'no capacity is reserved; never forwarded',
    'oleanderdyke-pin-ms': 'nothing is pinned; never forwarded',
}
# Headers of callers that would change the behaviour of a backend server.
NEVER_FORWARDED = ('hold', 'pin-ms', 'kv-backup', 'kv-from')

USED_BOUNDS = frozenset(
    {
        'graceS',
        'retryBudgetRatio',
        'retrySlack',
        'retryWindowS',
        'versionMs',
        'coldOverage',
        'coldSlack',
    }
)
_IMMEDIATE = 'the bounded action is immediate'
_READ_SOON = 'read when written, within two seconds on a dead connection'
_OTHER_PARTY = 'bounds the actions of others'
UNUSED_BOUNDS = {
    'drainMs': 'known from answers at once, from the list within a second',
    'configApplyMs': _READ_SOON,
    'evacuateMs': _READ_SOON,
    'revokeMs': _READ_SOON,
    'rollbackSlackMs': 'a configuration never goes back',
    'transitMs': _IMMEDIATE,
    'lossSlackMs': 'no connection is closed with a request on it',
    'versionAllMs': 'versionMs is kept for each server',
    'stretchMaxMs': 'lengthens a bound that is kept without it',
    'stabilityWindowMs': _OTHER_PARTY,
    'seedLagS': _OTHER_PARTY,
    'reuseAfterS': 'servers are identified by their id, not their address',
    'ackMs': _OTHER_PARTY,
    'catchUpS': _OTHER_PARTY,
    'recoverS': 'an entry is ready as soon as the store answers',
    'reuseWindowS': 'prices only',
    'revokeStrict': 'a key that is taken away admits nothing from then on',
    'fencingEnforced': 'orders carry a fence in any case',
    'leaseMs': 'the holder of an engine never changes while its vm lives',
    'thawSlackMs': _OTHER_PARTY,
}


def read_source(module) -> str:
    return pathlib.Path(module.__file__).read_text(encoding='utf-8')


def find_used_bounds() -> set[str]:
    return set(re.findall(r"'bounds\.(\w+)'", read_source(host_settings)))


def find_known_headers() -> set[str]:
    found = {text for text in vars(names).values() if isinstance(text, str)}
    return found & (USED_HEADERS | UNUSED_HEADERS.keys())


def test_each_header_is_used_or_listed_as_unused_with_a_reason():
    assert find_known_headers() == USED_HEADERS


def test_each_used_header_is_read_or_written_somewhere():
    constants = {
        text: name
        for name, text in vars(names).items()
        if isinstance(text, str) and text in USED_HEADERS
    }
    sources = [
        path.read_text(encoding='utf-8')
        for path in FOLDER.glob('*.py')
        if path.name != 'names.py'
    ]
    for header, name in constants.items():
        used = re.compile(rf'\b{name}\b')
        assert any(used.search(text) for text in sources), header


def test_each_bound_is_used_or_listed_as_unused_with_a_reason():
    assert find_used_bounds() == USED_BOUNDS
    assert not USED_BOUNDS & UNUSED_BOUNDS.keys()


@pytest.mark.parametrize('name', NEVER_FORWARDED)
def test_headers_reserved_for_the_system_are_not_forwarded(name):
    assert any(header.endswith(name) for header in names.OWN_HEADERS)
