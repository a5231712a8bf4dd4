#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
timeout 115 python3 -m review.8.case
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
