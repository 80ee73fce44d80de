"""Steps for the clients of upstreams and the parsers of upstreams' streams."""

import datetime
import ipaddress
import itertools
import ssl
import tempfile
import threading
import time
from contextlib import ExitStack
from datetime import timedelta
from pathlib import Path
from unittest import mock

import msgspec
from behave import given, then, when
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from features.support.scripted_server import ID_HEADERS, ScriptedServer, http_response
from hypothesis import example, settings
from hypothesis import given as for_all
from hypothesis import strategies as st
from result import Ok

from chervilrack._internal.common.results import Executed
from chervilrack._internal.exceptions import StreamBroken
from chervilrack._internal.standins.upstreams.engine import EngineTiming, ModelEngine
from chervilrack._internal.standins.upstreams.record import receipt
from chervilrack._internal.standins.upstreams.simple import PlainService
from chervilrack._internal.upstreams import connections
from chervilrack._internal.upstreams.commands import Role, Target, UpstreamCommands
from chervilrack._internal.upstreams.completions import parse_chunk
from chervilrack._internal.upstreams.connections import ConnectionPools, TlsSettings
from chervilrack._internal.upstreams.port import FailureKind, TokenChunk, UpstreamCall
from chervilrack._internal.upstreams.protocols import create_clients
from chervilrack._internal.upstreams.sse import MAX_EVENT_BYTES, EventParser, MalformedStreamError

LIMIT_S = 20.0  # only bounds a failing run
# Complete responses by the name of their body in calls.feature.
RESPONSES = {
    "nothing": http_response(b""),
    "\\xff\\xfe": http_response(b"\xff\xfe"),
    "a short body": b"HTTP/1.1 200 OK\r\n" + ID_HEADERS + b"Content-Length: 50\r\n\r\n{}",
    "a broken chunk": b"HTTP/1.1 200 OK\r\n"
    + ID_HEADERS
    + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n{}",
    "no HTTP": b"SSH-2.0-server\r\n",
}


def _stack(context):
    if not hasattr(context, "upstreams_stack"):
        context.upstreams_stack = ExitStack()
        context.add_cleanup(context.upstreams_stack.close)
        context.may_send = True
        context.tls = None
        context.path = "/operations/look"
    return context.upstreams_stack


def _start(context, server):
    context.server = _stack(context).enter_context(server)
    context.address = context.server.address
    return context.server


def _create_call(context, number, deadline_ms, **fields):
    values = {
        "upstream": "u",
        "base_url": context.address,
        "path": context.path,
        "request_id": f"r-{number}",
        "attempt_id": f"a-{number}",
        "organisation": "guild",
        "body": {"number": number},
        "deadline": timedelta(milliseconds=deadline_ms),
    }
    return UpstreamCall(**{**values, **fields})


def _create_clients(context):
    pools = _stack(context).enter_context(ConnectionPools(context.tls))
    return create_clients(pools, lambda: context.may_send)


@given("an upstream service with the fault {fault}")
def start_faulty_service(context, fault):
    service = _start(context, PlainService("service", service_time=0.001))
    if fault == "gone":
        service.__exit__()
    elif fault != "none":
        service.set_faults(**{fault: True})


@given("an upstream server whose answers carry a wrong {header}")
def start_server_with_wrong_header(context, header):
    headers = ID_HEADERS.replace(b"{" + header.encode() + b"}", b"other")
    _start(context, ScriptedServer([http_response(b"{}", headers)]))


@given("an upstream server that refuses with a wrong X-Attempt-Id")
def start_server_with_wrong_refusal(context):
    headers = ID_HEADERS.replace(b"{X-Attempt-Id}", b"other") + b"X-Executed: no\r\n"
    _start(context, ScriptedServer([http_response(b"{}", headers, b"503 Busy")]))


@given("an upstream server that answers")
def start_answering_server(context):
    _start(context, ScriptedServer([http_response(b"{}")]))


@given("an upstream server that answers with {body}")
def start_malformed_server(context, body):
    _start(context, ScriptedServer([RESPONSES.get(body) or http_response(body.encode())]))


class ShiftedTime:
    """Stands for the module ``time``, with a monotonic clock that can be set forward."""

    def __init__(self):
        self.shift_s = 0.0

    def monotonic(self):
        return time.monotonic() + self.shift_s


@given("an upstream server that sends single bytes, {count:d} of them after the deadline")
def start_slow_body_server(context, count):
    clock = ShiftedTime()
    _stack(context).enter_context(mock.patch.object(connections, "time", clock))

    def pass_deadline(block_number):
        if block_number == 5:
            clock.shift_s = 60.0
        time.sleep(0.01)  # lets the client read each byte by itself

    head = b"HTTP/1.1 200 OK\r\n" + ID_HEADERS + b"Content-Length: %d\r\n\r\n" % (count + 5)
    blocks = [head, *[b" "] * (count + 3), b"{}"]
    _start(context, ScriptedServer(blocks, after_block=pass_deadline))


@given("the upstream client may not send any more")
def forbid_sending(context):
    _stack(context)
    context.may_send = False


@given("an upstream {kind} that takes 30 s")
def start_slow_upstream(context, kind):
    if kind == "token stream":
        _start(context, ModelEngine("engine", timing=EngineTiming(decode_token=0.3)))
        context.path = "/v1/completions"
    else:
        _start(context, PlainService("service", service_time=30.0))


@given("an upstream TLS server whose certificate authority is {trust}")
def start_tls_server(context, trust):
    folder = Path(_stack(context).enter_context(tempfile.TemporaryDirectory()))
    certificate = _write_certificate(folder)
    server_context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    server_context.load_cert_chain(certificate, folder / "key.pem")
    if trust == "trusted":
        context.tls = TlsSettings(ca_file=certificate)
    _start(context, ScriptedServer([http_response(b"{}")], tls=server_context))


def _write_certificate(folder):
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "upstream")])
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
        .sign(key, hashes.SHA256())
    )
    path = folder / "certificate.pem"
    path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    (folder / "key.pem").write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return path


@when("the upstream client makes {count:d} calls with a deadline of {deadline_ms:d} ms")
def make_calls(context, count, deadline_ms):
    client = _create_clients(context)["json"]
    context.outcomes = [
        (number, client.call(_create_call(context, number, deadline_ms))) for number in range(count)
    ]


@when(
    "the upstream client makes calls with a deadline of {limit_ms:d} ms until {count:d} were sent"
)
def make_calls_until_sent(context, limit_ms, count):
    client = _create_clients(context)["json"]
    context.outcomes = []
    context.unsent = set()
    end = time.monotonic() + LIMIT_S
    # The deadline of a call whose thread is late passes before the call is sent.
    for number in itertools.count():
        assert time.monotonic() < end, context.outcomes
        outcome = client.call(_create_call(context, number, limit_ms))
        if outcome.is_err() and outcome.err_value.executed is Executed.NO:
            assert outcome.err_value.kind is FailureKind.CANCELLED, outcome
            context.unsent.add(f"r-{number}")
            continue
        context.outcomes.append((number, outcome))
        if len(context.outcomes) == count:
            return


@then("the upstream service has received only calls that were sent")
def assert_only_sent_received(context):
    received = {arrival.ids.request for arrival in context.server.record.arrivals}
    assert not received & context.unsent, (received, context.unsent)


@when("the upstream client makes a call with every field")
def make_full_call(context):
    call = _create_call(
        context, 1, 2000, priority=2, fencing_number=7, idempotency_key="order-1", body={"a": 1}
    )
    _create_clients(context)["json"].call(call)


@when("another thread cancels the upstream call once it has arrived")
def cancel_call(context):
    clients = _create_clients(context)
    call = _create_call(context, 1, 60_000, body={"prompt": "p", "max_tokens": 100})

    def cancel():
        while not context.server.record.executions:
            time.sleep(0.005)
        for client in clients.values():
            client.cancel(call.attempt_id)

    canceller = threading.Thread(target=cancel)
    canceller.start()
    if context.path == "/v1/completions":
        try:
            with clients["openai-completions"].stream(call) as opened:
                if opened.is_ok():
                    context.chunks = list(opened.ok_value)
                    context.ended = "answered"
                else:
                    context.ended = opened.err_value.detail
        except StreamBroken as broken:
            context.ended = str(broken)
    else:
        context.ended = clients["json"].call(call).err_value.detail
    canceller.join()


@then("the upstream call ends as cancelled")
def assert_call_cancelled(context):
    assert context.ended == "the attempt was cancelled", context.ended


@then("the upstream records that its client disconnected")
def assert_client_disconnected(context):
    end = time.monotonic() + 20
    while not context.server.record.as_dict()["cancelled"] and time.monotonic() < end:
        time.sleep(0.01)
    assert context.server.record.as_dict()["cancelled"] == 1
    assert context.server.record.running == 0


@then("the last upstream call is {kind} with executed {executed}")
def assert_last_call(context, kind, executed):
    _number, outcome = context.outcomes[-1]
    if kind == "answered":
        assert isinstance(outcome, Ok), outcome
        return
    assert outcome.is_err(), outcome
    failure = outcome.err_value
    assert failure.kind is FailureKind(kind), failure
    assert failure.executed.value == executed, failure


@then("every answered upstream call got its own answer")
def assert_own_answers(context):
    answered = [(n, outcome.ok_value) for n, outcome in context.outcomes if outcome.is_ok()]
    assert answered
    for number, answer in answered:
        assert answer.body["receipt"] == receipt(f"r-{number}", "guild"), number
        assert answer.body["echo"] == {"number": number}, number


@then("the upstream server received no byte")
def assert_no_byte_received(context):
    assert not any(context.server.received), context.server.received


@then("the upstream server received the headers")
def assert_received_headers(context):
    lines = context.server.received[0].decode().split("\r\n")
    for row in context.table:
        assert f"{row['header']}: {row['value']}" in lines, (row, lines)


@given("an upstream engine that {checks} fencing numbers")
def start_engine(context, checks):
    timing = EngineTiming(load_time=0.01)
    engine = ModelEngine("engine", checks_fencing=checks == "checks", timing=timing)
    _start(context, engine)
    pools = _stack(context).enter_context(ConnectionPools())
    context.commands = UpstreamCommands(pools, lambda: context.may_send)


@when("two commands load adapters with the fencing numbers {first:d} and {second:d}")
def load_adapters(context, first, second):
    for fencing_number, adapter in ((first, "one"), (second, "two")):
        target = Target(context.address, fencing_number)
        context.second_command = context.commands.load_adapter(target, "m1", adapter)


@then("the second adapter command is {outcome}")
def assert_second_command(context, outcome):
    adapters = context.commands.models(context.address).ok_value["models"]["m1"]["adapters"]
    assert ("two" in adapters) == (outcome == "done"), adapters
    if outcome == "done":
        assert context.second_command.is_ok()
        return
    kind = FailureKind.REFUSED if outcome == "refused" else FailureKind.CANCELLED
    assert context.second_command.err_value.kind is kind
    assert context.second_command.err_value.executed.value == "no"


@when("commands load a model and an adapter, and set a version and a role")
def send_all_commands(context):
    commands, target = context.commands, Target(context.address, 1)
    for version in ("1", "2"):
        assert commands.load_model(target, "m2", version).is_ok()
    end = time.monotonic() + 20
    while time.monotonic() < end:
        loaded = commands.models(context.address).ok_value["models"].get("m2", {})
        if loaded.get("versions") == ["1", "2"]:
            break
        time.sleep(0.01)
    assert commands.load_adapter(target, "m2", "tales").is_ok()
    assert commands.set_version(target, "m2", "2").is_ok()
    assert commands.set_role(target, Role.DECODE).is_ok()


@then("the upstream engine reports the model, adapter, version and role")
def assert_report(context):
    report = context.commands.models(context.address).ok_value
    assert report["role"] == "decode"
    expected = {"versions": ["1", "2"], "active": "2", "adapters": ["tales"]}
    assert report["models"]["m2"] == expected, report


@then("the upstream engine drains and resumes on command")
def assert_draining(context):
    commands, target = context.commands, Target(context.address, 1)
    assert commands.drain(target).is_ok()
    assert commands.drain_status(context.address).ok_value.draining
    context.path = "/v1/completions"
    refused = _create_clients(context)["openai-completions"].call(_create_call(context, 1, 2000))
    assert refused.err_value.kind is FailureKind.REFUSED
    assert commands.resume(target).is_ok()
    assert not commands.drain_status(context.address).ok_value.draining


_byte_blocks = st.lists(
    st.one_of(
        st.binary(max_size=20),
        st.sampled_from([b"data: x", b"\n", b"\r\n", b"\r", b"data:", b":c", b"id: 1", b"\xef"]),
    ),
    max_size=20,
)


def _parse_blocks(blocks):
    parser, events = EventParser(), []
    try:
        for block in blocks:
            events += parser.feed(block)
    except MalformedStreamError:
        return "malformed"
    return events


@then("the event parser returns the same for generated bytes however they are divided")
def check_parser_division(context):
    @settings(max_examples=8 * settings.default.max_examples)
    @for_all(_byte_blocks)
    @example([b"data: x\r", b"", b"\ndata: y\n\n"])  # an empty block between CR and LF
    def check(blocks):
        whole = b"".join(blocks)
        from_blocks = _parse_blocks(blocks)
        from_bytes = _parse_blocks([whole[i : i + 1] for i in range(len(whole))])
        assert from_bytes == from_blocks == _parse_blocks([whole])

    check()


@then("the event parser returns generated events as they were written")
def check_parser_round_trip(context):
    text = st.text(st.characters(exclude_characters="\r\n", exclude_categories=["Cs"]))
    events = st.lists(st.lists(text, min_size=1, max_size=3), max_size=5)

    @settings(max_examples=5 * settings.default.max_examples)
    @for_all(events, st.sampled_from(["\n", "\r\n", "\r"]), st.booleans())
    def check(events, newline, byte_order_mark):
        written = "\ufeff" if byte_order_mark else ""
        for lines in events:
            written += "".join(f"data: {line}{newline}" for line in lines) + newline
        assert _parse_blocks([written.encode()]) == ["\n".join(lines) for lines in events]

    check()


_json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=6,
)
_chunk_objects = st.fixed_dictionaries(
    {},
    optional={
        "choices": st.lists(
            st.fixed_dictionaries(
                {},
                optional={
                    "text": st.text(max_size=3) | _json_values,
                    "finish_reason": _json_values,
                },
            ),
            max_size=2,
        )
        | _json_values,
        "token_offset": st.integers(-3, 9) | _json_values,
        "tokens": st.integers(-3, 9) | _json_values,
    },
)


@then("the chunk parser returns a valid chunk or MalformedStreamError for generated documents")
def check_chunk_parser(context):
    documents = (_json_values | _chunk_objects).map(
        lambda value: msgspec.json.encode(value).decode()
    )

    @settings(max_examples=8 * settings.default.max_examples)
    @for_all(documents | st.text())
    def check(data):
        try:
            chunk = parse_chunk(data)
        except MalformedStreamError:
            return
        assert isinstance(chunk, TokenChunk)
        assert chunk.offset >= 0
        assert chunk.tokens >= 0

    check()


@then("token streams with generated bodies end with a final chunk or StreamBroken")
def check_generated_streams(context):
    valid_event = b'data: {"choices":[{"text":"a"}],"token_offset":0}\n\n'
    parts = st.sampled_from([valid_event, b"data: [DONE]\n\n", b"data: {}\n\n", b"\n"])
    bodies = st.lists(parts | st.binary(max_size=30), max_size=5).map(b"".join)
    _stack(context)
    context.path = "/v1/completions"

    @settings(max_examples=settings.default.max_examples)
    @for_all(bodies, st.booleans())
    def check(body, truncated):
        length = b"Content-Length: %d\r\n\r\n" % (len(body) + truncated)
        answer = b"HTTP/1.1 200 OK\r\n" + ID_HEADERS + length + body
        with ScriptedServer([answer]) as server, ConnectionPools() as pools:
            context.address = server.address
            client = create_clients(pools)["openai-completions"]
            with client.stream(_create_call(context, 1, 2000)) as opened:
                try:
                    chunks = list(opened.ok_value)
                except StreamBroken:
                    return
        assert chunks
        assert chunks[-1].final

    check()


@then("the event parser rejects an event without an end")
def assert_endless_event_rejected(context):
    parser = EventParser()
    try:
        for _block in range(MAX_EVENT_BYTES // 1000 + 2):
            parser.feed(b"data: " + b"x" * 1000 + b"\n")
    except MalformedStreamError:
        return
    raise AssertionError("the parser kept an event without end")
