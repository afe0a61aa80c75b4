"""Check which services are scheduled across entries.

The load is that of urgent short prompts beside long ones: a step of an engine
that prefills a long prompt holds up the runs of all others.
"""

from __future__ import annotations

import pytest

from oleanderdyke.kernel.deployment import (
    CallKind,
    Deployment,
    EngineTraits,
    Route,
    ServiceTraits,
    Share,
)
from oleanderdyke.kernel.scheduling.switch import LoadSwitch
from oleanderdyke.kernel.servers import ModelDemand


def make_route(name, *, target, priority, kind=CallKind.STREAM):
    share = Share('desk')
    return Route(
        name,
        'host',
        f'/{name}/',
        kind,
        (share,),
        9_000.0,
        target,
        priority=priority,
    )


def make_switch(*routes, engine=True):
    traits = ServiceTraits(
        'desk', engine=EngineTraits(40_000) if engine else None
    )
    switch = LoadSwitch()
    switch.configure(Deployment(1, routes, {'desk': traits}))
    return switch


SHORT = make_route('short', target=400.0, priority=0)
LONG = make_route('long', target=1_200.0, priority=2)


def see(switch, count=2, **lengths):
    for route, tokens in lengths.items():
        for _ in range(count):
            switch.record_prompt(route, ModelDemand('m', tokens))


def test_urgent_short_prompts_beside_long_ones_are_scheduled():
    switch = make_switch(SHORT, LONG)
    see(switch, short=800, long=9_000)
    assert switch.is_needed('desk')


def test_nothing_is_scheduled_before_both_kinds_have_been_seen():
    switch = make_switch(SHORT, LONG)
    see(switch, short=800)
    see(switch, count=1, long=9_000)
    assert not switch.is_needed('desk')
    see(switch, count=1, long=9_000)
    assert switch.is_needed('desk')


@pytest.mark.parametrize(
    ('short', 'long', 'lengths'),
    [
        pytest.param(
            make_route('short', target=800.0, priority=0),
            make_route('long', target=400.0, priority=1),
            {'short': 800, 'long': 9_000},
            id='the urgent kind has the wider target',
        ),
        pytest.param(
            SHORT,
            LONG,
            {'short': 9_000, 'long': 800},
            id='the urgent kind has the long prompts',
        ),
        pytest.param(
            SHORT, LONG, {'short': 800, 'long': 900}, id='prompts are alike'
        ),
        pytest.param(
            SHORT,
            make_route('long', target=1.0, priority=2, kind=CallKind.ONCE),
            {'short': 800, 'long': 9_000},
            id='the other kind is no stream',
        ),
    ],
)
def test_other_loads_are_served_as_before(short, long, lengths):
    switch = make_switch(short, long)
    see(switch, **lengths)
    assert not switch.is_needed('desk')


def test_a_service_whose_most_urgent_kind_may_wait_is_served_as_before():
    """Three kinds: the first rank has the widest target."""
    audit = make_route('audit', target=2_000.0, priority=0)
    sort = make_route('sort', target=1_000.0, priority=1)
    digest = make_route('digest', target=1_200.0, priority=2)
    switch = make_switch(audit, sort, digest)
    see(switch, audit=800, sort=700, digest=12_000)
    assert not switch.is_needed('desk')
    assert not switch.is_needed_anywhere


def test_a_service_without_engines_is_served_as_before():
    switch = make_switch(SHORT, LONG, engine=False)
    see(switch, short=800, long=9_000)
    assert not switch.is_needed('desk')


def test_a_new_configuration_ends_the_scheduling():
    switch = make_switch(SHORT, LONG)
    see(switch, short=800, long=9_000)
    traits = ServiceTraits('desk', engine=EngineTraits(40_000))
    switch.configure(Deployment(2, (SHORT,), {'desk': traits}))
    assert not switch.is_needed('desk')
