"""What the end of an attempt says about its task."""

from dataclasses import replace
from datetime import timedelta

from chervilrack._internal.common.results import Executed, Problem, ResultCode
from chervilrack._internal.execution.tasks import AttemptFinished
from chervilrack._internal.upstreams.port import FailureKind


def failure_code(event: AttemptFinished, *, late: bool) -> tuple[ResultCode, str]:
    """Return the code and detail of a task whose last attempt failed like this."""
    if event.failure is FailureKind.CANCELLED and event.executed is Executed.NO and not late:
        return ResultCode.NOT_CONFIRMED, "this node may not start work at the moment"
    if late or event.failure is FailureKind.TIMED_OUT:
        return ResultCode.DEADLINE_PASSED, "the upstream did not answer within the deadline"
    if event.failure is FailureKind.REFUSED:
        return ResultCode.UPSTREAM_REFUSED, "the upstream refused the request"
    return ResultCode.UPSTREAM_FAILED, "the upstream failed"


def verdict(
    event: AttemptFinished, *, unwanted: bool, given: timedelta, usual: timedelta
) -> bool | None:
    """Return whether the upstream did well; None if the attempt says nothing about it.

    ``unwanted`` attempts were cut off by this node. A time-out after less than the ``usual`` time
    is the fault of a short deadline.
    """
    if event.failure is None:
        return True
    if unwanted or event.failure is FailureKind.CANCELLED:
        return None
    if event.failure is FailureKind.TIMED_OUT and given < usual:
        return None
    return False


def after_stages(problem: Problem, stages: int) -> Problem:
    """Return the problem of a request whose first ``stages`` stages have been run."""
    return replace(problem, executed=Executed.YES) if stages else problem


def stream_problem(problem: Problem, delivered: int) -> Problem:
    """Return the problem of a stream that ended after ``delivered`` tokens."""
    executed = Executed.YES if delivered else problem.executed
    if problem.code is ResultCode.UPSTREAM_FAILED:
        return Problem(ResultCode.STREAM_BROKEN, problem.detail, executed, problem.retry_after)
    return replace(problem, executed=executed)
