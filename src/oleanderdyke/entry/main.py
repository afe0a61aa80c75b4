"""Run an entry process from the command line."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

from oleanderdyke import daemon

_ENTRY = daemon.Daemon(
    name='oleander-entry',
    description='Take the requests of callers and operators.',
    standalone='oleanderdyke.entry.standalone',
    hosted='oleanderdyke.entry.hosted.mode',
)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the entry until it stops; return the exit code."""
    return _ENTRY.run(arguments)


def make_parser() -> argparse.ArgumentParser:
    """Build the command-line parser."""
    return daemon.make_parser(_ENTRY.name, _ENTRY.description)


if __name__ == '__main__':
    sys.exit(main())
