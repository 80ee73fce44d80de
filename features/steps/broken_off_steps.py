"""Steps for responses that end early, sent to every HTTP client of the package."""

import time
from contextlib import ExitStack
from datetime import timedelta
from types import SimpleNamespace
from unittest import mock

from behave import then
from features.support.cut_server import RESET_DELAY_S, CutServer
from features.support.response_grammar import read_response
from hypothesis import given as for_all
from hypothesis import strategies as st

from chervilrack._internal.batching.state import Order, Piece, StartCall
from chervilrack._internal.catalogue.state import UpstreamIncarnation
from chervilrack._internal.cli.client import NodeClient, NodeRefused
from chervilrack._internal.common.clock import SystemClock
from chervilrack._internal.common.http_responses import StrictHTTPConnection
from chervilrack._internal.exceptions import (
    NodeUnreachable,
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
    StreamBroken,
)
from chervilrack._internal.kvstore.etcd import EtcdPlatform
from chervilrack._internal.kvstore.port import Compare, Put
from chervilrack._internal.kvstore.registry import PlatformSettings
from chervilrack._internal.serving.stage_calls import CallFailed, StageCaller
from chervilrack._internal.soak.callers import Caller, CallerKeys, Prompts, Uploads, WorkTimes
from chervilrack._internal.soak.records import Ending
from chervilrack._internal.upstreams.commands import Target, UpstreamCommands
from chervilrack._internal.upstreams.connections import ConnectionPools
from chervilrack._internal.upstreams.exchange import Exchange, ExchangeFailed
from chervilrack._internal.upstreams.port import UpstreamCall
from chervilrack._internal.upstreams.protocols import create_clients
from chervilrack.platform.headers import PlatformDialect
from chervilrack.platform.store import PlatformStore

LIMIT = timedelta(seconds=20)
LIMIT_S = LIMIT.total_seconds()
# Text of the event with which a token stream is whole, whatever follows.
FINAL_EVENT = b'"finish_reason":"length"}],"token_offset":1}\n\n'


def forward(stack, address, head_only):
    """Send a forwarded request.

    Return whether the client claims to know the outcome, from an answer, a refusal or an error
    that states that the request was not sent. All functions of ``CLIENTS`` do so.
    """
    exchange = stack.enter_context(Exchange(address))
    try:
        exchange.send("POST", "/", [("Host", "a")], b"order", LIMIT_S)
        exchange.read_head(LIMIT_S)
        if not head_only:
            exchange.read_body(time.monotonic() + LIMIT_S)
    except ExchangeFailed as error:
        return error.unreachable or not error.sent
    return True


def call_stage(stack, address, _head_only):
    order = Order("o", "first", "r", 0, "key", (), LIMIT, LIMIT, 1, timedelta(0))
    pieces = (Piece(order, 0),)
    upstream = UpstreamIncarnation("first-1", 1)
    call = StartCall(1, upstream, address, pieces, timedelta(0), LIMIT, LIMIT, None)
    observer = SimpleNamespace(may_send=lambda _: True, answer_received=lambda *_: None)
    caller = stack.enter_context(StageCaller(PlatformDialect(), observer, SystemClock()))
    try:
        assert caller._call(call, lambda: None) == ["host:1/name"]
    except CallFailed as failure:
        return failure.not_executed or failure.detail.startswith("status")
    return True


def call_native(stack, address, _head_only):
    client = create_clients(stack.enter_context(ConnectionPools()))["json"]
    outcome = client.call(create_call(address))
    return outcome.is_ok() or _is_known(outcome.err_value)


def stream_tokens(stack, address, _head_only):
    client = create_clients(stack.enter_context(ConnectionPools()))["openai-completions"]
    opened = stack.enter_context(client.stream(create_call(address)))
    if opened.is_err():
        return _is_known(opened.err_value)
    try:
        assert "".join(chunk.text for chunk in opened.ok_value) == "ab"
    except StreamBroken:
        return False
    return True


def send_command(stack, address, _head_only):
    commands = UpstreamCommands(stack.enter_context(ConnectionPools()), timeout=LIMIT)
    outcome = commands.drain(Target(f"http://{address}", 1))
    return outcome.is_ok() or _is_known(outcome.err_value)


def create_call(address):
    return UpstreamCall(
        upstream="u",
        base_url=f"http://{address}",
        path="/",
        request_id="r-1",
        attempt_id="a-1",
        organisation="guild",
        body={"prompt": "p"},
        deadline=LIMIT,
    )


def _is_known(failure):
    """Return whether a failure claims to know whether the work ran."""
    return failure.executed.value != "unknown"


def ask_node(_stack, address, _head_only):
    try:
        NodeClient(f"http://{address}", None).get("/operator/v1/status")
    except NodeUnreachable:
        return False
    except NodeRefused:
        return True
    return True


def call_as_soak(_stack, address, _head_only):
    emulation = SimpleNamespace(
        request_headers=lambda *_: {"Host": "a"}, signer=lambda _headers: "an upstream"
    )
    link = SimpleNamespace(address=address, was_read=lambda *_: True)
    caller = Caller(
        0, 1, emulation, [], {address: link}, CallerKeys(1), WorkTimes(0.01), Prompts(), Uploads()
    )
    return caller._send_request(address).ending is Ending.ANSWERED


def write(client):
    """Return whether the outcome of a write is known."""
    try:
        client.txn([Compare("a", 0)], [Put("a", b"1")])
    except PlatformOutcomeUnknown:
        return False
    except PlatformError:
        return True
    return True


def grant_lease(_stack, address, _head_only):
    try:
        PlatformStore(address).lease_grant(LIMIT)
    except PlatformOutcomeUnknown:
        return False
    except PlatformError:
        return True
    return True


def read(client):
    try:
        client.get("a")
    except PlatformUnavailable:
        return False
    return True


def open_etcd(address):
    return EtcdPlatform(PlatformSettings(endpoints=(f"http://{address}",)))


def watch_etcd(stack, address, _head_only):
    try:
        stack.enter_context(open_etcd(address).watch("a/", 1))
    except PlatformUnavailable:
        return False
    return True


ID_FIELDS = b"X-Request-Id: r-1\r\nX-Organisation: guild\r\nX-Attempt-Id: a-1\r\n"
STORE_ITEM = b'{"key":"a","revision":7,"at":7,"lease":1,"ttlMs":5,"value":"MQ=="}'
ETCD_BODY = b'{"header":{"revision":"7"},"succeeded":true,"kvs":[]}'
TOKENS = (
    b'data: {"choices":[{"text":"a"}],"token_offset":0}\n\n'
    b'data: {"choices":[{"text":"b",' + FINAL_EVENT + b"data: [DONE]\n\n"
)
# Client, the header fields of its responses and their body.
CLIENTS = {
    "a forwarded request": (forward, b"X-Sig: abc\r\n", b"0123456789abcdef"),
    "a stage call": (call_stage, b"", b'{"entries":[{"handle":"host:1/name"}]}'),
    "a native call": (call_native, ID_FIELDS, b'{"answer":1}'),
    "a token stream": (stream_tokens, ID_FIELDS, TOKENS),
    "a command": (send_command, b"", b'{"accepted":true}'),
    "an operator": (ask_node, b"", b'{"ready":true}'),
    "a soak caller": (call_as_soak, b"", b'{"order":"done"}'),
    "a store write": (lambda _s, a, _h: write(PlatformStore(a)), b"", STORE_ITEM),
    "a store read": (lambda _s, a, _h: read(PlatformStore(a)), b"", STORE_ITEM),
    "a lease": (grant_lease, b"", STORE_ITEM),
    "an etcd write": (lambda _s, a, _h: write(open_etcd(a)), b"", ETCD_BODY),
    "an etcd read": (lambda _s, a, _h: read(open_etcd(a)), b"", ETCD_BODY),
    "an etcd watch": (watch_etcd, b"", b""),
}
STATUSES = {
    "200": (b"200 OK", b""),
    "404": (b"404 Not Found", b""),
    "409": (b"409 Conflict", b"Chervilrack-Not-Executed: 1\r\n"),
    "412": (b"412 Precondition Failed", b""),
    "421": (b"421 Misdirected Request", b""),
    "429": (b"429 Too Many Requests", b""),
    "503": (
        b"503 Service Unavailable",
        b"Chervilrack-Not-Executed: 1\r\nX-Executed: no\r\n",
    ),
}
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


def build_response(client, status, framing):
    """Return the bytes of a response."""
    _, fields, body = CLIENTS[client]
    line, status_fields = STATUSES[status]
    head = b"HTTP/1.1 " + line + b"\r\n" + fields + status_fields
    if framing == "in chunks":
        first, rest = body[:10], body[10:]
        # The first digit of each size is a zero, which by itself would be the size of a last chunk.
        chunks = b"0%x;name=value\r\n%b\r\n" % (len(first), first)
        chunks += b"0%x\r\n%b\r\n" % (len(rest), rest)
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0;last\r\nX-T: 1\r\n\r\n"
    if framing == "without a length":
        return head + b"\r\n" + body
    response = head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    if framing == "after 1xx responses":
        return INTERIM + response
    return response.replace(b"\r\n", b"\n") if framing == "with LF line ends" else response


def whole_size(client, response, framing, head_only):
    """Return the smallest number of bytes with which a response is whole.

    A body without length, whose connection is closed, cannot be told from a whole one, so that
    only its head counts.
    """
    if head_only:
        return response.rindex(b"\r\n\r\n", 0, len(response)) + 4
    if client == "a token stream":
        return response.index(FINAL_EVENT) + len(FINAL_EVENT)
    return len(response)


@then(
    "{client} believes {status}, sent {framing}, only if it is whole, "
    "and not if it ends early by a {ending}"
)
def check_every_cut(context, client, status, framing, ending):
    head_only = status.startswith("the head of a ")
    response = build_response(client, status.removeprefix("the head of a "), framing)
    call = CLIENTS[client][0]
    size = whole_size(client, response, framing, head_only)
    believed = []
    with CutServer(response, resets=ending == "reset") as server:
        for server.limit in range(size):
            with ExitStack() as stack:
                if call(stack, server.address, head_only):
                    believed.append(response[: server.limit][-30:])
        assert not believed, (len(believed), size, believed)
        if ending == "close":
            server.limit = len(response)
            with ExitStack() as stack:
                assert call(stack, server.address, head_only), "the whole response is not believed"


@then("{client} believes no {status} without a length that is reset before the request is written")
def check_early_reset(context, client, status):
    response = build_response(client, status, "without a length")
    write_request = StrictHTTPConnection.send
    heads = set()

    def write_late(connection, data):
        # Whatever is written behind the head comes after the reset.
        if id(connection) in heads:
            time.sleep(4 * RESET_DELAY_S)
        heads.add(id(connection))
        write_request(connection, data)

    call, _, body = CLIENTS[client]
    believed = []
    with (
        mock.patch.object(StrictHTTPConnection, "send", write_late),
        CutServer(response, resets=True, is_early=True) as server,
    ):
        sizes = {len(response) - len(body) // 2, len(response)}
        if client == "a token stream":
            # Whole with its final event, however the connection ends.
            sizes.remove(len(response))
        for server.limit in sizes:
            heads.clear()
            with ExitStack() as stack:
                if call(stack, server.address, False):
                    believed.append(server.limit)
    assert not believed, (believed, len(response))


CHUNKED = b"Transfer-Encoding: chunked\r\n"
OK_LINE = b"HTTP/1.1 200 OK\r\n"
# Bytes that a response of the given kind gets in addition.
FAULTS = {
    "a header line without a colon": (b"X-Foreign\r\n", "length"),
    "a blank before a colon": (b"Content-Length : 3\r\n", "length"),
    "a folded field": (b"X-A: 1\r\n 2\r\n", "length"),
    "a bare CR in a field": (b"X-A: 1\rX-B: 2\r\n", "length"),
    "two lengths": (b"Content-Length: 3\r\n", "length"),
    "a length that is no number": (b"Content-Length: 9a\r\n", "close"),
    "a negative length": (b"Content-Length: -9\r\n", "close"),
    "an unknown transfer coding": (b"Transfer-Encoding: gzip, chunked\r\n", "close"),
    "a signed chunk size": (CHUNKED, "+%x\r\n"),
    "a chunk size with an underscore": (CHUNKED, "0_%x\r\n"),
    "a chunk longer than its size": (CHUNKED, "long"),
    "a status that switches protocols": (b"", "101"),
    "a blank before its status line": (b" ", "prefix"),
    "a control character in a version": (b"HTTP/1.1\0 103 Early Hints\r\n\r\n", "prefix"),
    "a status of two digits": (b"HTTP/1.1 +20 OK\r\n\r\n", "prefix"),
    "the status 000": (b"000", "status"),
    "the status 099": (b"099", "status"),
    "the status 20": (b"20", "status"),
    "the status 2000": (b"2000", "status"),
    "the status -200": (b"-200", "status"),
    "the status 600": (b"600", "status"),
    "the status 999": (b"999", "status"),
    "no status": (b"", "status"),
    "a malformed interim response": (b"HTTP/1.1 103 Early Hints\r\nLink\r\n\r\n", "prefix"),
}


def build_malformed(client, fault):
    """Return a response of which each part but one is correct."""
    _, fields, body = CLIENTS[client]
    extra, kind = FAULTS[fault]
    length = b"Content-Length: %d\r\n" % len(body)
    if kind == "101":
        return b"HTTP/1.1 101 Switching Protocols\r\n" + fields + length + b"\r\n" + body
    if kind == "status":
        return b"HTTP/1.1 " + extra + b" OK\r\n" + fields + length + b"\r\n" + body
    if kind == "prefix":
        return extra + OK_LINE + fields + length + b"\r\n" + body
    if kind == "length":
        return OK_LINE + fields + extra + length + b"\r\n" + body
    if kind == "close":
        return OK_LINE + fields + extra + b"\r\n" + body
    if kind == "long":
        # The two bytes behind the chunk are not its line end, and the next ones are a chunk size.
        chunk = b"%x\r\n%bxx0\r\n" % (len(body), body)
    else:
        chunk = kind.encode() % len(body) + body + b"\r\n0\r\n"
    return OK_LINE + fields + extra + b"\r\n" + chunk + b"\r\n"


# Header fields, and the form of the body's only chunk if there is one; %(n)d is the body's size.
FORMS = {
    "a blank behind the length": (b"Content-Length:  %(n)d \t\r\n", None),
    "the same length twice": (b"Content-Length: %(n)d\r\n" * 2, None),
    "a blank before a chunk's note": (CHUNKED, b"%(n)X ;note\r\n"),
    "capital letters in its coding": (b"TRANSFER-ENCODING: Chunked\r\n", b"%(n)x\r\n"),
    "a multipart type": (b"Content-Type: multipart/mixed\r\nContent-Length: %(n)d\r\n", None),
    "an empty field": (b"X-Empty:\r\nContent-Length: %(n)d\r\n", None),
}


@then("{client} believes a response with {form}")
def check_form(context, client, form):
    call, fields, body = CLIENTS[client]
    extra, chunk = FORMS[form]
    size = {b"n": len(body)}
    content = body if chunk is None else chunk % size + body + b"\r\n0\r\n\r\n"
    response = OK_LINE + fields + extra % size + b"\r\n" + content
    with CutServer(response) as server, ExitStack() as stack:
        server.limit = len(response)
        assert call(stack, server.address, False)


@then("{client} does not believe a response with {fault}")
def check_malformed(context, client, fault):
    response = build_malformed(client, fault)
    with CutServer(response) as server, ExitStack() as stack:
        server.limit = 10 * len(response)
        assert not CLIENTS[client][0](stack, server.address, False)


@then("the outcome of {client} that is answered with {answer} is {outcome}")
def check_outcome(context, client, answer, outcome):
    body = b"stored" if "without JSON" in answer else b"{}"
    status = answer.split()[1].encode()
    response = b"HTTP/1.1 %b Status\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)
    with CutServer(response) as server, ExitStack() as stack:
        server.limit = len(response)
        is_known = CLIENTS[client][0](stack, server.address, False)
    assert is_known == (outcome == "known")


_FRAMINGS = ("with a length", "in chunks", "after 1xx responses", "with LF line ends")
_RESPONSES = [build_response("a forwarded request", "200", name) for name in _FRAMINGS] + [
    build_response("a forwarded request", "503", "in chunks"),
    build_response("a forwarded request", "200", "without a length"),
]
_INSERTED = st.sampled_from(
    [
        b"\r\n",
        b"\n",
        b"\r",
        b"\0",
        b" ",
        b":",
        b"0",
        b"-",
        b"a",
        b"\r\n\r\n",
        b"\r\n ",
        b"0\r\n\r\n",
        b"Content-Length: 3\r\n",
        b"Content-Length: 3, 3\r\n",
        CHUNKED,
        b"Transfer-Encoding: identity\r\n",
        OK_LINE,
        INTERIM,
    ]
)
# Position from 0 to 1, number of bytes that are removed there, and bytes that are inserted.
_CHANGES = st.lists(
    st.tuples(st.floats(0, 1), st.integers(0, 4), st.one_of(st.just(b""), _INSERTED)),
    max_size=3,
)


def change(response, changes, end):
    for place, removed, inserted in changes:
        start = int(place * len(response))
        response = response[:start] + inserted + response[start + removed :]
    return response[: int(end * len(response))]


def read_forwarded(address):
    """Return the status and body of the answer to a forwarded request, or None if it failed."""
    with Exchange(address) as exchange:
        try:
            exchange.send("POST", "/", [("Host", "a")], b"order", LIMIT_S)
            head = exchange.read_head(LIMIT_S)
            return head.status, exchange.read_body(time.monotonic() + LIMIT_S)
        except ExchangeFailed:
            return None


@then("a forwarded request reads changed responses by the grammar or not at all")
def check_changed(context):
    with CutServer(b"") as server:

        @for_all(st.sampled_from(_RESPONSES), _CHANGES, st.one_of(st.just(1.0), st.floats(0, 1)))
        def check(response, changes, end):
            server.response = change(response, changes, end)
            server.limit = len(server.response)
            result = read_forwarded(server.address)
            expected = read_response(server.response)
            assert result in (None, expected), (server.response, result, expected)
            if not changes and end == 1:
                assert result is not None, server.response

        check()
