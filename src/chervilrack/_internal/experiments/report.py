"""Tables and plots of result files."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from chervilrack._internal.exceptions import ChervilrackError
from chervilrack._internal.experiments.result import BoundReport, RunResult


class PlotsUnavailableError(ChervilrackError):
    """The optional plotting library is not installed."""

    def __init__(self) -> None:
        super().__init__("plots need matplotlib; install it with: pip install 'chervilrack[plots]'")


_COUNTERS = (
    "lost_results",
    "duplicated_results",
    "misdelivered_results",
    "executed_after_refusal",
    "duplicate_executions",
    "limit_violations",
    "release_reversions",
    "dispatches_after_withdrawal",
    "requests_cut_by_planned_stop",
)


def result_rows(results: Sequence[RunResult]) -> list[Mapping[str, Any]]:
    """Return one table row per result, and one per baseline below it."""
    rows: list[Mapping[str, Any]] = []
    for result in results:
        rows.append(_row(result, result.scenario))
        if result.baseline is not None:
            rows.append(_row(result.baseline, "  baseline"))
    return rows


def _row(result: RunResult, name: str) -> dict[str, Any]:
    met = sum(bound.met is True for bound in result.bounds)
    measured = sum(bound.met is not None for bound in result.bounds)
    return {
        "scenario": name,
        "profile": result.profile,
        "policy": result.policy,
        "seed": result.seed,
        "offered": result.offered,
        "attainment": round(result.attainment, 4),
        "p95 ms": result.latency_ms.p95,
        "first token p95": result.first_token_ms.p95,
        "between p95": result.between_token_ms.p95,
        "use": round(result.mean_use_over_limit, 3),
        "broken": sum(getattr(result, counter) for counter in _COUNTERS),
        "bounds met": f"{met}/{measured}" if result.bounds else None,
    }


def bound_rows(bounds: Sequence[BoundReport]) -> list[Mapping[str, Any]]:
    """Return one table row per bound."""
    words = {True: "met", False: "MISSED", None: "not measured"}
    return [
        {
            "bound": bound.name,
            "target": bound.target,
            "measured": bound.measured,
            "result": words[bound.met],
        }
        for bound in bounds
    ]


def cost_rows(result: RunResult) -> list[Mapping[str, Any]]:
    """Return one table row per stage and service with the load that its team served."""
    return [
        {
            "stage": stage,
            "team": cost.team,
            "requests": cost.requests,
            "service s": round(cost.service_s, 1),
            "tokens": cost.tokens,
        }
        for stage, cost in result.cost_by_stage.items()
    ]


def plot_results(results: Sequence[RunResult], path: Path) -> None:
    """Draw attainment and latency of each result next to its baseline's.

    Raises PlotsUnavailableError without matplotlib.
    """
    try:
        import matplotlib as mpl
    except ImportError:
        raise PlotsUnavailableError from None
    mpl.use("Agg")
    from matplotlib import pyplot as plt

    names = [result.scenario for result in results]
    figure, (shares, times) = plt.subplots(
        1, 2, figsize=(12, 1.5 + 0.4 * len(names)), sharey=True, layout="constrained"
    )
    for offset, label, chosen in (
        (-0.2, "policy", list(results)),
        (0.2, "baseline", [result.baseline for result in results]),
    ):
        for row, result in enumerate(chosen):
            if result is None:
                continue
            colour = "C0" if label == "policy" else "C1"
            shares.barh(row + offset, result.attainment, 0.4, color=colour)
            times.barh(row + offset, result.latency_ms.p95 or 0.0, 0.4, color=colour)
    shares.set_yticks(range(len(names)), names)
    shares.set_xlabel("attainment (blue: policy, orange: baseline)")
    times.set_xlabel("latency, 95th percentile, ms")
    figure.savefig(path)
    plt.close(figure)
