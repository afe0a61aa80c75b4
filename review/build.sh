#!/bin/sh
# Build the stand-ins that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:tests:. python3 -m compileall -q \
    review tests/standins tests/processes.py
