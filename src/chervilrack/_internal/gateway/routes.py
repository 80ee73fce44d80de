"""Routes of the HTTP interface."""

import random
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any

from result import Err, Ok, Result

from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.ids import (
    IdempotencyKey,
    PipelineId,
    RequestId,
    ServiceId,
    ZoneId,
)
from chervilrack._internal.common.results import Problem, ResultCode
from chervilrack._internal.execution.port import PipelineRequest, ServiceRequest
from chervilrack._internal.gateway.authentication import CallerKeys, OperatorKeys
from chervilrack._internal.gateway.callers import CallerWatch
from chervilrack._internal.gateway.http import (
    HttpRequest,
    HttpResponse,
    json_response,
    problem_response,
)
from chervilrack._internal.gateway.lookup import LOOKUP_LIFETIME, look_up
from chervilrack._internal.gateway.parsing import (
    check_prompt,
    read_body,
    read_deadline,
    read_idempotency_key,
    read_json_object,
)
from chervilrack._internal.gateway.ports import NodeBackend
from chervilrack._internal.gateway.streaming import encode_stream
from chervilrack._internal.gateway.tracking import RequestTracker
from chervilrack._internal.releases.state import Operation, Organisation, Service

Answer = Result[HttpResponse, Problem]
Handler = Callable[[HttpRequest], Answer]


class Routes:
    """Maps methods and paths to handlers and turns problems into responses."""

    def __init__(
        self,
        backend: NodeBackend,
        operator_keys: OperatorKeys,
        watch: CallerWatch,
        clock: Clock,
        rng: random.Random,
        lifetime: timedelta = LOOKUP_LIFETIME,
    ) -> None:
        self._lifetime = lifetime
        self._backend = backend
        self._caller_keys = CallerKeys()
        self._operator_keys = operator_keys
        self._watch = watch
        self._clock = clock
        self._rng = rng
        self._fixed: Mapping[tuple[str, ...], tuple[str, Handler]] = {
            ("livez",): ("GET", self._live),
            ("readyz",): ("GET", self._ready),
            ("metrics",): ("GET", self._metrics),
            ("v1", "endpoints"): ("GET", self._endpoints),
            ("operator", "v1", "status"): ("GET", self._as_operator(self._status)),
            ("operator", "v1", "configuration"): ("GET", self._as_operator(self._configuration)),
            ("operator", "v1", "releases"): ("GET", self._as_operator(self._releases)),
            ("operator", "v1", "releases", "accept"): (
                "POST",
                self._as_operator(self._accept_release),
            ),
        }

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        match self._route(request):
            case Ok(response):
                return response
            case Err(problem):
                return problem_response(problem, request.request_id)
        raise AssertionError("a Result is Ok or Err")

    def _route(self, request: HttpRequest) -> Answer:
        fixed = self._fixed.get(request.path)
        if fixed is not None:
            return _only(request, *fixed)
        match request.path:
            case ("v1", "pipelines", name):
                return _only(request, "POST", lambda r: self._pipeline(r, PipelineId(name)))
            case ("v1", "services", name, operation):
                return _only(
                    request, "POST", lambda r: self._service(r, ServiceId(name), operation)
                )
            case ("v1", "orders", key):
                return _only(request, "GET", lambda r: self._order(r, IdempotencyKey(key)))
            case ("v1", "requests", name, "explanation"):
                return _only(request, "GET", lambda r: self._explain(r, RequestId(name)))
        return Err(Problem(ResultCode.UNKNOWN_PATH, f"no path /{'/'.join(request.path)}"))

    # Health and look-up

    def _live(self, request: HttpRequest) -> Answer:
        return Ok(json_response({"live": True}))

    def _ready(self, request: HttpRequest) -> Answer:
        problem = self._backend.not_ready()
        return Ok(json_response({"ready": True})) if problem is None else Err(problem)

    def _metrics(self, request: HttpRequest) -> Answer:
        body = self._backend.metrics()
        headers = [
            ("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),
            ("Content-Length", str(len(body))),
        ]
        return Ok(HttpResponse(200, headers, body))

    def _endpoints(self, request: HttpRequest) -> Answer:
        zone = request.query.get("zone")
        wanted = ZoneId(zone) if zone else None
        answer = look_up(self._backend.endpoints(), wanted, self._rng, self._lifetime)
        cache = f"max-age={int(answer.lifetime_s)}"
        return Ok(json_response(answer, headers=[("Cache-Control", cache)]))

    # Callers

    def _authenticate(self, request: HttpRequest) -> Result[Organisation, Problem]:
        header = request.headers.get("authorization")
        return self._caller_keys.authenticate(
            header, self._backend.configuration, self._clock.now()
        )

    def _pipeline(self, request: HttpRequest, name: PipelineId) -> Answer:
        organisation = self._authenticate(request)
        if isinstance(organisation, Err):
            return organisation
        pipeline = self._backend.configuration.pipelines.get(name)
        if pipeline is None:
            return Err(Problem(ResultCode.UNKNOWN_PIPELINE, f"no pipeline '{name}'"))
        admitted = self._admit(request, pipeline.deadline)
        if isinstance(admitted, Err):
            return admitted
        deadline, body = admitted.ok_value
        checked = check_prompt(body)
        if isinstance(checked, Err):
            return checked
        caller = organisation.ok_value
        work = PipelineRequest(
            request.request_id, caller.id, caller.priority_class, name, body, deadline
        )
        tracker = RequestTracker(self._backend, caller, name, deadline, self._clock)
        if body.get("stream", False):
            return Ok(self._stream(request, work, tracker))
        with self._watching(request):
            outcome = self._backend.executor.run_pipeline(work)
        return _as_json(tracker.record(outcome))

    def _stream(
        self, request: HttpRequest, work: PipelineRequest, tracker: RequestTracker
    ) -> HttpResponse:
        items = tracker.record_stream(self._backend.executor.stream_pipeline(work))
        headers = [("Content-Type", "text/event-stream"), ("Cache-Control", "no-store")]
        return HttpResponse(200, headers, encode_stream(items, request.request_id))

    def _service(self, request: HttpRequest, name: ServiceId, operation: str) -> Answer:
        organisation = self._authenticate(request)
        if isinstance(organisation, Err):
            return organisation
        service = self._backend.configuration.services.get(name)
        found = _find_operation(service, operation)
        if service is None or found is None:
            detail = f"no operation '{operation}' of a service '{name}'"
            return Err(Problem(ResultCode.UNKNOWN_SERVICE, detail))
        admitted = self._admit(request, service.deadline)
        if isinstance(admitted, Err):
            return admitted
        deadline, body = admitted.ok_value
        caller = organisation.ok_value
        key: IdempotencyKey | None = None
        if not found.idempotent:
            match read_idempotency_key(request.headers):
                case Err() as missing:
                    return missing
                case Ok(key):
                    pass
        work = ServiceRequest(
            request.request_id,
            caller.id,
            caller.priority_class,
            name,
            operation,
            body,
            deadline,
            key,
        )
        tracker = RequestTracker(
            self._backend, caller, f"{name}/{operation}", deadline, self._clock
        )
        return _as_json(tracker.record(self._run_service(request, work)))

    def _run_service(
        self, request: HttpRequest, work: ServiceRequest
    ) -> Result[Mapping[str, Any], Problem]:
        if work.idempotency_key is not None:
            # An order goes on when its caller leaves: its outcome is stored under its key.
            return self._backend.orders.submit(work)
        with self._watching(request):
            return self._backend.executor.run_service(work)

    def _admit(
        self, request: HttpRequest, default: timedelta
    ) -> Result[tuple[timedelta, dict[str, Any]], Problem]:
        arrived = self._clock.monotonic()
        remaining = read_deadline(request.headers, default)
        if isinstance(remaining, Err):
            return remaining
        body = read_json_object(request)
        if isinstance(body, Err):
            return body
        problem = self._backend.not_ready()
        if problem is not None:
            return Err(problem)
        return Ok((arrived + remaining.ok_value, body.ok_value))

    def _watching(self, request: HttpRequest) -> Any:
        return self._watch.watching(
            request.connection, lambda: self._backend.executor.cancel(request.request_id)
        )

    def _order(self, request: HttpRequest, key: IdempotencyKey) -> Answer:
        organisation = self._authenticate(request)
        if isinstance(organisation, Err):
            return organisation
        return _as_json(self._backend.orders.look_up(organisation.ok_value.id, key))

    def _explain(self, request: HttpRequest, name: RequestId) -> Answer:
        header = request.headers.get("authorization")
        organisation = None
        if isinstance(self._operator_keys.authenticate(header), Err):
            caller = self._authenticate(request)
            if isinstance(caller, Err):
                return caller
            organisation = caller.ok_value.id
        entries = self._backend.explanation(name, organisation)
        if entries is None:
            return Err(Problem(ResultCode.UNKNOWN_REQUEST, f"this node has no request '{name}'"))
        return Ok(json_response({"request_id": name, "entries": list(entries)}))

    # Operators

    def _as_operator(self, handler: Handler) -> Handler:
        def checked(request: HttpRequest) -> Answer:
            header = request.headers.get("authorization")
            match self._operator_keys.authenticate(header):
                case Err(problem):
                    return Err(problem)
            return handler(request)

        return checked

    def _status(self, request: HttpRequest) -> Answer:
        return Ok(json_response(self._backend.operations.status()))

    def _releases(self, request: HttpRequest) -> Answer:
        return Ok(json_response(list(self._backend.operations.release_log())))

    def _configuration(self, request: HttpRequest) -> Answer:
        return Ok(json_response(self._backend.operations.configuration()))

    def _accept_release(self, request: HttpRequest) -> Answer:
        accept = self._backend.operations.accept_release
        return _as_json(read_body(request).and_then(accept))


def _only(request: HttpRequest, method: str, handler: Handler) -> Answer:
    if request.method != method:
        return Err(Problem(ResultCode.METHOD_NOT_ALLOWED, f"use {method}"))
    return handler(request)


def _as_json(outcome: Result[Mapping[str, Any], Problem]) -> Answer:
    return outcome.map(json_response)


def _find_operation(service: Service | None, name: str) -> Operation | None:
    if service is None:
        return None
    return next((entry for entry in service.operations if entry.name == name), None)
