"""Numbered bounds on the time of a request, so that logs can name the one that ended it."""

from enum import Enum


class Bound(Enum):
    """Bound on the time of a request. Values: number, description.

    The numbers do not change between versions. Those of the route hold as in the configuration
    under which the request was admitted.
    """

    CALLER_DEADLINE = (1, "the caller's deadline")
    ROUTE_TIMEOUT = (2, "the route's timeout")
    DEFAULT_TIMEOUT = (3, "the timeout of routes without one")
    FIRST_BYTE = (4, "the longest wait for the first byte")
    EVENT_GAP = (5, "the longest gap between two events")
    CONNECT = (6, "the time to connect to the upstream")
    NODE_STOP = (7, "the end of the node's stop")

    @property
    def number(self) -> int:
        """Number of the bound in logs."""
        return self.value[0]

    @property
    def description(self) -> str:
        """Short description for logs."""
        return self.value[1]

    def __str__(self) -> str:
        return f"{self.number} {self.description}"
