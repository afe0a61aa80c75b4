"""The command line of `oleander-agent`."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

from oleanderdyke import daemon

_AGENT = daemon.Daemon(
    name='oleander-agent',
    description='Agent of one backend server: engine, plain service or store.',
    standalone='oleanderdyke.agent.standalone',
    hosted='oleanderdyke.agent.hosted.mode',
)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run `oleander-agent` and return its exit code."""
    return _AGENT.run(arguments)


def make_parser() -> argparse.ArgumentParser:
    """Build the command-line parser, also used for the reference pages."""
    return daemon.make_parser(_AGENT.name, _AGENT.description)


if __name__ == '__main__':
    sys.exit(main())
