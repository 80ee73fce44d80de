"""Process of the load generator: ``python -m ... PLAN RECORDS HISTORY`` (three paths)."""

import sys
from pathlib import Path

from chervilrack._internal.experiments.loadgen import run_process

if __name__ == "__main__":
    run_process(*map(Path, sys.argv[1:4]))
