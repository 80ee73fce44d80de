"""Waiting and running work of one upstream group, and the expected delay of its queue."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from chervilrack._internal.common.results import Executed, Problem, ResultCode
from chervilrack._internal.execution.deadlines import probable_time
from chervilrack._internal.execution.fair_queue import FairQueue
from chervilrack._internal.execution.tasks import Task
from chervilrack._internal.routing.port import Estimate

_ZERO = timedelta(0)
_INTERVAL_WEIGHT = 0.1  # weight of the latest dispatch interval in the moving average
# An estimate that exceeds every deadline would never be corrected, because no task of the stage
# would run any more. One task per interval is therefore admitted while the group has no work.
_PROBE_INTERVAL = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class QueueBounds:
    """Bounds of one group's queue.

    ``max_delay`` bounds the expected delay; ``max_length`` bounds the number of tasks in case the
    expected delay is far too low.
    """

    max_delay: timedelta = timedelta(seconds=3)
    max_length: int = 10_000


class Admission(Enum):
    """How a task is admitted; a PROBE task runs although its estimate exceeds its deadline."""

    NORMAL = "normal"
    PROBE = "probe"


class Backlog:
    """Waiting and running work of one group of upstreams.

    The expected delay follows from the mean interval between dispatches while tasks were waiting.
    The interval reflects limits of every kind, whichever of them holds up the queue.
    """

    def __init__(self) -> None:
        self.queue = FairQueue()
        self.running = 0
        self._mean_interval: timedelta | None = None
        self._last_dispatch: timedelta | None = None
        self._waiting_since = _ZERO
        self._last_probe: timedelta | None = None

    def push(self, task: Task, now: timedelta) -> None:
        """Add a task to the queue."""
        if not self.queue:
            self._waiting_since = now
        self.queue.push(task)

    def pop(self, now: timedelta) -> Task:
        """Remove the head for dispatch, and update the mean interval between dispatches."""
        task = self.queue.pop()
        last = self._last_dispatch
        if last is not None and last >= self._waiting_since:
            interval = now - last
            mean = interval if self._mean_interval is None else self._mean_interval
            self._mean_interval = mean + (interval - mean) * _INTERVAL_WEIGHT
        self._last_dispatch = now
        return task

    def admit(
        self, task: Task, estimate: Estimate, now: timedelta, bounds: QueueBounds
    ) -> Admission | Problem:
        """Return how a task is admitted, or why it is rejected without being executed."""
        remaining = task.deadline - now
        if remaining <= _ZERO:
            detail = "no time is left for this stage"
            return Problem(ResultCode.DEADLINE_PASSED, detail, Executed.NO)
        needed = probable_time(estimate)
        acceptable_wait = min(remaining - needed, bounds.max_delay)
        wait = self.expected_wait(task, estimate.mean, now, acceptable_wait)
        if len(self.queue) >= bounds.max_length or wait > bounds.max_delay:
            detail = "the expected wait in the queue is too long"
            return Problem(ResultCode.QUEUE_FULL, detail, Executed.NO, wait)
        if wait + needed <= remaining:
            return Admission.NORMAL
        if self.start_probe(now):
            return Admission.PROBE
        detail = (
            f"the expected wait of {_ms(wait)} and service time of {_ms(needed)} exceed the "
            f"remaining {_ms(remaining)}"
        )
        return Problem(ResultCode.DEADLINE_UNREACHABLE, detail, Executed.NO, wait)

    def expected_wait(
        self, task: Task, mean: timedelta, now: timedelta, acceptable_wait: timedelta
    ) -> timedelta:
        """Return the expected time of ``task`` in the queue, if the task were added.

        ``mean`` is the expected service time, used until a dispatch interval has been measured.
        The result may be an upper bound if that bound is at most ``acceptable_wait``, because
        finding the exact position in the queue costs more.
        """
        if not self.queue:
            return _ZERO
        interval = self._mean_interval
        if interval is None:
            interval = mean / max(1, self.running)
        # If nothing has been dispatched for longer than the service time, the excess replaces a
        # smaller mean interval. Shorter gaps are normal, as work often ends in batches.
        last = self._last_dispatch
        stalled = now - max(self._waiting_since, _ZERO if last is None else last) - mean
        interval = max(interval, stalled)
        upper_bound = interval * len(self.queue)
        return (
            upper_bound
            if upper_bound <= acceptable_wait
            else interval * self.queue.tasks_ahead(task)
        )

    def start_probe(self, now: timedelta) -> bool:
        """Return whether a task may run as a probe; if so, count the probe as started."""
        if self.queue or self.running:
            return False
        if self._last_probe is not None and now - self._last_probe < _PROBE_INTERVAL:
            return False
        self._last_probe = now
        return True


def _ms(duration: timedelta) -> str:
    return f"{duration / timedelta(milliseconds=1):.0f} ms"
