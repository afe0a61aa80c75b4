"""Check which streams are copied to a second engine, and to which.

The load is that of engines which crash amid tens of streams that nothing can
repeat: 241 were cut for good on the day that led to the copies.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.deployment import EngineTraits
from oleanderdyke.kernel.scheduling.run_copies import (
    EntryShare,
    GrowingRun,
    RunCopies,
    find_copy_fault,
    is_worth_copying,
)
from oleanderdyke.kernel.scheduling.work import NO_WORK, ServerWork
from oleanderdyke.kernel.servers import (
    ModelDemand,
    PromptPart,
    ServerRecord,
)
from tests.scheduling import NoWorkView

TRAITS = EngineTraits(
    10_000, token_bytes=18_432.0, link_mbps=130_000.0, backups=True
)
DEMAND = ModelDemand('llm', prompt_tokens=1_000, output_tokens=200)

SHARED = replace(
    DEMAND,
    parts=(
        PromptPart('rules', 900),
        PromptPart('case', 90),
        PromptPart('own', 10),
    ),
)


def make_engine(name, data_centre='east', *, version=1):
    record = ServerRecord(
        name, 'desk', f'{name}:80', data_centre, versions={'llm': version}
    )
    return Backend(record)


SOURCE = make_engine('source', 'west')
NEAR = make_engine('near', 'west')
FAR = make_engine('far')
OTHER = make_engine('other')
RUN = GrowingRun(DEMAND, SOURCE, 1, TRAITS)


class View(NoWorkView):
    """Know the work of some engines."""

    def __init__(self, **work):
        self._work = work

    def find_work(self, start, _now):
        return self._work.get(start.server, NO_WORK)


class Account:
    def __init__(self):
        self.copies = {}

    def begin_copy(self, start, copy, *, memory):
        self.copies[copy] = (start.server, memory)

    def end(self, name):
        del self.copies[name]


def make_copies(view=None, account=None):
    """Return copies after a lost run."""
    view = view or NoWorkView()
    copies = RunCopies(Random(7), lambda: view, account or Account())
    copies.record_loss(0.0)
    return copies


def choose(listed, *, run=RUN, copies=None, blocked=(), entries=1.0, now=0.0):
    found = (copies or make_copies()).choose(
        run,
        listed,
        lambda backend: backend.record.server not in blocked,
        EntryShare(entries),
        now,
    )
    return None if found is None else found.start.server


def test_copy_goes_to_another_data_centre_if_there_is_one():
    for _ in range(8):
        assert choose([SOURCE, NEAR, FAR]) == 'far'
    assert choose([SOURCE, NEAR, FAR], blocked={'far'}) == 'near'


def test_copy_never_goes_to_the_engine_of_the_run():
    same_address = replace(NEAR.record, address=SOURCE.record.address)
    assert choose([SOURCE, Backend(same_address)]) is None


def test_copy_goes_only_to_engines_with_the_same_weights():
    assert choose([SOURCE, make_engine('newer', version=2)]) is None


def test_copy_goes_to_the_less_filled_of_two():
    view = View(far=ServerWork(memory=5_000), other=ServerWork(memory=100))
    copies = make_copies(view)
    assert {choose([FAR, OTHER], copies=copies) for _ in range(8)} == {'other'}


@pytest.mark.parametrize(
    'work',
    [
        # Runs need the rest of the memory.
        ServerWork(memory=7_000),
        # Other copies have their share.
        ServerWork(copies=2_000),
    ],
)
def test_copies_leave_memory_to_runs(work):
    assert choose([FAR], copies=make_copies(View(far=work))) is None


def test_copies_of_unknown_entries_are_taken_to_be_like_the_own_ones():
    copies = make_copies()
    first = copies.choose(RUN, [FAR], lambda _: True, EntryShare(), 0.0)
    copies.begin('first', RUN, first, EntryShare(), 0.0)
    assert choose([FAR], copies=copies, entries=2.0) is None
    copies.end('first')
    assert choose([FAR], copies=copies, entries=2.0) == 'far'


def test_copies_leave_links_to_prompts():
    slow = replace(RUN, traits=replace(TRAITS, link_mbps=30_000.0))
    copies = make_copies()
    begun = 0
    for _ in range(100):
        copy = copies.choose(slow, [FAR], lambda _: True, EntryShare(), 0.0)
        if copy is not None:
            copies.begin(f'{begun}', slow, copy, EntryShare(), 0.0)
            copies.end(f'{begun}')
            begun += 1
    # 10.8 ms each, of which links have a quarter of each second, and one burst.
    assert 20 < begun < 30
    assert choose([FAR], run=slow, copies=copies, now=1_000.0) == 'far'


def test_account_has_copies_until_their_runs_end():
    account = Account()
    copies = make_copies(account=account)
    copy = copies.choose(RUN, [FAR], lambda _: True, EntryShare(), 0.0)
    copies.begin('a', RUN, copy, EntryShare(), 0.0)
    assert account.copies == {'a/copy': ('far', 1_100)}
    copies.end('a')
    copies.end('a')
    assert account.copies == {}


@pytest.mark.parametrize(
    ('changes', 'worth'),
    [
        ({}, True),
        # It is read again sooner than its caller misses an event.
        ({'is_resumable': True, 'gap': 5_000.0}, False),
        ({'is_resumable': True, 'gap': 0.0}, False),
        ({'is_resumable': True, 'gap': 1.0}, True),
        # Engines and stores keep most of its prompt.
        ({'is_resumable': True, 'gap': 10.0, 'model': SHARED}, False),
        # The copy takes longer than reading it again.
        ({'traits': replace(TRAITS, link_mbps=100.0)}, False),
    ],
)
def test_run_is_copied_if_its_loss_costs_more(changes, worth):
    assert is_worth_copying(replace(RUN, **changes)) is worth


def test_copy_is_used_only_at_the_start_and_weights_that_made_it():
    copy = make_copies().choose(RUN, [FAR], lambda _: True, EntryShare(), 0.0)
    assert not find_copy_fault(copy, FAR)
    for changes in (
        {'versions': {'llm': 2}},
        {'versions': {}},
        {'born': 5},
        {'address': 'else:80'},
    ):
        assert find_copy_fault(copy, Backend(replace(FAR.record, **changes)))
    assert find_copy_fault(copy, None)


# What two versions of the software write doesn't fit together.
def test_copy_needs_the_software_of_its_run():
    newer = Backend(replace(FAR.record, software='v2'))
    assert choose([SOURCE, newer]) is None
    assert choose([SOURCE, newer, OTHER]) == 'other'
    copy = make_copies().choose(RUN, [FAR], lambda _: True, EntryShare(), 0.0)
    assert find_copy_fault(copy, newer)


def test_runs_are_copied_for_a_while_after_an_engine_lost_one():
    """Engines crash in series; on calm days copies would only take memory."""
    copies = RunCopies(Random(7), NoWorkView)
    assert choose([SOURCE, FAR], copies=copies) is None
    copies.record_loss(1_000.0)
    assert choose([SOURCE, FAR], copies=copies, now=20_000.0) == 'far'
    assert choose([SOURCE, FAR], copies=copies, now=40_000.0) is None
