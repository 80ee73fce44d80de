#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the build of the deploy file. The stand-ins are Python
# sources, the project's own among them: they are only checked here, with the packages of target/deps.
set -eu
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:src"
python3 -c "import chervilrack.platform.emulated.standins, yaml"
for file in review/[6-9]/*.py review/10/*.py; do
    [ -e "$file" ] || continue
    python3 -c "import sys; compile(open(sys.argv[1], encoding='utf-8').read(), sys.argv[1], 'exec')" "$file"
done
