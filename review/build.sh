#!/usr/bin/env bash
# Check that the stand-ins of the scripts can be loaded; they are Python and
# need nothing but what the build of the deploy file has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -c 'import review.rig.cell, review.rig.worker'
