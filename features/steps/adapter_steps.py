"""Steps for the adapter of the platform."""

import json
import tempfile
from datetime import timedelta
from pathlib import Path
from types import SimpleNamespace

import yaml
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st
from urllib3 import HTTPHeaderDict

from chervilrack._internal.catalogue.state import RequestKind
from chervilrack._internal.common.clock import ManualClock
from chervilrack._internal.common.decoding import UnreadableValue
from chervilrack._internal.common.ids import OrganisationId, ServiceId, UpstreamId
from chervilrack._internal.exceptions import InvalidDocumentError
from chervilrack._internal.fleet.lookup import LookupBounds
from chervilrack._internal.forwarding.dialect import ForwardedMetadata, MalformedMessage
from chervilrack.platform.configuration import decode_configuration, decode_upstream
from chervilrack.platform.headers import PlatformDialect
from chervilrack.platform.run import _reload
from chervilrack.platform.settings import load_settings

REGISTRATION = {
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


@given("an example value of the store key {key}")
def set_example(context, key):
    context.key = key
    context.document = dict(REGISTRATION if key.startswith("servers/") else CONFIGURATION)
    context.value = None


@when("the example value is changed by {change}")
def change_example(context, change):
    match change.split(" ", 2):
        case ["nothing"]:
            return
        case ["bytes", *_]:
            context.value = b"\xff\x00"
        case [field, "missing"]:
            del context.document[field]
        case [field, "=", value]:
            context.document[field] = json.loads(value)


def decode_example(context):
    value = context.value or json.dumps(context.document).encode()
    if context.key.startswith("servers/"):
        return decode_upstream(context.key, value)
    return decode_configuration(value)


@then("decoding the value gives {result}")
def check_decoding(context, result):
    try:
        decode_example(context)
        outcome = "decoded"
    except UnreadableValue:
        outcome = "unreadable"
    assert outcome == result, outcome


@then(
    'route "{prefix}" of "{host}" is a stream of priority {priority:d} '
    "with {count:d} stages and a target latency of {target:d} s"
)
def check_route(context, prefix, host, priority, count, target):
    route = decode_example(context).match(host, prefix + "x")
    assert (route.kind, route.priority) == (RequestKind.STREAM, priority)
    assert [stage.after for stage in route.stages] == [(), (0,), (1,)][:count]
    assert route.target_latency == timedelta(seconds=target)


@then('route "{prefix}" of "{host}" splits its traffic {first:d} to {second:d} and may be resumed')
def check_traffic_split(context, prefix, host, first, second):
    route = decode_example(context).match(host, prefix + "x")
    assert [weight for _, weight in route.split] == [first, second]
    assert route.may_repeat


@then(
    'service "{name}" takes {batch:d} pieces per call and has space for {space:d} bytes of results'
)
def check_service(context, name, batch, space):
    batching = decode_example(context).services[ServiceId(name)].batching
    assert (batching.batch, batching.result_space) == (batch, space)


@then('API key "{key}" belongs to organisation "{name}"')
def check_organisation_of_key(context, key, name):
    assert decode_example(context).keys[key] == OrganisationId(name)


@when('a request with header {name} is forwarded to {target} for organisation "{organisation}"')
def forward_request(context, name, target, organisation):
    forwarded = ForwardedMetadata(
        deadline=timedelta(milliseconds=1500),
        target=UpstreamId(target),
        organisation=OrganisationId(organisation),
        urgency=3,
        inputs=("a/1", "b/2"),
    )
    context.upstream_headers = PlatformDialect().request_headers(
        [(name, "from the caller")], forwarded
    )


@then("the upstream receives header {name} not at all")
def check_header_removed(context, name):
    assert name not in dict(context.upstream_headers), context.upstream_headers


@then('the upstream receives header {name} as "{value}"')
def check_header_value(context, name, value):
    values = [text for key, text in context.upstream_headers if key.lower() == name.lower()]
    assert values == [value], context.upstream_headers


@then("the upstream receives header {name} unchanged")
def check_header_unchanged(context, name):
    values = [text for key, text in context.upstream_headers if key.lower() == name.lower()]
    assert values == ["from the caller"], context.upstream_headers


@when("the headers of a request with {header} are decoded")
def decode_request(context, header):
    headers = [] if header.startswith("no ") else [("Chervilrack-Request-Id", "1")]
    if headers:
        headers.append(tuple(header.split(": ")))
    try:
        context.result = PlatformDialect().read_request(headers)
    except MalformedMessage as error:
        context.result = error


@then("the request is rejected as malformed")
def check_malformed(context):
    assert isinstance(context.result, MalformedMessage), context.result


@then("a request with response {status:d} and {header} counts as {execution}")
def check_execution(context, status, header, execution):
    headers = {} if header == "no header" else dict([header.split(": ")])
    response = PlatformDialect().read_response(status, headers)
    assert response.not_executed == (execution == "not executed"), response


@then("response {body} to a stage call with {count:d} pieces gives {results}")
def check_stage_results(context, body, count, results):
    try:
        decoded = PlatformDialect().decode_pieces(body.encode(), count)
    except MalformedMessage:
        assert results == "malformed", results
        return
    outcomes = ["handle" if isinstance(item, str) else item.value for item in decoded]
    assert outcomes == results.split(", "), outcomes


@when("a settings file is loaded that lacks zone and has a frontend without port")
def load_invalid_settings(context):
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


@when("a settings file is loaded with {field} = {value}")
def load_changed_settings(context, field, value):
    settings = {**SETTINGS, "region": "sierra"}
    section, _, key = field.rpartition(".")
    if section:
        settings[section] = {key: json.loads(value)}
    else:
        settings[key] = json.loads(value)
    context.mistakes = []
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "boot.yaml"
        file.write_text(json.dumps(settings))
        try:
            context.settings = load_settings(file)
        except InvalidDocumentError as error:
            context.mistakes = error.mistakes


@then("the settings name a lost node for {loss:g} s, {pause:g} s after a pause")
def check_lookup_bounds(context, loss, pause):
    expected = LookupBounds(timedelta(seconds=loss), timedelta(seconds=pause))
    assert context.settings.lookup_bounds == expected, context.settings.lookup_bounds


@then("the settings name a lost node without a bound")
def check_no_lookup_bounds(context):
    assert context.settings.lookup_bounds is None, context.settings.lookup_bounds


@then("the settings have the regions {regions}")
def check_regions(context, regions):
    found = sorted(f"{zone}: {region}" for zone, region in context.settings.regions.items())
    assert found == regions.split(", "), found


@then("the settings are refused with a mistake about {subject}")
def check_refused_settings(context, subject):
    assert len(context.mistakes) == 1, context.mistakes
    assert subject in context.mistakes[0], context.mistakes


@when("a node reloads each beginning of a settings file in {form}")
def reload_beginnings(context, form):
    # The name of the zone is not ASCII, so that a beginning may end within a character.
    settings = {**SETTINGS, "zone": "zön", "seeds": ["10.1.0.9:7000", "10.2.0.25:7000"]}
    if form == "YAML":
        content = yaml.safe_dump(settings, sort_keys=False, allow_unicode=True).encode()
    else:
        content = json.dumps(settings, ensure_ascii=False).encode()
    reloaded = context.reloaded = []
    node = SimpleNamespace(reload=reloaded.append)
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "boot.yaml"
        for length in range(len(content) + 1):
            file.write_bytes(content[:length])
            _reload(node, file)


@then("it goes on each time, and takes no seed that the whole file does not have")
def check_reloaded(context):
    seeds = [tuple(str(seed) for seed in settings.seeds) for settings in context.reloaded]
    whole = ("10.1.0.9:7740", "10.2.0.25:7740")
    assert seeds[-1] == whole, seeds
    for some_seeds in seeds:
        assert some_seeds == whole[: len(some_seeds)], some_seeds


@then("{count:d} mistakes are reported that name {first} and {second}")
def check_mistakes(context, count, first, second):
    assert len(context.mistakes) == count, context.mistakes
    text = "\n".join(context.mistakes)
    assert first in text, text
    assert second in text, text


@then("response {status:d} with {header} means that stage results are {state}")
def check_stage_results_state(context, status, header, state):
    headers = {} if header == "no header" else dict([header.split(": ")])
    response = PlatformDialect().read_response(status, headers)
    assert response.inputs_gone == (state == "gone"), response


def read_fields(status, fields):
    """Return the metadata of an answer with fields that are separated by " / "."""
    headers = HTTPHeaderDict()
    for field in fields.split(" / "):
        name, _, value = field.partition(":")
        headers.add(name, value.strip())
    return PlatformDialect(ManualClock()).read_response(status, headers)


@then("an answer with status {status:d} and fields {fields} says that the upstream {leaves}")
def check_leaving(context, status, fields, leaves):
    assert read_fields(status, fields).leaving == (leaves == "leaves"), fields


@then("an answer with status {status:d} and fields {fields} asks for a pause of {pause}")
def check_pause(context, status, fields, pause):
    expected = None if pause == "no length" else timedelta(seconds=float(pause[:-2]))
    assert read_fields(status, fields).retry_after == expected, read_fields(status, fields)


@then("an answer with fields {fields} states {load}")
def check_load(context, fields, load):
    metadata = read_fields(200, fields)
    assert metadata.load_unreadable == (load == "an unreadable load"), metadata
    stated = metadata.load
    if stated is None:
        assert load in ("no load", "an unreadable load"), metadata
        return
    assert load == f"{stated.running} {stated.waiting} {stated.slots} {stated.slowdown}", stated


PAUSE_TEXTS = st.one_of(
    st.text(max_size=40),
    st.decimals().map(str),
    st.integers().map(str),
    st.floats().map(str),
    st.datetimes().map(lambda at: at.strftime("%a, %d %b %Y %H:%M:%S GMT")),
    st.from_regex(
        r"[A-Z][a-z]{2},? ?\d{1,2}[ -][A-Z][a-z]{2}[ -]\d{2,9} \d\d:\d\d(:\d\d)?( [+-]\d{4})?"
    ),
)


@then("any fields of an answer give a pause from 0 s on, and leave no error")
def check_any_fields(context):
    @for_all(st.lists(PAUSE_TEXTS, min_size=1, max_size=3), PAUSE_TEXTS, PAUSE_TEXTS)
    def check(pauses, date, leaving):
        headers = HTTPHeaderDict()
        for text in pauses:
            headers.add("Retry-After", text)
        headers.add("Date", date)
        headers.add("Server-Leaving", leaving)
        metadata = PlatformDialect(ManualClock()).read_response(503, headers)
        assert metadata.retry_after is None or metadata.retry_after >= timedelta(0)

    check()
