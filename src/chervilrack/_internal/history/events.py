"""Events of a recorded history, one JSON object per line.

``at`` is the time of ``CLOCK_MONOTONIC`` in seconds. All processes of an experiment run on one
machine and share that clock, so events of different files can be put in one order.

A request has two ids: ``request`` is the caller's own id, the same over all of its attempts at
several nodes; ``served_as`` is the ``X-Request-Id`` that one node gave to one attempt and that
upstreams see.
"""

from typing import TypeAlias

import msgspec

from chervilrack._internal.common.ids import (
    AttemptId,
    IdempotencyKey,
    Incarnation,
    LimitId,
    NodeId,
    NoteId,
    OrganisationId,
    ReleaseRevision,
    RequestId,
    UpstreamId,
)
from chervilrack._internal.common.results import Executed


class _Event(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag_field="event",
    tag=lambda name: "".join(f"-{c.lower()}" if c.isupper() else c for c in name).lstrip("-"),
):
    at: float


class RequestSent(_Event, frozen=True, kw_only=True):
    """A caller sent a request. ``content`` is the check that a whole answer must carry."""

    request: RequestId
    organisation: OrganisationId
    target: str
    content: str
    idempotency_key: IdempotencyKey | None = None


class RequestAnswered(_Event, frozen=True, kw_only=True):
    """A caller received a whole answer. ``content`` is the check computed from the answer."""

    request: RequestId
    organisation: OrganisationId
    content: str
    served_as: RequestId | None = None


class RequestRefused(_Event, frozen=True, kw_only=True):
    """A node refused one attempt. ``final`` means that the caller does not try again."""

    request: RequestId
    executed: Executed
    code: str
    served_as: RequestId | None = None
    final: bool = False


class RequestFailed(_Event, frozen=True, kw_only=True):
    """An attempt ended without an answer, for example with a broken connection."""

    request: RequestId
    reason: str
    final: bool = False


class ExecutionStarted(_Event, frozen=True, kw_only=True):
    """An upstream stand-in began to run an attempt."""

    upstream: UpstreamId
    served_as: RequestId
    attempt: AttemptId
    organisation: OrganisationId
    idempotency_key: IdempotencyKey | None = None


class ExecutionEnded(_Event, frozen=True, kw_only=True):
    """An upstream stand-in ended an attempt: ``done``, ``cancelled`` or ``failed``."""

    upstream: UpstreamId
    attempt: AttemptId
    outcome: str


class ReleaseAccepted(_Event, frozen=True, kw_only=True):
    """An operator was told that a release note is accepted."""

    revision: ReleaseRevision
    note: NoteId


class ReleaseApplied(_Event, frozen=True, kw_only=True):
    """A node put a release into force."""

    node: NodeId
    incarnation: Incarnation
    revision: ReleaseRevision
    note: NoteId | None = None


class WithdrawalAccepted(_Event, frozen=True, kw_only=True):
    """A release that withdraws an upstream was accepted."""

    upstream: UpstreamId


class UpstreamAdded(_Event, frozen=True, kw_only=True):
    """A release that adds an upstream (again) was submitted."""

    upstream: UpstreamId


class Dispatched(_Event, frozen=True, kw_only=True):
    """New work for an upstream began to arrive there."""

    upstream: UpstreamId
    attempt: AttemptId
    node: NodeId | None = None


class PlannedStopBegan(_Event, frozen=True, kw_only=True):
    """A planned stop of a node or upstream began."""

    subject: str


class RequestCut(_Event, frozen=True, kw_only=True):
    """A request in flight at ``subject`` was cut off."""

    subject: str
    request: RequestId


class PlannedStopEnded(_Event, frozen=True, kw_only=True):
    """A planned stop ended: the process has exited."""

    subject: str


class LimitInForce(_Event, frozen=True, kw_only=True):
    """The capacity of a limit changed: a release with it was accepted."""

    limit: LimitId
    capacity: int


class LimitUsed(_Event, frozen=True, kw_only=True):
    """Use of a limit, including the work just begun, when an upstream began work.

    For a rate it is the sum over the last second.
    """

    limit: LimitId
    in_use: int


Event: TypeAlias = (
    RequestSent
    | RequestAnswered
    | RequestRefused
    | RequestFailed
    | ExecutionStarted
    | ExecutionEnded
    | ReleaseAccepted
    | ReleaseApplied
    | WithdrawalAccepted
    | UpstreamAdded
    | Dispatched
    | PlannedStopBegan
    | RequestCut
    | PlannedStopEnded
    | LimitInForce
    | LimitUsed
)
