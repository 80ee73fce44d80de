"""Checks of the promises that the service keeps under faults, from the evidence of a soak."""

from collections import Counter, defaultdict
from collections.abc import Iterator

from chervilrack._internal.soak import configurations, crashes, memory, notices  # noqa: F401 - register
from chervilrack._internal.soak.losses import DEADLINE_S
from chervilrack._internal.soak.promises import promises
from chervilrack._internal.soak.records import Attempt, Ending, Evidence, Kind, Violation

# Documented bounds of the smallest site: ``revokeMs``, ``budgetWindowS``, ``retryBudgetRatio`` and
# ``retrySlack``.
REVOKE_S = 5.0
BUDGET_WINDOW_S = 10.0
BUDGET_RATIO = 0.2
BUDGET_SLACK = 54
# Time after the deadline within which a node must have reported that it has passed.
DEADLINE_SLACK_S = 1.0
STREAM_EVENTS = 5
# Time after the last fault within which the queues of stages are level again, and the target
# latency of requests with stages, beyond the work of their engine.
STAGES_BACK_S = 5.0
STAGED_TARGET_S = 2.0
# Statuses of responses that say that the request did not run.
REFUSALS = (401, 408, 421, 429, 503)
# Statuses of responses that blame the caller, whatever its key.
DENIALS = (400, 403, 404, 405, 411, 413, 414, 431)


def violations(evidence: Evidence) -> list[Violation]:
    """Return all violations of promises in the evidence of a soak."""
    return [violation for name in promises for violation in promises.get(name)(evidence)]


def expected_body(attempt: Attempt) -> bytes:
    """Return the body of a complete, successful response to a request."""
    request_id = attempt.id.encode()
    if attempt.kind in (Kind.STREAM, Kind.STAGED):
        numbers = range(1, STREAM_EVENTS + 1)
        return b"".join(b"id: %d\ndata: piece %d of %b\n\n" % (n, n, request_id) for n in numbers)
    return b"answer to " + request_id


@promises.register("whole answers")
def whole_answers(evidence: Evidence) -> Iterator[Violation]:
    """Check that a complete response with status 200 is the whole signed one of its upstream."""
    executed = {(run.request, run.upstream) for run in evidence.runs}
    for attempt in evidence.attempts:
        if attempt.ending is not Ending.ANSWERED or attempt.status != 200:
            continue
        is_signed = (attempt.id, attempt.signer) in executed
        if attempt.body != expected_body(attempt) or not is_signed:
            detail = f"{attempt.kind.name} got {attempt.body[:120]!r} signed by '{attempt.signer}'"
            yield Violation("whole answers", attempt.id, detail)


@promises.register("orders run once")
def orders_run_once(evidence: Evidence) -> Iterator[Violation]:
    """Check that no order was executed more than once."""
    runs = Counter(run.request for run in evidence.runs if run.kind is Kind.ORDER)
    for request, count in runs.items():
        if count > 1:
            yield Violation("orders run once", request, f"ran {count} times")


@promises.register("truthful refusals")
def truthful_refusals(evidence: Evidence) -> Iterator[Violation]:
    """Check that requests whose response says that they did not run were not executed."""
    runs = Counter(run.request for run in evidence.runs)
    for attempt in evidence.attempts:
        is_rejected = attempt.ending is Ending.ANSWERED and attempt.status in REFUSALS
        if is_rejected and runs[attempt.id]:
            detail = f"{attempt.kind.name} was refused with {attempt.status} and ran"
            yield Violation("truthful refusals", attempt.id, detail)


@promises.register("proper requests")
def proper_requests(evidence: Evidence) -> Iterator[Violation]:
    """Check that no proper request is answered as a mistake of its caller."""
    changed_keys = {key for change in evidence.key_removals for key in (change.key, change.new_key)}
    for attempt in evidence.attempts:
        is_denied = attempt.status in DENIALS or (
            attempt.status == 401 and attempt.key not in changed_keys
        )
        if is_denied:
            detail = f"{attempt.kind.name} got {attempt.status}: {attempt.body[:160]!r}"
            yield Violation("proper requests", attempt.id, detail)


@promises.register("removed keys")
def removed_keys(evidence: Evidence) -> Iterator[Violation]:
    """Check that no request with a removed key is executed more than REVOKE_S after the removal."""
    runs = defaultdict(list)
    for run in evidence.runs:
        runs[run.request].append(run.executed_at)
    for removal in evidence.key_removals:
        for attempt in evidence.attempts:
            is_after_bound = (
                attempt.key == removal.key and attempt.started_at > removal.removed_at + REVOKE_S
            )
            if is_after_bound and runs[attempt.id]:
                delay = attempt.started_at - removal.removed_at
                detail = f"ran {delay:.1f} s after its key was removed"
                yield Violation("removed keys", attempt.id, detail)


@promises.register("timely ends")
def timely_ends(evidence: Evidence) -> Iterator[Violation]:
    """Check that requests which start after the last fault end within their deadline."""
    for attempt in evidence.attempts:
        duration = attempt.ended_at - attempt.started_at
        if (
            attempt.started_at >= evidence.faults_ended_at
            and duration > DEADLINE_S + DEADLINE_SLACK_S
        ):
            yield Violation(
                "timely ends", attempt.id, f"{attempt.ending.value} after {duration:.1f} s"
            )


@promises.register("recovery")
def recovery(evidence: Evidence) -> Iterator[Violation]:
    """Check that every request is served once the time for recovery has passed."""
    served = 0
    invalid_keys = {removal.key for removal in evidence.key_removals}
    for attempt in evidence.attempts:
        if attempt.started_at < evidence.faults_ended_at + evidence.recovery:
            continue
        if attempt.key in invalid_keys:
            continue
        if attempt.ending is Ending.ANSWERED and attempt.status == 200:
            served += 1
        else:
            detail = f"{attempt.kind.name} at {attempt.node}: {attempt.ending.value}"
            yield Violation("recovery", attempt.id, f"{detail} {attempt.status}")
    if not served:
        yield Violation("recovery", "all", "nothing was served after the faults")


@promises.register("stages come back")
def stages_come_back(evidence: Evidence) -> Iterator[Violation]:
    """Check that requests with stages wait no longer than usual a few seconds after the faults.

    Those that fail are left to the promise "recovery".
    """
    longest = evidence.longest_work + STAGED_TARGET_S
    for attempt in evidence.attempts:
        duration = attempt.ended_at - attempt.started_at
        if (
            attempt.kind is Kind.STAGED
            and attempt.started_at >= evidence.faults_ended_at + STAGES_BACK_S
            and attempt.status == 200
            and duration > longest
        ):
            detail = f"took {duration:.1f} s, {longest:.1f} s expected"
            yield Violation("stages come back", attempt.id, detail)


@promises.register("retry budget")
def retry_budget(evidence: Evidence) -> Iterator[Violation]:
    """Check that repeated executions stay within the retry budget in each window.

    Requests that an upstream rejected do not count, since they cost the upstream nothing.
    """
    executed: set[str] = set()
    repeat_times = []
    for run in sorted(evidence.runs, key=lambda run: run.executed_at):
        if run.request in executed:
            repeat_times.append(run.executed_at)
        executed.add(run.request)
    for number, at in enumerate(repeat_times):
        count = sum(1 for time in repeat_times[: number + 1] if time > at - BUDGET_WINDOW_S)
        request_count = sum(
            1 for a in evidence.attempts if at - BUDGET_WINDOW_S < a.started_at <= at
        )
        max_repeats = BUDGET_RATIO * request_count + BUDGET_SLACK
        if count > max_repeats:
            detail = f"{count} repeats in {BUDGET_WINDOW_S:.0f} s, {max_repeats:.0f} allowed"
            yield Violation("retry budget", "all", detail)
            return


@promises.register("exits")
def exits(evidence: Evidence) -> Iterator[Violation]:
    """Check that no node exited unexpectedly or took too long to stop."""
    for text in evidence.exit_problems:
        yield Violation("exits", text.partition(" ")[0], text)
