"""Responses of the system itself: problem documents, with Retry-After where it applies."""

import random
from datetime import timedelta

from chervilrack._internal.common.ids import RequestId
from chervilrack._internal.common.results import Problem
from chervilrack._internal.gateway.problems import PROBLEM_CONTENT_TYPE, encode_problem

# Shortest Retry-After; a caller that retries sooner meets the same queue.
SHORTEST_RETRY_DELAY = timedelta(milliseconds=200)
# Random share that is added to the delay, so that rejected callers don't retry all at once.
RETRY_JITTER = 0.5
_HUNDREDTH = timedelta(milliseconds=10)


def retry_after(wait: timedelta, rng: random.Random) -> timedelta:
    """Return the delay, with jitter, after which a caller should retry.

    ``wait`` is the expected time until the system has capacity.
    """
    base = max(wait, SHORTEST_RETRY_DELAY)
    return base * (1.0 + RETRY_JITTER * rng.random())


def problem_response(
    problem: Problem, request_id: RequestId | None
) -> tuple[int, list[tuple[str, str]], bytes]:
    """Return the status, header fields and body of a problem response.

    Responses with status 429 or 503 have a ``Retry-After`` in seconds, with two decimals. It is
    rounded up, so that no caller comes back too soon.
    """
    headers = [("Content-Type", PROBLEM_CONTENT_TYPE)]
    if problem.code.http_status in (429, 503):
        delay = SHORTEST_RETRY_DELAY if problem.retry_after is None else problem.retry_after
        hundredths = -(delay // -_HUNDREDTH)
        headers.append(("Retry-After", f"{hundredths / 100:.2f}"))
    return problem.code.http_status, headers, encode_problem(problem, request_id)
