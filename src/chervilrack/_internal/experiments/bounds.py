"""Bounds of scenarios: targets that a result meets or misses."""

from collections.abc import Callable
from dataclasses import dataclass

from chervilrack._internal.experiments.result import BoundReport, RunResult

Measure = Callable[[RunResult], float | None]


@dataclass(frozen=True, slots=True)
class Bound:
    """Target for one measured value, with both ends included."""

    name: str
    measure: Measure
    at_least: float | None = None
    at_most: float | None = None

    @property
    def target(self) -> str:
        """Target as text, such as ``>= 0.99``."""
        parts = [f">= {self.at_least:g}"] if self.at_least is not None else []
        parts += [f"<= {self.at_most:g}"] if self.at_most is not None else []
        return " and ".join(parts)

    def report(self, result: RunResult) -> BoundReport:
        """Return whether ``result`` meets the target; None if it was not measured."""
        value = self.measure(result)
        if value is None:
            return BoundReport(self.name, self.target, None, None)
        met = (self.at_least is None or value >= self.at_least) and (
            self.at_most is None or value <= self.at_most
        )
        return BoundReport(self.name, self.target, value, met)


_ZERO_COUNTERS = (
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


def _counter(name: str) -> Bound:
    return Bound(name, lambda result: float(getattr(result, name)), at_most=0)


# Invariants: they hold in every scenario, whatever fails.
SAFETY: tuple[Bound, ...] = (
    *(_counter(name) for name in _ZERO_COUNTERS),
    Bound("release_lag_s", lambda result: result.release_lag_s, at_most=3.0),
    Bound("unexpected", lambda result: float(len(result.unexpected)), at_most=0),
)


def attainment(at_least: float) -> Bound:
    """Return a bound on the share of requests answered whole within their deadline."""
    return Bound("attainment", lambda result: result.attainment, at_least=at_least)


def first_token_ms(at_most: float) -> Bound:
    """Return a bound on the 95th percentile of the time to the first token."""
    return Bound("first_token_ms p95", lambda r: r.first_token_ms.p95, at_most=at_most)


def between_token_ms(at_most: float) -> Bound:
    """Return a bound on the 95th percentile of the time between tokens."""
    return Bound("between_token_ms p95", lambda r: r.between_token_ms.p95, at_most=at_most)


def refusal_ms(at_most: float) -> Bound:
    """Return a bound on the median time to a refusal."""
    return Bound("refusal_ms p50", lambda r: r.refusal_ms.p50, at_most=at_most)


def goodput_share(phase: str, reference: str, at_least: float) -> Bound:
    """Return a bound on the goodput of one part of the run relative to another part."""

    def measure(result: RunResult) -> float | None:
        goodput = result.goodput_rps
        if not goodput.get(reference) or phase not in goodput:
            return None
        return goodput[phase] / goodput[reference]

    return Bound(f"goodput {phase}/{reference}", measure, at_least=at_least)


def mean_use(at_least: float) -> Bound:
    """Return a bound on the mean use of the limit that is fully used first."""
    return Bound("mean_use_over_limit", lambda r: r.mean_use_over_limit, at_least=at_least)


def peak_use(at_least: float) -> Bound:
    """Return a bound on the highest use of the limit that is fully used first."""
    return Bound("peak_use_of_first_limit", lambda r: r.peak_use_of_first_limit, at_least=at_least)


def misses_of_baseline(at_most: float) -> Bound:
    """Return a bound on the misses relative to the better baseline's on the same arrivals.

    Without misses of the baseline, the bound is met only without misses.
    """

    def measure(result: RunResult) -> float | None:
        if result.baseline is None:
            return None
        return _ratio(1 - result.attainment, 1 - result.baseline.attainment)

    return Bound("misses/baseline misses", measure, at_most=at_most)


def others_attainment(noisy: Callable[[RunResult], str], at_least: float) -> Bound:
    """Return a bound on the lowest attainment of all organisations but the noisy one."""
    return Bound(
        "attainment of the others",
        lambda result: _lowest_of_others(result, noisy(result)),
        at_least=at_least,
    )


def others_misses_of_baseline(noisy: Callable[[RunResult], str], at_most: float) -> Bound:
    """Return a bound on those organisations' misses relative to the baseline's."""

    def measure(result: RunResult) -> float | None:
        if result.baseline is None:
            return None
        own = _lowest_of_others(result, noisy(result))
        other = _lowest_of_others(result.baseline, noisy(result))
        return None if own is None or other is None else _ratio(1 - own, 1 - other)

    return Bound("misses/baseline misses of the others", measure, at_most=at_most)


def _lowest_of_others(result: RunResult, noisy: str) -> float | None:
    shares = result.attainment_by_organisation
    return min((share for name, share in shares.items() if name != noisy), default=None)


def _ratio(own: float, other: float) -> float:
    if other <= 0:
        return 0.0 if own <= 0 else float("inf")
    return own / other
