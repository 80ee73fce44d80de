"""Steps for the memory of a node process, in the face of bytes without end."""

import re
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from behave import given, then, when
from stopping_steps import process_request, wait_for
from support.scripted_upstream import ScriptedUpstreams

from chervilrack._internal.soak.records import Kind
from chervilrack.platform.emulated.emulation import configuration

LIMIT_S = 20.0
DEADLINE_MS = 8000
STREAMS = 6
MEGABYTE = 1024 * 1024


def memory_of(context, field):
    """Return a field of the node process's memory in bytes; VmHWM is the highest VmRSS."""
    status = Path(f"/proc/{context.bed.nodes['n0'].process_id}/status").read_text()
    return int(re.search(rf"{field}:\s+(\d+) kB", status)[1]) * 1024


@given("{count:d} plain upstreams that send floods")
def start_floods(context, count):
    floods = context.floods = ScriptedUpstreams(["answer"], count)
    floods.__enter__()
    context.add_cleanup(floods.__exit__)
    store = context.bed.emulation._store
    plain = [u for u in context.bed.emulation._upstreams.values() if u.service == "plain"]
    for number, address in enumerate(floods.addresses):
        store.put(f"servers/flood-{number}", plain[0].entry(address=address))
    for upstream in plain:
        store.remove(f"servers/{upstream.id}")
    wait_for(lambda: len(send_early(context)) >= 4, "only the floods are used")
    floods.requests.clear()


def send_early(context):
    """Send an order; return those in a row that have reached the floods."""
    before = len(context.floods.requests)
    send(context, "early")
    if len(context.floods.requests) == before:
        context.floods.requests.clear()
    return context.floods.requests


@given("callers may send bodies of {size:d} bytes")
def allow_bodies(context, size):
    document = configuration(1000, list(context.bed.keys.valid))
    document["limits"]["maxBodyBytes"] = size
    context.bed.emulation._store.put("op/config", document)
    wait_for(lambda: send(context, "first-large", b"x" * 200_000) == 200, "the limit is in force")


def send(context, request_id, body=b"body", path="/order/1"):
    """Send a request; return its status, 0 if the connection ends without a response."""
    try:
        return process_request(context, 0, path, DEADLINE_MS, request_id, body)
    except OSError:
        return 0


@when("{count:d} requests at once get, one kind after the other, a flood of")
def send_floods(context, count):
    context.before = memory_of(context, "VmRSS")
    context.flood_statuses, context.stream_statuses = [], []
    for round_number, row in enumerate(context.table):
        context.floods._scripts = [f"flood of {row['bytes']}"]
        with ThreadPoolExecutor(count + STREAMS) as pool:
            floods = [pool.submit(send, context, f"flood-{round_number}-{n}") for n in range(count)]
            streams = [
                pool.submit(send, context, f"stream-{round_number}-{n}", path="/stream/1")
                for n in range(STREAMS)
            ]
            context.flood_statuses += [flood.result() for flood in floods]
            context.stream_statuses += [stream.result() for stream in streams]
    assert len(context.floods.requests) >= count, "few requests got a flood"


@then("the node process has never had more than {megabytes:d} MB")
def check_peak(context, megabytes):
    peak = memory_of(context, "VmHWM")
    assert peak <= megabytes * MEGABYTE, f"{peak / MEGABYTE:.0f} MB"


@then("no caller got an answer of a flood")
def check_floods(context):
    # Upstreams that fail often are not used for a while, and then 503 says so.
    assert set(context.flood_statuses) <= {502, 503, 504}, context.flood_statuses


@then("all streams beside them were answered")
def check_streams(context):
    assert set(context.stream_statuses) == {200}, context.stream_statuses


@when("{count:d} requests with bodies of {size:d} bytes are sent at once")
def send_bodies(context, count, size):
    body = b"x" * size
    with ThreadPoolExecutor(count) as pool:
        names = [f"body-{size}-{number}" for number in range(count)]
        context.body_statuses = list(pool.map(lambda name: send(context, name, body), names))


def begin_upload(context, request_id, size):
    """Send the head of an upload and the first byte of its body; return the connection."""
    headers = context.bed.emulation.request_headers(
        request_id, Kind.ORDER, context.bed.keys.valid[0], DEADLINE_MS / 1000
    )
    lines = [f"POST {Kind.ORDER.value}1 HTTP/1.1", f"Content-Length: {size}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    address = (context.bed.host(0), context.bed.emulation.callers_port)
    connection = socket.create_connection(address, timeout=LIMIT_S)
    context.add_cleanup(connection.close)
    connection.sendall("\r\n".join([*lines, "", ""]).encode() + b"x")
    return connection


@given("{count:d} callers that have begun to send bodies of {size:d} bytes")
def begin_uploads(context, count, size):
    context.uploads = [begin_upload(context, f"begun-{n}", size) for n in range(count)]


@when("another caller sends a body of {size:d} bytes within {seconds:d} s")
def send_slowly(context, size, seconds):
    context.upload = begin_upload(context, "refused", size)
    pieces = 50 * seconds
    for _ in range(pieces):
        context.upload.sendall(b"x" * (size // pieces))
        time.sleep(seconds / pieces)


@then("it gets status {status:d} once it has sent all of it")
def check_upload(context, status):
    assert context.upload.recv(100).startswith(f"HTTP/1.1 {status} ".encode())


@then("each of them is answered, or refused as not run")
def check_bodies(context):
    statuses = context.body_statuses
    assert set(statuses) <= {200, 503}, statuses
    assert 200 in statuses, statuses
    run = {run.request for run in context.bed.emulation.runs() if run.request.startswith("body")}
    assert len(run) == statuses.count(200), (len(run), statuses)


@then("each of them is answered")
def check_small_bodies(context):
    assert set(context.body_statuses) == {200}, context.body_statuses


@then("the node process has at most {megabytes:d} MB more than before")
def check_returned(context, megabytes):
    limit = context.before + megabytes * MEGABYTE
    wait_for(lambda: memory_of(context, "VmRSS") <= limit, "the memory goes back")
