from __future__ import annotations

import signal
import subprocess
import sys

import pytest

from tests.processes import ROOT

_PROGRAM = """
import os, signal, sys, types
from oleanderdyke import daemon

mode = types.ModuleType('signalled_mode')

def make_mode():
    os.kill(os.getpid(), signal.SIGHUP)
    sys.exit(7)

mode.make_mode = make_mode
sys.modules['signalled_mode'] = mode
daemon.Daemon('x', 'x', 'signalled_mode', 'signalled_mode').run(sys.argv[1:])
"""


# The platform reports changed settings also to processes that still load their
# modules, and the signal ended those.
@pytest.mark.parametrize(
    ('arguments', 'code'),
    [(['--platform'], 7), (['--settings', 'x'], -signal.SIGHUP)],
)
def test_changed_settings_do_not_end_a_process_that_starts(arguments, code):
    found = subprocess.run(
        [sys.executable, '-c', _PROGRAM, *arguments],
        check=False,
        cwd=ROOT,
        env={'PYTHONPATH': str(ROOT / 'src')},
    )
    assert found.returncode == code
