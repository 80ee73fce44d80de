"""Steps for the adapter of the users' platform."""

import json
import tempfile
from datetime import timedelta
from pathlib import Path

import yaml
from behave import given, then, when

from chervilrack._internal.catalogue.state import RequestKind
from chervilrack._internal.common.ids import OrganisationId, ServiceId, UpstreamId
from chervilrack._internal.exceptions import InvalidDocumentError
from chervilrack._internal.forwarding.dialect import ForwardedMetadata, MalformedMessage
from chervilrack.platform.configuration import (
    UnreadableValue,
    decode_configuration,
    decode_upstream,
)
from chervilrack.platform.headers import PlatformDialect
from chervilrack.platform.settings import load_settings

SERVER = {
    "service": "huvo",
    "address": "10.128.0.9:8080",
    "zone": "quito",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
    "born": 1790000000000,
}
STAGES = [
    {"service": "kafi", "after": [], "length": 8000},
    {"service": "lovo", "after": [0], "length": 60000},
    {"service": "lohu", "after": [1], "length": 6000},
]
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "pathPrefix": "/cufi/",
            "kind": "streaming",
            "timeoutMs": 6000,
            "targetLatencyMs": 2000,
            "priority": 0,
            "service": "huvo",
            "maxAttempts": 1,
            "stages": STAGES,
            "anonymous": False,
            "targetGapMs": 500,
        },
        {
            "name": "r-2",
            "host": "b.example",
            "pathPrefix": "/puxa/",
            "kind": "streaming",
            "timeoutMs": 6000,
            "trafficSplit": [{"service": "huvo", "weight": 90}, {"service": "lohu", "weight": 10}],
            "maxAttempts": 2,
            "streamResume": True,
        },
    ],
    "services": [
        {"name": "huvo", "engine": {"slots": 64, "kvCapacityTokens": 370466}},
        {
            "name": "kafi",
            "segments": {
                "slots": 1,
                "queue": 2,
                "batch": 4,
                "callMs": 200.0,
                "itemMs": 42.0,
                "headroomMb": 9.0,
                "handleS": 4.0,
                "linkMbps": 10000,
            },
        },
    ],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304},
    "tenants": [{"name": "bozi", "apiKeys": ["k1", "k2"], "priority": 1}],
}
SETTINGS = {
    "nodeName": "edge-1",
    "ip": "10.1.0.41",
    "zone": "quito",
    "listen": {
        "frontend": "10.1.0.41:8625",
        "readiness": "10.1.0.41:8621",
        "control": "10.1.0.41:8628",
        "directory": "10.1.0.41:8620",
    },
    "internalPorts": [7740, 7755],
    "seeds": [],
    "platform": {"address": "10.200.1.7:8624"},
    "newer": "ignored",
}


@given("the platform's example of {key}")
def example(context, key):
    context.key = key
    context.document = dict(SERVER if key.startswith("servers/") else CONFIGURATION)
    context.value = None


@when("the example has {change}")
def change(context, change):
    match change.split(" ", 2):
        case ["nothing"]:
            return
        case ["bytes", *_]:
            context.value = b"\xff\x00"
        case [field, "missing"]:
            del context.document[field]
        case [field, "=", value]:
            context.document[field] = json.loads(value)


def decoded(context):
    value = context.value or json.dumps(context.document).encode()
    if context.key.startswith("servers/"):
        return decode_upstream(context.key, value)
    return decode_configuration(value)


@then("the platform's value is {read}")
def is_read(context, read):
    try:
        decoded(context)
        found = "read"
    except UnreadableValue:
        found = "unreadable"
    assert found == read, found


@then(
    'route "{prefix}" of "{host}" is a stream of rank {rank:d} '
    "with {count:d} stages and a target of {target:d} s"
)
def route_is(context, prefix, host, rank, count, target):
    route = decoded(context).match(host, prefix + "x")
    assert (route.kind, route.priority) == (RequestKind.STREAM, rank)
    assert [stage.after for stage in route.stages] == [(), (0,), (1,)][:count]
    assert route.target_latency == timedelta(seconds=target)


@then('route "{prefix}" of "{host}" splits {first:d} to {second:d} and may be resumed')
def route_splits(context, prefix, host, first, second):
    route = decoded(context).match(host, prefix + "x")
    assert [weight for _, weight in route.split] == [first, second]
    assert route.may_repeat


@then('the service "{name}" takes {batch:d} pieces a call with room for {room:d} bytes')
def service_is(context, name, batch, room):
    spec = decoded(context).services[ServiceId(name)].batching
    assert (spec.batch, spec.result_space) == (batch, room)


@then('key "{key}" belongs to organisation "{name}"')
def key_of(context, key, name):
    assert decoded(context).keys[key] == OrganisationId(name)


@when('a request with header {name} is passed on to {target} for organisation "{organisation}"')
def pass_on(context, name, target, organisation):
    stamp = ForwardedMetadata(
        deadline=timedelta(milliseconds=1500),
        target=UpstreamId(target),
        organisation=OrganisationId(organisation),
        urgency=3,
        inputs=("a/1", "b/2"),
    )
    context.passed = PlatformDialect().request_headers([(name, "from the caller")], stamp)


@then("the upstream gets header {name} not at all")
def not_passed(context, name):
    assert name not in dict(context.passed), context.passed


@then('the upstream gets header {name} as "{value}"')
def passed_as(context, name, value):
    found = [text for key, text in context.passed if key.lower() == name.lower()]
    assert found == [value], context.passed


@then("the upstream gets header {name} unchanged")
def unchanged(context, name):
    found = [text for key, text in context.passed if key.lower() == name.lower()]
    assert found == ["from the caller"], context.passed


@when("a request with {header} is read")
def read_request(context, header):
    headers = [] if header.startswith("no ") else [("Chervilrack-Request-Id", "1")]
    if headers:
        headers.append(tuple(header.split(": ")))
    try:
        context.metadata = PlatformDialect().read_request(headers)
    except MalformedMessage as error:
        context.metadata = error


@then("the request is malformed")
def malformed(context):
    assert isinstance(context.metadata, MalformedMessage), context.metadata


@then("the platform's answer {status:d} with {header} was {run}")
def was_run(context, status, header, run):
    headers = {} if header == "no header" else dict([header.split(": ")])
    facts = PlatformDialect().read_response(status, headers)
    assert facts.not_executed == (run == "not run"), facts


@then("results {body} of {count:d} pieces are {read}")
def results(context, body, count, read):
    try:
        decoded_results = PlatformDialect().decode_pieces(body.encode(), count)
    except MalformedMessage:
        assert read == "malformed", read
        return
    found = ["handle" if isinstance(item, str) else item.value for item in decoded_results]
    assert found == read.split(", "), found


@when("the platform's settings lack zone and have a frontend without port")
def broken_settings(context):
    settings = {key: value for key, value in SETTINGS.items() if key != "zone"}
    settings["listen"] = {**SETTINGS["listen"], "frontend": "10.1.0.41"}
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "boot.yaml"
        file.write_text(yaml.safe_dump(SETTINGS))
        assert load_settings(file).node == "edge-1"
        file.write_text(yaml.safe_dump(settings))
        try:
            load_settings(file)
            context.mistakes = []
        except InvalidDocumentError as error:
            context.mistakes = error.mistakes


@then("{count:d} mistakes are reported that name {first} and {second}")
def mistakes(context, count, first, second):
    assert len(context.mistakes) == count, context.mistakes
    text = "\n".join(context.mistakes)
    assert first in text, text
    assert second in text, text


@then("the platform's answer {status:d} with {header} says that stage results are {state}")
def stage_results(context, status, header, state):
    headers = {} if header == "no header" else dict([header.split(": ")])
    facts = PlatformDialect().read_response(status, headers)
    assert facts.inputs_gone == (state == "gone"), facts
