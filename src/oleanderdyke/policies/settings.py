"""Settings of the policies: costs, rates and bounds."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis


@dataclass(frozen=True, slots=True)
class PolicySettings:
    """Weights of time, tokens and bytes, and bounds of the queues.

    `w_ttft` is the cost of a millisecond, `w_recompute` of a token, `w_link` of
    a byte. Rates are defaults until load reports show others. `entries` is the
    number of entries of the deployment, which no list contains.
    """

    w_ttft: float = 1.0
    w_recompute: float = 0.02
    w_link: float = 1e-8
    late_after: Millis = 2 * SECOND
    late_weight: float = 1.0
    kv_bytes_per_token: int = 100_000
    prefill_tokens_per_second: float = 8_000.0
    link_bytes_per_second: float = 2e9
    far_latency: Millis = 1.0
    report_lag: Millis = 200.0
    report_interval: Millis = SECOND
    samples: int = 2
    affinity_limit: int = 4
    scan_limit: int = 8
    soon_limit: int = 100_000
    w_home: float = 0.2
    w_pressure: float = 0.2
    pressure_memory: Millis = 120 * SECOND
    short_tokens: int = 2_048
    queue_target: Millis = 3_000.0
    background_running_share: float = 0.75
    queued_limit: int = 10_000
    entries: int = 3
    retry_after_floor: Millis = 500.0
    retry_after_ceiling: Millis = 60 * SECOND
    gap_memory: int = 200_000


AGENCY = PolicySettings()
COUNCIL = PolicySettings(
    w_ttft=0.2,
    w_recompute=0.25,
    w_link=1e-6,
    late_after=5 * SECOND,
    late_weight=1.0,
    link_bytes_per_second=8e8,
    far_latency=3.0,
)
PRESETS: Mapping[str, PolicySettings] = {'agency': AGENCY, 'council': COUNCIL}
