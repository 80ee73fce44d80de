"""Events of a recorded history, one JSON object per line.

``at`` is the time of ``CLOCK_MONOTONIC`` in seconds. All processes of an experiment run on one
machine and share this clock, so events from different files can be sorted by time.

A request has two ids. ``request`` is the id that the caller chose; all attempts of the request at
all nodes share it. ``served_as`` is the ``X-Request-Id`` that a node assigned to one of the
attempts and that upstreams see.
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
    """A caller sent a request. ``content`` identifies the expected answer."""

    request: RequestId
    organisation: OrganisationId
    target: str
    content: str
    idempotency_key: IdempotencyKey | None = None


class RequestAnswered(_Event, frozen=True, kw_only=True):
    """A caller received a complete answer. ``content`` is derived from the answer.

    A correct answer has the ``content`` of the event `RequestSent`.
    """

    request: RequestId
    organisation: OrganisationId
    content: str
    served_as: RequestId | None = None


class RequestRefused(_Event, frozen=True, kw_only=True):
    """A node refused an attempt. ``final`` is true if the caller does not retry."""

    request: RequestId
    executed: Executed
    code: str
    served_as: RequestId | None = None
    final: bool = False


class RequestFailed(_Event, frozen=True, kw_only=True):
    """An attempt ended without an answer, for example because the connection broke.

    ``final`` is true if the caller does not retry.
    """

    request: RequestId
    reason: str
    final: bool = False


class ExecutionStarted(_Event, frozen=True, kw_only=True):
    """An upstream stand-in started to execute an attempt."""

    upstream: UpstreamId
    served_as: RequestId
    attempt: AttemptId
    organisation: OrganisationId
    idempotency_key: IdempotencyKey | None = None


class ExecutionEnded(_Event, frozen=True, kw_only=True):
    """An upstream stand-in stopped executing an attempt; ``outcome`` tells how."""

    upstream: UpstreamId
    attempt: AttemptId
    outcome: str


class ReleaseAccepted(_Event, frozen=True, kw_only=True):
    """An operator received the confirmation that a release note is accepted."""

    revision: ReleaseRevision
    note: NoteId


class ReleaseApplied(_Event, frozen=True, kw_only=True):
    """A node applied a release."""

    node: NodeId
    incarnation: Incarnation
    revision: ReleaseRevision
    note: NoteId | None = None


class WithdrawalAccepted(_Event, frozen=True, kw_only=True):
    """A release that withdraws an upstream was accepted."""

    upstream: UpstreamId


class UpstreamAdded(_Event, frozen=True, kw_only=True):
    """A release that adds an upstream, or adds it again after a withdrawal, was submitted."""

    upstream: UpstreamId


class Dispatched(_Event, frozen=True, kw_only=True):
    """An attempt arrived at an upstream."""

    upstream: UpstreamId
    attempt: AttemptId
    node: NodeId | None = None


class PlannedStopBegan(_Event, frozen=True, kw_only=True):
    """A planned stop of a node or upstream began."""

    subject: str


class RequestCut(_Event, frozen=True, kw_only=True):
    """A node or upstream, ``subject``, cut off a request in flight."""

    subject: str
    request: RequestId


class PlannedStopEnded(_Event, frozen=True, kw_only=True):
    """A planned stop of a node or upstream ended, because its process exited."""

    subject: str


class LimitInForce(_Event, frozen=True, kw_only=True):
    """A release that sets the capacity of a limit was accepted."""

    limit: LimitId
    capacity: int


class LimitUsed(_Event, frozen=True, kw_only=True):
    """An upstream began work that counts towards a limit.

    ``in_use`` includes this work. For a rate limit, ``in_use`` is the sum over the last second.
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
