"""Requests and responses of the HTTP interface, independent of the server library."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import msgspec

from chervilrack._internal.common.ids import RequestId
from chervilrack._internal.common.results import Problem
from chervilrack._internal.gateway.problems import encode_problem, problem_headers

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request with decoded path and query, lower-case header names and an unread body."""

    method: str
    path: tuple[str, ...]
    query: Mapping[str, str]
    headers: Mapping[str, str]
    request_id: RequestId
    read_body: Callable[[], bytes]
    connection: Any = None


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response. ``body`` may be an iterable that produces the body while it is sent."""

    status: int
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes | Iterable[bytes] = b""


def json_response(
    value: Any, status: int = 200, headers: Iterable[tuple[str, str]] = ()
) -> HttpResponse:
    """Return a response with a JSON body."""
    body = msgspec.json.encode(value)
    content_headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    return HttpResponse(status, [*content_headers, *headers], body)


def problem_response(problem: Problem, request_id: RequestId | None = None) -> HttpResponse:
    """Return a response that carries a problem document."""
    body = encode_problem(problem, request_id)
    headers = [*problem_headers(problem), ("Content-Length", str(len(body)))]
    return HttpResponse(problem.code.http_status, headers, body)


def status_line(status: int) -> str:
    """Return a status with its standard phrase, such as ``200 OK``."""
    return f"{status} {HTTPStatus(status).phrase}"
