#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are Python modules that need no build of their own.
# Checks that they load with the libraries of the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review exec python3 -c "import rig3"
