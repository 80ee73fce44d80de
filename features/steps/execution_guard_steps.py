"""Steps that run scenarios with one check removed from the code."""

import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from behave import then, when
from features.support.removed_guards import GUARDS

ROOT = Path(__file__).resolve().parent.parent.parent
PARALLEL_RUNS = 3  # leaves processors to the scenarios that run at the same time


def _run_without(guard):
    command = [sys.executable, "-m", "features.support.removed_guards", guard]
    return guard, subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, check=False, env=os.environ
    )


@when("execution each of the listed checks is removed in turn")
def remove_guards(context):
    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        context.runs = list(pool.map(_run_without, GUARDS))


@then("execution the named scenario of each check fails by an assertion")
def assert_scenarios_failed(context):
    assert len(context.runs) == len(GUARDS)
    for guard, run in context.runs:
        output = run.stdout + run.stderr
        assert run.returncode == 1, (guard, output)
        assert "1 failed" in output, (guard, output)
        assert "ASSERT FAILED" in output or "Assertion Failed" in output, (guard, output)


@then("execution the documentation page lists exactly these checks")
def assert_page_lists_checks(context):
    page = (ROOT / "docs/design/execution-guards.md").read_text()
    rows = [line.split("|")[1].strip() for line in page.splitlines() if line.startswith("| ")]
    listed = rows[2:]  # without the heading of the table and the rule below
    assert sorted(listed) == sorted(GUARDS), sorted(set(listed) ^ set(GUARDS))
