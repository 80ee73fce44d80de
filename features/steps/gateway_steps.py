"""Steps for the HTTP interface, with real connections and a fake node."""

import contextlib
import http.client
import json
import random
import socket
import ssl
import tempfile
import threading
import time
from contextlib import ExitStack
from datetime import UTC, datetime, timedelta
from pathlib import Path

from behave import given, then, when
from features.support.certificates import write_certificate
from result import Err, Ok

from chervilrack._internal.common.clock import SystemClock
from chervilrack._internal.common.results import Problem, ResultCode
from chervilrack._internal.gateway.application import Application
from chervilrack._internal.gateway.authentication import OperatorKeys, key_digest
from chervilrack._internal.gateway.callers import CallerWatch
from chervilrack._internal.gateway.lookup import Endpoint, look_up
from chervilrack._internal.gateway.routes import Routes
from chervilrack._internal.gateway.server import HttpServer, HttpServerSettings
from chervilrack._internal.releases.state import (
    Configuration,
    Operation,
    Organisation,
    OrganisationKey,
    Pipeline,
    Service,
)

MAX_BODY = 10_000
MAX_HEADERS = 8_000
WAIT_LIMIT_S = 20

CONFIGURATION = Configuration(
    revision=1,
    pipelines={"summary": Pipeline("summary", ())},
    services={"stock": Service("stock", (Operation("count"), Operation("pay", idempotent=False)))},
    organisations={
        "acme": Organisation(
            "acme",
            (
                OrganisationKey(key_digest("acme-key")),
                OrganisationKey(key_digest("old-key"), datetime(2020, 1, 1, tzinfo=UTC)),
            ),
        ),
        "other": Organisation("other", (OrganisationKey(key_digest("other-key")),)),
    },
)


class FakeNode:
    """Node whose requests return at once, or wait until they are cancelled."""

    def __init__(self):
        self.configuration = CONFIGURATION
        self.executor = self.orders = self.operations = self
        self.blocking = threading.Event()
        self.running = threading.Event()
        self.cancelled = threading.Event()

    def run_pipeline(self, request):
        self.running.set()
        if self.blocking.is_set():
            self.cancelled.wait(WAIT_LIMIT_S)
        return Ok({"organisation": request.organisation})

    run_service = submit = run_pipeline

    def cancel(self, request_id):
        self.cancelled.set()

    def look_up(self, organisation, key):
        if organisation == "acme":
            return Ok({"state": "done"})
        return Err(Problem(ResultCode.UNKNOWN_ORDER, "no such order"))

    def explanation(self, request_id, organisation):
        return ["queued"] if organisation in {None, "acme"} else None

    def not_ready(self):
        return None

    def status(self):
        return {}

    def release_log(self):
        return []

    def accept_release(self, document):
        return Ok({})

    def request_ended(self, *arguments):
        pass


@given("a gateway over a fake node")
def start_gateway(context):
    stack = ExitStack()
    context.add_cleanup(stack.close)
    context.node = FakeNode()
    _start_server(context, stack)


def _start_server(context, stack, certificate=None, private_key=None):
    watch = stack.enter_context(CallerWatch())
    operators = OperatorKeys([key_digest("operator-key")])
    routes = Routes(context.node, operators, watch, SystemClock(), random.Random(1))
    settings = HttpServerSettings(
        "127.0.0.1",
        0,
        max_body=MAX_BODY,
        max_headers=MAX_HEADERS,
        threads=4,
        idle_time=timedelta(seconds=1),
        certificate=certificate,
        private_key=private_key,
    )
    context.server = stack.enter_context(HttpServer(settings, Application(routes)))
    context.port = context.server.port


@given("a gateway with TLS and the first certificate")
def start_tls_gateway(context):
    stack = ExitStack()
    context.add_cleanup(stack.close)
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
    context.node = FakeNode()
    context.certificates = {name: write_certificate(folder, name) for name in ("first", "second")}
    context.trusted = {name: paths[0].read_bytes() for name, paths in context.certificates.items()}
    _start_server(context, stack, *context.certificates["first"])


@when("the certificate of the gateway is {change}")
def change_certificate(context, change):
    if change == "replaced":
        first, second = context.certificates["first"], context.certificates["second"]
        for old, new in zip(first, second, strict=True):
            old.write_bytes(new.read_bytes())
        context.server.reload_certificate()


@then("a caller of the gateway that trusts the {trusted} certificate gets {result}")
def call_with_tls(context, trusted, result):
    tls = ssl.create_default_context(cadata=context.trusted[trusted].decode())
    connection = http.client.HTTPSConnection(
        "127.0.0.1", context.port, timeout=WAIT_LIMIT_S, context=tls
    )
    try:
        connection.request(*PIPELINE, b"{}", {"Authorization": "Bearer acme-key"})
        observed = "an answer" if connection.getresponse().status == 200 else "a problem"
    except ssl.SSLError:
        observed = "a TLS error"
    finally:
        connection.close()
    assert observed == result, observed


@when("the gateway receives a plain request on its TLS listener")
def send_plain_request(context):
    with socket.create_connection(("127.0.0.1", context.port), timeout=WAIT_LIMIT_S) as connection:
        connection.sendall(HEAD + b"Content-Length: 2\r\n\r\n{}")
        _read_to_end(connection)


def _exchange(port, method, path, body=b"{}", headers=None):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT_LIMIT_S)
    fields = {"Authorization": "Bearer acme-key", **(headers or {})}
    fields = {name: value for name, value in fields.items() if value is not None}
    connection.request(method, path, body if method == "POST" else None, fields)
    answer = connection.getresponse()
    payload = answer.read()
    connection.close()
    return answer.status, payload


def _read_to_end(connection):
    answer = b""
    # A server that closes with unread input resets the connection after its answer.
    with contextlib.suppress(ConnectionResetError):
        while chunk := connection.recv(65536):
            answer += chunk
    return answer


def _exchange_raw(port, data):
    with socket.create_connection(("127.0.0.1", port), timeout=WAIT_LIMIT_S) as connection:
        connection.sendall(data)
        answer = _read_to_end(connection)
    head, _, payload = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), payload


PIPELINE = ("POST", "/v1/pipelines/summary")
HEAD = b"POST /v1/pipelines/summary HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer acme-key\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n"
FAULTS = {
    "two lengths": lambda port: _exchange_raw(
        port, HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\n{} "
    ),
    "a length beside chunks": lambda port: _exchange_raw(
        port, CHUNKED + b"Content-Length: 5\r\n\r\n0\r\n\r\n"
    ),
    "a chunk size zz": lambda port: _exchange_raw(port, CHUNKED + b"\r\nzz\r\n{}\r\n0\r\n\r\n"),
    "a signed chunk size": lambda port: _exchange_raw(port, CHUNKED + b"\r\n+2\r\n{}\r\n0\r\n\r\n"),
    "a chunk beyond its size": lambda port: _exchange_raw(
        port, CHUNKED + b"\r\n1\r\n{}\r\n0\r\n\r\n"
    ),
    "oversized chunks": lambda port: _exchange_raw(
        port, CHUNKED + b"\r\n%x\r\n" % (MAX_BODY + 1) + b" " * (MAX_BODY + 1)
    ),
    "a folded field": lambda port: _exchange_raw(
        port, HEAD + b"X-A: 1\r\n 2\r\nContent-Length: 0\r\n\r\n"
    ),
    "malformed JSON": lambda port: _exchange(port, *PIPELINE, b'{"input": '),
    "deeply nested JSON": lambda port: _exchange(port, *PIPELINE, b"[" * 5000),
    "invalid UTF-8": lambda port: _exchange(port, *PIPELINE, b'{"input": "\xff\xfe"}'),
    "a JSON array": lambda port: _exchange(port, *PIPELINE, b"[1]"),
    "a text max_tokens": lambda port: _exchange(port, *PIPELINE, b'{"max_tokens": "9"}'),
    "a number as prompt": lambda port: _exchange(port, *PIPELINE, b'{"prompt": 17}'),
    "a text stream flag": lambda port: _exchange(port, *PIPELINE, b'{"stream": "yes"}'),
    "an oversized body": lambda port: _exchange(port, *PIPELINE, b" " * (MAX_BODY + 1)),
    "oversized headers": lambda port: _exchange_raw(
        port, HEAD + b"X: " + b"y" * MAX_HEADERS + b"\r\n\r\n"
    ),
    "an unknown path": lambda port: _exchange(port, "GET", "/v2/nothing"),
    "a wrong method": lambda port: _exchange(port, "GET", "/v1/pipelines/summary"),
    "unknown pipeline": lambda port: _exchange(port, "POST", "/v1/pipelines/none"),
    "unknown operation": lambda port: _exchange(port, "POST", "/v1/services/stock/none"),
    "a past deadline": lambda port: _exchange(port, *PIPELINE, headers={"Deadline-Ms": "0"}),
    "a long deadline": lambda port: _exchange(port, *PIPELINE, headers={"Deadline-Ms": "60000"}),
    "a text deadline": lambda port: _exchange(port, *PIPELINE, headers={"Deadline-Ms": "soon"}),
    "no idempotency key": lambda port: _exchange(port, "POST", "/v1/services/stock/pay"),
    "a bad request line": lambda port: _exchange_raw(port, b"HELLO\r\n\r\n"),
    "a slow body": lambda port: _exchange_raw(port, HEAD + b"Content-Length: 10\r\n\r\n{"),
}
KEYS = {
    "no key": None,
    "a wrong key": "Bearer nobody",
    "an expired key": "Bearer old-key",
    "a basic scheme": "Basic acme-key",
    "another organisation's key": "Bearer other-key",
    "an organisation's key": "Bearer acme-key",
}
RESOURCES = {
    "pipeline": PIPELINE,
    "service": ("POST", "/v1/services/stock/count"),
    "order": ("GET", "/v1/orders/key-1"),
    "explanation": ("GET", "/v1/requests/r1/explanation"),
    "status": ("GET", "/operator/v1/status"),
    "releases": ("GET", "/operator/v1/releases"),
    "accept": ("POST", "/operator/v1/releases/accept"),
}


@when("the gateway receives a request with {fault}")
def send_fault(context, fault):
    context.status, context.payload = FAULTS[fault](context.port)


@when("the gateway receives {key} for the {resource} resource")
def send_key(context, key, resource):
    headers = {"Authorization": KEYS[key]}
    context.status, context.payload = _exchange(context.port, *RESOURCES[resource], headers=headers)


@then("the gateway answers status {status:d} with problem code {code:d} and executed {executed}")
def check_problem(context, status, code, executed):
    document = json.loads(context.payload)
    observed = (context.status, document["code"], document["executed"])
    assert observed == (status, code, executed), (observed, document)


@then("the gateway still answers a correct request")
def check_correct_request(context):
    status, payload = _exchange(context.port, *PIPELINE)
    assert (status, json.loads(payload)) == (200, {"organisation": "acme"}), payload


@when("the gateway loses the caller of a running request")
def lose_caller(context):
    context.node.blocking.set()
    with socket.create_connection(("127.0.0.1", context.port)) as connection:
        connection.sendall(HEAD + b"Content-Length: 2\r\n\r\n{}")
        assert context.node.running.wait(WAIT_LIMIT_S)


@then("the gateway cancels the request at the node")
def check_cancelled(context):
    deadline = time.monotonic() + WAIT_LIMIT_S
    while not context.node.cancelled.is_set() and time.monotonic() < deadline:
        time.sleep(0.02)
    assert context.node.cancelled.is_set()


@when("the gateway looks up endpoints for zone {zone} with node {leaving} leaving")
def look_up_endpoints(context, zone, leaving):
    zones = {"n1": "quito", "n2": "ambato", "n3": "riobamba"}
    endpoints = [
        Endpoint(name, node_zone, name, name == leaving) for name, node_zone in zones.items()
    ]
    context.answers = [look_up(endpoints, zone, random.Random(seed)) for seed in range(20)]


@then("the look-up returns {first} first and never {leaving}")
def check_look_up(context, first, leaving):
    for answer in context.answers:
        assert answer.addresses[0] == first, answer
        assert leaving not in answer.addresses, answer
        assert len(answer.addresses) == 2


@then("the gateway has not run the request")
def check_not_run(context):
    assert not context.node.running.is_set()
