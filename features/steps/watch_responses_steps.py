"""Steps for the responses of etcd's watch."""

import builtins
import json
from datetime import timedelta
from types import SimpleNamespace

from behave import then, when

from chervilrack._internal.common.clock import SystemClock
from chervilrack._internal.exceptions import PlatformUnavailable
from chervilrack._internal.kvstore.etcd_watch import EtcdWatch

EVENT = {"kv": {"key": "YQ==", "value": "YQ==", "mod_revision": "2"}}


def line(events, revision="2"):
    return json.dumps({"result": {"header": {"revision": revision}, "events": events}}).encode()


LINES = {
    "200,000 nested lists": b"[" * 200_000 + b"]" * 200_000,
    "200,000 nested objects": b'{"a":' * 200_000 + b"1" + b"}" * 200_000,
    "a revision of 5,000 digits": line([EVENT], "9" * 5000),
    "an event that is a number": line([7]),
    "a value that is not base64": line([{"kv": EVENT["kv"] | {"value": "=YQ"}}]),
    "bytes that are not UTF-8": b"\xff\xfe\x00",
}


class Response:
    """Response whose stream yields ``parts``, and then raises ``error`` or stays open."""

    def __init__(self, parts, error=None):
        self._parts = parts
        self._error = error

    def stream(self, _):
        yield from self._parts
        if self._error is not None:
            raise self._error("odd")

    def shutdown(self):
        pass

    def close(self):
        pass


def open_watch(context, responses):
    context.opened = 0

    def open_stream(path, body):
        context.opened += 1
        return responses.pop(0) if responses else Response([])

    settings = SimpleNamespace(watch_reconnect=timedelta(seconds=20))
    context.watch = EtcdWatch(open_stream, {"key": "YQ=="}, 1, settings, SystemClock())
    context.watch.open()
    context.add_cleanup(context.watch.close)


@when("the etcd client reads a watch response with {fault}")
def read_odd_line(context, fault):
    open_watch(context, [Response([LINES[fault] + b"\n"])])
    try:
        context.batch = next(batch for batch in context.watch.batches() if batch is not None)
    except PlatformUnavailable as error:
        context.error = error


@then("the watch ends as unavailable")
def check_unavailable(context):
    assert isinstance(context.error, PlatformUnavailable)
    assert len(str(context.error)) < 500, len(str(context.error))


@when("the etcd client reads a watch response that breaks with {error}")
def read_broken_response(context, error):
    good = Response([line([EVENT]) + b"\n"])
    open_watch(context, [Response([], getattr(builtins, error)), good])
    context.batch = next(batch for batch in context.watch.batches() if batch is not None)


@then("it opens the watch again")
def check_reopened(context):
    assert context.opened == 2, context.opened
    assert context.batch.revision == 2, context.batch
