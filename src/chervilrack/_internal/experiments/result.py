"""Result of an experiment run: figures, counters and bounds, as written to a JSON file."""

import math
from collections.abc import Iterable, Mapping
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram

from chervilrack._internal.experiments.usage import StageCost

# Latencies are recorded in microseconds up to 60 s, ten times the longest deadline, with a
# relative error below 0.1 %.
_HIGHEST_US = 60_000_000
_DIGITS = 3


class Percentiles(msgspec.Struct, frozen=True):
    """Percentiles in milliseconds; None without measurements."""

    p50: float | None = None
    p95: float | None = None
    p99: float | None = None


class Outcomes(msgspec.Struct, frozen=True):
    """How many requests ended in which way for their callers."""

    answered: int = 0
    late: int = 0
    refused_not_executed: int = 0
    failed: int = 0
    unknown: int = 0


class PlatformUse(msgspec.Struct, frozen=True):
    """Calls to the platform service per second of the whole cluster."""

    reads_per_s: float = 0.0
    writes_per_s: float = 0.0


class ControlUse(msgspec.Struct, frozen=True):
    """Mean overhead per node, measured while no requests arrive. None: no node was measured."""

    cpu_share: float | None = None
    rss_mb: float | None = None
    bytes_per_s: float | None = None


class BoundReport(msgspec.Struct, frozen=True):
    """One bound of a scenario; ``met`` is None if the run did not measure it."""

    name: str
    target: str
    measured: float | None
    met: bool | None


class RunResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one run, or of several rounds taken together.

    ``latency_ms`` covers whole answers, late ones included; ``refusal_ms`` covers each refused
    attempt. ``peak_use_over_limit`` is the highest use of any limit as a share of it;
    ``peak_use_of_first_limit`` and ``mean_use_over_limit`` are about the limit that is fully used
    first.
    """

    scenario: str
    profile: str
    policy: str
    seed: int
    duration_s: float
    offered: int
    attainment: float
    attainment_by_organisation: Mapping[str, float]
    attainment_by_pipeline: Mapping[str, float]
    latency_ms: Percentiles
    first_token_ms: Percentiles
    between_token_ms: Percentiles
    refusal_ms: Percentiles
    outcomes: Outcomes
    lost_results: int
    duplicated_results: int
    misdelivered_results: int
    executed_after_refusal: int
    duplicate_executions: int
    limit_violations: int
    peak_use_over_limit: float
    peak_use_of_first_limit: float
    mean_use_over_limit: float
    release_lag_s: float | None
    release_reversions: int
    dispatches_after_withdrawal: int
    requests_cut_by_planned_stop: int
    cost_by_stage: Mapping[str, StageCost]
    platform: PlatformUse
    control: ControlUse
    goodput_rps: Mapping[str, float]
    load_generator_lag_ms: Percentiles
    endings: Mapping[str, int] = {}
    violations: tuple[str, ...] = ()
    unexpected: tuple[str, ...] = ()
    bounds: tuple[BoundReport, ...] = ()
    baseline: "RunResult | None" = None
    baseline_rounds: int = 0

    @property
    def missed(self) -> list[BoundReport]:
        """Bounds that were measured and missed."""
        return [bound for bound in self.bounds if bound.met is False]


class LatencyRecorder:
    """Latencies in an HdrHistogram. Values beyond 60 s are counted as 60 s."""

    def __init__(self, seconds: Iterable[float] = ()) -> None:
        self._histogram = HdrHistogram(1, _HIGHEST_US, _DIGITS)
        for value in seconds:
            self.record(value)

    def record(self, seconds: float) -> None:
        """Add one value."""
        microseconds = math.ceil(max(0.0, seconds) * 1e6)
        self._histogram.record_value(min(max(1, microseconds), _HIGHEST_US))

    def percentiles(self) -> Percentiles:
        """Return the percentiles in milliseconds."""
        if self._histogram.get_total_count() == 0:
            return Percentiles()
        return Percentiles(
            *(
                round(self._histogram.get_value_at_percentile(share) / 1000, 3)
                for share in (50, 95, 99)
            )
        )


def write_result(result: RunResult, path: Path) -> None:
    """Write a result as indented JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=2) + b"\n")


def read_result(path: Path) -> RunResult:
    """Read a result; raises msgspec.DecodeError that names the wrong field."""
    return msgspec.json.decode(path.read_bytes(), type=RunResult)
