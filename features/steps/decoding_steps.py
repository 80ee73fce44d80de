"""Steps for the decoding of values that other programs write."""

import copy
import json
import math
import re
import tempfile
from datetime import timedelta
from pathlib import Path

from adapter_steps import CONFIGURATION, REGISTRATION, SETTINGS
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from chervilrack._internal.catalogue.state import UpstreamState
from chervilrack._internal.common.decoding import UnreadableValue
from chervilrack._internal.exceptions import InvalidDocumentError, PlatformUnavailable
from chervilrack._internal.forwarding.dialect import MalformedMessage, PieceFailure
from chervilrack.platform.configuration import decode_configuration, decode_upstream
from chervilrack.platform.headers import PlatformDialect
from chervilrack.platform.settings import load_settings
from chervilrack.platform.store import PlatformStore, StoreAnswer

MAX_TIME = timedelta(days=7)
MAX_MESSAGE = 600
DIGITS = re.compile(r"of (\d+) digits")


class Raw(str):
    """JSON text that takes the place of a value."""


def to_json(value):
    """Return JSON in which values of type Raw are written as they are."""
    texts = []

    def mark(part):
        if isinstance(part, Raw):
            texts.append(part)
            return f"\x01{len(texts) - 1}\x01"
        if isinstance(part, dict):
            return {name: mark(item) for name, item in part.items()}
        return [mark(item) for item in part] if isinstance(part, list | tuple) else part

    content = json.dumps(mark(value))
    return re.sub(r'"\\u0001(\d+)\\u0001"', lambda m: texts[int(m[1])], content).encode()


def nested(levels, opening="[", closing="]"):
    """Return JSON with this many levels within the outermost object."""
    return Raw(opening * (levels - 1) + "[]" + closing * (levels - 1))


def number(text):
    """Return the JSON of a number given as such, or as "of N digits"."""
    digits = DIGITS.fullmatch(text)
    return Raw("7" * int(digits[1]) if digits else text)


def part_of(document, name):
    """Return the part of a configuration that a row of a table names."""
    match name:
        case "route":
            return document["routes"][0]
        case "stage":
            return document["routes"][0]["stages"][1]
        case "split":
            return document["routes"][1]["trafficSplit"][0]
        case "batching":
            return document["services"][1]["segments"]
        case "limit":
            return document["limits"]
    return None


WHOLE_VALUES = {
    "nothing": b"",
    "nothing but null": b"null",
    "nothing but bytes": bytes(range(256)),
    "nothing but nested arrays": b"[" * 100_000 + b"]" * 100_000,
}


def change_fields(document, oddity):
    """Change fields of the document itself as a row of a table says; return whether it did."""
    match oddity.split(" "):
        case ["no", "oddity"]:
            pass
        case ["nested", "arrays", "as", "its", field]:
            document[field] = nested(3000)
        case ["brackets", *_]:
            document["odd"] = '[{\\"' * 500
        case ["a", "port", *_]:
            document["address"] = "10.1.64.7:" + "1" * 5000
        case ["a", "host", *_]:
            document["address"] = "a" * 300 + ":8080"
        case ["a" | "an", *_, field, "of", length, "letters"] | [field, "of", length, "letters"]:
            document[field] = "a" * int(length)
        case _:
            return False
    return True


def change_nesting(document, oddity):
    """Add a nested field as a row of a table says; return whether it did."""
    match oddity.split(" "):
        case [levels, "nested", "arrays"]:
            document["odd"] = nested(int(levels) - 1)
        case [levels, "nested", "objects"]:
            document["odd"] = nested(int(levels) - 1, '{"a":', "}")
        case [levels, "nested", "arrays", "left", "open"]:
            document["odd"] = Raw("[" * int(levels))
        case _:
            return False
    return True


def odd_value(valid, oddity):
    """Return the JSON of a valid document after the change that a row of a table names."""
    if oddity in WHOLE_VALUES:
        return WHOLE_VALUES[oddity]
    document = copy.deepcopy(valid)
    if change_fields(document, oddity) or change_nesting(document, oddity):
        return to_json(document)
    first, *rest = oddity.split(" ")
    part = part_of(document, first)
    if oddity == "split weights that are all zero":
        for target in document["routes"][1]["trafficSplit"]:
            target["weight"] = 0
    elif part is not None:
        part[rest[0]] = number(" ".join(rest[1:]))
    else:
        document[first] = number(" ".join(rest))
    return to_json(document)


def decode(key, value):
    if key.startswith("servers/"):
        return decode_upstream(key, value)
    return decode_configuration(value)


def decode_or_refuse(key, value):
    """Return the decoded value and None, or None and the message of the error."""
    try:
        return decode(key, value), None
    except UnreadableValue as error:
        return None, str(error)


@when('the value of "{key}" with {oddity} is decoded')
def decode_odd_value(context, key, oddity):
    key = json.loads(f'"{key}"')
    valid = REGISTRATION if key.startswith("servers/") else CONFIGURATION
    _, context.message = decode_or_refuse(key, odd_value(valid, oddity))


@when('the value of "servers/odd" without {field} is decoded')
def decode_incomplete_value(context, field):
    document = {name: item for name, item in REGISTRATION.items() if name != field}
    _, context.message = decode_or_refuse("servers/odd", to_json(document))


@then("the value is {result}")
def check_result(context, result):
    actual = "decoded" if context.message is None else "unreadable"
    assert actual == result, context.message


@then('the message is bounded and begins with "{key}"')
def check_message(context, key):
    if context.message is not None:
        assert context.message.startswith(key), context.message
        assert len(context.message) <= MAX_MESSAGE, len(context.message)


def is_time(value):
    return timedelta(0) <= value <= MAX_TIME


def check_upstream(entry):
    host, _, port = entry.address.rpartition(":")
    assert re.fullmatch(r"[0-9]{1,5}", port, re.ASCII)
    assert 1 <= int(port) <= 65535
    assert 0 < len(host) <= 255
    assert host.isascii()
    assert host.isprintable()
    assert " " not in host
    assert entry.state in UpstreamState
    assert 1 <= entry.slots <= 1_000_000
    assert 0 <= entry.started_at_ms < 2**53
    assert is_time(entry.cold_remaining)
    assert 1 <= len(entry.service) <= 200
    assert max(len(entry.zone), len(entry.version)) <= 200


def check_configuration(configuration):
    assert 0 <= configuration.version < 2**53
    for route in configuration.routes:
        assert is_time(route.timeout)
        assert is_time(route.target_latency)
        assert route.max_gap is None or is_time(route.max_gap)
        assert any(weight > 0 for _, weight in route.split)
        assert all(weight >= 0 and math.isfinite(weight) for _, weight in route.split)
        for stage in route.stages:
            assert 0 <= stage.result_size <= 10**12
            assert all(0 <= index < len(route.stages) for index in stage.after)
    for service in configuration.services.values():
        assert 0 <= service.max_connections < 2**53
        if (spec := service.batching) is not None:
            assert spec.slots >= 1
            assert spec.batch >= 1
            assert spec.queue >= 0
            assert is_time(spec.call_time)
            assert is_time(spec.item_time)
            assert is_time(spec.result_lifetime)
    limits = configuration.limits
    assert is_time(limits.header_timeout)
    assert is_time(limits.idle_timeout)
    assert limits.max_headers >= 0
    assert limits.max_body >= 0


ODD_NUMBERS = st.one_of(
    st.integers(),
    st.floats(),
    st.sampled_from([10**30, -(10**30), 10**400, 2**53, 2**63, 1e300, -1e300]),
)
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    ODD_NUMBERS,
    st.text(max_size=20),
    st.sampled_from(["10.1.64.7:²", "a\nb:80", "a:0", "a:99999", "ready", "[::1]:80"]),
)
ANY_JSON = st.recursive(
    SCALARS,
    lambda items: st.lists(items, max_size=4) | st.dictionaries(st.text(max_size=8), items),
    max_leaves=8,
)
NESTED = st.builds(
    lambda levels, pair: nested(levels, *pair),
    st.integers(1, 200_000),
    st.sampled_from([("[", "]"), ('{"a":', "}"), ("[", ""), ('{"a":[', "]}")]),
)


def paths_of(value, path=()):
    """Return the paths of all parts of a document."""
    paths = [path]
    if isinstance(value, dict | list):
        items = value.items() if isinstance(value, dict) else enumerate(value)
        for name, item in items:
            paths += paths_of(item, (*path, name))
    return paths


def replaced(document, path, value):
    """Return a copy of a document with one part replaced."""
    if not path:
        return value
    document = copy.deepcopy(document)
    part = document
    for name in path[:-1]:
        part = part[name]
    part[path[-1]] = value
    return document


def mutated(valid):
    """Return a strategy of values: any bytes, any JSON, and changes of a valid document."""
    content = json.dumps(valid).encode()
    changed_bytes = st.builds(
        lambda start, end, middle: content[:start] + middle + content[end:],
        st.integers(0, len(content)),
        st.integers(0, len(content)),
        st.binary(max_size=8),
    )
    changed_parts = st.builds(
        lambda path, value: to_json(replaced(valid, path, value)),
        st.sampled_from(paths_of(valid)),
        ANY_JSON | NESTED,
    )
    return st.one_of(
        st.binary(), ANY_JSON.map(to_json), NESTED.map(to_json), changed_bytes, changed_parts
    )


@then("any value of {key} is decoded within the documented ranges or unreadable")
def check_any_value(context, key):
    is_upstream = key.startswith("servers/")

    @for_all(mutated(REGISTRATION if is_upstream else CONFIGURATION))
    def check(value):
        decoded, message = decode_or_refuse(key, value)
        if message is not None:
            assert message.startswith(key)
            assert len(message) <= MAX_MESSAGE
            return
        if is_upstream:
            check_upstream(decoded)
        else:
            check_configuration(decoded)

    check()


# Header fields of callers

FIELD_NAMES = (
    "Chervilrack-Deadline-Ms",
    "Chervilrack-Token-Usage",
    "Chervilrack-Prefix-Hash",
    "Chervilrack-Chunk-Count",
    "Last-Event-Id",
)
FIELD_TEXTS = st.one_of(
    st.text(max_size=30),
    st.text("0123456789,:ab ²", max_size=30),
    st.integers(1, 5000).map(lambda digits: "7" * digits),
    st.lists(st.integers(0), max_size=4).map(lambda numbers: ",".join(map(str, numbers))),
)


def read_request(fields):
    """Return the metadata of a request, None if it is malformed."""
    try:
        return PlatformDialect().read_request([("Chervilrack-Request-Id", "r-1"), *fields])
    except MalformedMessage:
        return None


@when("the header fields of a request with {oddity} are decoded")
def decode_fields(context, oddity):
    name, _, text = oddity.replace(" of", ": of").replace(": ", ":", 1).partition(":")
    prefix, digits = re.fullmatch(r"(.*?)(?::? ?of (\d+) digits)?", text).groups()
    text = prefix.removesuffix("7") + "7" * int(digits) if digits else prefix
    if name == "Chervilrack-Token-Usage" and "," not in text:
        text += ",7"
    context.result = read_request([(name, text)])


@then("the fields are {result}")
def check_request(context, result):
    if result == "malformed":
        assert context.result is None
        return
    check_metadata(context.result)
    assert result != "decoded with a week left" or context.result.deadline == MAX_TIME


def check_metadata(metadata):
    assert metadata.deadline is None or is_time(metadata.deadline)
    assert 0 <= metadata.prompt_tokens <= 10**9
    assert 0 <= metadata.output_tokens <= 10**9
    assert all(0 <= part.tokens <= 10**9 for part in metadata.prefix)
    assert all(0 <= count <= 100_000 for count in metadata.piece_counts)
    assert metadata.last_event is None or 0 <= metadata.last_event <= 10**18


@then("any header fields of a request are decoded within the documented ranges or malformed")
def check_any_fields(context):
    @for_all(st.dictionaries(st.sampled_from(FIELD_NAMES), FIELD_TEXTS))
    def check(fields):
        metadata = read_request(list(fields.items()))
        if metadata is not None:
            check_metadata(metadata)

    check()


# Answers to stage calls

STAGE_ANSWER = {"entries": [{"handle": "10.1.64.7:8080/91bd3f06e44"}, {"reason": "gone"}]}


def read_stage_answer(body, count):
    """Return the results of a stage call, None if the answer is malformed."""
    try:
        return PlatformDialect().decode_pieces(body, count)
    except MalformedMessage as error:
        message = str(error)
    assert len(message) <= MAX_MESSAGE
    return None


@then("an answer to a stage call with {oddity} is {result}")
def check_stage_answer(context, oddity, result):
    answer = {"entries": [json.loads(odd_value(STAGE_ANSWER["entries"][0], "no oddity"))]}
    content = odd_value(answer["entries"][0], oddity)
    results = read_stage_answer(to_json({"entries": [Raw(content.decode())]}), 1)
    if results is None:
        assert result == "malformed", result
    else:
        assert len(results) == 1
        assert result == ("error" if results[0] is PieceFailure.ERROR else "handle"), results


@then("any answer to a stage call gives results that are safe to pass on, or is malformed")
def check_any_stage_answer(context):
    @for_all(mutated(STAGE_ANSWER), st.integers(0, 3))
    def check(body, count):
        results = read_stage_answer(body, count)
        if results is None:
            return
        assert len(results) == count
        for item in results:
            assert isinstance(item, PieceFailure) or re.fullmatch(r"[!-+\--~]{1,1000}", item)

    check()


@then('the handle "{handle}" names {result}')
def check_handle(context, handle, result):
    try:
        PlatformDialect().upstream_address(json.loads(f'"{handle}"'))
        actual = "an address"
    except MalformedMessage:
        actual = "none"
    assert actual == result, actual


# Answers of the store


class AnsweringStore(PlatformStore):
    """Client of the store whose calls get the given answers, one after the other."""

    def __init__(self, *answers):
        super().__init__("10.200.1.7:8624")
        self._answers = list(answers)

    def _call(self, *_args, **_kwargs):
        if not self._answers:
            raise PlatformUnavailable("no further answer")
        return StoreAnswer(200, self._answers.pop(0), era=0)


def item(key, revision):
    return {"key": key, "revision": revision, "value": "e30=", "lease": 0}


def read_listing(*answers):
    """Return the keys of a listing, None if it is an error of the store."""
    try:
        return [item.key for item in AnsweringStore(*answers).range("servers/").items]
    except PlatformUnavailable as error:
        message = str(error)
    assert len(message) <= MAX_MESSAGE
    return None


def read_watch(answer):
    """Return the keys of the first changes of a watch, None if it is an error of the store."""
    try:
        with AnsweringStore(answer).watch("servers/", 1) as batches:
            batch = next(batches)
            return [change.item.key for change in batch.changes] if batch is not None else []
    except PlatformUnavailable as error:
        message = str(error)
    assert len(message) <= MAX_MESSAGE
    return None


@given('a store whose items are "nodes/a", "servers/odd" and "servers/z", the second with {oddity}')
def given_odd_item(context, oddity):
    content = odd_value(item("servers/odd", 2), oddity)
    items = [item("nodes/a", 1), Raw(content.decode()), item("servers/z", 3)]
    context.listing = [to_json({"entries": items, "at": 3})]
    context.watch = to_json({"events": items, "at": 3})
    context.keys = ["nodes/a", "servers/odd", "servers/z"]


@given("a store whose listing has two pages, the first of which ends with an item that {oddity}")
def given_odd_page(context, oddity):
    odd = item("servers/odd", -1) if "revision" in oddity else {"key": 7, "revision": 2}
    first = {"entries": [item("nodes/a", 1), odd], "at": 3, "hasMore": True}
    second = {"entries": [item("servers/z", 3)], "at": 3}
    context.listing = [json.dumps(first).encode(), json.dumps(second).encode()]
    context.keys = ["nodes/a", "servers/odd", "servers/z"]


def check_keys(context, keys, result):
    match result:
        case "whole":
            assert keys == context.keys, keys
        case "without that item":
            assert keys == ["nodes/a", "servers/z"], keys
        case _:
            assert keys is None, keys


@then("its listing is read {result}")
def check_listing(context, result):
    check_keys(context, read_listing(*context.listing), result)


@then("its watch is read {result}")
def check_watch(context, result):
    check_keys(context, read_watch(context.watch), result)


ANSWERS = {
    "a listing": {"entries": [item("servers/a", 1)], "at": 3},
    "a watch": {"events": [item("servers/a", 1)], "at": 3},
    "a lease": {"lease": 7, "ttlMs": 4000},
}


def read_answer(call, body):
    """Return what the store's client makes of an answer, None for an error of the store."""
    match call:
        case "a listing":
            return read_listing(body)
        case "a watch":
            return read_watch(body)
    try:
        return AnsweringStore(body).lease_keepalive(7)
    except PlatformUnavailable:
        return None


@then("an answer of the store to {call} with {oddity} is an error of the store")
def check_odd_answer(context, call, oddity):
    assert read_answer(call, odd_value(ANSWERS[call], oddity)) is None


def check_any_answer_to(call, bodies):
    @for_all(bodies)
    def check(body):
        read_answer(call, body)

    check()


@then("any answer of the store is read, or an error of the store")
def check_any_answer(context):
    for call, valid in ANSWERS.items():
        assert read_answer(call, json.dumps(valid).encode()) is not None
        check_any_answer_to(call, mutated(valid))


# Settings files


def read_settings(content):
    """Return the settings of a file with this content, None if it is refused."""
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "boot.yaml"
        file.write_bytes(content)
        try:
            return load_settings(file)
        except InvalidDocumentError as error:
            mistakes = error.mistakes
    assert mistakes
    assert all(mistake.startswith(str(file)) for mistake in mistakes)
    return None


@when("a settings file with {oddity} is read")
def read_odd_settings(context, oddity):
    context.settings = read_settings(odd_value(SETTINGS, oddity))


@then("the settings are {result}")
def check_settings(context, result):
    assert ("refused" if context.settings is None else "taken") == result, context.settings


@then("any settings file is read or refused with its mistakes")
def check_any_settings(context):
    @for_all(mutated(SETTINGS))
    def check(content):
        settings = read_settings(content)
        if settings is not None:
            assert is_time(settings.lookup_lifetime)
            assert is_time(settings.stop_grace)
            assert is_time(settings.retry_budget.window)
            assert math.isfinite(settings.cpu_cores)

    check()
