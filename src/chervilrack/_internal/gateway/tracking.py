"""Recording of how requests end. Attainment counts complete answers within the deadline."""

from collections.abc import Iterator, Mapping
from datetime import timedelta
from enum import Enum
from typing import Any

from result import Err, Result

from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.results import Executed, Problem
from chervilrack._internal.gateway.ports import NodeBackend
from chervilrack._internal.releases.state import Organisation
from chervilrack._internal.upstreams.port import TokenChunk


class RequestOutcome(Enum):
    """How a request ended."""

    ANSWERED = "answered"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    UNKNOWN = "unknown"


class RequestTracker:
    """Measures one request from its arrival to its end."""

    def __init__(
        self,
        backend: NodeBackend,
        caller: Organisation,
        target: str,
        deadline: timedelta,
        clock: Clock,
    ) -> None:
        self._backend = backend
        self._caller = caller
        self._target = target
        self._deadline = deadline
        self._clock = clock
        self._arrived = clock.monotonic()

    def record(
        self, outcome: Result[Mapping[str, Any], Problem]
    ) -> Result[Mapping[str, Any], Problem]:
        """Record the end of a request that is not streamed; return ``outcome``."""
        self._record_end(outcome.err_value if isinstance(outcome, Err) else None)
        return outcome

    def record_stream(
        self, items: Iterator[Result[TokenChunk, Problem]]
    ) -> Iterator[Result[TokenChunk, Problem]]:
        """Yield the items of a stream and record its end."""
        problem: Problem | None = None
        try:
            for item in items:
                if isinstance(item, Err):
                    problem = item.err_value
                yield item
        finally:
            close = getattr(items, "close", None)
            if close is not None:
                close()
            self._record_end(problem)

    def _record_end(self, problem: Problem | None) -> None:
        now = self._clock.monotonic()
        self._backend.request_ended(
            self._caller.id,
            self._caller.priority_class,
            self._target,
            self._classify(problem, now).value,
            (now - self._arrived).total_seconds(),
        )

    def _classify(self, problem: Problem | None, now: timedelta) -> RequestOutcome:
        if problem is None:
            return RequestOutcome.ANSWERED if now <= self._deadline else RequestOutcome.LATE
        if problem.executed is Executed.NO:
            return RequestOutcome.REFUSED
        if problem.executed is Executed.UNKNOWN:
            return RequestOutcome.UNKNOWN
        return RequestOutcome.FAILED
