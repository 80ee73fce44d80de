"""Logging set-up: text or JSON lines on standard error."""

import logging
import sys
from enum import Enum

from pythonjsonlogger.json import JsonFormatter


class LogFormat(Enum):
    """Formats of log lines."""

    TEXT = "text"
    JSON = "json"


def configure_logging(log_format: LogFormat, level: str) -> None:
    """Send log records of ``level`` and above to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    if log_format is LogFormat.JSON:
        handler.setFormatter(JsonFormatter("%(asctime)s %(levelname)s %(name)s %(message)s"))
    else:
        handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)-7s %(message)s"))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
