"""Checks that a recorded history keeps the invariants of the design page."""

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

# Accepted releases are in force on every node within this time (design page, invariants 5, 7).
RELEASE_BOUND_S = 3.0


class Promise(Enum):
    """Promises that a history can break."""

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
    """One broken promise: when, about what, and how."""

    promise: Promise
    at: float
    subject: str
    detail: str


E = TypeVar("E")


class History:
    """Events in order of time, grouped by type."""

    def __init__(self, events: Sequence[Event]) -> None:
        self._groups: dict[type[object], list[Event]] = defaultdict(list)
        for event in sorted(events, key=lambda event: event.at):
            self._groups[type(event)].append(event)

    def of(self, kind: type[E]) -> list[E]:
        """Return all events of one type, ordered by time."""
        return self._groups.get(kind, [])  # type: ignore[return-value]

    def merged(self, *kinds: type[Event]) -> list[Event]:
        """Return the events of several types, ordered by time."""
        events = [event for kind in kinds for event in self._groups.get(kind, [])]
        return sorted(events, key=lambda event: event.at)


Check = Callable[[History], Iterator[Violation]]
CHECKS: Registry[Check] = Registry("history check")


def check_history(events: Sequence[Event]) -> list[Violation]:
    """Run all checks and return the violations, ordered by time."""
    history = History(events)
    found = [violation for name in CHECKS for violation in CHECKS.get(name)(history)]
    return sorted(found, key=lambda violation: (violation.at, violation.promise.value))


@CHECKS.register("at-most-once")
def _at_most_once(history: History) -> Iterator[Violation]:
    """Find orders that started at upstreams more than once, by whatever node or attempt."""
    first: dict[tuple[str, str], ExecutionStarted] = {}
    for start in history.of(ExecutionStarted):
        if start.idempotency_key is None:
            continue
        order = (start.organisation, start.idempotency_key)
        earlier = first.get(order)
        if earlier is None:
            first[order] = start
        else:
            detail = (
                f"attempt {start.attempt} at {start.upstream} ran the order again after "
                f"attempt {earlier.attempt} at {earlier.upstream}"
            )
            yield Violation(Promise.AT_MOST_ONCE, start.at, start.idempotency_key, detail)


@CHECKS.register("true-refusal")
def _true_refusals(history: History) -> Iterator[Violation]:
    """Find attempts refused as not executed that started at an upstream, before or after."""
    starts: dict[str, ExecutionStarted] = {}
    for start in history.of(ExecutionStarted):
        starts.setdefault(start.served_as, start)
    for refusal in history.of(RequestRefused):
        if refusal.executed is not Executed.NO or refusal.served_as is None:
            continue
        executed = starts.get(refusal.served_as)
        if executed is not None:
            detail = (
                f"{refusal.served_as} was refused as not executed but ran at {executed.upstream}"
            )
            yield Violation(Promise.TRUE_REFUSAL, refusal.at, refusal.request, detail)


@CHECKS.register("release-order")
def _release_order(history: History) -> Iterator[Violation]:
    """Find processes that went back to an older release. A restarted one begins anew."""
    newest: dict[tuple[str, str], int] = {}
    for applied in history.of(ReleaseApplied):
        process = (applied.node, applied.incarnation)
        if applied.revision < newest.get(process, 0):
            detail = f"went back from revision {newest[process]} to {applied.revision}"
            yield Violation(Promise.RELEASE_ORDER, applied.at, applied.node, detail)
        newest[process] = max(applied.revision, newest.get(process, 0))


@CHECKS.register("release-agreement")
def _release_agreement(history: History) -> Iterator[Violation]:
    """Find revisions that stand for different notes."""
    notes: dict[int, str] = {}
    for event in history.merged(ReleaseAccepted, ReleaseApplied):
        assert isinstance(event, ReleaseAccepted | ReleaseApplied)
        if event.note is None:
            continue
        known = notes.setdefault(event.revision, event.note)
        if known != event.note:
            detail = f"revision {event.revision} is note {event.note} here and {known} elsewhere"
            subject = event.node if isinstance(event, ReleaseApplied) else event.note
            yield Violation(Promise.RELEASE_AGREEMENT, event.at, subject, detail)


@CHECKS.register("withdrawal-bound")
def _withdrawal_bound(history: History) -> Iterator[Violation]:
    """Find work that arrived at an upstream later than 3 s after its withdrawal."""
    withdrawn: dict[str, float] = {}
    for event in history.merged(WithdrawalAccepted, UpstreamAdded, Dispatched):
        if isinstance(event, WithdrawalAccepted):
            withdrawn.setdefault(event.upstream, event.at)
        elif isinstance(event, UpstreamAdded):
            withdrawn.pop(event.upstream, None)
        elif isinstance(event, Dispatched) and event.upstream in withdrawn:
            late = event.at - withdrawn[event.upstream] - RELEASE_BOUND_S
            if late > 0:
                detail = f"attempt {event.attempt} arrived {late:.3f} s after the bound"
                yield Violation(Promise.WITHDRAWAL_BOUND, event.at, event.upstream, detail)


@CHECKS.register("delivery")
def _delivery(history: History) -> Iterator[Violation]:
    """Find answers that belong to another request or organisation than the receiver's."""
    sent = {event.request: event for event in history.of(RequestSent)}
    by_content = {event.content: event for event in sent.values()}
    for answer in history.of(RequestAnswered):
        request = sent.get(answer.request)
        if request is None:
            detail = "an answer arrived for a request that was never sent"
        elif request.organisation != answer.organisation:
            detail = (
                f"the request is of {request.organisation}, the answer of {answer.organisation}"
            )
        elif request.content != answer.content:
            other = by_content.get(answer.content)
            detail = (
                "the content differs from what was asked for"
                if other is None
                else f"the content is that of request {other.request} of {other.organisation}"
            )
        else:
            continue
        yield Violation(Promise.DELIVERY, answer.at, answer.request, detail)


@CHECKS.register("lost-result")
def _lost_results(history: History) -> Iterator[Violation]:
    """Find requests without an end: no answer, and no refusal or failure seen by the caller."""
    ended: set[str] = {event.request for event in history.of(RequestAnswered)}
    ended.update(event.request for event in history.of(RequestRefused) if event.final)
    ended.update(event.request for event in history.of(RequestFailed) if event.final)
    for sent in history.of(RequestSent):
        if sent.request not in ended:
            detail = f"the request of {sent.organisation} to {sent.target} never ended"
            yield Violation(Promise.LOST_RESULT, sent.at, sent.request, detail)


@CHECKS.register("duplicated-result")
def _duplicated_results(history: History) -> Iterator[Violation]:
    """Find requests with more than one answer."""
    answered: set[str] = set()
    for answer in history.of(RequestAnswered):
        if answer.request in answered:
            detail = "the request was answered again"
            yield Violation(Promise.DUPLICATED_RESULT, answer.at, answer.request, detail)
        answered.add(answer.request)


@CHECKS.register("limit")
def _limits(history: History) -> Iterator[Violation]:
    """Find work that began beyond a limit.

    Use is recorded when work begins, so work that began before a limit was tightened may finish.
    The earlier capacity is allowed for as long as a release may take to be in force.
    """
    capacities: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for event in history.merged(LimitInForce, LimitUsed):
        if isinstance(event, LimitInForce):
            capacities[event.limit].append((event.at, event.capacity))
        elif isinstance(event, LimitUsed):
            allowed = _allowed(capacities[event.limit], event.at)
            if allowed is not None and event.in_use > allowed:
                detail = f"{event.in_use} in use, {allowed} allowed"
                yield Violation(Promise.LIMIT, event.at, event.limit, detail)


def _allowed(changes: Sequence[tuple[float, int]], at: float) -> int | None:
    allowed: int | None = None
    for changed_at, capacity in reversed(changes):
        allowed = capacity if allowed is None else max(allowed, capacity)
        if changed_at <= at - RELEASE_BOUND_S:
            break
    return allowed


@CHECKS.register("planned-stop")
def _planned_stops(history: History) -> Iterator[Violation]:
    """Find requests that planned stops cut off."""
    stopping: set[str] = set()
    for event in history.merged(PlannedStopBegan, RequestCut, PlannedStopEnded):
        if isinstance(event, PlannedStopBegan):
            stopping.add(event.subject)
        elif isinstance(event, PlannedStopEnded):
            stopping.discard(event.subject)
        elif isinstance(event, RequestCut) and event.subject in stopping:
            detail = f"request {event.request} was cut off by a planned stop"
            yield Violation(Promise.PLANNED_STOP, event.at, event.subject, detail)
