"""Queue of one upstream group: fair between organisations, by due time within each."""

import heapq
import itertools
from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.common.ids import OrganisationId
from chervilrack._internal.execution.tasks import Task, TaskId


@dataclass(slots=True)
class _Flow:
    """Waiting tasks of one organisation and its tags.

    ``heap`` may still hold entries of removed tasks; ``waiting`` counts only waiting ones.
    """

    weight: float
    start: float = 0.0
    finish: float = 0.0
    heap: list[tuple[timedelta, int, TaskId]] = field(default_factory=list)
    waiting: int = 0


class FairQueue:
    """Start-time fair queueing between organisations, earliest due time first within each.

    Source: Goyal, Vin and Cheng, "Start-time Fair Queuing", 1996. Start and finish tags belong to
    organisations instead of single tasks, because a later task may come before earlier ones of its
    organisation. The queue is work-conserving: if only one organisation has waiting tasks, the
    whole capacity is available to that organisation.
    """

    def __init__(self) -> None:
        self._flows: dict[OrganisationId, _Flow] = {}
        self._tasks: dict[TaskId, Task] = {}
        self._flow_order: list[tuple[float, int, OrganisationId]] = []
        self._virtual_time = 0.0
        self._sequence = itertools.count()
        self._tokens = 0

    def __len__(self) -> int:
        return len(self._tasks)

    def __contains__(self, task_id: TaskId) -> bool:
        return task_id in self._tasks

    @property
    def tokens(self) -> int:
        """Sum of the tokens of all waiting tasks."""
        return self._tokens

    def push(self, task: Task) -> None:
        """Add a task."""
        flow = self._flows.get(task.organisation)
        if flow is None:
            flow = self._flows[task.organisation] = _Flow(task.weight)
        flow.weight = task.weight
        self._tasks[task.id] = task
        self._tokens += task.tokens
        heapq.heappush(flow.heap, (task.due, next(self._sequence), task.id))
        flow.waiting += 1
        if flow.waiting == 1:
            flow.start = max(self._virtual_time, flow.finish)
            heapq.heappush(self._flow_order, (flow.start, next(self._sequence), task.organisation))

    def head(self) -> Task | None:
        """Return the task to be dispatched next, or None if the queue is empty."""
        while self._flow_order:
            start, _number, organisation = self._flow_order[0]
            flow = self._flows.get(organisation)
            if flow is None or flow.waiting == 0 or flow.start != start:
                heapq.heappop(self._flow_order)
                continue
            while flow.heap[0][2] not in self._tasks:
                heapq.heappop(flow.heap)
            return self._tasks[flow.heap[0][2]]
        return None

    def pop(self) -> Task:
        """Remove and return the head, and charge its cost to its organisation.

        Raises IndexError if the queue is empty.
        """
        task = self.head()
        if task is None:
            raise IndexError("pop from an empty queue")
        flow = self._flows[task.organisation]
        heapq.heappop(self._flow_order)
        heapq.heappop(flow.heap)
        del self._tasks[task.id]
        self._tokens -= task.tokens
        flow.waiting -= 1
        self._virtual_time = flow.start
        flow.finish = flow.start + task.cost / flow.weight
        if flow.waiting:
            flow.start = flow.finish
            heapq.heappush(self._flow_order, (flow.start, next(self._sequence), task.organisation))
        elif not self._tasks:
            self._reset()
        return task

    def remove(self, task_id: TaskId) -> bool:
        """Remove a task without charging its organisation; return whether the task was waiting."""
        task = self._tasks.pop(task_id, None)
        if task is None:
            return False
        self._tokens -= task.tokens
        self._flows[task.organisation].waiting -= 1
        if not self._tasks:
            self._reset()
        return True

    def tasks_ahead(self, task: Task) -> float:
        """Return how many waiting tasks would precede ``task``, if it were added.

        The share of other organisations is estimated from their weights and may be fractional.
        """
        own_flow = self._flows.get(task.organisation)
        earlier = 0
        if own_flow is not None:
            earlier = sum(
                due <= task.due and task_id in self._tasks
                for due, _number, task_id in own_flow.heap
            )
        rounds = (earlier + 1) / task.weight
        others = sum(
            min(flow.waiting, rounds * flow.weight)
            for organisation, flow in self._flows.items()
            if flow.waiting and organisation != task.organisation
        )
        return earlier + others

    def _reset(self) -> None:
        """Clear all tags: past service does not count once the queue is empty."""
        self._flows.clear()
        self._flow_order.clear()
        self._virtual_time = 0.0
