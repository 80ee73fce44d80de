"""Exit statuses of the command line."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit statuses; 2 is click's own for wrong usage."""

    SUCCESS = 0
    FAILED = 1
    WRONG_USAGE = 2
    INVALID_DOCUMENT = 3
    CONFLICT = 4
    UNREACHABLE = 5
    PROMISE_BROKEN = 6
    INTERRUPTED = 130
