"""Slopes: how the cost of each role grows with the fleet, measured on one machine."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import asdict
from typing import Any

from chervilrack._internal.common.registry import Registry
from chervilrack._internal.execution.measure import measure_execution
from chervilrack._internal.limits.measure import measure_limits
from chervilrack._internal.membership.measure import measure_membership, measure_view_change
from chervilrack._internal.releases.measure import measure_release_scale
from chervilrack._internal.routing.measure import measure_decision_time

Rows = Sequence[Mapping[str, Any]]

SLOPES: Registry[Callable[[int], Rows]] = Registry("slope")
PAIRED_CALLS = 500
DECISION_SIZES = (6, 60, 600, 3600)


@SLOPES.register("membership")
def membership(seed: int) -> Rows:
    """Heartbeats of each role at 6 to 390 nodes."""
    del seed
    return [asdict(row) for row in measure_membership()]


@SLOPES.register("view-change")
def view_change(seed: int) -> Rows:
    """Bytes of one removal at 100 and 390 nodes."""
    del seed
    return [asdict(row) for size in (100, 390) for row in measure_view_change(size)]


@SLOPES.register("releases")
def releases(seed: int) -> Rows:
    """Snapshots, notes and load times at 5 to 13,000 organisations."""
    return [asdict(row) for row in measure_release_scale(seed)]


@SLOPES.register("limits")
def limits(seed: int) -> Rows:
    """Messages and CPU of limits at 6 to 100 nodes and 24 to 920 upstreams."""
    return [asdict(row) for row in measure_limits(seed=seed)]


@SLOPES.register("routing")
def routing(seed: int) -> Rows:
    """Time of one decision with 6 to 3,600 candidates."""
    return [asdict(row) for row in measure_decision_time(DECISION_SIZES, seed)]


@SLOPES.register("execution")
def execution(seed: int) -> Rows:
    """Cost of one stage call through the runner against the same call made directly."""
    del seed
    return [asdict(measure_execution(PAIRED_CALLS))]


def fit(points: Sequence[tuple[float, float]]) -> tuple[float, float, float]:
    """Return slope, value at 0 and largest relative deviation of a least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    squares = sum((x - mean_x) ** 2 for x, _ in points)
    if squares == 0:
        return 0.0, mean_y, 0.0
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / squares
    start = mean_y - slope * mean_x
    largest = max((abs(y) for _, y in points), default=0.0) or 1.0
    deviation = max(abs(y - start - slope * x) for x, y in points) / largest
    return slope, start, deviation
