"""Node processes that the soak starts, signals and ends by their ids."""

import contextlib
import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from types import TracebackType
from typing import Self

# A node that was ordered to stop has to be gone after this time (``graceS``), and a little more
# for a busy machine.
GRACE_S = 8.0
GRACE_SLACK_S = 2.0


class NodeProcess:
    """One node that may be killed, stopped, paused and started again."""

    def __init__(self, name: str, command: Sequence[str], settings: Path, variable: str) -> None:
        self.name = name
        self._command = [sys.executable, *command]
        self._environment = {**os.environ, variable: str(settings)}
        self._log = settings.with_suffix(".log")
        self._errors = settings.with_suffix(".err")
        self._process: subprocess.Popen[bytes] | None = None
        self._logged_before = 0

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
        """Whether the process exists."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_status(self) -> int | None:
        """Exit status of the last process, None while it runs."""
        return self._process.poll() if self._process is not None else None

    @property
    def process_id(self) -> int:
        """Id of the last process. Raises ValueError if there was none."""
        if self._process is None:
            raise ValueError(f"{self.name} was never started")
        return self._process.pid

    def start(self) -> None:
        """Start the node if it does not run; its output is appended to one file."""
        if self.is_running:
            return
        self._logged_before = self._logged
        with self._log.open("ab") as log, self._errors.open("ab") as errors:
            self._process = subprocess.Popen(
                self._command, env=self._environment, stdout=log, stderr=errors
            )

    def kill(self) -> None:
        """End the process without warning."""
        self._send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def stop(self) -> str | None:
        """Order the node to stop and wait; return what was wrong with its end."""
        process = self._process
        if process is None:
            return None
        self._send(signal.SIGTERM)
        try:
            status = process.wait(GRACE_S + GRACE_SLACK_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return f"{self.name} was still running {GRACE_S + GRACE_SLACK_S:.0f} s after SIGTERM"
        if status == -signal.SIGTERM and self._logged == self._logged_before:
            # The signal came before the process could handle it, or serve anything.
            return None
        return f"{self.name} stopped with status {status}" if status != 0 else None

    def pause(self) -> None:
        """Freeze the process."""
        self._send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on."""
        self._send(signal.SIGCONT)

    def reload(self) -> None:
        """Send the signal for changed settings."""
        self._send(signal.SIGHUP)

    @property
    def _logged(self) -> int:
        return self._log.stat().st_size if self._log.exists() else 0

    def _send(self, number: signal.Signals) -> None:
        if self._process is not None and self.is_running:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)
