#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# Without the disruption: TROUBLE=0 review/8/run.sh
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:tests:.:review PYTHONDONTWRITEBYTECODE=1
# A checkout that wasn't built, or lacks a module, says nothing of the rule.
if ! python3 -S -c 'import oleanderdyke, stage_2, poison_2' 2>/dev/null; then
    echo 'the case could not run: build first' >&2
    exit 2
fi
exec python3 -S review/8/case.py
