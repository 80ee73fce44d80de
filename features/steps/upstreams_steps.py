"""Steps for clients of upstreams."""

import datetime
import ipaddress
import ssl
import tempfile
import threading
import time
from contextlib import ExitStack
from datetime import timedelta
from pathlib import Path

import msgspec
from behave import given, then, when
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from features.support.scripted_server import IDS, ScriptedServer, whole_answer
from hypothesis import example, settings
from hypothesis import given as for_all
from hypothesis import strategies as st
from result import Ok

from chervilrack._internal.exceptions import StreamBroken
from chervilrack._internal.standins.upstreams.engine import EngineTiming, ModelEngine
from chervilrack._internal.standins.upstreams.record import receipt
from chervilrack._internal.standins.upstreams.simple import PlainService
from chervilrack._internal.upstreams.commands import Role, Target, UpstreamCommands
from chervilrack._internal.upstreams.completions import parse_chunk
from chervilrack._internal.upstreams.connections import ConnectionPools, TlsSettings
from chervilrack._internal.upstreams.port import FailureKind, TokenChunk, UpstreamCall
from chervilrack._internal.upstreams.protocols import create_clients
from chervilrack._internal.upstreams.sse import MAX_EVENT_BYTES, EventParser, MalformedStreamError

BODIES = {
    "nothing": whole_answer(b""),
    "\\xff\\xfe": whole_answer(b"\xff\xfe"),
    "a short body": b"HTTP/1.1 200 OK\r\n" + IDS + b"Content-Length: 50\r\n\r\n{}",
    "a broken chunk": b"HTTP/1.1 200 OK\r\n" + IDS + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n{}",
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


def _enter(context, server):
    context.server = _stack(context).enter_context(server)
    context.address = context.server.address
    return context.server


def _call(context, number, deadline_ms, **fields):
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


def _clients(context):
    pools = _stack(context).enter_context(ConnectionPools(context.tls))
    return create_clients(pools, lambda: context.may_send)


@given("upstreams a plain service with the fault {fault}")
def plain_service(context, fault):
    service = _enter(context, PlainService("service", service_time=0.001))
    if fault == "gone":
        service.__exit__()
    elif fault != "none":
        service.set_faults(**{fault: True})


@given("upstreams a server whose answers carry a wrong {header}")
def wrong_header(context, header):
    headers = IDS.replace(b"{" + header.encode() + b"}", b"other")
    _enter(context, ScriptedServer([whole_answer(b"{}", headers)]))


@given("upstreams a server that refuses with a wrong X-Attempt-Id")
def wrong_refusal(context):
    headers = IDS.replace(b"{X-Attempt-Id}", b"other") + b"X-Executed: no\r\n"
    _enter(context, ScriptedServer([whole_answer(b"{}", headers, b"503 Busy")]))


@given("upstreams a server that answers")
def answering_server(context):
    _enter(context, ScriptedServer([whole_answer(b"{}")]))


@given("upstreams a server that answers with {body}")
def malformed_server(context, body):
    _enter(context, ScriptedServer([BODIES.get(body) or whole_answer(body.encode())]))


@given("upstreams a server that sends one byte every {pause:d} ms")
def dripping_server(context, pause):
    head = b"HTTP/1.1 200 OK\r\n" + IDS + b"Content-Length: 40\r\n\r\n"
    _enter(context, ScriptedServer([head, *[b" "] * 38, b"{}"], pause=pause / 1000))


@given("upstreams the node may not send any more")
def may_not_send(context):
    _stack(context)
    context.may_send = False


@given("upstreams a {what} that would take 30 s")
def slow_upstream(context, what):
    if what == "token stream":
        _enter(context, ModelEngine("engine", timing=EngineTiming(decode_token=0.3)))
        context.path = "/v1/completions"
    else:
        _enter(context, PlainService("service", service_time=30.0))


@given("upstreams a TLS server whose authority is {trust}")
def tls_server(context, trust):
    folder = Path(_stack(context).enter_context(tempfile.TemporaryDirectory()))
    certificate = _write_certificate(folder)
    server_side = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    server_side.load_cert_chain(certificate, folder / "key.pem")
    if trust == "trusted":
        context.tls = TlsSettings(ca_file=certificate)
    _enter(context, ScriptedServer([whole_answer(b"{}")], tls=server_side))


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


@when("upstreams {count:d} calls are made with a deadline of {deadline:d} ms")
def make_calls(context, count, deadline):
    client = _clients(context)["json"]
    context.outcomes = [
        (number, client.call(_call(context, number, deadline))) for number in range(count)
    ]


@when("upstreams a call with every field is made")
def full_call(context):
    call = _call(
        context, 1, 2000, priority=2, fencing_number=7, idempotency_key="order-1", body={"a": 1}
    )
    _clients(context)["json"].call(call)


@when("upstreams the call is cancelled once it has arrived")
def cancel_call(context):
    clients = _clients(context)
    call = _call(context, 1, 60_000, body={"prompt": "p", "max_tokens": 100})

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


@then("upstreams the call ends as cancelled")
def ends_cancelled(context):
    assert context.ended == "the attempt was cancelled", context.ended


@then("upstreams the upstream records that its client left")
def client_left(context):
    end = time.monotonic() + 20
    while not context.server.record.as_dict()["cancelled"] and time.monotonic() < end:
        time.sleep(0.01)
    assert context.server.record.as_dict()["cancelled"] == 1
    assert context.server.record.running == 0


@then("upstreams the last call is {kind} with executed {executed}")
def last_call(context, kind, executed):
    _number, outcome = context.outcomes[-1]
    if kind == "answered":
        assert isinstance(outcome, Ok), outcome
        return
    assert outcome.is_err(), outcome
    failure = outcome.err_value
    assert failure.kind is FailureKind(kind), failure
    assert failure.executed.value == executed, failure


@then("upstreams every answered call got its own answer")
def own_answers(context):
    answered = [(n, outcome.ok_value) for n, outcome in context.outcomes if outcome.is_ok()]
    assert answered
    for number, answer in answered:
        assert answer.body["receipt"] == receipt(f"r-{number}", "guild"), number
        assert answer.body["echo"] == {"number": number}, number


@then("upstreams the server received no byte")
def no_byte(context):
    assert not any(context.server.received), context.server.received


@then("upstreams the server received the headers")
def received_headers(context):
    lines = context.server.received[0].decode().split("\r\n")
    for row in context.table:
        assert f"{row['header']}: {row['value']}" in lines, (row, lines)


@given("upstreams an engine that {checks} fencing numbers")
def fenced_engine(context, checks):
    timing = EngineTiming(load_time=0.01)
    engine = ModelEngine("engine", checks_fencing=checks == "checks", timing=timing)
    _enter(context, engine)
    pools = _stack(context).enter_context(ConnectionPools())
    context.commands = UpstreamCommands(pools, lambda: context.may_send)


@when("upstreams an adapter is loaded with the fencing numbers {first:d} and {second:d}")
def load_adapters(context, first, second):
    for number, adapter in ((first, "one"), (second, "two")):
        target = Target(context.address, number)
        context.second = context.commands.load_adapter(target, "m1", adapter)


@then("upstreams the second command is {outcome}")
def second_command(context, outcome):
    adapters = context.commands.models(context.address).ok_value["models"]["m1"]["adapters"]
    assert ("two" in adapters) == (outcome == "done"), adapters
    if outcome == "done":
        assert context.second.is_ok()
        return
    kind = FailureKind.REFUSED if outcome == "refused" else FailureKind.CANCELLED
    assert context.second.err_value.kind is kind
    assert context.second.err_value.executed.value == "no"


@when("upstreams a model, an adapter, a version and a role are commanded")
def all_commands(context):
    commands, target = context.commands, Target(context.address, 1)
    for version in ("1", "2"):
        assert commands.load_model(target, "m2", version).is_ok()
    end = time.monotonic() + 20
    while time.monotonic() < end:
        held = commands.models(context.address).ok_value["models"].get("m2", {})
        if held.get("versions") == ["1", "2"]:
            break
        time.sleep(0.01)
    assert commands.load_adapter(target, "m2", "tales").is_ok()
    assert commands.set_version(target, "m2", "2").is_ok()
    assert commands.set_role(target, Role.DECODE).is_ok()


@then("upstreams the engine reports all of them")
def reports_all(context):
    report = context.commands.models(context.address).ok_value
    assert report["role"] == "decode"
    expected = {"versions": ["1", "2"], "active": "2", "adapters": ["tales"]}
    assert report["models"]["m2"] == expected, report


@then("upstreams the engine drains and resumes")
def drains(context):
    commands, target = context.commands, Target(context.address, 1)
    assert commands.drain(target).is_ok()
    assert commands.drain_status(context.address).ok_value.draining
    context.path = "/v1/completions"
    refused = _clients(context)["openai-completions"].call(_call(context, 1, 2000))
    assert refused.err_value.kind is FailureKind.REFUSED
    assert commands.resume(target).is_ok()
    assert not commands.drain_status(context.address).ok_value.draining


_pieces = st.lists(
    st.one_of(
        st.binary(max_size=20),
        st.sampled_from([b"data: x", b"\n", b"\r\n", b"\r", b"data:", b":c", b"id: 1", b"\xef"]),
    ),
    max_size=20,
)


def _feed(pieces):
    parser, events = EventParser(), []
    try:
        for piece in pieces:
            events += parser.feed(piece)
    except MalformedStreamError:
        return "malformed"
    return events


@then("upstreams the event parser holds its properties for generated bytes")
def parser_properties(context):
    @settings(max_examples=8 * settings.default.max_examples)
    @for_all(_pieces)
    @example([b"data: x\r", b"", b"\ndata: y\n\n"])  # an empty piece between CR and LF
    def check(pieces):
        whole = b"".join(pieces)
        by_pieces = _feed(pieces)
        by_bytes = _feed([whole[i : i + 1] for i in range(len(whole))])
        assert by_bytes == by_pieces == _feed([whole])

    check()


@then("upstreams the event parser returns generated events as they were written")
def parser_round_trip(context):
    text = st.text(st.characters(exclude_characters="\r\n", exclude_categories=["Cs"]))
    events = st.lists(st.lists(text, min_size=1, max_size=3), max_size=5)

    @settings(max_examples=5 * settings.default.max_examples)
    @for_all(events, st.sampled_from(["\n", "\r\n", "\r"]), st.booleans())
    def check(events, newline, mark):
        written = "\ufeff" if mark else ""
        for lines in events:
            written += "".join(f"data: {line}{newline}" for line in lines) + newline
        assert _feed([written.encode()]) == ["\n".join(lines) for lines in events]

    check()


_json = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=6,
)
_chunk = st.fixed_dictionaries(
    {},
    optional={
        "choices": st.lists(
            st.fixed_dictionaries(
                {}, optional={"text": st.text(max_size=3) | _json, "finish_reason": _json}
            ),
            max_size=2,
        )
        | _json,
        "token_offset": st.integers(-3, 9) | _json,
        "tokens": st.integers(-3, 9) | _json,
    },
)


@then("upstreams the chunk parser holds its properties for generated documents")
def chunk_properties(context):
    encoded = (_json | _chunk).map(lambda value: msgspec.json.encode(value).decode())

    @settings(max_examples=8 * settings.default.max_examples)
    @for_all(encoded | st.text())
    def check(data):
        try:
            chunk = parse_chunk(data)
        except MalformedStreamError:
            return
        assert isinstance(chunk, TokenChunk)
        assert chunk.offset >= 0
        assert chunk.tokens >= 0

    check()


@then("upstreams streams with generated bodies end in chunks or StreamBroken")
def stream_fuzz(context):
    good = b'data: {"choices":[{"text":"a"}],"token_offset":0}\n\n'
    parts = st.sampled_from([good, b"data: [DONE]\n\n", b"data: {}\n\n", b"\n"])
    bodies = st.lists(parts | st.binary(max_size=30), max_size=5).map(b"".join)
    _stack(context)
    context.path = "/v1/completions"

    @settings(max_examples=settings.default.max_examples)
    @for_all(bodies, st.booleans())
    def check(body, short):
        length = b"Content-Length: %d\r\n\r\n" % (len(body) + short)
        answer = b"HTTP/1.1 200 OK\r\n" + IDS + length + body
        with ScriptedServer([answer]) as server, ConnectionPools() as pools:
            context.address = server.address
            client = create_clients(pools)["openai-completions"]
            with client.stream(_call(context, 1, 2000)) as opened:
                try:
                    chunks = list(opened.ok_value)
                except StreamBroken:
                    return
        assert chunks
        assert chunks[-1].final

    check()


@then("upstreams an event without end is rejected")
def endless_event(context):
    parser = EventParser()
    try:
        for _piece in range(MAX_EVENT_BYTES // 1000 + 2):
            parser.feed(b"data: " + b"x" * 1000 + b"\n")
    except MalformedStreamError:
        return
    raise AssertionError("the parser kept an event without end")
