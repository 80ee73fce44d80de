"""The close of a server: how long its threads may still read, and what became of connections."""

import os
import threading
from collections import Counter
from datetime import timedelta
from enum import Enum

from chervilrack._internal.common.clock import Clock

# Time in which requests have to arrive that are being read when the close begins, and those of
# connections on which nothing has arrived yet.
CLOSING_READ_TIME = timedelta(milliseconds=250)


class AtClose(Enum):
    """What became of a connection, or was done for one, when its server closed."""

    ACCEPTED = "accepted"
    ANSWERED = "answered"
    SILENT = "silent"
    UNUSED = "unused"
    CUT = "cut"


class ServerClose:
    """Whether a server closes, and until when; thread-safe.

    ``descriptor`` becomes readable when the close begins. Times are monotonic.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._counts: Counter[AtClose] = Counter()
        self._end: timedelta | None = None
        self._reads_end = timedelta.max
        self.descriptor, self._writer = os.pipe()

    @property
    def has_begun(self) -> bool:
        """Whether the server closes."""
        return self._end is not None

    @property
    def end(self) -> timedelta:
        """Time at which all connections are closed, whatever is in progress on them."""
        return timedelta.max if self._end is None else self._end

    @property
    def reads_end(self) -> timedelta:
        """Time after which nothing is waited for that has not arrived."""
        return self._reads_end

    @property
    def counts(self) -> dict[str, int]:
        """Number of connections by what became of them."""
        with self._lock:
            return {kind.value: count for kind, count in self._counts.items()}

    def begin(self, end: timedelta) -> None:
        """Begin the close, which ends at ``end``; a later call changes nothing."""
        with self._lock:
            if self._end is not None:
                return
            self._reads_end = min(self._clock.monotonic() + CLOSING_READ_TIME, end)
            self._end = end
        os.write(self._writer, b"x")

    def close(self) -> None:
        """Close the descriptor; the close must have begun."""
        for descriptor in (self.descriptor, self._writer):
            os.close(descriptor)

    def count(self, kind: AtClose) -> None:
        """Count a connection, if the server closes."""
        if self._end is not None:
            with self._lock:
                self._counts[kind] += 1
