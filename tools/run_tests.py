"""Runs the behave features of each slice and prints one closing line with the counts."""

import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PARALLEL_RUNS = 4  # half of a small CI machine; more makes timing-dependent waits slower


def known_red_names() -> set[str]:
    """Return the scenario names that KNOWN-RED.txt lists as ``scenario: NAME``."""
    if not KNOWN_RED.exists():
        return set()
    prefix = "scenario:"
    lines = KNOWN_RED.read_text().splitlines()
    return {line[len(prefix) :].strip() for line in lines if line.startswith(prefix)}


def run_slice(folder: Path) -> tuple[Path, int, str, list[dict[str, object]]]:
    """Run one folder of features and return its exit status, output and scenarios."""
    with tempfile.TemporaryDirectory() as scratch:
        report = Path(scratch) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color", "--no-capture"]
        command += ["-f", "json", "-o", str(report), "-f", "progress", str(folder)]
        done = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, check=False, env=os.environ
        )
        try:
            features = json.loads(report.read_text())
        except (OSError, ValueError):
            features = []
    scenarios = [
        element
        for feature in features
        for element in feature.get("elements", [])
        if element.get("type") == "scenario"
    ]
    return folder, done.returncode, done.stdout + done.stderr, scenarios


def main() -> int:
    """Run all slices; return 0 only if at least one scenario ran and none failed."""
    chosen = [Path(name) for name in sys.argv[1:]]
    folders = chosen or sorted({path.parent for path in (ROOT / "features").rglob("*.feature")})
    red = known_red_names()
    passed = failed = 0
    passed_over: list[str] = []
    red_now: list[str] = []
    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        for folder, status, output, scenarios in pool.map(run_slice, folders):
            bad = [s for s in scenarios if s.get("status") != "passed"]
            red_here = [str(s["name"]) for s in bad if s["name"] in red]
            passed_over += red_here
            passed += len(scenarios) - len(bad)
            failed += len(bad) - len(red_here)
            broken = status != 0 and not bad
            failed += int(broken or not scenarios)
            red_now += [f"{s['location']} {s['name']}" for s in bad if s["name"] not in red]
            if len(bad) > len(red_here) or broken or not scenarios:
                print(f"{folder}: exit status {status}\n{output}")
    for name in passed_over:
        print(f"known red, passed over: {name}")
    # At the end, because a record of the output may hold only its last lines.
    for name in red_now:
        print(f"failed: {name}")
    print(f"{passed} passed, {failed} failed")
    return 0 if passed and not failed else 1


if __name__ == "__main__":
    sys.exit(main())
