"""Checks a recorded history against the invariants of the design page."""

from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

from chervilrack._internal.common.registry import Registry
from chervilrack._internal.common.results import Executed
from chervilrack._internal.history.events import (
    Dispatched,
    Event,
    ExecutionStarted,
    LimitInForce,
    LimitUsed,
    PlannedStopBegan,
    PlannedStopEnded,
    ReleaseAccepted,
    ReleaseApplied,
    RequestAnswered,
    RequestCut,
    RequestFailed,
    RequestRefused,
    RequestSent,
    UpstreamAdded,
    WithdrawalAccepted,
)

# Every node applies an accepted release within this time (design page, invariants 5 and 7).
RELEASE_BOUND_S = 3.0


class Promise(Enum):
    """Properties that every history must have; each check covers one of them."""

    AT_MOST_ONCE = "at-most-once"
    TRUE_REFUSAL = "true-refusal"
    RELEASE_ORDER = "release-order"
    RELEASE_AGREEMENT = "release-agreement"
    WITHDRAWAL_BOUND = "withdrawal-bound"
    DELIVERY = "delivery"
    LOST_RESULT = "lost-result"
    DUPLICATED_RESULT = "duplicated-result"
    LIMIT = "limit"
    PLANNED_STOP = "planned-stop"


@dataclass(frozen=True, slots=True)
class Violation:
    """One event that breaks a promise.

    ``subject`` is the id of the request, node, upstream, limit or release note concerned, or the
    idempotency key of the order.
    """

    promise: Promise
    at: float
    subject: str
    detail: str


E = TypeVar("E")


class History:
    """Events of a run, grouped by type and ordered by time."""

    def __init__(self, events: Sequence[Event]) -> None:
        self._events_by_type: dict[type[object], list[Event]] = defaultdict(list)
        for event in sorted(events, key=lambda event: event.at):
            self._events_by_type[type(event)].append(event)

    def of_type(self, event_type: type[E]) -> list[E]:
        """Return all events of type ``event_type``, ordered by time."""
        return self._events_by_type.get(event_type, [])  # type: ignore[return-value]

    def merged(self, *event_types: type[Event]) -> list[Event]:
        """Return all events of the given types, ordered by time."""
        events = [
            event
            for event_type in event_types
            for event in self._events_by_type.get(event_type, [])
        ]
        return sorted(events, key=lambda event: event.at)


Check = Callable[[History], Iterator[Violation]]
CHECKS: Registry[Check] = Registry("history check")


def check_history(events: Sequence[Event]) -> list[Violation]:
    """Return the violations that all registered checks find in ``events``, ordered by time."""
    history = History(events)
    violations = [violation for name in CHECKS for violation in CHECKS.get(name)(history)]
    return sorted(violations, key=lambda violation: (violation.at, violation.promise.value))


@CHECKS.register("at-most-once")
def _check_at_most_once(history: History) -> Iterator[Violation]:
    """Find orders that upstreams executed more than once.

    The executions may belong to different nodes, upstreams or attempts.
    """
    first_starts: dict[tuple[str, str], ExecutionStarted] = {}
    for start in history.of_type(ExecutionStarted):
        if start.idempotency_key is None:
            continue
        order = (start.organisation, start.idempotency_key)
        earlier = first_starts.get(order)
        if earlier is None:
            first_starts[order] = start
        else:
            detail = (
                f"attempt {start.attempt} at {start.upstream} ran the order again after "
                f"attempt {earlier.attempt} at {earlier.upstream}"
            )
            yield Violation(Promise.AT_MOST_ONCE, start.at, start.idempotency_key, detail)


@CHECKS.register("true-refusal")
def _check_true_refusals(history: History) -> Iterator[Violation]:
    """Find attempts that a node refused as not executed although an upstream executed them.

    The execution may start before or after the refusal.
    """
    starts: dict[str, ExecutionStarted] = {}
    for start in history.of_type(ExecutionStarted):
        starts.setdefault(start.served_as, start)
    for refusal in history.of_type(RequestRefused):
        if refusal.executed is not Executed.NO or refusal.served_as is None:
            continue
        execution = starts.get(refusal.served_as)
        if execution is not None:
            detail = (
                f"{refusal.served_as} was refused as not executed but ran at {execution.upstream}"
            )
            yield Violation(Promise.TRUE_REFUSAL, refusal.at, refusal.request, detail)


@CHECKS.register("release-order")
def _check_release_order(history: History) -> Iterator[Violation]:
    """Find processes that applied a release older than one they had applied before.

    A restarted process has a new incarnation and may apply an older release at first.
    """
    newest_revisions: dict[tuple[str, str], int] = {}
    for applied in history.of_type(ReleaseApplied):
        process = (applied.node, applied.incarnation)
        if applied.revision < newest_revisions.get(process, 0):
            detail = f"went back from revision {newest_revisions[process]} to {applied.revision}"
            yield Violation(Promise.RELEASE_ORDER, applied.at, applied.node, detail)
        newest_revisions[process] = max(applied.revision, newest_revisions.get(process, 0))


@CHECKS.register("release-agreement")
def _check_release_agreement(history: History) -> Iterator[Violation]:
    """Find release revisions that were accepted or applied with different release notes."""
    notes: dict[int, str] = {}
    for event in history.merged(ReleaseAccepted, ReleaseApplied):
        assert isinstance(event, ReleaseAccepted | ReleaseApplied)
        if event.note is None:
            continue
        first_note = notes.setdefault(event.revision, event.note)
        if first_note != event.note:
            detail = (
                f"revision {event.revision} has note {event.note} here and {first_note} elsewhere"
            )
            subject = event.node if isinstance(event, ReleaseApplied) else event.note
            yield Violation(Promise.RELEASE_AGREEMENT, event.at, subject, detail)


@CHECKS.register("withdrawal-bound")
def _check_withdrawal_bound(history: History) -> Iterator[Violation]:
    """Find attempts that arrived at a withdrawn upstream after ``RELEASE_BOUND_S``.

    The time counts from the acceptance of the withdrawal. Adding the upstream again ends the
    withdrawal.
    """
    withdrawn_at: dict[str, float] = {}
    for event in history.merged(WithdrawalAccepted, UpstreamAdded, Dispatched):
        if isinstance(event, WithdrawalAccepted):
            withdrawn_at.setdefault(event.upstream, event.at)
        elif isinstance(event, UpstreamAdded):
            withdrawn_at.pop(event.upstream, None)
        elif isinstance(event, Dispatched) and event.upstream in withdrawn_at:
            late_s = event.at - withdrawn_at[event.upstream] - RELEASE_BOUND_S
            if late_s > 0:
                detail = f"attempt {event.attempt} arrived {late_s:.3f} s after the bound"
                yield Violation(Promise.WITHDRAWAL_BOUND, event.at, event.upstream, detail)


@CHECKS.register("delivery")
def _check_delivery(history: History) -> Iterator[Violation]:
    """Find answers that do not belong to the request for which they were received."""
    sent = {event.request: event for event in history.of_type(RequestSent)}
    requests_by_content = {event.content: event for event in sent.values()}
    for answer in history.of_type(RequestAnswered):
        request = sent.get(answer.request)
        if request is None:
            detail = "an answer arrived for a request that was never sent"
        elif request.organisation != answer.organisation:
            detail = (
                f"the request is from {request.organisation}, "
                f"the answer is for {answer.organisation}"
            )
        elif request.content != answer.content:
            other_request = requests_by_content.get(answer.content)
            detail = (
                "the content is not the requested one"
                if other_request is None
                else f"the content belongs to request {other_request.request} "
                f"of {other_request.organisation}"
            )
        else:
            continue
        yield Violation(Promise.DELIVERY, answer.at, answer.request, detail)


@CHECKS.register("lost-result")
def _check_lost_results(history: History) -> Iterator[Violation]:
    """Find requests whose caller received neither an answer nor a final refusal or failure."""
    ended_requests: set[str] = {event.request for event in history.of_type(RequestAnswered)}
    ended_requests.update(event.request for event in history.of_type(RequestRefused) if event.final)
    ended_requests.update(event.request for event in history.of_type(RequestFailed) if event.final)
    for sent in history.of_type(RequestSent):
        if sent.request not in ended_requests:
            detail = f"the request of {sent.organisation} to {sent.target} never ended"
            yield Violation(Promise.LOST_RESULT, sent.at, sent.request, detail)


@CHECKS.register("duplicated-result")
def _check_duplicated_results(history: History) -> Iterator[Violation]:
    """Find requests that were answered more than once."""
    answered_requests: set[str] = set()
    for answer in history.of_type(RequestAnswered):
        if answer.request in answered_requests:
            detail = "the request was answered again"
            yield Violation(Promise.DUPLICATED_RESULT, answer.at, answer.request, detail)
        answered_requests.add(answer.request)


@CHECKS.register("limit")
def _check_limits(history: History) -> Iterator[Violation]:
    """Find work that began although it exceeded a limit.

    Use is recorded only when work begins, so work that began before a limit was lowered may
    finish. A replaced capacity stays allowed for ``RELEASE_BOUND_S``, because nodes may apply the
    release that changes it as late as that.
    """
    capacity_changes: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for event in history.merged(LimitInForce, LimitUsed):
        if isinstance(event, LimitInForce):
            capacity_changes[event.limit].append((event.at, event.capacity))
        elif isinstance(event, LimitUsed):
            allowed = _allowed_use(capacity_changes[event.limit], event.at)
            if allowed is not None and event.in_use > allowed:
                detail = f"{event.in_use} in use, {allowed} allowed"
                yield Violation(Promise.LIMIT, event.at, event.limit, detail)


def _allowed_use(changes: Sequence[tuple[float, int]], at: float) -> int | None:
    """Return the highest capacity that a node may apply at time ``at``, or None without a limit.

    ``changes`` holds the time and the new capacity of each change up to ``at``, in order of time.
    """
    allowed: int | None = None
    for changed_at, capacity in reversed(changes):
        allowed = capacity if allowed is None else max(allowed, capacity)
        if changed_at <= at - RELEASE_BOUND_S:
            break
    return allowed


@CHECKS.register("planned-stop")
def _check_planned_stops(history: History) -> Iterator[Violation]:
    """Find requests that were cut off at a node or upstream during its planned stop."""
    stopping_subjects: set[str] = set()
    for event in history.merged(PlannedStopBegan, RequestCut, PlannedStopEnded):
        if isinstance(event, PlannedStopBegan):
            stopping_subjects.add(event.subject)
        elif isinstance(event, PlannedStopEnded):
            stopping_subjects.discard(event.subject)
        elif isinstance(event, RequestCut) and event.subject in stopping_subjects:
            detail = f"request {event.request} was cut off by a planned stop"
            yield Violation(Promise.PLANNED_STOP, event.at, event.subject, detail)
