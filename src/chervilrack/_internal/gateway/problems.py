"""Rendering of problems as RFC 9457 documents."""

import math
from typing import Any

import msgspec

from chervilrack._internal.common.ids import RequestId
from chervilrack._internal.common.results import Problem

PROBLEM_CONTENT_TYPE = "application/problem+json"


def problem_document(problem: Problem, request_id: RequestId | None = None) -> dict[str, Any]:
    """Return the members of the problem document."""
    document: dict[str, Any] = {
        "type": f"urn:chervilrack:problem:{problem.code.number}",
        "title": problem.code.title,
        "status": problem.code.http_status,
        "detail": problem.detail,
        "code": problem.code.number,
        "executed": problem.executed.value,
    }
    if request_id is not None:
        document["request_id"] = request_id
    return document


def problem_headers(problem: Problem) -> list[tuple[str, str]]:
    """Return the headers of a problem; ``Retry-After`` in whole seconds if it is retryable."""
    headers = [("Content-Type", PROBLEM_CONTENT_TYPE), ("X-Executed", problem.executed.value)]
    if problem.code.retryable:
        seconds = problem.retry_after.total_seconds() if problem.retry_after else 1.0
        headers.append(("Retry-After", str(max(0, math.ceil(seconds)))))
    return headers


def encode_problem(problem: Problem, request_id: RequestId | None = None) -> bytes:
    """Return the problem document as JSON."""
    return msgspec.json.encode(problem_document(problem, request_id))
