#!/usr/bin/env bash
# Check that the stand-ins of the second review's scripts can be loaded, the
# project's own ones too; they are Python and need nothing but what the build
# of the deploy file has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
python3 -c 'import tests.platform.standin'
python3 -c 'import review.rig2.cell, review.rig2.judge, review.rig2.worker'
for number in 6 7 8 9 10; do
    if [ -e "review/$number/case.py" ]; then
        python3 -c "import importlib; importlib.import_module('review.$number.case')"
    fi
done
