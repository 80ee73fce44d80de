"""Steps for the behaviours of the emulated upstreams of a soak."""

import json
import re
import socket

from behave import given, then, when

from chervilrack.platform.emulated.standins import UpstreamStandIn

LIMIT_S = 10.0
# Time after which a connection without further bytes counts as kept open.
SETTLE_S = 0.5
PIECES = json.dumps({"entries": [{"id": "r1", "phase": 0, "segment": 0}]}).encode()
REQUESTS = {
    "plain": ("/order/r1", b"r1", ""),
    "stream": ("/stream/r1", b"r1", ""),
    "resumed stream": ("/stream/r1", b"r1", "Last-Event-Id: 2\r\n"),
    "stage": ("/api/stage-run", PIECES, ""),
}
OK = rb"HTTP/1\.1 200 OK\r\n"
FIELDS = rb"(?:[^\r\n]+\r\n)+\r\n"
SIGNED = rb"Chervilrack-Request-Id: r1\r\nChervilrack-Response-Signature: signed-by-u\r\n"
ANSWER = OK + SIGNED + rb"Content-Length: 12\r\n\r\nanswer to r1"
REFUSAL = rb"HTTP/1\.1 503 [^\r\n]+\r\n(?:[^\r\n]+\r\n)*Chervilrack-Not-Executed: 1\r\n"
NO_LENGTH = OK + SIGNED + rb"\r\nanswer t"


def events(*numbers):
    return rb"".join(rb"\w+\r\nid: %d\ndata: piece %d of r1\n\n\r\n" % (n, n) for n in numbers)


STREAM_HEAD = OK + SIGNED + FIELDS
EXPECTED = {
    "an answer": ANSWER,
    "a stream": STREAM_HEAD + events(1, 2, 3, 4, 5) + rb"0\r\n\r\n",
    "an answer that it leaves": OK + SIGNED + rb"Server-Leaving: 1\r\n" + FIELDS + rb"answer to r1",
    "results and that it leaves": OK + rb"(?:[^\r\n]+\r\n)*Server-Leaving: 1\r\n" + FIELDS + rb".+",
    "a refusal": REFUSAL + rb"Content-Length: 2\r\n\r\n\{\}",
    "a refusal for 1.5 s": REFUSAL + rb"Retry-After: 1\.5\r\n" + FIELDS + rb"\{\}",
    "a refusal until a date": REFUSAL + rb"Retry-After: \w+, [^\r\n]+ GMT\r\n" + FIELDS + rb"\{\}",
    "a refusal with two times": REFUSAL
    + rb"Retry-After: 1\r\nRetry-After: 2\r\n"
    + FIELDS
    + rb"..",
    "20 bytes of a head": OK + rb"Che",
    "a head without its end": OK
    + SIGNED
    + rb"Content-Type: text/plain\r\nCache-Control: no-store\r\nContent-Length: 12\r\n",
    "a part of a body": OK + SIGNED + rb"Content-Length: 100\r\n\r\nhalf",
    "an answer without 4 bytes": ANSWER[:-4],
    "two answers": ANSWER * 2,
    "an answer and a refusal": ANSWER + REFUSAL + rb"Content-Length: 0\r\n\r\n",
    "an answer to another id": OK
    + rb"Chervilrack-Request-Id: foreign\r\n"
    + FIELDS
    + rb".+foreign",
    "an answer without length": NO_LENGTH + rb"o r1",
    "an answer without length and its last 4 bytes": NO_LENGTH,
    "two events and a half": STREAM_HEAD + events(1, 2) + rb"9\r\nid: 3\ndat\r\n",
    "two events": STREAM_HEAD + events(1, 2),
    "an error": rb"HTTP/1\.1 500 Failed\r\n" + FIELDS + rb"no",
    "bytes that are no answer": rb"\x00\x01 no answer\r\n\r\n",
}


@given('an emulated upstream with "{behaviour}"')
def start_upstream(context, behaviour):
    context.upstream = UpstreamStandIn("u", "plain")
    context.upstream.behaviour = behaviour
    context.upstream.__enter__()
    context.add_cleanup(context.upstream.__exit__)


@when("it gets a {kind} request on a connection that stays open")
def send_request(context, kind):
    path, body, fields = REQUESTS[kind]
    host, _, port = context.upstream.address.rpartition(":")
    head = f"POST {path} HTTP/1.1\r\nHost: a\r\nChervilrack-Request-Id: r1\r\n{fields}"
    with socket.create_connection((host, int(port)), timeout=LIMIT_S) as client:
        client.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        context.received, context.ending = b"", "ends the connection"
        try:
            while part := client.recv(65536):
                context.received += part
                client.settimeout(SETTLE_S)
        except TimeoutError:
            context.ending = "keeps the connection open"
        except ConnectionResetError:
            context.ending = "resets the connection"


@then("it sends {what} and {ending}")
def sent(context, what, ending):
    # "and" may also be a part of what is sent.
    what, ending = f"{what} and {ending}".rsplit(" and ", 1)
    assert re.fullmatch(EXPECTED[what], context.received, re.DOTALL), context.received
    assert context.ending == ending, context.ending
