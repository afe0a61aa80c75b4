#!/bin/sh
# Exit with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 the disruption is left out (`is_disturbed` in ../stage.py).
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
export PYTHONPATH=target/deps:tests:.
timeout -k 5 112 python3 -S -m review.2.case
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
