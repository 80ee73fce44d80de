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

HandlerResult = Result[HttpResponse, Problem]
Handler = Callable[[HttpRequest], HandlerResult]


class Routes:
    """Maps methods and paths to handlers and turns problems into responses."""

    def __init__(
        self,
        backend: NodeBackend,
        operator_keys: OperatorKeys,
        watch: CallerWatch,
        clock: Clock,
        rng: random.Random,
        lookup_lifetime: timedelta = LOOKUP_LIFETIME,
    ) -> None:
        self._lookup_lifetime = lookup_lifetime
        self._backend = backend
        self._caller_keys = CallerKeys()
        self._operator_keys = operator_keys
        self._watch = watch
        self._clock = clock
        self._rng = rng
        self._fixed_routes: Mapping[tuple[str, ...], tuple[str, Handler]] = {
            ("livez",): ("GET", self._live),
            ("readyz",): ("GET", self._ready),
            ("metrics",): ("GET", self._metrics),
            ("v1", "endpoints"): ("GET", self._endpoints),
            ("operator", "v1", "status"): ("GET", self._for_operators(self._status)),
            ("operator", "v1", "configuration"): ("GET", self._for_operators(self._configuration)),
            ("operator", "v1", "releases"): ("GET", self._for_operators(self._releases)),
            ("operator", "v1", "releases", "accept"): (
                "POST",
                self._for_operators(self._accept_release),
            ),
        }

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request."""
        match self._route(request):
            case Ok(response):
                return response
            case Err(problem):
                return problem_response(problem, request.request_id)
        raise AssertionError("a Result is Ok or Err")

    def _route(self, request: HttpRequest) -> HandlerResult:
        fixed_route = self._fixed_routes.get(request.path)
        if fixed_route is not None:
            return _require_method(request, *fixed_route)
        match request.path:
            case ("v1", "pipelines", name):
                return _require_method(
                    request, "POST", lambda r: self._pipeline(r, PipelineId(name))
                )
            case ("v1", "services", name, operation):
                return _require_method(
                    request, "POST", lambda r: self._service(r, ServiceId(name), operation)
                )
            case ("v1", "orders", key):
                return _require_method(
                    request, "GET", lambda r: self._order(r, IdempotencyKey(key))
                )
            case ("v1", "requests", name, "explanation"):
                return _require_method(request, "GET", lambda r: self._explain(r, RequestId(name)))
        return Err(Problem(ResultCode.UNKNOWN_PATH, f"no path /{'/'.join(request.path)}"))

    # Health and look-up

    def _live(self, request: HttpRequest) -> HandlerResult:
        return Ok(json_response({"live": True}))

    def _ready(self, request: HttpRequest) -> HandlerResult:
        problem = self._backend.not_ready()
        return Ok(json_response({"ready": True})) if problem is None else Err(problem)

    def _metrics(self, request: HttpRequest) -> HandlerResult:
        body = self._backend.metrics()
        headers = [
            ("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),
            ("Content-Length", str(len(body))),
        ]
        return Ok(HttpResponse(200, headers, body))

    def _endpoints(self, request: HttpRequest) -> HandlerResult:
        zone = request.query.get("zone")
        caller_zone = ZoneId(zone) if zone else None
        answer = look_up(self._backend.endpoints(), caller_zone, self._rng, self._lookup_lifetime)
        cache = f"max-age={int(answer.lifetime_s)}"
        return Ok(json_response(answer, headers=[("Cache-Control", cache)]))

    # Callers

    def _authenticate(self, request: HttpRequest) -> Result[Organisation, Problem]:
        header = request.headers.get("authorization")
        return self._caller_keys.authenticate(
            header, self._backend.configuration, self._clock.now()
        )

    def _pipeline(self, request: HttpRequest, name: PipelineId) -> HandlerResult:
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
        prompt_check = check_prompt(body)
        if isinstance(prompt_check, Err):
            return prompt_check
        caller = organisation.ok_value
        pipeline_request = PipelineRequest(
            request.request_id, caller.id, caller.priority_class, name, body, deadline
        )
        tracker = RequestTracker(self._backend, caller, name, deadline, self._clock)
        if body.get("stream", False):
            return Ok(self._stream(request, pipeline_request, tracker))
        with self._cancel_on_disconnect(request):
            outcome = self._backend.executor.run_pipeline(pipeline_request)
        return _as_json(tracker.record(outcome))

    def _stream(
        self, request: HttpRequest, pipeline_request: PipelineRequest, tracker: RequestTracker
    ) -> HttpResponse:
        items = tracker.record_stream(self._backend.executor.stream_pipeline(pipeline_request))
        headers = [("Content-Type", "text/event-stream"), ("Cache-Control", "no-store")]
        return HttpResponse(200, headers, encode_stream(items, request.request_id))

    def _service(self, request: HttpRequest, name: ServiceId, operation: str) -> HandlerResult:
        organisation = self._authenticate(request)
        if isinstance(organisation, Err):
            return organisation
        service = self._backend.configuration.services.get(name)
        known_operation = _find_operation(service, operation)
        if service is None or known_operation is None:
            detail = f"no operation '{operation}' of a service '{name}'"
            return Err(Problem(ResultCode.UNKNOWN_SERVICE, detail))
        admitted = self._admit(request, service.deadline)
        if isinstance(admitted, Err):
            return admitted
        deadline, body = admitted.ok_value
        caller = organisation.ok_value
        key: IdempotencyKey | None = None
        if not known_operation.idempotent:
            match read_idempotency_key(request.headers):
                case Err() as error:
                    return error
                case Ok(key):
                    pass
        service_request = ServiceRequest(
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
        return _as_json(tracker.record(self._run_service(request, service_request)))

    def _run_service(
        self, request: HttpRequest, service_request: ServiceRequest
    ) -> Result[Mapping[str, Any], Problem]:
        if service_request.idempotency_key is not None:
            # An order continues after its caller disconnects: its outcome is stored under its key.
            return self._backend.orders.submit(service_request)
        with self._cancel_on_disconnect(request):
            return self._backend.executor.run_service(service_request)

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

    def _cancel_on_disconnect(self, request: HttpRequest) -> Any:
        return self._watch.watching(
            request.connection, lambda: self._backend.executor.cancel(request.request_id)
        )

    def _order(self, request: HttpRequest, key: IdempotencyKey) -> HandlerResult:
        organisation = self._authenticate(request)
        if isinstance(organisation, Err):
            return organisation
        return _as_json(self._backend.orders.look_up(organisation.ok_value.id, key))

    def _explain(self, request: HttpRequest, name: RequestId) -> HandlerResult:
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

    def _for_operators(self, handler: Handler) -> Handler:
        def check_and_handle(request: HttpRequest) -> HandlerResult:
            header = request.headers.get("authorization")
            match self._operator_keys.authenticate(header):
                case Err(problem):
                    return Err(problem)
            return handler(request)

        return check_and_handle

    def _status(self, request: HttpRequest) -> HandlerResult:
        return Ok(json_response(self._backend.operations.status()))

    def _releases(self, request: HttpRequest) -> HandlerResult:
        return Ok(json_response(list(self._backend.operations.release_log())))

    def _configuration(self, request: HttpRequest) -> HandlerResult:
        return Ok(json_response(self._backend.operations.configuration()))

    def _accept_release(self, request: HttpRequest) -> HandlerResult:
        accept = self._backend.operations.accept_release
        return _as_json(read_body(request).and_then(accept))


def _require_method(request: HttpRequest, method: str, handler: Handler) -> HandlerResult:
    if request.method != method:
        return Err(Problem(ResultCode.METHOD_NOT_ALLOWED, f"use {method}"))
    return handler(request)


def _as_json(outcome: Result[Mapping[str, Any], Problem]) -> HandlerResult:
    return outcome.map(json_response)


def _find_operation(service: Service | None, name: str) -> Operation | None:
    if service is None:
        return None
    return next((entry for entry in service.operations if entry.name == name), None)
