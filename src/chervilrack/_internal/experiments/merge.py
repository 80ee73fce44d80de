"""Takes the results of several rounds together."""

from collections import Counter
from collections.abc import Mapping, Sequence

import msgspec

from chervilrack._internal.experiments.result import (
    ControlUse,
    Outcomes,
    Percentiles,
    PlatformUse,
    RunResult,
)
from chervilrack._internal.experiments.usage import StageCost

_SUMS = (
    "offered",
    "lost_results",
    "duplicated_results",
    "misdelivered_results",
    "executed_after_refusal",
    "duplicate_executions",
    "limit_violations",
    "release_reversions",
    "dispatches_after_withdrawal",
    "requests_cut_by_planned_stop",
    "violations",
    "unexpected",
)
_MAXIMA = ("peak_use_over_limit", "peak_use_of_first_limit")
_MEANS = ("duration_s", "mean_use_over_limit")
_SHARES = ("attainment_by_organisation", "attainment_by_pipeline", "goodput_rps")
_PERCENTILES = (
    "latency_ms",
    "first_token_ms",
    "between_token_ms",
    "refusal_ms",
    "load_generator_lag_ms",
)


def merge_results(results: Sequence[RunResult]) -> RunResult:
    """Return one result for rounds of equal length.

    Counters are added, and the attainment weighs every request alike. Percentiles, use, goodput
    and shares by organisation and pipeline are means over the rounds; the release lag and the peak
    use are maxima. The seed is that of the first round.
    """
    if len(results) == 1:
        return results[0]
    first = results[0]
    offered = sum(result.offered for result in results)
    answered = sum(result.outcomes.answered for result in results)
    changed: dict[str, object] = {"attainment": answered / offered}
    for name in _SUMS:
        values = [getattr(result, name) for result in results]
        changed[name] = sum(values[1:], start=values[0])
    for name in _MAXIMA:
        changed[name] = max(getattr(result, name) for result in results)
    for name in _MEANS:
        changed[name] = sum(getattr(result, name) for result in results) / len(results)
    for name in _SHARES:
        changed[name] = _mean_mapping([getattr(result, name) for result in results])
    for name in _PERCENTILES:
        parts = [getattr(result, name) for result in results]
        changed[name] = Percentiles(*_mean_fields(parts, Percentiles))
    endings: Counter[str] = Counter()
    for result in results:
        endings.update(result.endings)
    changed["endings"] = dict(endings.most_common())
    lags = [result.release_lag_s for result in results if result.release_lag_s is not None]
    changed["release_lag_s"] = max(lags, default=None)
    changed["outcomes"] = Outcomes(
        *(
            sum(getattr(result.outcomes, name) for result in results)
            for name in Outcomes.__struct_fields__
        )
    )
    changed["platform"] = PlatformUse(
        *(value or 0.0 for value in _mean_fields([r.platform for r in results], PlatformUse))
    )
    changed["control"] = ControlUse(*_mean_fields([r.control for r in results], ControlUse))
    changed["cost_by_stage"] = {
        stage: StageCost(
            first.cost_by_stage[stage].team,
            sum(result.cost_by_stage[stage].requests for result in results),
            sum(result.cost_by_stage[stage].service_s for result in results),
            sum(result.cost_by_stage[stage].tokens for result in results),
        )
        for stage in first.cost_by_stage
    }
    return msgspec.structs.replace(first, **changed)


def _mean_mapping(parts: Sequence[Mapping[str, float]]) -> dict[str, float]:
    names = sorted({name for part in parts for name in part})
    values = {name: [part[name] for part in parts if name in part] for name in names}
    return {name: sum(found) / len(found) for name, found in values.items()}


def _mean_fields(parts: Sequence[msgspec.Struct], kind: type[msgspec.Struct]) -> list[float | None]:
    means: list[float | None] = []
    for name in kind.__struct_fields__:
        values = [getattr(part, name) for part in parts if getattr(part, name) is not None]
        means.append(sum(values) / len(values) if values else None)
    return means
