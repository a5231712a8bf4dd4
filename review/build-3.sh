#!/usr/bin/env bash
# Build the stand-ins that the scripts of this review start. All of them are
# Python: what the deploy file builds has their libraries.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 - <<'PY'
import importlib

for name in ('cell', 'platform', 'worker'):
    importlib.import_module(f'review.rig3.{name}')
print('the stand-ins can be started')
PY
