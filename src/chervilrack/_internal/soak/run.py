"""Runs one soak: load, faults at their times, and the verdict."""

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
    """Verdict of a soak, with what it saw."""

    seed: int
    evidence: Evidence
    violations: list[Violation]

    @property
    def endings(self) -> Counter[str]:
        """Attempts by how they ended."""
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
    """Run a soak of about ``duration`` seconds; logs and settings of the nodes go to ``folder``."""
    with SoakBed(emulation, folder, seed, size) as bed:
        plan = draw_plan(seed, duration, bed.targets, kinds)
        bed.start_callers()
        started = time.monotonic()
        inject(bed, plan, started)
        bed.evidence.quiet_from = time.monotonic()
        # A node may need its whole grace to stop, so that faults may end later than planned.
        time.sleep(QUIET_S)
        bed.evidence.attempts = bed.stop_callers()
        for node in bed.nodes.values():
            if not node.is_running:
                bed.note_exit(f"{node.name} ended by itself with status {node.exit_status}")
        bed.evidence.runs = emulation.runs()
        bed.evidence.faults = plan
    return SoakResult(seed, bed.evidence, violations(bed.evidence))
