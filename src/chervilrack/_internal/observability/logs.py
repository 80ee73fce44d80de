"""Configuration of logging: text or JSON lines on standard error."""

import logging
import sys
from collections.abc import MutableMapping
from enum import Enum
from typing import Any

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


class PartLogger(logging.LoggerAdapter[logging.Logger]):
    """Logger that begins each message with the name of a component as a fixed prefix."""

    def __init__(self, logger: logging.Logger, part: str) -> None:
        super().__init__(logger)
        # The prefix becomes part of the format string, in which % must be escaped.
        self._prefix = part.replace("%", "%%") + ": "

    def process(
        self, msg: object, kwargs: MutableMapping[str, Any]
    ) -> tuple[str, MutableMapping[str, Any]]:
        """Return the message with the prefix, and ``kwargs`` unchanged."""
        return f"{self._prefix}{msg}", kwargs


def part_logger(module: str, part: str) -> PartLogger:
    """Return the logger of ``module`` with the component name ``part``, such as ``limits``."""
    return PartLogger(logging.getLogger(module), part)
