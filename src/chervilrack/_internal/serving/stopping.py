"""Decides which requests a stopping node can still complete, and when it ends the others.

A request is refused, and not passed on, unless its answer can be expected before the process ends:
its caller then goes to another node while it still has time. Times are monotonic.
"""

from collections.abc import Hashable
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.forecast.core import Forecaster
from chervilrack._internal.forecast.state import Basis, Work

# Time after the order to stop in which streams are taken by the time that they usually take. Later,
# callers have newer look-up answers, and a stream is taken only if its deadline ends in time.
STREAM_ESTIMATE_TIME = timedelta(milliseconds=2500)
# The process exits this long, or this share of the grace period, before its end.
EXIT_TIME = timedelta(milliseconds=400)
EXIT_SHARE = 0.05
# Processor time in which a request is ended and its final response is written.
FINAL_RESPONSE_CPU_TIME = timedelta(milliseconds=1)
# Largest share of the grace period that is kept for final responses.
MAX_FINAL_RESPONSES_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class Shortfall:
    """Why work cannot be completed: it needs more time than is left until responses end."""

    work: Work
    needed: timedelta
    basis: Basis
    left: timedelta

    def __str__(self) -> str:
        left, needed = max(0.0, self.left.total_seconds()), self.needed.total_seconds()
        if self.basis is Basis.USUAL_TIME:
            reason = f"{self.work.value} of the route take up to {needed:.2f} s"
        else:
            reason = f"the deadline of the request is in {needed:.2f} s"
        return f"this node stops in {left:.2f} s, and {reason}"


class StopPlan:
    """Times of a node's stop; not thread-safe.

    ``forecaster`` knows the times that requests take.
    """

    def __init__(self, cpu_cores: float, forecaster: Forecaster) -> None:
        self._cpu_cores = cpu_cores
        self._forecaster = forecaster
        self._began_at: timedelta | None = None
        self._grace = timedelta(0)

    @property
    def is_stopping(self) -> bool:
        """Whether the node has been told to stop."""
        return self._began_at is not None

    @property
    def exit_at(self) -> timedelta:
        """Time at which streams that are still running are cut off and the process exits."""
        return self.kill_at - min(EXIT_TIME, self._grace * EXIT_SHARE)

    @property
    def close_at(self) -> timedelta:
        """Time at which the callers' listener closes at the latest.

        The rest is left to answer what waits there, even if a response is never read.
        """
        return (self.exit_at + self.kill_at) / 2

    @property
    def kill_at(self) -> timedelta:
        """Time by which the process has to have exited."""
        assert self._began_at is not None
        return self._began_at + self._grace

    def begin(self, now: timedelta, grace: timedelta) -> None:
        """Begin the stop; the process may run for ``grace`` from ``now``."""
        if self._began_at is None:
            self._began_at, self._grace = now, grace

    def final_responses_at(self, in_progress: int) -> timedelta:
        """Return when requests in progress without a response get a final one.

        The later ones have to be written before the process exits, even if all of them are.
        """
        needed = FINAL_RESPONSE_CPU_TIME * (in_progress / self._cpu_cores)
        return self.exit_at - min(needed, self._grace * MAX_FINAL_RESPONSES_SHARE)

    def end_of(self, *, is_stream: bool, in_progress: int) -> timedelta:
        """Return when a request has to end at the latest."""
        return self.exit_at if is_stream else self.final_responses_at(in_progress)

    def shortfall(
        self,
        route: Hashable,
        work: Work,
        bound: timedelta,
        now: timedelta,
        *,
        is_stream: bool,
        in_progress: int,
    ) -> Shortfall | None:
        """Return why work that starts now cannot be completed; None if it can."""
        if self._began_at is None:
            return None
        left = self.end_of(is_stream=is_stream, in_progress=in_progress) - now
        needed, basis = self._forecaster.cautious_time(route, work, bound, now, is_stream=is_stream)
        is_late = now - self._began_at > STREAM_ESTIMATE_TIME
        if is_stream and work is Work.REQUEST and is_late:
            needed, basis = bound, Basis.OWN_BOUND
        return Shortfall(work, needed, basis, left) if needed > left else None
