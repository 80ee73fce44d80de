"""Decoding of values that other programs write: a value, or one error."""

import re
from collections.abc import Callable
from typing import Final, TypeVar

from chervilrack._internal.exceptions import ChervilrackError

# The stack of the interpreter ends at another depth in each thread; this limit is the same in all.
MAX_NESTING: Final = 64
MAX_NAME_LENGTH: Final = 200
MAX_DETAIL_LENGTH: Final = 300

_STRING_OR_BRACKET: Final = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"?|[\[{]|[\]}]', re.DOTALL)

T = TypeVar("T")


class UnreadableValue(ChervilrackError):
    """A value of another program does not have the documented format, or exceeds its ranges.

    ``detail`` says what is wrong, without the name of the value.
    """

    def __init__(self, name: str, detail: str) -> None:
        self.detail = _shorten(detail, MAX_DETAIL_LENGTH)
        super().__init__(f"{_shorten(name, MAX_NAME_LENGTH)} is unreadable: {self.detail}")


def decode_value(name: str, value: bytes, decode: Callable[[bytes], T]) -> T:
    """Return ``decode(value)``. Raises UnreadableValue, whose message begins with ``name``.

    ``decode`` includes all conversions of the decoded fields and has no effect beyond its result.
    Every exception that it raises therefore means that the value is unreadable. ``name`` is the key
    or the kind of message; the message of the error is bounded, whatever the value holds.
    """
    try:
        return decode(value)
    except Exception as error:
        raise UnreadableValue(name, str(error) or type(error).__name__) from None


def decode_json(name: str, value: bytes, decode: Callable[[bytes], T]) -> T:
    """Like ``decode_value``, for JSON; arrays and objects nest at most MAX_NESTING levels."""

    def decode_checked(content: bytes) -> T:
        check_nesting(content)
        return decode(content)

    return decode_value(name, value, decode_checked)


def check_nesting(value: bytes) -> None:
    """Raise ValueError if arrays and objects of a JSON document nest more than MAX_NESTING levels.

    Anything else that is wrong with the document is left to its decoder.
    """
    if value.count(b"[") + value.count(b"{") <= MAX_NESTING:
        return
    depth = 0
    for match in _STRING_OR_BRACKET.finditer(value):
        first = value[match.start()]
        if first in b"[{":
            depth += 1
            if depth > MAX_NESTING:
                raise ValueError(f"arrays and objects nest more than {MAX_NESTING} levels")
        elif first in b"]}":
            depth -= 1


def _shorten(text: str, length: int) -> str:
    return text if len(text) <= length else f"{text[: length - 3]}..."
