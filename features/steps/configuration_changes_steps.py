"""Steps for requests that wait while the configuration changes."""

import http.client
import itertools
import json
import threading
import time
from datetime import timedelta
from unittest import mock

from behave import given, then, when

from chervilrack._internal.gateway import passthrough
from chervilrack.platform.emulated.emulation import configuration
from chervilrack.platform.emulated.standins import UpstreamStandIn

LIMIT_S = 30.0
KEY = "k1"
STAGED = {"Chervilrack-Chunk-Count": "2,3", "Chervilrack-Chunk-Key": "piece-key"}
# Path, services whose upstreams are held, and more header fields, by where a request waits.
PLACES = {
    "its first stage": ("/stream/staged/1", ("first",), STAGED),
    "its second stage": ("/stream/staged/1", ("second",), STAGED),
    "an answer": ("/order/1", ("plain",), {}),
    "a second attempt": ("/read/1", ("plain",), {}),
    "the next event": ("/stream/1", ("engine",), {}),
    "its body": ("/order/1", (), {}),
}


def wait_for(condition, description):
    end = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < end, f"timed out: {description}"
        time.sleep(0.01)


def _each_route(document, **fields):
    for route in document["routes"]:
        route.update(fields)


def _more_routes(document):
    model = document["routes"][0]
    document["routes"] += [
        {**model, "name": f"more-{number}", "pathPrefix": f"/more{number}/"}
        for number in range(350)
    ]


def _move_stages(document):
    for route in document["routes"]:
        for stage in route.get("stages", ()):
            stage["service"] = "other"


def _split(document):
    split = [{"service": "other", "weight": 1e9}, {"service": "plain", "weight": 1}]
    _each_route(document, trafficSplit=split)


CHANGES = {
    "all routes go to another service": lambda d: _each_route(d, service="other"),
    "there are no routes": lambda d: d.update(routes=[]),
    "there are no services": lambda d: d.update(services=[]),
    "the routes have no stages": lambda d: _each_route(d, stages=[]),
    "the stages go to another service": _move_stages,
    "the traffic is split with another service": _split,
    "requests time out after 1 ms": lambda d: _each_route(d, timeoutMs=1),
    "nothing may be repeated or resumed": lambda d: _each_route(
        d, maxAttempts=1, streamResume=False, kind="non_idempotent"
    ),
    "the organisation is gone": lambda d: d.update(tenants=[]),
    "the key is revoked": lambda d: d["tenants"][0].update(apiKeys=[]),
    "the organisation has another priority": lambda d: d["tenants"][0].update(priority=9),
    "connections may be idle for 50 ms": lambda d: d["limits"].update(idleTimeoutMs=50),
    "bodies may have 1 byte": lambda d: d["limits"].update(maxBodyBytes=1),
    "there are 350 more routes": _more_routes,
}


class Gate:
    """Holds the calls to some upstreams until it is opened."""

    def __init__(self):
        self.reached = threading.Event()
        self.opened = threading.Event()

    def hold(self, upstream, *, after_first_event):
        serve = upstream.serve

        def held(request, body):
            if request.path != "/api/stage-free" and not after_first_event:
                self.reached.set()
                assert self.opened.wait(LIMIT_S)
            serve(request, body)

        upstream.serve = held
        if after_first_event:
            self._hold_events(upstream)

    def _hold_events(self, upstream):
        """Let a stream send its first event, and the others once the gate is open."""
        # The stand-in asks once when a request arrives and once before each event.
        questions = itertools.count(1)

        def wait_for_gate():
            if next(questions) == 3:
                self.reached.set()
                assert self.opened.wait(LIMIT_S)

        upstream._wait_out_silence = wait_for_gate


class Caller:
    """Sends one request in a thread of its own."""

    def __init__(self, context, path, request_id, fields, body=None):
        self.connection = http.client.HTTPConnection(str(context.settings.callers), timeout=LIMIT_S)
        self.status = None
        self.body = b""
        self.headers = {
            "Host": "app.example",
            "Authorization": f"Token {KEY}",
            "Chervilrack-Request-Id": request_id,
            "Chervilrack-Deadline-Ms": "4500",
            **fields,
        }
        self._path = path
        self._request_body = body if body is not None else b"order"
        self._thread = threading.Thread(target=self._send)
        self._thread.start()

    def _send(self):
        headers = {**self.headers, "Content-Length": "5"}
        self.connection.request("POST", self._path, self._request_body, headers)
        response = self.connection.getresponse()
        self.body = response.read()
        self.status = response.status
        self.connection.close()

    def join(self):
        self._thread.join(LIMIT_S)
        assert self.status is not None, "no answer"


def body_in_two_parts(gate):
    yield b"or"
    gate.reached.set()
    assert gate.opened.wait(LIMIT_S)
    yield b"der"


@given("a request that waits for {place}")
def start_waiting_request(context, place):
    path, services, fields = PLACES[place]
    context.gate = Gate()
    context.add_cleanup(context.gate.opened.set)
    context.place = place
    for name, upstream in context.upstreams.items():
        if upstream.service in services:
            context.gate.hold(upstream, after_first_event=place == "the next event")
        if place == "a second attempt" and name == "plain-1":
            upstream.behaviour = "fails"
    body = body_in_two_parts(context.gate) if place == "its body" else None
    if place == "a second attempt":
        # The upstream that fails gets the first attempt, and is not left before it has failed.
        prefer(context, "plain-1")
        context.node._state._first_byte_times["plain"] = timedelta(seconds=5)
    if place == "the next event":
        # No other engine could go on with the stream.
        context.store.remove("servers/engine-2")
        catalogue = context.node._state.catalogue
        wait_for(lambda: len(catalogue.ready_upstreams("engine")) == 1, "one engine is left")
    context.callers = [Caller(context, path, "waiting", fields, body)]
    wait_for(context.gate.reached.is_set, "the request waits")


def prefer(context, name):
    """Let the node choose an upstream before all others."""
    balancer = context.node._state.balancer
    choose = balancer.choose

    def choose_preferred(entries, load, now, excluded=()):
        preferred = [e for e in entries if e.id == name and e.id not in set(excluded)]
        return choose(preferred or entries, load, now, excluded)

    patch = mock.patch.object(balancer, "choose", choose_preferred)
    patch.start()
    context.add_cleanup(patch.stop)


@when("the configuration changes so that {change}")
def change_configuration(context, change):
    document = configuration(2, [KEY])
    CHANGES[change](document)
    context.store.put("op/config", document)
    catalogue = context.node._state.catalogue
    wait_for(lambda: catalogue.configuration.version == 2, "the configuration is in force")
    # Time for the node to check its idle connections, if it wrongly took this for one.
    if "idle" in change:
        time.sleep(1.2)


@when("the request goes on")
def open_gate(context):
    context.gate.opened.set()
    for caller in context.callers:
        caller.join()
    context.response, context.body = context.callers[0], context.callers[0].body


@then("the caller gets the whole answer of the service at its admission")
@then("both callers get the whole answer")
def check_whole_answers(context):
    for caller in context.callers:
        assert caller.status == 200, (caller.status, caller.body)
        if b"id: 1" in caller.body:
            expected = [b"id: %d" % number for number in range(1, 6)]
            got = [line for line in caller.body.split(b"\n") if line.startswith(b"id:")]
            assert got == expected, caller.body
        else:
            assert caller.body == b"answer to order", caller.body


@then("the request was run {count:d} times")
def check_run_count(context, count):
    runs = [run for upstream in context.upstreams.values() for run in upstream.seen]
    assert len(runs) == count, runs
    assert all(run.headers["Chervilrack-Tenant"] == "bozi" for run in runs), runs
    if context.place == "a second attempt":
        check_retried_after_failure(context)


def check_retried_after_failure(context):
    """Check that the first upstream was left because it failed, not because it was silent."""

    def steps():
        entries = [json.loads(line) for line in context.log.getvalue().splitlines()]
        return [step for entry in entries for step in entry.get("steps", ())]

    wait_for(steps, "the request's log line")
    assert [step.partition(" after")[0] for step in steps() if step.startswith("to")] == [
        "to plain-1",
        "to plain-2",
    ], steps()
    assert "failed: the upstream answered 500" in steps(), steps()


@then("no request is in progress")
def check_none_in_progress(context):
    wait_for(lambda: context.node._state.in_progress == 0, "no request is in progress")


@given("another request whose first stage waits for the call of that request")
def start_second_request(context):
    context.callers.append(Caller(context, "/stream/staged/2", "second", STAGED))
    queues = context.node._coordinator._queues
    wait_for(lambda: queues["first"].waiting == 2, "the pieces wait")


@when("the upstream of the first stage drains and another one is ready")
def replace_upstream(context):
    other = UpstreamStandIn("first-2", "first")
    other.__enter__()
    context.add_cleanup(other.__exit__, None, None, None)
    context.upstreams["first-2"] = other
    context.store.put("servers/first-1", context.upstreams["first-1"].entry("draining"))
    context.store.put("servers/first-2", other.entry())
    catalogue = context.node._state.catalogue

    def is_replaced():
        return [entry.id for entry in catalogue.ready_upstreams("first")] == ["first-2"]

    wait_for(is_replaced, "the other upstream is ready")


@then("the pieces of the other request ran at the other upstream")
def check_pieces(context):
    ids = {
        name: {piece["id"] for piece in context.upstreams[name].pieces}
        for name in ("first-1", "first-2")
    }
    # A call that takes longer than 1.6 s is given up, and its pieces run elsewhere.
    assert "second" in ids["first-2"], ids
    assert "second" not in ids["first-1"], ids
    assert ids["first-1"] | ids["first-2"] == {"waiting", "second"}, ids


@given("an exception in the choice of an upstream")
def raise_in_choice(context):
    patch = mock.patch.object(context.node._state.balancer, "choose", side_effect=KeyError("gone"))
    patch.start()
    context.add_cleanup(patch.stop)


@then("the answer states that the request may have run")
def check_executed_unknown(context):
    assert json.loads(context.body)["executed"] == "unknown", context.body


@given("a node whose threads are all busy, where requests wait {wait} for a thread")
def occupy_threads(context, wait):
    if wait == "long enough":
        patch = mock.patch.object(passthrough, "MAX_THREAD_WAIT", timedelta(seconds=LIMIT_S))
        patch.start()
        context.add_cleanup(patch.stop)
    pool = context.node._caller_server._server.requests
    pool.max = len(pool._threads)
    context.gate = Gate()
    context.add_cleanup(context.gate.opened.set)
    for name in ("plain-1", "plain-2"):
        context.gate.hold(context.upstreams[name], after_first_event=False)
    context.busy_callers = [
        Caller(context, "/order/1", f"busy-{number}", {}) for number in range(pool.max)
    ]
    wait_for(lambda: pool.idle == 0, "all threads are busy")


@given("a caller that sends a plain request to the busy node")
def send_to_busy_node(context):
    context.waiting = Caller(context, "/order/1", "waiting", {})


@when("the threads become free {moment} the request is answered")
def free_threads(context, moment):
    if moment == "after":
        context.waiting.join()
        assert not context.gate.opened.is_set()
    context.gate.opened.set()
    for caller in [context.waiting, *context.busy_callers]:
        caller.join()
    assert {caller.status for caller in context.busy_callers} == {200}


@then("the waiting caller gets status {status:d}")
def check_waiting_status(context, status):
    assert context.waiting.status == status, (context.waiting.status, context.waiting.body)


@then("the request that waited has run {count:d} times")
def check_waiting_runs(context, count):
    runs = [
        run
        for upstream in context.upstreams.values()
        for run in upstream.seen
        if run.headers["Chervilrack-Request-Id"] == "waiting"
    ]
    assert len(runs) == count, runs


@then("the log has the refusal of that request with code {code}")
def check_refusal_logged(context, code):
    def codes():
        entries = [json.loads(line) for line in context.log.getvalue().splitlines()]
        lines = [entry for entry in entries if entry.get("request") == "waiting"]
        return [str(entry.get("code", "none")) for entry in lines]

    wait_for(codes, "the request's log line")
    assert codes() == [code], codes()
