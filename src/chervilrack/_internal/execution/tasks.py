"""Tasks, and the events and effects of the scheduler."""

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
class UpstreamGroup:
    """Key of the upstreams that can do the same work; their tasks wait in one queue."""

    kind: UpstreamKind
    model: ModelId | None = None
    adapter: str | None = None
    service: ServiceId | None = None


@dataclass(frozen=True, slots=True)
class Task:
    """One stage of one request, or one call of a service.

    ``due`` orders the tasks of an organisation, and every attempt must have ended at ``deadline``;
    both are instants of the monotonic clock. ``cost`` is the expected service time in seconds.
    Retry budget and service times are kept per ``context.stage``.
    """

    id: TaskId
    request_id: RequestId
    organisation: OrganisationId
    group: UpstreamGroup
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
    """A task has arrived."""

    task: Task


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt has ended; ``failure`` is None if the upstream answered.

    The upstream has not run a failed attempt whose ``executed`` is NO. Any other attempt that ended
    as BROKEN, TIMED_OUT, MISMATCHED or CANCELLED may still be running at the upstream.
    """

    attempt: AttemptId
    service_time: timedelta
    failure: FailureKind | None = None
    executed: Executed = Executed.YES


@dataclass(frozen=True, slots=True)
class CancelTask:
    """The answer of a task is not needed any more."""

    task: TaskId


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class CapacityGained:
    """Permits or upstreams have been added."""


Event = Submit | AttemptFinished | CancelTask | Tick | CapacityGained


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send an attempt; every Dispatch must be followed by an AttemptFinished of this attempt.

    ``reason`` says why this upstream was chosen. ``hedge`` marks a second attempt that runs besides
    the first one.
    """

    task: Task
    upstream: Upstream
    attempt: AttemptId
    deadline: timedelta
    queue_time: timedelta
    reason: str
    hedge: bool = False


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt whose answer is not needed any more or whose deadline has passed."""

    task: TaskId
    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class Complete:
    """The task ends with the answer of ``attempt``; answers of its other attempts are dropped."""

    task: TaskId
    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class Reject:
    """The task ends without an answer; ``problem.executed`` says whether the task may have run."""

    task: TaskId
    problem: Problem


Effect = Dispatch | CancelAttempt | Complete | Reject
