"""WSGI application of a node: parses requests, calls the routes and writes responses."""

import functools
import logging
import secrets
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qsl, unquote

from chervilrack._internal.common.ids import RequestId
from chervilrack._internal.common.results import Executed, Problem, ResultCode
from chervilrack._internal.gateway.http import (
    Environ,
    HttpRequest,
    StartResponse,
    problem_response,
    status_line,
)
from chervilrack._internal.gateway.routes import Routes

logger = logging.getLogger(__name__)


class Application:
    """WSGI callable that cheroot runs for each request.

    While ``is_closing`` returns true, every response closes its connection, so that callers with
    persistent connections move to another node before the listener closes.
    """

    def __init__(self, routes: Routes, is_closing: Callable[[], bool] = lambda: False) -> None:
        self._routes = routes
        self._is_closing = is_closing

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        request = _read_request(environ)
        try:
            response = self._routes.handle(request)
        except Exception:
            logger.exception(
                "gateway: the handler of request %s raised an exception", request.request_id
            )
            problem = Problem(
                ResultCode.INTERNAL_ERROR, "see the node's log", executed=Executed.UNKNOWN
            )
            response = problem_response(problem, request.request_id)
        headers = [*response.headers, ("X-Request-Id", request.request_id)]
        if self._is_closing():
            headers.append(("Connection", "close"))
        start_response(status_line(response.status), headers)
        return [response.body] if isinstance(response.body, bytes) else response.body


def _read_request(environ: Environ) -> HttpRequest:
    path = tuple(
        unquote(segment) for segment in environ["PATH_INFO"].strip("/").split("/") if segment
    )
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body = environ["wsgi.input"]
    chunked = "chunked" in headers.get("transfer-encoding", "").lower()
    return HttpRequest(
        method=environ["REQUEST_METHOD"],
        path=path,
        query=dict(parse_qsl(environ.get("QUERY_STRING", ""))),
        headers=headers,
        request_id=RequestId(secrets.token_hex(12)),
        read_body=body.read if chunked else functools.partial(_read_body, body, length),
        connection=environ.get("chervilrack.socket"),
    )


def _read_body(stream: Any, length: int) -> bytes:
    body = bytes(stream.read(length))
    if len(body) < length:
        raise ValueError("the body is shorter than Content-Length")
    return body
