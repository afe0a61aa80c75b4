"""Define the systems under test by the policies in which they differ."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class System:
    """Select the plug-ins and options of one system.

    A system with `perfect` knowledge gets current reports without delay.
    """

    name: str
    router: str = 'predicted'
    admission: str = 'fair'
    keeper: str = 'expected-saving'
    exports: str = 'returning'
    drops_fetches: bool = True
    scattered: bool = False
    perfect: bool = False
    baseline: bool = True


POLICY = System('policy', baseline=False)
ORACLE = System('oracle', router='oracle', perfect=True, baseline=False)
BASELINES = (
    System(
        'least-outstanding',
        router='least-outstanding',
        exports='none',
        drops_fetches=False,
        scattered=True,
    ),
    System(
        'prefix-affinity',
        router='prefix-affinity',
        exports='all',
        drops_fetches=False,
    ),
    System(
        'always-fetch',
        router='always-fetch',
        exports='all',
        drops_fetches=False,
        scattered=True,
    ),
    System(
        'always-recompute',
        router='always-recompute',
        exports='none',
        drops_fetches=False,
    ),
    System('lru-keeping', keeper='lru'),
    System('no-admission', admission='open'),
)
SYSTEMS = {each.name: each for each in (POLICY, *BASELINES, ORACLE)}
