"""Decision log: one JSON line for each decision, written by a thread that nothing waits for."""

import logging
import sys
import threading
import time
from collections import Counter, deque
from datetime import UTC, datetime
from types import TracebackType
from typing import Any, Final, Self, TextIO

import msgspec
from pythonjsonlogger.json import JsonFormatter

# Lines that wait for the writer. 2,000 lines of 400 bytes are 0.8 MB, about 4 s of a node's
# lines at its highest load.
MAX_WAITING: Final = 2000
# Routine lines are dropped from this many on, so that failures still find room.
MAX_WAITING_ROUTINE: Final = 1500
# Time in which lines gather before they are written together.
FLUSH_INTERVAL_S: Final = 0.25


class DecisionLog:
    """Bounded, non-blocking log of decisions. Use as a context manager.

    ``part`` is the fixed prefix of a slice, such as ``forwarding``.
    """

    def __init__(self, node: str, stream: TextIO | None = None) -> None:
        self._node = node
        self._stream = stream or sys.stdout
        self._lines: deque[dict[str, Any]] = deque()
        self._dropped: Counter[str] = Counter()
        self._wake = threading.Event()
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="decisions", daemon=True)
        self._encoder = msgspec.json.Encoder(enc_hook=str)

    @property
    def dropped(self) -> int:
        """Lines dropped since the last report."""
        return sum(self._dropped.values())

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stopping = True
        self._wake.set()
        self._thread.join(timeout=1)

    def note(self, part: str, event: str, routine: bool = False, **fields: Any) -> None:
        """Add one line; a routine one is dropped first when the writer cannot keep up."""
        limit = MAX_WAITING_ROUTINE if routine else MAX_WAITING
        if len(self._lines) >= limit:
            self._dropped[f"{part}.{event}"] += 1
            return
        self._lines.append({"time": time.time(), "part": part, "event": event, **fields})
        if not self._wake.is_set():
            self._wake.set()

    def _run(self) -> None:
        while True:
            self._wake.wait()
            if not self._stopping:
                time.sleep(FLUSH_INTERVAL_S)
            self._wake.clear()
            self._flush()
            if self._stopping:
                return

    def _flush(self) -> None:
        lines = []
        while self._lines:
            line = self._lines.popleft()
            stamp = datetime.fromtimestamp(line.pop("time"), UTC)
            lines.append(
                {"time": stamp.isoformat(timespec="milliseconds"), "node": self._node} | line
            )
        if self._dropped:
            dropped, self._dropped = self._dropped, Counter()
            lines.append(
                {"node": self._node, "part": "log", "event": "dropped", "lines": dict(dropped)}
            )
        if not lines:
            return
        try:
            self._stream.write("".join(self._encode(line) + "\n" for line in lines))
            self._stream.flush()
        except (OSError, ValueError):
            # Nobody reads the log; serving goes on.
            self._dropped["log.unwritable"] += len(lines)

    def _encode(self, line: dict[str, Any]) -> str:
        return self._encoder.encode(line).decode()


class DecisionHandler(logging.Handler):
    """Passes records of the standard library's loggers to a decision log."""

    def __init__(self, log: DecisionLog) -> None:
        super().__init__()
        self._log = log
        self.setFormatter(JsonFormatter("%(name)s %(message)s"))

    def emit(self, record: logging.LogRecord) -> None:
        """Add one line."""
        part, _, text = record.getMessage().partition(": ")
        trace = logging.Formatter().formatException(record.exc_info) if record.exc_info else None
        self._log.note(part, "message", level=record.levelname, text=text, trace=trace)
