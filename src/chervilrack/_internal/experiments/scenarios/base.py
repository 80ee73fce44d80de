"""What a scenario is made of."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from chervilrack._internal.common.registry import Registry
from chervilrack._internal.experiments.arrivals import Workload
from chervilrack._internal.experiments.bounds import Bound
from chervilrack._internal.experiments.faults import TimedFault
from chervilrack._internal.experiments.profile import Profile


@dataclass(frozen=True, slots=True)
class Scenario:
    """Arrivals, faults over time, and bounds beyond the safety counters.

    ``windows`` name parts of the run (fractions of its duration) whose goodput is reported.
    ``use_window`` is the part in which the mean use of the first limit is measured.
    ``report_lag_s`` is the age of the load reports and cache events of upstreams.
    """

    summary: str
    workload: Workload
    faults: tuple[TimedFault, ...] = ()
    bounds: tuple[Bound, ...] = ()
    windows: Mapping[str, tuple[float, float]] = field(default_factory=dict)
    use_window: tuple[float, float] = (0.1, 0.9)
    report_lag_s: float = 0.0


SCENARIOS: Registry[Callable[[Profile], Scenario]] = Registry("scenario")
