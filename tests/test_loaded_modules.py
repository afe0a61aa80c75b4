"""A start on the platform loads only what it uses.

All daemons start at once after a common loss of power, each on a small share
of a core. A start that also loaded what only our own mode uses took more than
twice as long, and nobody was served meanwhile.
"""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

_LIST_MODULES = """
import json, sys
import oleanderdyke.{role}.main
from importlib import import_module
import_module('oleanderdyke.{role}.hosted.mode').make_mode()
print(json.dumps(sorted(sys.modules)))
"""
# Settings files of our own, their libraries, and what answers operators.
_UNUSED = (
    'attr',
    'cattrs',
    'yaml',
    'oleanderdyke.agent.shell',
    'oleanderdyke.ctl',
    'oleanderdyke.entry.admin',
    'oleanderdyke.entry.settings',
    'oleanderdyke.kernel.catalog',
    'oleanderdyke.policies',
    'oleanderdyke.settings',
)
# The interpreter, the loop and the HTTP libraries load some 270 of these.
_MOST_MODULES = {'entry': 400, 'agent': 300}


@pytest.mark.parametrize('role', ['entry', 'agent'])
def test_a_start_on_the_platform_loads_nothing_of_our_own_mode(role):
    loaded = _list_modules(role)
    assert [name for name in _UNUSED if name in loaded] == []
    assert len(loaded) < _MOST_MODULES[role]


def _list_modules(role):
    found = subprocess.run(
        [sys.executable, '-c', _LIST_MODULES.format(role=role)],
        capture_output=True,
        check=True,
        text=True,
    )
    return json.loads(found.stdout)
