"""Run Hypothesis state machines and verify that their checks can fail."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

SAFE = settings(
    derandomize=True,
    max_examples=80,
    stateful_step_count=40,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
# Shrinking is skipped: only whether a failure is found matters.
UNSAFE = settings(
    SAFE,
    max_examples=400,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)


class CheckedMachine(RuleBasedStateMachine):
    """Let the first failed check be the one that is reported."""

    def __init__(self) -> None:
        super().__init__()
        self.is_broken = False

    def check(self, holds: bool, name: str) -> None:  # noqa: FBT001  (as assert)
        if not holds:
            self.is_broken = True
            raise AssertionError(name)


def assert_holds(machine: type[RuleBasedStateMachine]) -> None:
    run_state_machine_as_test(machine, settings=SAFE)


def assert_caught(machine: type[RuleBasedStateMachine], check: str) -> None:
    with pytest.raises(AssertionError, match=check):
        run_state_machine_as_test(machine, settings=UNSAFE)
