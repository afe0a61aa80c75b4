"""A start on the platform loads only what it uses.

All daemons start at the same time after a power loss, each on a small share of
a core. A start that also imports the modules of the standalone mode takes more
than twice as long, and no requests are served until it ends.
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
# Modules of the standalone mode, its settings libraries and the admin API.
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
