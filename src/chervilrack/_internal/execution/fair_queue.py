"""Queue of one group of upstreams: fair between organisations, by deadline inside each."""

import heapq
import itertools
from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.common.ids import OrganisationId
from chervilrack._internal.execution.tasks import Task, TaskId


@dataclass(slots=True)
class _Flow:
    weight: float
    start: float = 0.0
    finish: float = 0.0
    heap: list[tuple[timedelta, int, TaskId]] = field(default_factory=list)
    waiting: int = 0


class FairQueue:
    """Start-time fair queueing with earliest deadline first inside each organisation.

    Source: Goyal, Vin and Cheng, "Start-time Fair Queuing", 1996. Tags belong to organisations
    instead of single tasks, because the order inside an organisation may change after arrival.
    The queue is work-conserving: an organisation that is alone gets everything.
    """

    def __init__(self) -> None:
        self._flows: dict[OrganisationId, _Flow] = {}
        self._tasks: dict[TaskId, Task] = {}
        self._order: list[tuple[float, int, OrganisationId]] = []
        self._virtual_time = 0.0
        self._numbers = itertools.count()
        self._tokens = 0

    def __len__(self) -> int:
        return len(self._tasks)

    def __contains__(self, task_id: TaskId) -> bool:
        return task_id in self._tasks

    @property
    def tokens(self) -> int:
        """Tokens of all waiting tasks."""
        return self._tokens

    def push(self, task: Task) -> None:
        """Add a task."""
        flow = self._flows.get(task.organisation)
        if flow is None:
            flow = self._flows[task.organisation] = _Flow(task.weight)
        flow.weight = task.weight
        self._tasks[task.id] = task
        self._tokens += task.tokens
        heapq.heappush(flow.heap, (task.due, next(self._numbers), task.id))
        flow.waiting += 1
        if flow.waiting == 1:
            flow.start = max(self._virtual_time, flow.finish)
            heapq.heappush(self._order, (flow.start, next(self._numbers), task.organisation))

    def head(self) -> Task | None:
        """Return the task to be dispatched next."""
        while self._order:
            start, _number, organisation = self._order[0]
            flow = self._flows.get(organisation)
            if flow is None or flow.waiting == 0 or flow.start != start:
                heapq.heappop(self._order)
                continue
            while flow.heap[0][2] not in self._tasks:
                heapq.heappop(flow.heap)
            return self._tasks[flow.heap[0][2]]
        return None

    def pop(self) -> Task:
        """Remove and return the head, and charge its cost to its organisation."""
        task = self.head()
        if task is None:
            raise IndexError("pop from an empty queue")
        flow = self._flows[task.organisation]
        heapq.heappop(self._order)
        heapq.heappop(flow.heap)
        del self._tasks[task.id]
        self._tokens -= task.tokens
        flow.waiting -= 1
        self._virtual_time = flow.start
        flow.finish = flow.start + task.cost / flow.weight
        if flow.waiting:
            flow.start = flow.finish
            heapq.heappush(self._order, (flow.start, next(self._numbers), task.organisation))
        elif not self._tasks:
            self._reset()
        return task

    def remove(self, task_id: TaskId) -> bool:
        """Remove a task without a charge; return whether it was waiting."""
        task = self._tasks.pop(task_id, None)
        if task is None:
            return False
        self._tokens -= task.tokens
        self._flows[task.organisation].waiting -= 1
        if not self._tasks:
            self._reset()
        return True

    def ahead(self, task: Task) -> float:
        """Return how many waiting tasks would be dispatched before this one, if it were added."""
        own_flow = self._flows.get(task.organisation)
        own = 0
        if own_flow is not None:
            own = sum(
                due <= task.due and task_id in self._tasks
                for due, _number, task_id in own_flow.heap
            )
        rounds = (own + 1) / task.weight
        others = sum(
            min(flow.waiting, rounds * flow.weight)
            for organisation, flow in self._flows.items()
            if flow.waiting and organisation != task.organisation
        )
        return own + others

    def _reset(self) -> None:
        """Forget all tags: past service does not count once nobody waits."""
        self._flows.clear()
        self._order.clear()
        self._virtual_time = 0.0
