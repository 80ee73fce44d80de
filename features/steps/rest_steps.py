"""Steps for streams that are begun only if they can end in time."""

import http.client
import json
import urllib.request

from behave import then, when
from bounds_steps import CALLER_ID, KEY, LIMIT_S, PATHS, log_line


def send_stream(context, request_id, tokens, deadline, fields=()):
    """Send a stream request; return the status, the header fields and what was read of the body."""
    connection = http.client.HTTPConnection(str(context.settings.callers), timeout=LIMIT_S)
    headers = {
        "Host": "app.example",
        "Authorization": f"Token {KEY}",
        "Chervilrack-Request-Id": request_id,
        "Chervilrack-Deadline-Ms": str(deadline),
        "Chervilrack-Token-Usage": f"50,{tokens}",
        **dict(fields),
    }
    try:
        connection.request("POST", PATHS["stream"], b"", headers)
        response = connection.getresponse()
        try:
            return response.status, response.headers, response.read()
        except http.client.IncompleteRead as error:
            return response.status, response.headers, error.partial
    finally:
        connection.close()


@when("{count:d} streams of {tokens:d} output tokens have ended")
def send_streams(context, count, tokens):
    for number in range(count):
        send_stream(context, f"before-{number}", tokens, 8000)
    assert len(context.scripted.requests) == count, context.scripted.requests


@when("a caller sends a {kind} request of {tokens:d} output tokens with a deadline of {ms:d} ms")
def send_one(context, kind, tokens, ms):
    fields = {"Last-Event-Id": "1"} if kind.startswith("resumed") else {}
    context.answer = send_stream(context, CALLER_ID, tokens, ms, fields)


def requests_of_caller(context):
    return [head for head in context.scripted.requests if CALLER_ID in head]


@then("the answer has status {status:d}, code {code:d} and a Retry-After")
def check_answer(context, status, code):
    got, headers, body = context.answer
    assert got == status, context.answer
    assert json.loads(body)["code"] == code, body
    assert json.loads(body)["executed"] == "no", body
    assert float(headers["Retry-After"]) > 0, headers.items()


@then("no upstream has got the request")
def check_not_sent(context):
    assert not requests_of_caller(context)


@then("an upstream has got the request")
def check_sent(context):
    assert requests_of_caller(context), context.answer


@then("the log line of the request names the forecast, its observations and the time left")
def check_log(context):
    detail = log_line(context)["detail"]
    for text in ("the rest takes", "observations", "the latest", "s are left"):
        assert text in detail, detail


@then("the metrics count {count:d} refused stream by its forecast")
def check_metrics(context, count):
    with urllib.request.urlopen(f"http://{context.settings.metrics}/metrics") as response:
        lines = response.read().decode().splitlines()
    name = "chervilrack_serving_stream_forecasts_total{"
    counted = [line for line in lines if line.startswith(name) and 'outcome="refused"' in line]
    assert [float(line.split()[-1]) for line in counted] == [count], lines
