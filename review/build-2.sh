#!/bin/sh
# Builds the stand-ins that the scripts in review/6 to review/10 start: checks that the
# interpreter can compile and import them. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review:. PYTHONDONTWRITEBYTECODE=1 python3 -c "import rig"
for script in review/[6-9]/case.py review/10/case.py; do
    [ ! -f "$script" ] || python3 -c "compile(open('$script').read(), '$script', 'exec')"
done
echo "stand-ins of the second review: ready"
