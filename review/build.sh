#!/usr/bin/env bash
# Builds what the scripts of the cases start: byte code of the stand-ins, which use only Python's
# standard library. The nodes come from the build of the deploy file (target/deps).
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps || { echo "target/deps is missing: run the build of deploy/system.toml first" >&2; exit 1; }
PYTHONPYCACHEPREFIX="$PWD/target/pycache" python3 -m compileall -q review/bed.py review/[1-5]
