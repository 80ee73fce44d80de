"""Events and effects of the scheduler."""

from dataclasses import dataclass
from datetime import timedelta
from typing import NewType

from chervilrack._internal.common.ids import (
    AttemptId,
    ModelId,
    OrganisationId,
    RequestId,
    ServiceId,
)
from chervilrack._internal.common.results import Executed, Problem
from chervilrack._internal.releases.state import Upstream, UpstreamKind
from chervilrack._internal.routing.port import RouteContext
from chervilrack._internal.upstreams.port import FailureKind

TaskId = NewType("TaskId", str)


@dataclass(frozen=True, slots=True)
class Group:
    """Upstreams that can do the same work; their tasks wait in one queue."""

    kind: UpstreamKind
    model: ModelId | None = None
    adapter: str | None = None
    service: ServiceId | None = None


@dataclass(frozen=True, slots=True)
class Task:
    """One stage of one request, or one call of a service.

    ``due`` orders the tasks of an organisation; ``deadline`` is when every attempt must have
    ended; both are instants of the monotonic clock. ``cost`` is the expected service time in
    seconds. ``stage`` in the context names what retry budget and service times belong to.
    """

    id: TaskId
    request_id: RequestId
    organisation: OrganisationId
    group: Group
    context: RouteContext
    due: timedelta
    deadline: timedelta
    weight: float = 1.0
    cost: float = 1.0
    tokens: int = 0
    idempotent: bool = True
    hedgeable: bool = True


@dataclass(frozen=True, slots=True)
class Submit:
    """A task arrives."""

    task: Task


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt is over; ``failure`` is None if it was answered.

    A failure with executed NO was not run. The kinds BROKEN, TIMED_OUT, MISMATCHED and CANCELLED
    leave open whether the upstream still works on it, unless it was not run.
    """

    attempt: AttemptId
    service_time: timedelta
    failure: FailureKind | None = None
    executed: Executed = Executed.YES


@dataclass(frozen=True, slots=True)
class Cancel:
    """The caller of a task has left."""

    task: TaskId


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class CapacityGained:
    """Permits or upstreams have been added."""


Event = Submit | AttemptFinished | Cancel | Tick | CapacityGained


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send an attempt; every Dispatch must be followed by AttemptFinished for it."""

    task: Task
    upstream: Upstream
    attempt: AttemptId
    deadline: timedelta
    queue_time: timedelta
    reason: str
    hedge: bool = False


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cut off an attempt whose answer is not wanted any more."""

    task: TaskId
    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class Complete:
    """The task ends with the answer of this attempt; answers of others are dropped."""

    task: TaskId
    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class Refuse:
    """The task ends without an answer; ``problem.executed`` says whether it may have run."""

    task: TaskId
    problem: Problem


Effect = Dispatch | CancelAttempt | Complete | Refuse
