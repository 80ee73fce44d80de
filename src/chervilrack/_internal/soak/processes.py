"""Node processes of a soak, which are signalled by process id."""

import contextlib
import os
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from types import TracebackType
from typing import Self

# A node must exit within ``graceS`` after SIGTERM. A busy machine gets some slack.
GRACE_S = 8.0
GRACE_SLACK_S = 2.0
SIGNAL_INTERVAL_S = 0.5


class NodeProcess:
    """One node process that can be killed, stopped, paused and restarted."""

    def __init__(
        self, name: str, command: Sequence[str], settings: Path, settings_variable: str
    ) -> None:
        self.name = name
        self._command = [sys.executable, *command]
        self._environment = {**os.environ, settings_variable: str(settings)}
        self._log = settings.with_suffix(".log")
        self._errors = settings.with_suffix(".err")
        self._process: subprocess.Popen[bytes] | None = None
        self._log_size_at_start = 0

    def __enter__(self) -> Self:
        self.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.resume()
        self.kill()

    @property
    def is_running(self) -> bool:
        """Whether the process is running or paused."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_status(self) -> int | None:
        """Exit status of the latest process; None while the process runs."""
        return self._process.poll() if self._process is not None else None

    @property
    def process_id(self) -> int:
        """Id of the latest process. Raises ValueError if the node was never started."""
        if self._process is None:
            raise ValueError(f"{self.name} was never started")
        return self._process.pid

    def start(self) -> None:
        """Start the node unless it runs; standard output and errors are appended to two files."""
        if self.is_running:
            return
        self._log_size_at_start = self._log_size
        with self._log.open("ab") as log, self._errors.open("ab") as errors:
            self._process = subprocess.Popen(
                self._command, env=self._environment, stdout=log, stderr=errors
            )

    def kill(self) -> None:
        """Send SIGKILL and wait until the process has ended."""
        self._send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def stop(self, signal_count: int = 1) -> str | None:
        """Send SIGTERM and wait; return a description of an unexpected exit, otherwise None.

        Further signals follow ``SIGNAL_INTERVAL_S`` apart.
        """
        process = self._process
        if process is None:
            return None
        self._send(signal.SIGTERM)
        for _ in range(signal_count - 1):
            time.sleep(SIGNAL_INTERVAL_S)
            self._send(signal.SIGTERM)
        try:
            status = process.wait(GRACE_S + GRACE_SLACK_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return f"{self.name} was still running {GRACE_S + GRACE_SLACK_S:.0f} s after SIGTERM"
        if status == -signal.SIGTERM and self._log_size == self._log_size_at_start:
            # SIGTERM arrived before the process had installed its handler or served any request.
            return None
        return f"{self.name} stopped with status {status}" if status != 0 else None

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._send(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self._send(signal.SIGCONT)

    def reload(self) -> None:
        """Make the node reload its settings, with SIGHUP."""
        self._send(signal.SIGHUP)

    @property
    def _log_size(self) -> int:
        return self._log.stat().st_size if self._log.exists() else 0

    def _send(self, number: signal.Signals) -> None:
        if self._process is not None and self.is_running:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)
