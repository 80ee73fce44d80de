"""Answers of the system itself: problem documents with a truthful statement and Retry-After."""

import random
from datetime import timedelta

from chervilrack._internal.common.ids import RequestId
from chervilrack._internal.common.results import Problem
from chervilrack._internal.gateway.problems import PROBLEM_CONTENT_TYPE, encode_problem

# A rejected caller returns after this time at the earliest; sooner finds the same queue.
SHORTEST_RETRY = timedelta(milliseconds=200)
# Returns are spread over this share of the time, so that rejected callers do not come together.
RETRY_SPREAD = 0.5


def retry_after(wait: timedelta, rng: random.Random) -> timedelta:
    """Return when a caller should come back; ``wait`` is the expected time until there is room."""
    base = max(wait, SHORTEST_RETRY)
    return base * (1.0 + RETRY_SPREAD * rng.random())


def problem_response(
    problem: Problem, request_id: RequestId | None
) -> tuple[int, list[tuple[str, str]], bytes]:
    """Return status, header fields and body. ``Retry-After`` is in seconds with a fraction."""
    headers = [("Content-Type", PROBLEM_CONTENT_TYPE)]
    if problem.code.http_status in (429, 503):
        after = problem.retry_after or SHORTEST_RETRY
        headers.append(("Retry-After", f"{after.total_seconds():.2f}"))
    return problem.code.http_status, headers, encode_problem(problem, request_id)
