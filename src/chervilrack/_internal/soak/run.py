"""Run of one soak: load, faults and the check of the promises."""

import dataclasses
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from chervilrack._internal.soak.bed import SoakBed, SoakSize
from chervilrack._internal.soak.checks import violations
from chervilrack._internal.soak.emulation import Emulation
from chervilrack._internal.soak.injection import inject
from chervilrack._internal.soak.plan import SERVED_S, draw_faults, plans
from chervilrack._internal.soak.records import Disruption, Evidence, Violation


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Evidence of one soak and the violations of promises found in it."""

    seed: int
    evidence: Evidence
    violations: list[Violation]

    @property
    def endings(self) -> Counter[str]:
        """Number of requests by ending and status."""
        return Counter(
            f"{attempt.ending.value} {attempt.status or ''}".strip()
            for attempt in self.evidence.attempts
        )


def run_soak(
    emulation: Emulation,
    folder: Path,
    seed: int,
    duration: float,
    size: SoakSize,
    plan_name: str = "mixed",
    kinds: Sequence[str] = (),
    behaviours: Sequence[str] = (),
) -> SoakResult:
    """Run a soak with a load of about ``duration`` seconds.

    Logs and settings files of the nodes are written to ``folder``. ``kinds`` limits the kinds of
    faults of a plan, and ``behaviours`` those of upstreams; if they are empty, all of the plan are
    used.
    """
    with SoakBed(emulation, folder, seed, size) as bed:
        targets = bed.targets
        if behaviours:
            targets = dataclasses.replace(targets, behaviours=behaviours)
        plan = plans.get(plan_name)(seed, duration, targets)
        if kinds:
            end = duration - plan.recovery - SERVED_S
            faults = draw_faults(seed, end, targets, kinds)
            plan = dataclasses.replace(plan, faults=faults)
        bed.start_callers(plan.shortest_work)
        load_started_at = time.monotonic()
        inject(bed, plan.faults, load_started_at)
        bed.evidence.faults_ended_at = time.monotonic()
        # The quiet time starts here and not at its planned time: a node may need its whole
        # grace period to stop, so that faults may end later than planned.
        time.sleep(plan.recovery + SERVED_S)
        bed.evidence.attempts = bed.stop_callers()
        for node in bed.nodes.values():
            if not node.is_running:
                bed.record_exit_problem(
                    f"{node.name} ended by itself with status {node.exit_status}"
                )
        bed.evidence.runs = emulation.runs()
        bed.evidence.arrivals = emulation.arrivals()
        bed.evidence.notices = emulation.notices()
        bed.evidence.crashes = emulation.crashes()
        bed.evidence.disruptions += [
            Disruption("upstream crash", crash.upstream, crash.at, crash.returned_at)
            for crash in bed.evidence.crashes
        ]
        bed.evidence.faults = list(plan.faults)
        bed.evidence.recovery = plan.recovery
        bed.evidence.longest_work = size.longest_work
    return SoakResult(seed, bed.evidence, violations(bed.evidence))
