"""Steps for odd messages of other nodes."""

import json
import math
import random
from datetime import timedelta

import msgspec
from behave import then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from chervilrack._internal.balancing.standing import LeavingReport
from chervilrack._internal.balancing.state import UpstreamReport
from chervilrack._internal.batching import messages as batching
from chervilrack._internal.changefeed.messages import RelayedChange, StoreProgress
from chervilrack._internal.common.ids import Incarnation, NodeId
from chervilrack._internal.fleet.core import Fleet
from chervilrack._internal.fleet.messages import Heartbeat, StateReply, StateRequest
from chervilrack._internal.peering.envelope import PROTOCOL_VERSION, MessageRefused
from chervilrack._internal.serving.messages import serving_codec

ADDRESS = "10.1.0.41:7740"
REPORT = UpstreamReport("i-1", 3, 900, False, 1.5, 0.25, 40)
MESSAGES = {
    "fleet.heartbeat": Heartbeat(
        address=ADDRESS,
        caller_address="10.1.0.41:8625",
        zone="quito",
        ready=True,
        leaving=False,
        configuration_version=7,
        directory_revision=12,
        store_answers=True,
        reports=(REPORT,),
        peer_addresses=("10.1.0.42:7740",),
        ready_for_ms=60_000,
        interval_ms=300,
        cpu_cores=0.5,
        leaving_upstreams=(LeavingReport("i-2", 1_790_000_000_000),),
    ),
    "fleet.state-wanted": StateRequest(7),
    "fleet.state-given": StateReply(b"{}", 12, (("servers/i-1", b"{}", 11),), ("i-2",)),
    "changefeed.progress": StoreProgress(11, 12, (RelayedChange("servers/i-1", b"{}", 12, False),)),
    "batching.pieces-wanted": batching.PiecesWanted(
        order=1,
        service="kafi",
        request_id="r-1",
        stage=0,
        segments=(0, 1),
        key="a1",
        inputs=("10.1.64.7:8080/a",),
        due_ms=400,
        remaining_ms=900,
        result_size=8000,
        zone="quito",
        move_bytes=8000,
        priority=0,
    ),
    "batching.pieces-queued": batching.PiecesQueued(1, 200),
    "batching.pieces-begun": batching.PiecesBegun(1),
    "batching.pieces-made": batching.PiecesMade(1, ((0, "10.1.64.7:8080/a"),), 40),
    "batching.pieces-dropped": batching.PiecesDropped(1),
    "batching.pieces-returned": batching.PiecesReturned(1, (0, 1)),
    "batching.results-released": batching.ResultsReleased("kafi", ("10.1.64.7:8080/a",)),
}
ODD_REPORTS = {
    "an infinite pace": msgspec.structs.replace(REPORT, pace=math.inf),
    "a pace that is none": msgspec.structs.replace(REPORT, pace=math.nan),
    "an endless silence": msgspec.structs.replace(REPORT, silent_ms=2**64 - 1),
}


def frame(kind, body):
    """Return the frame that carries a body, which is encoded already."""
    return msgspec.msgpack.encode([PROTOCOL_VERSION, "edge-1", "i", kind, body])


def decode_frame(content):
    """Return the message of a frame, None if it is refused."""
    try:
        return serving_codec().decode(content).message
    except MessageRefused as refusal:
        text = str(refusal)
    assert len(text) <= 500
    return None


@when("a message {kind} with {oddity} is decoded")
def decode_odd_message(context, kind, oddity):
    message = MESSAGES[kind]
    field, _, value = oddity.partition(" ")
    if oddity.startswith("reports of "):
        message = msgspec.structs.replace(
            message, reports=(ODD_REPORTS[oddity.removeprefix("reports of ")],)
        )
    elif oddity != "nothing odd":
        message = msgspec.structs.replace(message, **{field: json.loads(value)})
    context.message = decode_frame(frame(kind, msgspec.msgpack.encode(message)))


@when("a message {kind} with {levels:d} nested arrays behind its fields is received")
def decode_nested_message(context, kind, levels):
    fields = msgspec.structs.astuple(MESSAGES[kind])
    nested = b"\x91" * levels + b"\x90"
    content = b"".join(msgspec.msgpack.encode(field) for field in fields)
    body = b"\xdc" + (len(fields) + 1).to_bytes(2) + content + nested
    context.message = decode_frame(frame(kind, body))


@then("the message of the peer is {result}")
def check_result(context, result):
    assert ("refused" if context.message is None else "decoded") == result, context.message


ODD_PARTS = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(-(2**63), 2**64 - 1),
        st.floats(),
        st.text(max_size=10),
        st.binary(max_size=10),
    ),
    lambda parts: st.lists(parts, max_size=4),
    max_leaves=8,
)


def bodies_of(message):
    """Return a strategy of bodies: any bytes, any structure, and changes of a valid message."""
    fields = msgspec.to_builtins(message, builtin_types=(bytes,))
    content = msgspec.msgpack.encode(fields)
    changed_fields = st.builds(
        lambda index, part: msgspec.msgpack.encode([*fields[:index], part, *fields[index + 1 :]]),
        st.integers(0, len(fields)),
        ODD_PARTS,
    )
    changed_bytes = st.builds(
        lambda start, end, middle: content[:start] + middle + content[end:],
        st.integers(0, len(content)),
        st.integers(0, len(content)),
        st.binary(max_size=8),
    )
    nested = st.integers(1, 200_000).map(lambda levels: b"\x91" * levels + b"\x90")
    return st.one_of(
        st.binary(), ODD_PARTS.map(msgspec.msgpack.encode), changed_fields, changed_bytes, nested
    )


def check_ranges(part):
    """Check that all times and numbers of a message are safe to compute with and to pass on."""
    if isinstance(part, msgspec.Struct):
        for name in part.__struct_fields__:
            value = getattr(part, name)
            if name.endswith("_ms") and name != "started_at_ms":
                assert abs(100 * timedelta(milliseconds=value)) < timedelta.max
            check_ranges(value)
    elif isinstance(part, tuple):
        for item in part:
            check_ranges(item)
    elif isinstance(part, float):
        assert math.isfinite(part)


@then("any message {kind} is decoded within the documented ranges or refused")
def check_any_message(context, kind):
    assert decode_frame(frame(kind, msgspec.msgpack.encode(MESSAGES[kind]))) == MESSAGES[kind]

    @for_all(bodies_of(MESSAGES[kind]))
    def check(body):
        message = decode_frame(frame(kind, body))
        if message is not None:
            check_ranges(message)
            msgspec.msgpack.encode(message)

    check()


@then("any frame is decoded or refused")
def check_any_frame(context):
    kinds = st.sampled_from(sorted(MESSAGES)) | st.text(max_size=300)
    frames = st.tuples(st.integers(0, 2), st.text(), st.text(), kinds, st.binary())

    @for_all(
        st.binary() | frames.map(msgspec.msgpack.encode) | ODD_PARTS.map(msgspec.msgpack.encode)
    )
    def check(content):
        decode_frame(content)

    check()


@when('a fleet learns the peer address "{address}"')
def learn_address(context, address):
    learn(context, json.loads(f'"{address}"'))


@when('a fleet learns the peer address ""')
def learn_empty_address(context):
    learn(context, "")


def learn(context, address):
    context.address = address
    context.fleet = Fleet(NodeId("edge-1"), "10.1.0.40:7740", random.Random(1))
    context.fleet.add_addresses([address], timedelta(0))
    heartbeat = msgspec.structs.replace(MESSAGES["fleet.heartbeat"], peer_addresses=(address,))
    context.fleet.receive_heartbeat(NodeId("edge-2"), Incarnation("i"), heartbeat, timedelta(0))


@then("the fleet has {result} it as a peer")
def check_peer(context, result):
    others = [address for address in context.fleet.addresses if address != ADDRESS]
    assert others == ([context.address] if result == "taken" else []), others
