"""Records events in memory or in files, and reads recorded histories."""

import os
from collections.abc import Iterable, Iterator
from pathlib import Path
from types import TracebackType
from typing import Protocol, Self

import msgspec

from chervilrack._internal.exceptions import InvalidDocumentError
from chervilrack._internal.history.events import Event

# A file that is not a history has an error in every line. A longer list would hide the first
# message, which is the most useful one.
_MAX_REPORTED_ERRORS = 10


class EventSink(Protocol):
    """Records events."""

    def record(self, event: Event) -> None:
        """Record ``event``."""


class MemoryRecorder:
    """Records events in memory, for tests and short runs in one process."""

    def __init__(self) -> None:
        self._events: list[Event] = []

    @property
    def events(self) -> list[Event]:
        """Copy of the events recorded so far."""
        return self._events.copy()

    def record(self, event: Event) -> None:
        """Record ``event``. Threads need no lock, because appending to a list is atomic."""
        self._events.append(event)


class FileRecorder:
    """Appends events to a file, which several threads and processes may share.

    Each event is a single ``write`` to a file descriptor in append mode. Lines of different writers
    are therefore never interleaved, and a crash of the process does not lose the events
    recorded before.
    """

    def __init__(self, path: Path) -> None:
        self._descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def record(self, event: Event) -> None:
        """Append ``event`` to the file."""
        os.write(self._descriptor, encode_event(event))

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()


def encode_event(event: Event) -> bytes:
    """Return ``event`` as a line of JSON with a newline at the end."""
    return msgspec.json.encode(event) + b"\n"


def read_history(path: Path) -> list[Event]:
    """Return all events in the file at ``path``, ordered by time.

    Raises InvalidDocumentError if a line is not a known event, with the numbers of the first such
    lines, or if the file holds no events, because an empty history would pass every check.
    """
    with path.open("rb") as lines:
        return decode_history(lines, str(path))


def decode_history(lines: Iterable[bytes], name: str) -> list[Event]:
    """Return the events in ``lines``, ordered by time; error messages call the source ``name``.

    Raises InvalidDocumentError in the same cases as `read_history`.
    """
    errors: list[str] = []
    events = list(_decode_lines(lines, name, errors))
    if errors:
        raise InvalidDocumentError(errors)
    if not events:
        raise InvalidDocumentError([f"{name}: the history holds no events"])
    events.sort(key=lambda event: event.at)
    return events


def _decode_lines(lines: Iterable[bytes], name: str, errors: list[str]) -> Iterator[Event]:
    """Yield the events in ``lines`` and add a message to ``errors`` for each invalid line.

    The reading stops after ``_MAX_REPORTED_ERRORS`` invalid lines.
    """
    decoder: msgspec.json.Decoder[Event] = msgspec.json.Decoder(Event)
    for line_number, line in enumerate(lines, start=1):
        try:
            yield decoder.decode(line)
        except msgspec.DecodeError as error:
            errors.append(f"{name}:{line_number}: {error}")
            if len(errors) == _MAX_REPORTED_ERRORS:
                return
