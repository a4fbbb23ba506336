#!/bin/sh
# Builds the stand-ins that the scripts of the cases 16 to 20 start: Python, so that
# they are compiled and imported once. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/common-4 packages platform/tests/store_stand_in.py
PYTHONPATH="target/deps:platform/tests:review/common-4:$(ls -d packages/* | tr '\n' ':')" \
    python3 -c "import deployment, record, replica, store_stand_in"
