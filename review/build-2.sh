#!/bin/sh
# Builds every stand-in that the cases 6 to 10 start: Python, so that only imports are
# checked and compiled. Needs the build of the deploy file before.
set -e
cd "$(dirname "$0")/.."
test -d target/deps
python3 -m compileall -q review/lib-2 platform/tests/store_stand_in.py packages/standins
cd review/lib-2
python3 -c "import deployment"
