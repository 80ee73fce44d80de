"""Runs a scenario on a test bed, with a baseline policy on the same arrivals if asked to."""

import logging
import tempfile
import threading
import time
from collections.abc import Sequence
from pathlib import Path

import msgspec

from chervilrack._internal.exceptions import ChervilrackError
from chervilrack._internal.experiments.arrivals import Arrival, generate_arrivals
from chervilrack._internal.experiments.bounds import SAFETY
from chervilrack._internal.experiments.evaluate import RunEvidence, evaluate
from chervilrack._internal.experiments.faults import FaultContext, TimedFault
from chervilrack._internal.experiments.loadgen import START_DELAY_S, LoadGenerator, Plan
from chervilrack._internal.experiments.merge import merge_results
from chervilrack._internal.experiments.monitor import (
    ReleaseMonitor,
    control_use,
    overheads,
    release_lag_s,
)
from chervilrack._internal.experiments.profile import Profile
from chervilrack._internal.experiments.result import PlatformUse, RunResult
from chervilrack._internal.experiments.scenarios import SCENARIOS, Scenario
from chervilrack._internal.experiments.testbed import (
    NodeInfo,
    TestBed,
    TestBedFactory,
    TestBedOptions,
)
from chervilrack._internal.history.events import Event, LimitInForce
from chervilrack._internal.history.recorder import FileRecorder, read_history

logger = logging.getLogger(__name__)

# Control overhead is measured this long, after the nodes had the same time to settle.
IDLE_S = 2.0
# Requests end at most deadline and grace after the last arrival; the rest is for slow machines.
WAIT_S = 30.0


class NoRequestsError(ChervilrackError):
    """A run is too short for a single request."""


class Experiment:
    """One scenario with one profile, seed and duration.

    ``history_path`` keeps the history of the last run; without it a temporary file is used.
    """

    def __init__(
        self,
        scenario_name: str,
        profile: Profile,
        test_beds: TestBedFactory,
        *,
        seed: int,
        duration_s: float,
        load_processes: int = 2,
        idle_s: float = IDLE_S,
        start_delay_s: float = START_DELAY_S,
        history_path: Path | None = None,
    ) -> None:
        self._name = scenario_name
        self._profile = profile
        self._test_beds = test_beds
        self._seed = seed
        self._duration_s = duration_s
        self._load_processes = load_processes
        self._idle_s = idle_s
        self._start_delay_s = start_delay_s
        self._history_path = history_path

    def run(self, policy: str, baselines: Sequence[str] = ()) -> RunResult:
        """Run the scenario and return its result with all bounds.

        With baselines there are two rounds of all policies on the same arrivals, the second in
        reverse order, so that a drift of the machine's speed affects all alike. The baseline with
        the higher attainment becomes ``baseline`` of the result.
        """
        order = [policy, *baselines]
        rounds = [order, order[::-1]] if baselines else [order]
        results: dict[str, list[RunResult]] = {name: [] for name in order}
        for number, policies in enumerate(rounds):
            for name in policies:
                results[name].append(self._run_once(name, self._seed + number))
        own, *others = (merge_results(results[name]) for name in order)
        better = max(others, key=lambda result: result.attainment, default=None)
        own = msgspec.structs.replace(
            own, baseline=better, baseline_rounds=len(rounds) if baselines else 0
        )
        scenario = SCENARIOS.get(self._name)(self._profile)
        reports = tuple(bound.report(own) for bound in (*scenario.bounds, *SAFETY))
        return msgspec.structs.replace(own, bounds=reports)

    def _run_once(self, policy: str, seed: int) -> RunResult:
        scenario = SCENARIOS.get(self._name)(self._profile)
        arrivals = generate_arrivals(self._profile, scenario.workload, seed, self._duration_s)
        if not arrivals:
            raise NoRequestsError(f"no request arrives within {self._duration_s} s; run longer")
        with tempfile.TemporaryDirectory() as scratch:
            folder = Path(scratch)
            history_path = self._history_path or folder / "history.jsonl"
            history_path.unlink(missing_ok=True)
            options = TestBedOptions(self._profile, policy, seed, scenario.report_lag_s)
            with self._test_beds(options) as bed, FileRecorder(history_path) as history:
                evidence = self._observe(
                    bed, scenario, arrivals, seed, folder, history_path, history
                )
            return evaluate(
                self._profile, self._name, scenario, policy, seed, self._duration_s, evidence
            )

    def _observe(
        self,
        bed: TestBed,
        scenario: Scenario,
        arrivals: Sequence[Arrival],
        seed: int,
        folder: Path,
        history_path: Path,
        history: FileRecorder,
    ) -> RunEvidence:
        """Measure the idle cluster, then offer the load while faults take their course."""
        begun = time.monotonic()
        for limit, capacity in self._profile.limit_capacities().items():
            history.record(LimitInForce(at=begun, limit=limit, capacity=capacity))
        time.sleep(self._idle_s)
        before = overheads(bed)
        time.sleep(self._idle_s)
        idle = control_use(before, overheads(bed))
        context = FaultContext(bed, seed, history)
        known: dict[str, NodeInfo] = {info.node: info for info in bed.nodes()}
        calls = bed.platform_calls()
        started_at = time.monotonic() + self._start_delay_s
        load = LoadGenerator(folder, history_path, self._load_processes)
        try:
            load.start(self._plan(bed, arrivals, started_at))
            with ReleaseMonitor(bed, history):
                faults = _FaultThread(scenario.faults, context, started_at, self._duration_s)
                faults.start()
                wait_s = self._start_delay_s + self._duration_s + self._profile.deadline_s + WAIT_S
                records = load.wait(wait_s)
                faults.finish()
        finally:
            load.close()
        ended_at = time.monotonic()
        later = bed.platform_calls()
        seconds = ended_at - started_at + self._start_delay_s
        known.update({info.node: info for info in bed.nodes()})
        events: list[Event] = read_history(history_path)
        running = [info.node for info in bed.nodes()]
        return RunEvidence(
            records=records,
            events=events,
            standins=bed.records(),
            nodes=tuple(known.values()),
            log=context.log,
            started_at=started_at,
            ended_at=ended_at,
            release_lag_s=release_lag_s(events, running, context.log, ended_at),
            platform=PlatformUse(
                (later.reads - calls.reads) / seconds, (later.writes - calls.writes) / seconds
            ),
            control=idle,
            unexpected=(*context.unexpected, *faults.errors),
        )

    def _plan(self, bed: TestBed, arrivals: Sequence[Arrival], started_at: float) -> Plan:
        return Plan(
            arrivals=tuple(arrivals),
            start_at=started_at,
            bootstrap=tuple(info.address for info in bed.nodes()),
            keys={entry.id: entry.key for entry in self._profile.organisations},
            latency_s=self._profile.to_clients_ms / 1000,
            deadline_s=self._profile.deadline_s,
        )


class _FaultThread:
    """Runs the actions of a scenario at their times, one after the other."""

    def __init__(
        self,
        faults: Sequence[TimedFault],
        context: FaultContext,
        started_at: float,
        duration_s: float,
    ) -> None:
        self._faults = sorted(faults, key=lambda fault: fault.at)
        self._context = context
        self._started_at = started_at
        self._duration_s = duration_s
        self._errors: list[str] = []
        self._thread = threading.Thread(target=self._run, name="faults", daemon=True)

    @property
    def errors(self) -> tuple[str, ...]:
        """Actions that failed; they make the run fail its bounds."""
        return tuple(self._errors)

    def start(self) -> None:
        """Begin to wait for the first action."""
        self._thread.start()

    def finish(self) -> None:
        """Wait for the last action to end."""
        self._thread.join()

    def _run(self) -> None:
        for fault in self._faults:
            due = self._started_at + fault.at * self._duration_s
            time.sleep(max(0.0, due - time.monotonic()))
            logger.info("experiments: %s", fault.name)
            try:
                fault.action(self._context)
            except Exception as error:
                logger.exception("experiments: '%s' failed", fault.name)
                self._errors.append(f"'{fault.name}' failed: {error}")
