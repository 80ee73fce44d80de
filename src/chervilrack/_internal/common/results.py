"""Numbered result codes and the problem that callers receive for a failed request."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum


class Executed(Enum):
    """Whether an upstream ran a refused or failed request."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ResultCode(Enum):
    """Result codes. Values: number, HTTP status, title, whether the request is retryable."""

    MALFORMED_REQUEST = (1001, 400, "The request is malformed", False)
    BODY_TOO_LARGE = (1002, 413, "The body is larger than allowed", False)
    WRONG_TYPE = (1003, 422, "A field has the wrong type or value", False)
    UNKNOWN_PATH = (1004, 404, "There is no such path", False)
    METHOD_NOT_ALLOWED = (1005, 405, "The path does not support this method", False)
    HEADERS_TOO_LARGE = (1006, 431, "The headers are larger than allowed", False)
    REQUEST_TIMEOUT = (1007, 408, "The request did not arrive in time", True)
    CALLER_GONE = (1008, 400, "The caller closed its side of the connection", False)
    KEY_MISSING = (1101, 401, "No key was given", False)
    KEY_INVALID = (1102, 401, "The key is not valid", False)
    KEY_EXPIRED = (1103, 401, "The key has expired", False)
    NOT_PERMITTED = (1104, 403, "The key does not permit this", False)
    UNKNOWN_PIPELINE = (1201, 404, "There is no such pipeline", False)
    UNKNOWN_SERVICE = (1202, 404, "There is no such service or operation", False)
    UNKNOWN_REQUEST = (1203, 404, "There is no such request", False)
    UNKNOWN_ORDER = (1204, 404, "There is no order with this key", False)
    DEADLINE_INVALID = (1301, 400, "The deadline is missing or out of range", False)
    DEADLINE_PASSED = (1302, 504, "The deadline has passed", False)
    DEADLINE_UNREACHABLE = (1303, 503, "The request cannot end within its deadline", True)
    QUEUE_FULL = (1304, 503, "Too many requests are waiting", True)
    LIMIT_REACHED = (1305, 503, "A limit of the upstreams is used up", True)
    NOT_CONFIRMED = (1401, 503, "This node may not start work at the moment", True)
    NOT_READY = (1402, 503, "This node is starting or leaving", True)
    PLATFORM_AWAY = (1403, 503, "The platform service is needed and cannot be reached", True)
    NO_UPSTREAM = (1404, 503, "No upstream is available for a stage", True)
    NODE_STOPPED = (1405, 504, "This node stopped before the request ended", False)
    UPSTREAMS_LEAVING = (1406, 503, "All upstreams of a service are leaving", True)
    UPSTREAMS_PAUSED = (1407, 503, "All upstreams of a service want a pause", True)
    CRASHES_UPSTREAMS = (1408, 503, "Requests like this one crash upstreams", True)
    ZONES_EVACUATED = (1409, 503, "All upstreams of a service lie in evacuated zones", True)
    OUTSIDE_HOMES = (1410, 503, "No upstream is available in an allowed region", True)
    UPSTREAMS_COLD = (1411, 503, "All usable upstreams of a service are cold", True)
    IDEMPOTENCY_KEY_MISSING = (1501, 400, "The operation needs an Idempotency-Key", False)
    IDEMPOTENCY_KEY_REUSED = (1502, 422, "The Idempotency-Key was used for another request", False)
    ORDER_OUTCOME_UNKNOWN = (1503, 409, "The outcome of the order is not known", False)
    ORDER_IN_PROGRESS = (1504, 409, "The order is in progress", True)
    ORDER_NOT_RECORDED = (1505, 503, "The order could not be recorded and was not run", True)
    UPSTREAM_FAILED = (1601, 502, "An upstream failed", True)
    UPSTREAM_REFUSED = (1602, 502, "An upstream refused the request", True)
    STREAM_BROKEN = (1603, 502, "A stream broke and could not be resumed", True)
    RELEASE_CONFLICT = (1701, 409, "Another release note was accepted first", True)
    RELEASE_INVALID = (1702, 422, "The release note is not valid", False)
    MESSAGE_VERSION = (1801, 400, "A message has an unknown version or field", False)
    INTERNAL_ERROR = (1901, 500, "An internal error occurred", False)

    @property
    def number(self) -> int:
        """Number of the code, which does not change between versions."""
        return self.value[0]

    @property
    def http_status(self) -> int:
        """HTTP status of a response with the code."""
        return self.value[1]

    @property
    def title(self) -> str:
        """Short human-readable description."""
        return self.value[2]

    @property
    def retryable(self) -> bool:
        """Whether the same request may succeed later."""
        return self.value[3]


@dataclass(frozen=True, slots=True)
class Problem:
    """Failure of a request, sent to the caller as problem details (RFC 9457)."""

    code: ResultCode
    detail: str
    executed: Executed = Executed.NO
    retry_after: timedelta | None = None
