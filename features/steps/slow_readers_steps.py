"""Steps for callers that read their streams slowly, and upstreams that read requests slowly."""

import socket
import struct
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from answers_steps import build_request, exchange_raw, record_response, split_chunks
from behave import given, then, when
from serving_steps import wait_for

LIMIT_S = 20.0
SMALL_BUFFER = 8192
KB = 1000


def connect(context):
    """Send a request for a stream on a connection whose end keeps little."""
    connection = socket.socket()
    connection.settimeout(LIMIT_S)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    connection.connect((context.settings.callers.host, context.settings.callers.port))
    context.number += 1
    fields = "Connection: close\r\n"
    request = build_request("/stream/1", f"slow-{context.number}", 20_000, fields)
    connection.sendall(request.encode())
    return connection


def in_flight(context):
    state = context.node._state
    with state.lock:
        return sum(state.balancer.status(u).in_flight for u in state.catalogue.upstreams)


def pause(context, seconds):
    """Let time pass, and record what the node holds."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        context.most_kept = max(context.most_kept, context.node._unread_memory.used)
        time.sleep(0.02)
    context.in_flight_at_pause = in_flight(context)
    context.sent_at_pause = context.scripted.streams_sent


def read_stream(context, reads):
    parts = []
    with connect(context) as connection:
        words = reads.split()
        if words[1] == "nothing":
            pause(context, float(words[3]))
        elif words[3] != "every":
            parts.append(connection.recv(int(words[1]) * KB))
            pause(context, float(words[-2]))
        while part := connection.recv(20 * KB):
            parts.append(part)
            if "every" in words:
                context.most_kept = max(context.most_kept, context.node._unread_memory.used)
                context.sent_at_pause = context.scripted.streams_sent
                time.sleep(float(words[-2]))
    return b"".join(parts).decode()


@given("connections of callers whose buffers keep little")
def shrink_buffers(context):
    # Accepted connections have the sizes of their listener; usually, the kernel keeps megabytes.
    listener = context.node._caller_server._server.socket
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)


@given("the node has memory for {size:d} kB of unread streams")
def limit_memory(context, size):
    memory = context.node._unread_memory
    memory._limit = size * KB
    memory._largest = min(memory._largest, size * KB // 2)


@when("a caller that {reads} gets a stream")
def read_slowly(context, reads):
    context.most_kept = 0
    context.streams = [read_stream(context, reads)]


@when("{count:d} callers that {reads} get a stream")
def read_all_slowly(context, count, reads):
    context.most_kept = 0
    with ThreadPoolExecutor(count) as pool:
        context.streams = list(pool.map(lambda _: read_stream(context, reads), range(count)))


@when("a caller {leaves} while its stream is kept")
def leave(context, leaves):
    connection = connect(context)
    wait_for(lambda: context.node._unread_memory.used > 0, "bytes are kept")
    if leaves.startswith("resets"):
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


@when("a caller sends an order with a body of {size:d} bytes within {deadline:d} ms")
def send_order(context, size, deadline):
    head = build_request("/order/1", "caller-1", deadline, "Connection: close\r\n")
    head = head.replace("Content-Length: 0", f"Content-Length: {size}")
    began = time.monotonic()
    context.raw = exchange_raw(context, head + "x" * size)
    context.took = time.monotonic() - began
    record_response(context)


@then("the answer came within {limit:d} ms")
def check_time(context, limit):
    assert context.took * 1000 <= limit, context.took


def is_whole(raw, size):
    content, is_complete = split_chunks(raw.partition("\r\n\r\n")[2])
    ids = [line for line in content.split("\n") if line.startswith("id: ")]
    expected = [f"id: {number}" for number in range(1, size + 1)]
    assert ids == expected[: len(ids)], "an event is missing"
    assert not is_complete or ids == expected, "a part looks complete"
    return is_complete


@then("the caller has got all {size:d} events and the end of the stream")
@then("all callers have got their whole streams")
def check_whole(context, size=800):
    assert all(is_whole(raw, size) for raw in context.streams)


@then("no stream that was cut off looks complete")
def check_parts(context):
    # is_whole checks it.
    for raw in context.streams:
        is_whole(raw, 800)


@then("the upstream was rid of the stream before the caller had read it")
def check_sent(context):
    assert context.sent_at_pause == 1, context.sent_at_pause
    assert context.most_kept > 0, "nothing was kept"


@then("no attempt was in flight while the caller read nothing")
def check_in_flight(context):
    assert context.in_flight_at_pause == 0, context.in_flight_at_pause
    assert context.sent_at_pause == 1, context.sent_at_pause


@then("at most {size:d} kB of unread streams were kept")
def check_kept(context, size):
    assert 0 < context.most_kept <= size * KB, context.most_kept


@then("the node holds no bytes for the caller any more")
def check_nothing_held(context):
    wait_for(lambda: context.node._state.in_progress == 0, "the requests end")
    wait_for(lambda: context.node._unread_memory.used == 0, "the memory is given back")
    wait_for(
        lambda: not any(thread.name == "unread" for thread in threading.enumerate()),
        "the threads end",
    )
