"""Decodes nested values in a thread with the stack of a serving node; prints one line for each."""

import sys
import threading
from collections.abc import Callable, Iterator

import msgspec

from chervilrack._internal.common.decoding import decode_json
from chervilrack._internal.exceptions import ChervilrackError
from chervilrack._internal.forwarding.dialect import MalformedMessage
from chervilrack._internal.serving.messages import serving_codec
from chervilrack.platform.configuration import decode_configuration, decode_upstream
from chervilrack.platform.headers import PlatformDialect
from chervilrack.platform.run import THREAD_STACK_BYTES
from chervilrack.platform.store import PlatformStore, StoreAnswer

JSON_SHAPES = {
    "arrays": (b"[", b"1", b"]"),
    "objects": (b'{"a":', b"1", b"}"),
    "both": (b'[{"a":', b"1", b"}]"),
    "arrays left open": (b"[", b"", b""),
    "objects left open": (b'{"a":', b"", b""),
}
MSGPACK_SHAPES = {
    "arrays": (b"\x91", b"\x01"),
    "maps": (b"\x81\xa1a", b"\x01"),
    "arrays left open": (b"\x91", b""),
}
KINDS = ("fleet.heartbeat", "fleet.state-given", "changefeed.progress", "batching.pieces-wanted")


class _AnsweringStore(PlatformStore):
    """Client of the store that gets the same answer to each call."""

    def __init__(self, body: bytes) -> None:
        super().__init__("10.200.1.7:8624")
        self._body = body

    def _call(self, *_args: object, **_kwargs: object) -> StoreAnswer:
        return StoreAnswer(200, self._body, era=0)


def _watch(body: bytes) -> object:
    with _AnsweringStore(body).watch("servers/", 1) as batches:
        return next(batches)


def _json_decoders() -> Iterator[tuple[str, str, Callable[[bytes], object]]]:
    """Yield the name of a decoder, that of one of its fields, and the decoder."""
    yield "upstream", "service", lambda value: decode_upstream("servers/odd", value)
    yield "configuration", "routes", decode_configuration
    yield "stage answer", "entries", lambda value: PlatformDialect().decode_pieces(value, 9_999)
    yield "listing", "entries", lambda value: _AnsweringStore(value).range("servers/")
    yield "watch", "events", _watch
    yield "any value", "a", lambda value: decode_json("value", value, msgspec.json.decode)


def _frame(kind: str, body: bytes) -> bytes:
    return msgspec.msgpack.encode([1, "edge-1", "i", kind, body])


def _outcome(decode: Callable[[bytes], object], value: bytes) -> str:
    try:
        decode(value)
    except (ChervilrackError, MalformedMessage) as error:
        return type(error).__name__
    except Exception as error:
        return f"unexpected {type(error).__name__}"
    return "decoded"


def _decode_all(levels: int) -> None:
    for name, field, decode in _json_decoders():
        for shape, (opening, middle, closing) in JSON_SHAPES.items():
            nested = opening * levels + middle + closing * levels
            for place, value in (
                ("whole", nested),
                ("known field", b'{"%b":%b}' % (field.encode(), nested)),
                ("unknown field", b'{"odd":%b}' % nested),
            ):
                print(name, shape, place, levels, _outcome(decode, value), sep=", ", flush=True)
    codec = serving_codec()
    for shape, (opening, middle) in MSGPACK_SHAPES.items():
        nested = opening * levels + middle
        print("frame", shape, levels, _outcome(codec.decode, nested), sep=", ", flush=True)
        for kind in KINDS:
            # The arrays have more elements than the message has fields.
            for place, body in (("whole", nested), ("all fields", b"\xdc\x00\x20" + nested * 2)):
                outcome = _outcome(codec.decode, _frame(kind, body))
                print(kind, shape, place, levels, outcome, sep=", ", flush=True)


def main() -> None:
    """Decode values of the given number of levels."""
    threading.stack_size(THREAD_STACK_BYTES)
    thread = threading.Thread(target=_decode_all, args=(int(sys.argv[1]),))
    thread.start()
    thread.join()


if __name__ == "__main__":
    main()
