"""Open-loop load generator: sends each request at its intended time, from several processes.

The processes are separate from the nodes and from the experiment, so that their CPU time and
interpreter locks do not distort the nodes' figures.
"""

import subprocess
import sys
import time
from collections.abc import Mapping, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path

import msgspec

from chervilrack._internal.common.http_responses import StrictPoolManager
from chervilrack._internal.common.ids import OrganisationId
from chervilrack._internal.exceptions import ChervilrackError
from chervilrack._internal.experiments.arrivals import Arrival
from chervilrack._internal.experiments.callers import Caller, CallRecord
from chervilrack._internal.experiments.lookup import EndpointCache
from chervilrack._internal.history.recorder import EventSink, FileRecorder

# An overload of 100 requests/s with deadlines of 6 s keeps at most 600 requests open, spread over
# the processes.
MAX_OPEN_REQUESTS = 400
# Callers of one organisation and zone in one process; each keeps its own look-up answer.
CALLERS_PER_ZONE = 4
# Time from the start of the processes to the first arrival, so that all are ready in time.
START_DELAY_S = 1.0


class LoadGeneratorError(ChervilrackError):
    """A process of the load generator failed."""


class Plan(msgspec.Struct, frozen=True):
    """What one process sends. ``start_at`` is of ``CLOCK_MONOTONIC`` in seconds."""

    arrivals: tuple[Arrival, ...]
    start_at: float
    bootstrap: tuple[str, ...]
    keys: Mapping[OrganisationId, str]
    latency_s: float
    deadline_s: float


def run_plan(plan: Plan, history: EventSink) -> list[CallRecord]:
    """Send all requests of a plan, wait for their ends and return their records."""
    callers: dict[tuple[str, str, int], Caller] = {}
    ended: list[Future[CallRecord]] = []
    with (
        StrictPoolManager(num_pools=64, maxsize=MAX_OPEN_REQUESTS) as pool,
        ThreadPoolExecutor(MAX_OPEN_REQUESTS) as threads,
    ):
        for number, arrival in enumerate(plan.arrivals):
            place = (arrival.organisation, arrival.zone, number % CALLERS_PER_ZONE)
            caller = callers.get(place)
            if caller is None:
                caller = callers[place] = Caller(
                    pool,
                    EndpointCache(pool, arrival.zone, plan.bootstrap),
                    plan.keys[arrival.organisation],
                    plan.latency_s,
                    plan.deadline_s,
                    history,
                )
            intended_at = plan.start_at + arrival.at
            time.sleep(max(0.0, intended_at - time.monotonic()))
            ended.append(threads.submit(caller.run, arrival, intended_at))
        return [future.result() for future in ended]


class LoadGenerator:
    """Runs plans in ``processes`` processes that write their records to ``folder``."""

    def __init__(self, folder: Path, history_path: Path, processes: int = 2) -> None:
        self._folder = folder
        self._history_path = history_path
        self._processes = processes
        self._running: list[tuple[subprocess.Popen[bytes], Path]] = []

    def start(self, plan: Plan) -> None:
        """Start the processes; arrivals are dealt to them in turn."""
        for number in range(self._processes):
            part = msgspec.structs.replace(plan, arrivals=plan.arrivals[number :: self._processes])
            plan_path = self._folder / f"plan-{number}.json"
            plan_path.write_bytes(msgspec.json.encode(part))
            records_path = self._folder / f"records-{number}.json"
            command = [sys.executable, "-m", "chervilrack._internal.experiments.load_process"]
            command += [str(plan_path), str(records_path), str(self._history_path)]
            self._running.append((subprocess.Popen(command), records_path))

    def wait(self, timeout_s: float) -> list[CallRecord]:
        """Wait for all processes and return their records, ordered by intended time.

        Raises LoadGeneratorError if a process fails or does not end in time.
        """
        end = time.monotonic() + timeout_s
        records: list[CallRecord] = []
        for process, path in self._running:
            try:
                status = process.wait(max(0.0, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                raise LoadGeneratorError(
                    f"load process {process.pid} did not end within {timeout_s:.0f} s"
                ) from None
            if status != 0:
                raise LoadGeneratorError(f"a load process ended with status {status}")
            records += read_records(path)
        return sorted(records, key=lambda record: record.intended_at)

    def close(self) -> None:
        """Stop processes that still run; for the case of an error."""
        for process, _ in self._running:
            if process.poll() is None:
                process.terminate()
                process.wait()
        self._running.clear()


def read_records(path: Path) -> list[CallRecord]:
    """Read the records that a load process wrote."""
    return msgspec.json.decode(path.read_bytes(), type=list[CallRecord])


def run_process(plan_path: Path, records_path: Path, history_path: Path) -> None:
    """Run one plan in this process and write its records."""
    plan = msgspec.json.decode(plan_path.read_bytes(), type=Plan)
    with FileRecorder(history_path) as history:
        records = run_plan(plan, history)
    records_path.write_bytes(msgspec.json.encode(records))


def lag_s(records: Sequence[CallRecord]) -> list[float]:
    """Return how late each request was started, which shows an overloaded load generator."""
    return [record.started_at - record.intended_at for record in records]
