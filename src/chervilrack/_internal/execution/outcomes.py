"""Results of attempts, tasks and requests, derived from how an attempt ended."""

from dataclasses import replace
from datetime import timedelta

from chervilrack._internal.common.results import Executed, Problem, ResultCode
from chervilrack._internal.execution.tasks import AttemptFinished
from chervilrack._internal.upstreams.port import FailureKind


def failure_result(event: AttemptFinished, *, late: bool) -> tuple[ResultCode, str]:
    """Return the result code and the detail of a task whose last attempt ended with ``event``.

    ``late`` says whether the deadline of the task has passed.
    """
    if event.failure is FailureKind.CANCELLED and event.executed is Executed.NO and not late:
        return ResultCode.NOT_CONFIRMED, "this node may not start work at the moment"
    if late or event.failure is FailureKind.TIMED_OUT:
        return ResultCode.DEADLINE_PASSED, "the upstream did not answer within the deadline"
    if event.failure is FailureKind.REFUSED:
        return ResultCode.UPSTREAM_REFUSED, "the upstream refused the request"
    return ResultCode.UPSTREAM_FAILED, "the upstream failed"


def upstream_succeeded(
    event: AttemptFinished, *, cancelled: bool, time_limit: timedelta, expected: timedelta
) -> bool | None:
    """Return whether the upstream succeeded; None if the attempt says nothing about the upstream.

    ``cancelled`` says whether this node cancelled the attempt. If the ``time_limit`` of the attempt
    was shorter than the ``expected`` service time, a time-out is not counted against the upstream.
    """
    if event.failure is None:
        return True
    if cancelled or event.failure is FailureKind.CANCELLED:
        return None
    if event.failure is FailureKind.TIMED_OUT and time_limit < expected:
        return None
    return False


def problem_after_stages(problem: Problem, stages: int) -> Problem:
    """Return ``problem`` for a request whose first ``stages`` stages have been executed."""
    return replace(problem, executed=Executed.YES) if stages else problem


def stream_problem(problem: Problem, delivered: int) -> Problem:
    """Return the problem of a stream that ended after ``delivered`` tokens."""
    executed = Executed.YES if delivered else problem.executed
    if problem.code is ResultCode.UPSTREAM_FAILED:
        return Problem(ResultCode.STREAM_BROKEN, problem.detail, executed, problem.retry_after)
    return replace(problem, executed=executed)
