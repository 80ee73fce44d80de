"""Append-only files of events, written by several threads and processes."""

import os
from collections.abc import Iterable, Iterator
from pathlib import Path
from types import TracebackType
from typing import Protocol, Self

import msgspec

from chervilrack._internal.exceptions import InvalidDocumentError
from chervilrack._internal.history.events import Event

# Listing every bad line of a file of another kind would hide the first and useful message.
_MAX_MISTAKES = 10


class EventSink(Protocol):
    """Receives events."""

    def record(self, event: Event) -> None:
        """Keep one event."""


class MemoryRecorder:
    """Keeps events in memory; for the load generator and tests."""

    def __init__(self) -> None:
        self._events: list[Event] = []

    @property
    def events(self) -> list[Event]:
        """Copy of the events recorded so far."""
        return self._events.copy()

    def record(self, event: Event) -> None:
        """Keep one event; appending to a list is atomic."""
        self._events.append(event)


class FileRecorder:
    """Appends events to a file.

    Each event is one ``write`` to a descriptor opened for appending, so lines of several threads
    and processes do not mix, and events written before a crash of the process are kept.
    """

    def __init__(self, path: Path) -> None:
        self._descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def record(self, event: Event) -> None:
        """Append one event."""
        os.write(self._descriptor, encode_event(event))

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()


def encode_event(event: Event) -> bytes:
    """Return the line of one event, with its line end."""
    return msgspec.json.encode(event) + b"\n"


def read_history(path: Path) -> list[Event]:
    """Read all events of a file, ordered by time.

    Raises InvalidDocumentError that names the lines that hold no known event, or if there are no
    events at all, because an empty history would satisfy every check.
    """
    with path.open("rb") as lines:
        return decode_history(lines, str(path))


def decode_history(lines: Iterable[bytes], name: str) -> list[Event]:
    """Decode lines of events, ordered by time; ``name`` appears in error messages."""
    mistakes: list[str] = []
    events = list(_decode(lines, name, mistakes))
    if mistakes:
        raise InvalidDocumentError(mistakes)
    if not events:
        raise InvalidDocumentError([f"{name}: the history holds no events"])
    events.sort(key=lambda event: event.at)
    return events


def _decode(lines: Iterable[bytes], name: str, mistakes: list[str]) -> Iterator[Event]:
    decoder: msgspec.json.Decoder[Event] = msgspec.json.Decoder(Event)
    for number, line in enumerate(lines, start=1):
        try:
            yield decoder.decode(line)
        except msgspec.DecodeError as error:
            mistakes.append(f"{name}:{number}: {error}")
            if len(mistakes) == _MAX_MISTAKES:
                return
