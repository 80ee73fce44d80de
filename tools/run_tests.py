"""Runs the behave features file by file and prints a closing line with the counts."""

import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PARALLEL_RUNS = 4  # half of a small CI machine; more runs slow down timing-dependent waits


def known_red_names() -> set[str]:
    """Return the names of the known failing scenarios.

    KNOWN-RED.txt lists each of them on a line ``scenario: NAME``.
    """
    if not KNOWN_RED.exists():
        return set()
    prefix = "scenario:"
    lines = KNOWN_RED.read_text().splitlines()
    return {line[len(prefix) :].strip() for line in lines if line.startswith(prefix)}


def scenario_name(scenario: dict[str, object]) -> str:
    """Return the name of a scenario; behave adds a blank to those of unnamed tables of examples."""
    return str(scenario["name"]).strip()


def feature_files(requested: list[Path]) -> list[Path]:
    """Return the feature files of ``requested`` files and folders, the largest first.

    Large files take long, and would end last if they did not start first.
    """
    files = [
        file
        for path in requested
        for file in (path.rglob("*.feature") if path.is_dir() else [path])
    ]
    return sorted(set(files), key=lambda file: (-file.stat().st_size, file))


def run_file(file: Path) -> tuple[Path, int, str, list[dict[str, object]]]:
    """Run the feature ``file``; return it, the exit status, output and scenarios."""
    with tempfile.TemporaryDirectory() as scratch:
        report = Path(scratch) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color", "--no-capture"]
        command += ["-f", "json", "-o", str(report), "-f", "progress", str(file)]
        completed = subprocess.run(
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
    return file, completed.returncode, completed.stdout + completed.stderr, scenarios


def main() -> int:
    """Run the files and folders named on the command line, or else all features.

    Return 0 only if at least one scenario passed and none failed, apart from the known failures.
    """
    files = feature_files([Path(name) for name in sys.argv[1:]] or [ROOT / "features"])
    known_red = known_red_names()
    passed = failed = 0
    known_failures: list[str] = []
    new_failures: list[str] = []
    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        for file, status, output, scenarios in pool.map(run_file, files):
            not_passed = [scenario for scenario in scenarios if scenario.get("status") != "passed"]
            known_in_file = [
                name for scenario in not_passed if (name := scenario_name(scenario)) in known_red
            ]
            known_failures += known_in_file
            passed += len(scenarios) - len(not_passed)
            failed += len(not_passed) - len(known_in_file)
            run_failed = status != 0 and not not_passed
            failed += int(run_failed or not scenarios)
            new_failures += [
                f"{scenario['location']} {name}"
                for scenario in not_passed
                if (name := scenario_name(scenario)) not in known_red
            ]
            if not_passed or run_failed or not scenarios:
                print(f"{file}: exit status {status}\n{output}")
    for name in known_failures:
        print(f"known red, passed over: {name}")
    # Failed scenarios are listed at the end, since a stored log may keep only its last lines.
    for name in new_failures:
        print(f"failed: {name}")
    print(f"{passed} passed, {failed} failed")
    return 0 if passed and not failed else 1


if __name__ == "__main__":
    sys.exit(main())
