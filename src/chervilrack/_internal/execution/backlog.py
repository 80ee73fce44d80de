"""Queue of one group together with what is learned about its delay."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from chervilrack._internal.common.results import Executed, Problem, ResultCode
from chervilrack._internal.execution.deadlines import optimistic
from chervilrack._internal.execution.fair_queue import FairQueue
from chervilrack._internal.execution.tasks import Task
from chervilrack._internal.routing.port import Estimate

_ZERO = timedelta(0)
_INTERVAL_WEIGHT = 0.1  # weight of one new interval between dispatches in their mean
# A stage whose estimate exceeds what deadlines leave would never be tried again, so one task is
# let through per interval while nothing else runs or waits.
_PROBE_INTERVAL = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class QueueBounds:
    """Bounds of the queue of one group: expected delay, and tasks as a last resort."""

    delay: timedelta = timedelta(seconds=3)
    length: int = 10_000


class Admission(Enum):
    """How a task is taken; PROBE ones are tried although they are expected to be late."""

    NORMAL = "normal"
    PROBE = "probe"


class Backlog:
    """Waiting and running work of one group of upstreams.

    The delay of the queue follows from the mean interval between dispatches while tasks waited,
    which covers every kind of limit without knowing which one holds the queue up.
    """

    def __init__(self) -> None:
        self.queue = FairQueue()
        self.running = 0
        self._interval: timedelta | None = None
        self._last_dispatch: timedelta | None = None
        self._waiting_since = _ZERO
        self._last_probe: timedelta | None = None

    def push(self, task: Task, now: timedelta) -> None:
        """Add a task to the queue."""
        if not self.queue:
            self._waiting_since = now
        self.queue.push(task)

    def pop(self, now: timedelta) -> Task:
        """Take the head for dispatch, and learn from the time since the previous dispatch."""
        task = self.queue.pop()
        last = self._last_dispatch
        if last is not None and last >= self._waiting_since:
            seen = now - last
            known = seen if self._interval is None else self._interval
            self._interval = known + (seen - known) * _INTERVAL_WEIGHT
        self._last_dispatch = now
        return task

    def admit(
        self, task: Task, estimate: Estimate, now: timedelta, bounds: QueueBounds
    ) -> Admission | Problem:
        """Decide whether a task is taken or rejected as not executed.

        A task is rejected only if even its optimistic service time does not fit: a prediction for
        sizes that were not seen yet is uncertain, and a rejection cannot be taken back.
        """
        mean, shortest = estimate.mean, optimistic(estimate)
        remaining = task.deadline - now
        if remaining <= _ZERO:
            detail = "no time is left for this stage"
            return Problem(ResultCode.DEADLINE_PASSED, detail, Executed.NO)
        wait = self.expected_wait(task, mean, now, min(remaining - mean, bounds.delay))
        if len(self.queue) >= bounds.length or wait > bounds.delay:
            detail = "the expected wait in the queue is too long"
            return Problem(ResultCode.QUEUE_FULL, detail, Executed.NO, wait)
        if wait + shortest <= remaining:
            return Admission.NORMAL
        if self.may_probe(now):
            return Admission.PROBE
        detail = (
            f"the expected wait of {_ms(wait)} and service time of {_ms(shortest)} exceed the "
            f"remaining {_ms(remaining)}"
        )
        return Problem(ResultCode.DEADLINE_UNREACHABLE, detail, Executed.NO, wait)

    def expected_wait(
        self, task: Task, mean: timedelta, now: timedelta, enough: timedelta
    ) -> timedelta:
        """Return the expected time of ``task`` in the queue, if it were added.

        ``mean`` is the expected service time, used until an interval is known. The result may be
        an upper bound while that is below ``enough``; the exact position costs more to find.
        """
        if not self.queue:
            return _ZERO
        interval = self._interval
        if interval is None:
            interval = mean / max(1, self.running)
        # While nothing is dispatched, the time since the last dispatch is the better guess.
        last = self._last_dispatch
        stalled = now - max(self._waiting_since, _ZERO if last is None else last)
        interval = max(interval, stalled)
        most = interval * len(self.queue)
        return most if most <= enough else interval * self.queue.ahead(task)

    def may_probe(self, now: timedelta) -> bool:
        """Return whether a task whose estimate exceeds its time may be tried, and count it."""
        if self.queue or self.running:
            return False
        if self._last_probe is not None and now - self._last_probe < _PROBE_INTERVAL:
            return False
        self._last_probe = now
        return True


def _ms(duration: timedelta) -> str:
    return f"{duration / timedelta(milliseconds=1):.0f} ms"
