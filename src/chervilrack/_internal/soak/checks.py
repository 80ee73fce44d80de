"""Promises that hold whatever fails, checked from what callers and upstreams saw."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from chervilrack._internal.common.registry import Registry
from chervilrack._internal.soak.records import Attempt, Ending, Evidence, Kind, Violation

# Bounds of the users' pages: ``recoverS``, ``revokeMs``, ``budgetWindowS``, ``retryBudgetRatio``
# and ``retrySlack`` of the smallest site.
RECOVER_S = 12.0
REVOKE_S = 5.0
BUDGET_WINDOW_S = 10.0
BUDGET_RATIO = 0.2
BUDGET_SLACK = 54
# Deadline that callers state, and what a node may need beyond it to say that it has passed.
DEADLINE_S = 4.0
DEADLINE_SLACK_S = 1.0
STREAM_EVENTS = 5

Check = Callable[[Evidence], Iterator[Violation]]
promises: Registry[Check] = Registry("promise")


def violations(evidence: Evidence) -> list[Violation]:
    """Return all broken promises."""
    return [found for name in promises for found in promises.get(name)(evidence)]


def expected_body(attempt: Attempt) -> bytes:
    """Return the body of a whole, good answer."""
    name = attempt.id.encode()
    if attempt.kind in (Kind.STREAM, Kind.STAGED):
        numbers = range(1, STREAM_EVENTS + 1)
        return b"".join(b"id: %d\ndata: piece %d of %b\n\n" % (n, n, name) for n in numbers)
    return b"answer to " + name


@promises.register("whole answers")
def whole_answers(evidence: Evidence) -> Iterator[Violation]:
    """Check that an answer that looks whole is the one that the upstream made for it."""
    for attempt in evidence.attempts:
        is_good = attempt.ending is Ending.ANSWERED and attempt.status == 200
        if is_good and attempt.body != expected_body(attempt):
            detail = f"{attempt.kind.name} got {attempt.body[:120]!r}"
            yield Violation("whole answers", attempt.id, detail)


@promises.register("orders run once")
def orders_run_once(evidence: Evidence) -> Iterator[Violation]:
    """Check that no order ran twice."""
    runs = Counter(run.request for run in evidence.runs if run.kind is Kind.ORDER)
    for request, count in runs.items():
        if count > 1:
            yield Violation("orders run once", request, f"ran {count} times")


@promises.register("truthful refusals")
def truthful_refusals(evidence: Evidence) -> Iterator[Violation]:
    """Check that what was refused with 503 or 401 has not run."""
    runs = Counter(run.request for run in evidence.runs)
    for attempt in evidence.attempts:
        refused = attempt.ending is Ending.ANSWERED and attempt.status in (401, 503)
        if refused and runs[attempt.id]:
            detail = f"{attempt.kind.name} was refused with {attempt.status} and ran"
            yield Violation("truthful refusals", attempt.id, detail)


@promises.register("removed keys")
def removed_keys(evidence: Evidence) -> Iterator[Violation]:
    """Check that a removed key runs nothing once the bound has passed."""
    runs = defaultdict(list)
    for run in evidence.runs:
        runs[run.request].append(run.at)
    for removal in evidence.replaced_keys:
        for attempt in evidence.attempts:
            late = attempt.key == removal.key and attempt.began > removal.at + REVOKE_S
            if late and runs[attempt.id]:
                age = attempt.began - removal.at
                detail = f"ran {age:.1f} s after its key was removed"
                yield Violation("removed keys", attempt.id, detail)


@promises.register("timely ends")
def timely_ends(evidence: Evidence) -> Iterator[Violation]:
    """Check that requests which begin after the faults end within their deadline."""
    for attempt in evidence.attempts:
        took = attempt.ended - attempt.began
        if attempt.began >= evidence.quiet_from and took > DEADLINE_S + DEADLINE_SLACK_S:
            yield Violation("timely ends", attempt.id, f"{attempt.ending.value} after {took:.1f} s")


@promises.register("recovery")
def recovery(evidence: Evidence) -> Iterator[Violation]:
    """Check that every request is served once the bound after the last fault has passed."""
    served = 0
    removed = {removal.key for removal in evidence.replaced_keys}
    for attempt in evidence.attempts:
        if attempt.began < evidence.quiet_from + RECOVER_S or attempt.key in removed:
            continue
        if attempt.ending is Ending.ANSWERED and attempt.status == 200:
            served += 1
        else:
            detail = f"{attempt.kind.name} at {attempt.node}: {attempt.ending.value}"
            yield Violation("recovery", attempt.id, f"{detail} {attempt.status}")
    if not served:
        yield Violation("recovery", "all", "nothing was served after the faults")


@promises.register("retry budget")
def retry_budget(evidence: Evidence) -> Iterator[Violation]:
    """Check that repeats stay within the budget in each window.

    Runs are counted, not arrivals: an arrival that was rejected costs the upstream nothing.
    """
    first: set[str] = set()
    repeats = []
    for run in sorted(evidence.runs, key=lambda run: run.at):
        if run.request in first:
            repeats.append(run.at)
        first.add(run.request)
    for number, at in enumerate(repeats):
        count = sum(1 for time in repeats[: number + 1] if time > at - BUDGET_WINDOW_S)
        asked = sum(1 for a in evidence.attempts if at - BUDGET_WINDOW_S < a.began <= at)
        allowed = BUDGET_RATIO * asked + BUDGET_SLACK
        if count > allowed:
            detail = f"{count} repeats in {BUDGET_WINDOW_S:.0f} s, {allowed:.0f} allowed"
            yield Violation("retry budget", "all", detail)
            return


@promises.register("exits")
def exits(evidence: Evidence) -> Iterator[Violation]:
    """Check that no node ended by itself or outlived the time it has to stop."""
    for text in evidence.node_exits:
        yield Violation("exits", text.partition(" ")[0], text)
