"""Parsers for durations and sizes with units, as in settings and release notes."""

import re
from datetime import timedelta
from typing import Annotated

import msgspec

_NUMBER = r"(\d+(?:\.\d+)?)"
_DURATIONS = {
    "ms": timedelta(milliseconds=1),
    "s": timedelta(seconds=1),
    "m": timedelta(minutes=1),
    "h": timedelta(hours=1),
    "d": timedelta(days=1),
}
_SIZES: dict[str, int] = {
    "B": 1,
    **{f"{prefix}B": 1000**power for power, prefix in enumerate(("k", "M", "G", "T"), 1)},
    **{f"{prefix}iB": 1024**power for power, prefix in enumerate(("K", "M", "G", "T"), 1)},
}
_DURATION = re.compile(f"{_NUMBER}({'|'.join(_DURATIONS)})")
_SIZE = re.compile(f"{_NUMBER}({'|'.join(_SIZES)})")

# Integer field in milliseconds, up to about 30 years; a timedelta holds sums and multiples of it.
Milliseconds = Annotated[int, msgspec.Meta(ge=-(10**12), le=10**12)]
# Integer field, such as a revision, that every encoding of messages holds.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
# Integer field in bytes that documents write as a size with a unit.
ByteSize = Annotated[int, msgspec.Meta(extra={"unit": "size"})]


def parse_duration(text: str) -> timedelta:
    """Parse a duration such as ``6s`` or ``250ms``; raises ValueError if it is malformed."""
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError(f"not a duration with a unit: {text}")
    try:
        return float(match[1]) * _DURATIONS[match[2]]
    except OverflowError:
        raise ValueError(f"duration out of range: {text}") from None


def parse_size(text: str) -> int:
    """Parse a size such as ``2GiB`` or ``64kB`` to bytes; raises ValueError if it is malformed."""
    match = _SIZE.fullmatch(text)
    if match is None:
        raise ValueError(f"not a size with a unit: {text}")
    return round(float(match[1]) * _SIZES[match[2]])
