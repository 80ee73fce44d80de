"""Decision log: one JSON line per decision, written by a background thread without blocking."""

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

from chervilrack._internal.common.supervision import FAILURES, SupervisedThread

# Limit of lines in the buffer. 2,000 lines of 400 bytes take 0.8 MB and are about 4 s of the
# output of a node at its highest load.
MAX_BUFFERED_LINES: Final = 2000
# Routine lines are dropped at this buffer length, which reserves the rest for failures.
MAX_BUFFERED_ROUTINE_LINES: Final = 1500
# Delay before the buffered lines are written together in one call.
FLUSH_INTERVAL_S: Final = 0.25
THREAD_NAME: Final = "decisions"


class DecisionLog:
    """Bounded, non-blocking log of decisions. Use as a context manager.

    Lines go to standard output unless ``stream`` is given.
    """

    def __init__(self, node: str, stream: TextIO | None = None) -> None:
        self._node = node
        self._stream = stream or sys.stdout
        self._buffer: deque[dict[str, Any]] = deque()
        self._dropped_by_event: Counter[str] = Counter()
        self._wake_writer = threading.Event()
        self._stopping = False
        self._thread = SupervisedThread(THREAD_NAME, self._write_loop)
        self._encoder = msgspec.json.Encoder(enc_hook=str)

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the log last reported dropped lines."""
        return sum(self._dropped_by_event.values())

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stopping = True
        self._wake_writer.set()
        self._thread.join(1)

    def note(self, part: str, event: str, routine: bool = False, **fields: Any) -> None:
        """Add one line with ``fields`` to the buffer, or drop the line if the buffer is full.

        ``part`` names the component, such as ``forwarding``. Routine lines are dropped first when
        the writer cannot keep up.
        """
        limit = MAX_BUFFERED_ROUTINE_LINES if routine else MAX_BUFFERED_LINES
        if len(self._buffer) >= limit:
            self._dropped_by_event[f"{part}.{event}"] += 1
            return
        self._buffer.append({"time": time.time(), "part": part, "event": event, **fields})
        if not self._wake_writer.is_set():
            self._wake_writer.set()

    def _write_loop(self) -> None:
        while True:
            self._wake_writer.wait()
            if not self._stopping:
                time.sleep(FLUSH_INTERVAL_S)
            self._wake_writer.clear()
            self._flush()
            if self._stopping:
                return

    def _flush(self) -> None:
        lines: list[str] = []
        while self._buffer:
            self._encode(self._buffer.popleft(), lines)
        if self._dropped_by_event:
            dropped, self._dropped_by_event = self._dropped_by_event, Counter()
            dropped_lines = {"part": "log", "event": "dropped", "lines": dict(dropped)}
            self._encode({"time": time.time()} | dropped_lines, lines)
        if not lines:
            return
        try:
            self._stream.write("".join(lines))
            self._stream.flush()
        except (OSError, ValueError):
            # The output is closed or broken. Requests are served without a log.
            self._dropped_by_event["log.unwritable"] += len(lines)
        except Exception as error:
            self._dropped_by_event["log.unwritable"] += len(lines)
            FAILURES.record(THREAD_NAME, error, "lines of the log")

    def _encode(self, line: dict[str, Any], lines: list[str]) -> None:
        """Append the text of ``line`` to ``lines``; a line that has none is counted as dropped."""
        try:
            time_utc = datetime.fromtimestamp(line["time"], UTC)
            line_time = {"time": time_utc.isoformat(timespec="milliseconds")}
            content = line_time | {"node": self._node} | line | line_time
            lines.append(self._encoder.encode(content).decode() + "\n")
        except Exception:
            self._dropped_by_event[f"{line['part']}.{line['event']}"] += 1


class DecisionHandler(logging.Handler):
    """Forwards records of the standard library's loggers to a decision log."""

    def __init__(self, log: DecisionLog) -> None:
        super().__init__()
        self._log = log
        self.setFormatter(JsonFormatter("%(name)s %(message)s"))

    def emit(self, record: logging.LogRecord) -> None:
        """Add ``record`` as one line; the text before the first ": " becomes the part."""
        part, _, text = record.getMessage().partition(": ")
        trace = logging.Formatter().formatException(record.exc_info) if record.exc_info else None
        self._log.note(part, "message", level=record.levelname, text=text, trace=trace)
