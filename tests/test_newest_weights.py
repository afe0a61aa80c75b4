"""Engines with the newest weights must not get nearly all requests.

Each of 68 entries preferred the newest weights for all its requests. An entry
sees the load from the 67 others only when first tokens are late, so the first
engines with new weights were overloaded: with 16 of 48 engines on the newest
weights, those got 48 requests each in two seconds and took 942 ms to the first
token; the others got 3 each and took 170 ms. Engines with full memory preempt
what they have begun.
"""

from __future__ import annotations

from random import Random

import pytest

from oleanderdyke.kernel.backend import PendingAttempt
from oleanderdyke.kernel.backends import BackendRegistry
from oleanderdyke.kernel.scheduling.placement import CallDemand, choose_backend
from oleanderdyke.kernel.servers import ModelDemand, PromptPart, ServerRecord

ENGINES = 48
# Requests that one entry has running at a time.
REQUESTS = 6


def make_registry(newest):
    registry = BackendRegistry()
    for number in range(ENGINES):
        version = 2 if number < newest else 1
        registry.put(
            ServerRecord(
                server=f'i-{number}',
                service='asistente',
                address=f'{number}:1',
                data_centre='hall',
                slots=16,
                versions={'m': version},
            ),
            0.0,
        )
    return registry


def send(registry, random, name):
    parts = (PromptPart(name, 500), PromptPart(f'own {name}', 170))
    demand = CallDemand(
        'asistente',
        'hall',
        ModelDemand('m', 670, 40, parts),
        newest_version=2,
        random_value=random.random(),
    )
    record = choose_backend(demand, registry, 0.0).backend.record
    registry.record_sent(record.start, name, PendingAttempt(0.0, 670))
    return record.versions['m']


def find_newest_share(newest, entries=68):
    """Return the share of requests that go to the newest weights."""
    sent = []
    for entry in range(entries):
        registry, random = make_registry(newest), Random(entry)
        sent += [send(registry, random, f'{each}') for each in range(REQUESTS)]
    return sent.count(2) / len(sent)


@pytest.mark.parametrize('newest', [2, 10, 16, 24])
def test_few_engines_on_the_newest_weights_get_little_more_than_others(newest):
    assert find_newest_share(newest) <= 2 * newest / ENGINES


@pytest.mark.parametrize('newest', [10, 24, 40])
def test_engines_on_the_newest_weights_get_their_share(newest):
    assert find_newest_share(newest) >= 0.8 * newest / ENGINES


def test_few_requests_run_on_the_last_engine_with_old_weights():
    assert find_newest_share(ENGINES - 1) > 0.97
