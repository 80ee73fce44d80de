"""Run of one soak: load, faults and the check of the promises."""

import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from chervilrack._internal.soak.bed import SoakBed, SoakSize
from chervilrack._internal.soak.checks import violations
from chervilrack._internal.soak.emulation import Emulation
from chervilrack._internal.soak.injection import inject
from chervilrack._internal.soak.plan import QUIET_S, draw_plan
from chervilrack._internal.soak.records import Evidence, Violation


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
    kinds: Sequence[str] = (),
) -> SoakResult:
    """Run a soak with a load of about ``duration`` seconds.

    Logs and settings files of the nodes are written to ``folder``. ``kinds`` limits the kinds of
    faults; if it is empty, all kinds are used.
    """
    with SoakBed(emulation, folder, seed, size) as bed:
        plan = draw_plan(seed, duration, bed.targets, kinds)
        bed.start_callers()
        load_started_at = time.monotonic()
        inject(bed, plan, load_started_at)
        bed.evidence.faults_ended_at = time.monotonic()
        # The quiet time starts here and not at its planned time: a node may need its whole
        # grace period to stop, so that faults may end later than planned.
        time.sleep(QUIET_S)
        bed.evidence.attempts = bed.stop_callers()
        for node in bed.nodes.values():
            if not node.is_running:
                bed.record_exit_problem(
                    f"{node.name} ended by itself with status {node.exit_status}"
                )
        bed.evidence.runs = emulation.runs()
        bed.evidence.faults = plan
    return SoakResult(seed, bed.evidence, violations(bed.evidence))
