"""Turns the records of a run into its result."""

import re
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from chervilrack._internal.common.ids import AttemptId, OrganisationId, RequestId
from chervilrack._internal.experiments.callers import CallRecord, Outcome
from chervilrack._internal.experiments.faults import FaultLog
from chervilrack._internal.experiments.profile import Profile
from chervilrack._internal.experiments.result import (
    ControlUse,
    LatencyRecorder,
    Outcomes,
    Percentiles,
    PlatformUse,
    RunResult,
)
from chervilrack._internal.experiments.scenarios.base import Scenario
from chervilrack._internal.experiments.testbed import NodeInfo, StandinRecord
from chervilrack._internal.experiments.usage import (
    cost_by_stage,
    mean_concurrency,
    peak_share,
    use_at_arrivals,
    work_by_limit,
)
from chervilrack._internal.history.checker import Promise, Violation, check_history
from chervilrack._internal.history.events import (
    Dispatched,
    Event,
    ExecutionEnded,
    ExecutionStarted,
    LimitInForce,
    PlannedStopBegan,
    RequestCut,
)
from chervilrack._internal.releases.state import LimitKind, limit_id

_MAX_LISTED = 20  # violations that a result file lists; the counters cover all


@dataclass(frozen=True, slots=True)
class RunEvidence:
    """Everything that one run left behind."""

    records: Sequence[CallRecord]
    events: Sequence[Event]
    standins: Sequence[StandinRecord]
    nodes: Sequence[NodeInfo]
    log: FaultLog
    started_at: float
    ended_at: float
    release_lag_s: float | None
    platform: PlatformUse
    control: ControlUse
    unexpected: tuple[str, ...] = ()


def evaluate(
    profile: Profile,
    scenario_name: str,
    scenario: Scenario,
    policy: str,
    seed: int,
    duration_s: float,
    evidence: RunEvidence,
) -> RunResult:
    """Return the result of one run, without bounds."""
    records = evidence.records
    work = work_by_limit(profile, evidence.standins)
    used = {limit: use_at_arrivals(limit, items) for limit, items in work.items()}
    events = [
        *evidence.events,
        *standin_events(evidence.standins),
        *(event for items in used.values() for event in items),
        *cut_requests(evidence),
    ]
    in_force = [event for event in evidence.events if isinstance(event, LimitInForce)]
    violations = check_history(events)
    counts = Counter(violation.promise for violation in violations)
    first_limit = limit_id("team", profile.bottleneck().split()[1], LimitKind.CONCURRENCY)
    peaks = {
        limit: peak_share(items, [event for event in in_force if event.limit == limit])
        for limit, items in used.items()
    }
    use_start, use_end = (evidence.started_at + share * duration_s for share in scenario.use_window)
    answers = [r for r in records if r.outcome in (Outcome.ANSWERED, Outcome.LATE)]
    return RunResult(
        scenario=scenario_name,
        profile=profile.name,
        policy=policy,
        seed=seed,
        duration_s=duration_s,
        offered=len(records),
        attainment=_attainment(records),
        attainment_by_organisation=_by(records, lambda record: record.organisation),
        attainment_by_pipeline=_by(records, lambda record: record.target),
        latency_ms=_percentiles(record.ended_at - record.intended_at for record in answers),
        first_token_ms=_percentiles(
            r.first_token_s for r in answers if r.first_token_s is not None
        ),
        between_token_ms=_percentiles(gap for r in answers for gap in r.between_tokens_s),
        refusal_ms=_percentiles(refusal.seconds for r in records for refusal in r.refusals),
        outcomes=Outcomes(**Counter(record.outcome.value for record in records)),
        lost_results=counts[Promise.LOST_RESULT] + _hung(records, evidence.log),
        duplicated_results=counts[Promise.DUPLICATED_RESULT],
        misdelivered_results=counts[Promise.DELIVERY],
        executed_after_refusal=counts[Promise.TRUE_REFUSAL],
        duplicate_executions=counts[Promise.AT_MOST_ONCE],
        limit_violations=counts[Promise.LIMIT],
        peak_use_over_limit=max(peaks.values(), default=0.0),
        peak_use_of_first_limit=peaks[first_limit],
        mean_use_over_limit=mean_concurrency(work[first_limit], use_start, use_end)
        / profile.limit_capacities()[first_limit],
        release_lag_s=evidence.release_lag_s,
        release_reversions=counts[Promise.RELEASE_ORDER] + counts[Promise.RELEASE_AGREEMENT],
        dispatches_after_withdrawal=counts[Promise.WITHDRAWAL_BOUND],
        requests_cut_by_planned_stop=counts[Promise.PLANNED_STOP],
        cost_by_stage=cost_by_stage(profile, evidence.standins, evidence.ended_at),
        platform=evidence.platform,
        control=evidence.control,
        goodput_rps={
            name: _goodput(
                # Plain services are far from their limits; their answers would hide a loss.
                [record for record in records if record.target == profile.pipeline],
                evidence.started_at,
                start * duration_s,
                end * duration_s,
            )
            for name, (start, end) in scenario.windows.items()
        },
        load_generator_lag_ms=_percentiles(
            record.started_at - record.intended_at for record in records
        ),
        endings=_endings(records),
        violations=tuple(_line(violation) for violation in violations[:_MAX_LISTED]),
        unexpected=evidence.unexpected,
    )


def standin_events(records: Iterable[StandinRecord]) -> list[Event]:
    """Return dispatches and executions as events.

    Stand-ins count executions without times; each is dated by the arrival of the request.
    """
    events: list[Event] = []
    for record in records:
        by_request: dict[tuple[str, str], list[ExecutionStarted]] = {}
        for arrival in record.arrivals:
            attempt = AttemptId(arrival.attempt)
            events.append(Dispatched(at=arrival.at, upstream=record.upstream, attempt=attempt))
            start = ExecutionStarted(
                at=arrival.at,
                upstream=record.upstream,
                served_as=RequestId(arrival.served_as),
                attempt=attempt,
                organisation=OrganisationId(arrival.organisation),
                idempotency_key=arrival.idempotency_key or None,  # type: ignore[arg-type]
            )
            key = (arrival.served_as, arrival.idempotency_key)
            by_request.setdefault(key, []).append(start)
        for key, count in record.executions.items():
            starts = by_request[key]
            for number in range(count):
                start = starts[min(number, len(starts) - 1)]
                events.append(start)
                ended = record.ended.get(start.attempt)
                if ended is not None:
                    events.append(
                        ExecutionEnded(
                            at=ended,
                            upstream=record.upstream,
                            attempt=start.attempt,
                            outcome="ended",
                        )
                    )
    return events


def cut_requests(evidence: RunEvidence) -> list[Event]:
    """Return requests that were cut off at nodes and upstreams during planned stops."""
    nodes = {info.address: info.node for info in evidence.nodes}
    events: list[Event] = [
        RequestCut(at=cut.at, subject=nodes[cut.address], request=RequestId(record.request))
        for record in evidence.records
        for cut in record.breaks
        if cut.address in nodes
    ]
    began = {
        event.subject: event.at for event in evidence.events if isinstance(event, PlannedStopBegan)
    }
    for record in evidence.standins:
        # Stand-ins do not date their cuts. A planned stop is the only stop they have.
        if record.cut_off and record.upstream in began:
            events += [
                RequestCut(
                    at=began[record.upstream], subject=record.upstream, request=RequestId(request)
                )
                for request in record.cut_off
            ]
    return events


def _hung(records: Iterable[CallRecord], log: FaultLog) -> int:
    """Count requests without an answer from a node that had no fault meanwhile."""
    return sum(
        record.hung
        and not log.faulty_address(record.addresses[-1], record.intended_at, record.ended_at)
        for record in records
    )


def _attainment(records: Sequence[CallRecord]) -> float:
    return sum(r.outcome is Outcome.ANSWERED for r in records) / len(records)


def _by(records: Sequence[CallRecord], key: Callable[[CallRecord], str]) -> dict[str, float]:
    names = sorted({key(record) for record in records})
    return {name: _attainment([r for r in records if key(r) == name]) for name in names}


def _goodput(records: Sequence[CallRecord], started_at: float, start: float, end: float) -> float:
    answered = sum(
        r.outcome is Outcome.ANSWERED and start <= r.intended_at - started_at < end for r in records
    )
    return answered / (end - start)


def _endings(records: Iterable[CallRecord]) -> dict[str, int]:
    counts: Counter[str] = Counter()
    for record in records:
        if record.outcome is not Outcome.ANSWERED:
            codes = f" {record.refusals[-1].code}" if record.refusals else ""
            # Numbers in details (addresses, durations) differ by request.
            detail = re.sub(r"\d+", "#", record.detail)
            counts[f"{record.outcome.value}{codes}: {detail}"] += 1
    return dict(counts.most_common(_MAX_LISTED))


def _percentiles(seconds: Iterable[float]) -> Percentiles:
    return LatencyRecorder(seconds).percentiles()


def _line(violation: Violation) -> str:
    return f"{violation.at:.3f} {violation.promise.value} {violation.subject}: {violation.detail}"
