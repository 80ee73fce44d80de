"""Steps for the function that turns any value into a result or one error."""

import builtins
import io
import json
import os
import subprocess
import sys
from collections import Counter
from pathlib import Path

import msgspec
import urllib3
from behave import then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from chervilrack._internal.common.clock import SystemClock
from chervilrack._internal.common.decoding import (
    MAX_NESTING,
    UnreadableValue,
    check_nesting,
    decode_value,
)
from chervilrack._internal.common.results import ResultCode
from chervilrack._internal.exceptions import PlatformUnavailable
from chervilrack._internal.kvstore.etcd import EtcdPlatform
from chervilrack._internal.kvstore.etcd_watch import EtcdWatch
from chervilrack._internal.kvstore.registry import PlatformSettings
from chervilrack._internal.node.operations import NodeOperations
from chervilrack._internal.upstreams.completions import parse_chunk
from chervilrack._internal.upstreams.http_client import parse_load
from chervilrack._internal.upstreams.sse import MalformedStreamError

SCRIPT = Path(__file__).parent.parent / "support" / "nested_values.py"
TIME_LIMIT_S = 120
# Six decoders of JSON, five shapes and three places; a frame and two places of four kinds.
VALUES = 6 * 5 * 3 + 3 * (1 + 2 * 4)


@when("a process with the stack of serving nodes decodes values nested {levels:d} levels")
def decode_in_process(context, levels):
    context.process = subprocess.run(
        [sys.executable, str(SCRIPT), str(levels)],
        check=False,
        capture_output=True,
        text=True,
        timeout=TIME_LIMIT_S,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )


@then("it ends by itself with one outcome for each value, none of which is unexpected")
def check_process(context):
    lines = context.process.stdout.splitlines()
    assert context.process.returncode == 0, (context.process.returncode, lines[-1:])
    assert len(lines) == VALUES, (len(lines), context.process.stderr[-1000:])
    outcomes = Counter(line.rpartition(", ")[2] for line in lines)
    assert not [name for name in outcomes if name.startswith("unexpected")], outcomes


def refuse(name, error):
    """Return the error of a decoder that raises ``error``."""

    def decode(_value):
        raise error

    try:
        decode_value(name, b"", decode)
    except UnreadableValue as unreadable:
        return unreadable
    raise AssertionError("no error was raised")


@then("a decoder that raises {name} gives the one error")
def check_error(context, name):
    error = getattr(builtins, name, None) or getattr(msgspec, name)
    assert str(refuse("servers/odd", error())).startswith("servers/odd is unreadable: ")


@then("the message of the one error is bounded, whatever the name and the value are")
def check_message(context):
    @for_all(st.text(max_size=1000), st.text(max_size=1000))
    def check(name, text):
        error = refuse(name, ValueError(text))
        assert len(str(error)) <= 550
        assert error.detail
        assert str(error).startswith(name[:100])

    check()


def depth_of(value):
    """Return how deeply arrays and objects nest."""
    if isinstance(value, dict | list):
        items = value.values() if isinstance(value, dict) else value
        return 1 + max(map(depth_of, items), default=0)
    return 0


TEXTS = st.text('[]{}"\\:,a', max_size=12) | st.text(max_size=8)
VALUES_OF_ANY_DEPTH = st.recursive(
    TEXTS | st.integers() | st.none(),
    lambda items: st.lists(items, max_size=3) | st.dictionaries(TEXTS, items, max_size=3),
    max_leaves=12,
)


@then("any JSON nests as deeply as the check says")
def check_depth(context):
    @for_all(VALUES_OF_ANY_DEPTH, st.integers(MAX_NESTING - 6, MAX_NESTING + 2), st.booleans())
    def check(value, levels, is_ascii):
        for _ in range(levels):
            value = [value]
        siblings = [[] for _ in range(MAX_NESTING)]
        content = json.dumps([siblings, value], ensure_ascii=is_ascii).encode()
        try:
            check_nesting(content)
            is_accepted = True
        except ValueError:
            is_accepted = False
        assert is_accepted == (1 + depth_of(value) <= MAX_NESTING)

    check()


def read_platform_answer(content, status=200):
    platform = EtcdPlatform(PlatformSettings(endpoints=("http://10.0.0.1:2379",)))
    platform._send = lambda *_args, **_kwargs: urllib3.HTTPResponse(
        io.BytesIO(content), status=status, preload_content=False
    )
    return platform.get("servers/a")


def read_platform_watch(content):
    watch = EtcdWatch(None, {}, 1, PlatformSettings(endpoints=()), SystemClock())
    watch._lines.put(content)
    return next(watch.batches())


def raises(error_type, read, *arguments):
    try:
        read(*arguments)
    except error_type:
        return True
    return False


def refuses_note(content):
    operations = NodeOperations.__new__(NodeOperations)
    outcome = operations.accept_release(content)
    return outcome.is_err() and outcome.err_value.code is ResultCode.RELEASE_INVALID


READERS = {
    "the load of an upstream": lambda content: parse_load(content.decode()) == {},
    "a chunk of an engine": lambda content: raises(
        MalformedStreamError, parse_chunk, content.decode()
    ),
    "an answer of the platform": lambda content: raises(
        PlatformUnavailable, read_platform_answer, content
    ),
    "an error of the platform": lambda content: raises(
        PlatformUnavailable, read_platform_answer, content, 500
    ),
    "a watch of the platform": lambda content: raises(
        PlatformUnavailable, read_platform_watch, content
    ),
    "a release note": refuses_note,
}


@then("{name} that is nested {levels:d} levels gives the error of its reader")
def check_reader(context, name, levels):
    assert READERS[name](b'{"odd":' + b"[" * levels + b"]" * levels + b"}")
