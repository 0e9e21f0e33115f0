#!/bin/sh
# Builds the stand-ins of the scripts: Python modules, the project's own included.
# Run it after the build command of the deploy file.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
python3 - <<'PY'
from pathlib import Path

for pattern in ("review/*.py", "review/*/driver.py", "basilwick/fakes/*.py"):
    for path in sorted(Path().glob(pattern)):
        compile(path.read_text(), str(path), "exec")
import basilwick.fakes.kv_service  # the store of the scripts
PY
echo "stand-ins are ready"
