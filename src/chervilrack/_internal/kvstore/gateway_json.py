"""Encoding of etcd v3's JSON gateway: base64 keys and values, 64-bit integers as strings.

Source: etcd v3.5, "gRPC gateway" and api/etcdserverpb/rpc.proto. The gateway answers with the
field names of the proto files and leaves out fields that have their default value.
"""

import base64
from collections.abc import Mapping, Sequence
from typing import Any

from chervilrack._internal.kvstore.port import Change, ChangeKind, Compare, KeyValue, Put

Json = Mapping[str, Any]

# gRPC status codes that the gateway puts into the field ``code`` of an error.
GRPC_INVALID_ARGUMENT = 3
GRPC_NOT_FOUND = 5
GRPC_RESOURCE_EXHAUSTED = 8
GRPC_OUT_OF_RANGE = 11
GRPC_UNAVAILABLE = 14
GRPC_UNAUTHENTICATED = 16

# Errors of a decoder that mean that a response is malformed, of any value and depth.
DECODING_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)

# etcd refuses calls with this message before it proposes them, so they are not applied.
NO_LEADER = "etcdserver: no leader"


def encode_bytes(data: bytes) -> str:
    """Return ``data`` in the gateway's encoding, base64."""
    return base64.b64encode(data).decode()


def decode_bytes(text: str) -> bytes:
    """Return the bytes that a field of the gateway encodes."""
    return base64.b64decode(text, validate=True)


def encode_txn(
    compares: Sequence[Compare], puts: Sequence[Put], deletes: Sequence[str]
) -> dict[str, Any]:
    """Return the body of ``/v3/kv/txn``."""
    return {
        "compare": [
            {
                "key": encode_bytes(compare.key.encode()),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(compare.mod_revision),
            }
            for compare in compares
        ],
        "success": [
            {
                "request_put": {
                    "key": encode_bytes(put.key.encode()),
                    "value": encode_bytes(put.value),
                    "lease": str(put.lease),
                }
            }
            for put in puts
        ]
        + [{"request_delete_range": {"key": encode_bytes(key.encode())}} for key in deletes],
    }


def decode_txn(body: Json) -> tuple[list[Compare], list[Put], list[str]]:
    """Return the comparisons, puts and deletes of a body that ``encode_txn`` made.

    Raises KeyError or ValueError for anything that ``encode_txn`` does not produce.
    """
    compares = []
    for compare in body.get("compare", ()):
        if compare.get("target") != "MOD" or compare.get("result", "EQUAL") != "EQUAL":
            raise ValueError("only the comparison mod_revision == N is supported")
        key = decode_bytes(compare["key"]).decode()
        compares.append(Compare(key, int(compare.get("mod_revision", 0))))
    puts: list[Put] = []
    deletes: list[str] = []
    for request in body.get("success", ()):
        if "request_put" in request:
            put = request["request_put"]
            value = decode_bytes(put.get("value", ""))
            puts.append(Put(decode_bytes(put["key"]).decode(), value, int(put.get("lease", 0))))
        else:
            deletes.append(decode_bytes(request["request_delete_range"]["key"]).decode())
    return compares, puts, deletes


def encode_item(item: KeyValue) -> dict[str, str]:
    """Return the fields with which the gateway reports an item."""
    fields = {
        "key": encode_bytes(item.key.encode()),
        "mod_revision": str(item.mod_revision),
    }
    if item.value:
        fields["value"] = encode_bytes(item.value)
    if item.lease:
        fields["lease"] = str(item.lease)
    return fields


def decode_item(fields: Json) -> KeyValue:
    """Return the item that the gateway's fields describe."""
    return KeyValue(
        decode_bytes(fields["key"]).decode(),
        decode_bytes(fields.get("value", "")),
        int(fields["mod_revision"]),
        int(fields.get("lease", 0)),
    )


def encode_event(change: Change) -> dict[str, Any]:
    """Return the watch event for a change; the type PUT is the default and left out."""
    event: dict[str, Any] = {"kv": encode_item(change.item)}
    if change.kind is ChangeKind.DELETE:
        event["type"] = "DELETE"
    return event


def decode_event(event: Json) -> Change:
    """Return the change that a watch event describes."""
    kind = ChangeKind.DELETE if event.get("type") == "DELETE" else ChangeKind.PUT
    return Change(kind, decode_item(event["kv"]))


def revision_of(body: Json) -> int:
    """Return the store's revision from the header of a response."""
    return int(body.get("header", {}).get("revision", 0))
