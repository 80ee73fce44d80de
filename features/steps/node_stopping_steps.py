"""Steps for the planned stop of a native node."""

import dataclasses
import http.client
import json
import time
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

from behave import given, then, when

LIMIT_S = 30.0
FAULTS = {"hang": {"hang": True}, "are ten times slow": {"straggle": 10.0}}


@given("all its upstreams {behave}")
def set_faults(context, behave):
    context.cluster.accept_first_note()
    context.faults = FAULTS[behave]
    for upstream in context.cluster.fleet.upstreams.values():
        upstream.set_faults(**context.faults)


def send(context, operation, deadline_s):
    address = context.node.http_address.removeprefix("http://")
    connection = http.client.HTTPConnection(address, timeout=LIMIT_S)
    headers = {
        "Authorization": f"Bearer {context.cluster.profile.organisations[0].key}",
        "Deadline-Ms": str(round(deadline_s * 1000)),
        "Content-Type": "application/json",
    }
    if not operation.idempotent:
        headers["Idempotency-Key"] = "order-1"
    path = f"/v1/services/{operation.service}/{operation.name}"
    connection.request("POST", path, b"{}", headers)
    response = connection.getresponse()
    body = response.read()
    connection.close()
    return response.status, body


@when("the node leaves while an upstream has a {kind} request with a deadline of {seconds:g} s")
def leave_during_request(context, kind, seconds):
    node = context.node
    node._options = dataclasses.replace(node._options, lookup_lifetime=timedelta(0))
    operation = next(
        item
        for item in context.cluster.profile.operations
        if item.idempotent == (kind == "idempotent")
    )
    with ThreadPoolExecutor(2) as pool:
        request = pool.submit(send, context, operation, seconds)
        end = time.monotonic() + LIMIT_S
        while not context.node._runner.in_flight:
            assert time.monotonic() < end, request
            assert not request.done(), request.result()
            time.sleep(0.005)
        has_left = pool.submit(node.leave)
        context.status, context.body = request.result(LIMIT_S)
        context.drained = has_left.result(LIMIT_S)


@then("the caller gets a complete answer, {executed}")
def check_answer(context, executed):
    if executed == "with status 200":
        assert context.status == 200, (context.status, context.body)
        return
    assert context.status >= 500, (context.status, context.body)
    assert json.loads(context.body)["executed"] == "unknown", context.body


@then("the node has left with all requests ended")
def check_drained(context):
    assert context.drained
