"""Exit statuses of the command line."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit statuses of ``chervilrack``. Click itself exits with 2 on wrong usage."""

    SUCCESS = 0
    FAILED = 1
    WRONG_USAGE = 2
    INVALID_DOCUMENT = 3
    CONFLICT = 4
    UNREACHABLE = 5
    PROMISE_BROKEN = 6
    INTERRUPTED = 130
