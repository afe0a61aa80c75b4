#!/usr/bin/env bash
# Check that the stand-ins of the second review can run: they are Python, and
# need what the build of the deploy file puts into target/deps, and tests/.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:tests:.:review PYTHONDONTWRITEBYTECODE=1
python3 -S -c 'import stage_2, server_2, tests.standins.records'
