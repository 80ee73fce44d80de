"""Faults and operator actions over the time of a run, and the record of them."""

import random
import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from chervilrack._internal.common.ids import LimitId, NodeId, NoteId, ReleaseRevision, UpstreamId
from chervilrack._internal.experiments.testbed import NodeInfo, Submission, TestBed
from chervilrack._internal.history.events import (
    LimitInForce,
    PlannedStopBegan,
    PlannedStopEnded,
    ReleaseAccepted,
    UpstreamAdded,
    WithdrawalAccepted,
)
from chervilrack._internal.history.recorder import EventSink
from chervilrack._internal.releases.state import Limits, limit_id

# A connection that a stopping process cuts is noticed by its caller within this time.
CUT_NOTICE_S = 0.2


@dataclass(frozen=True, slots=True)
class TimedFault:
    """Action at a time, given as a fraction of the run's duration."""

    at: float
    name: str
    action: Callable[["FaultContext"], None]


class FaultLog:
    """When which nodes were down, paused or cut off. Thread-safe."""

    def __init__(self) -> None:
        self._down: dict[NodeId, float] = {}
        self._intervals: list[tuple[NodeId, str, float, float]] = []
        self._addresses: dict[NodeId, str] = {}
        self._lock = threading.Lock()

    def began(self, info: NodeInfo) -> None:
        """Note that a fault of a node begins."""
        with self._lock:
            self._addresses[info.node] = info.address
            self._down.setdefault(info.node, time.monotonic())

    def ended(self, node: NodeId) -> None:
        """Note that a node's fault is over."""
        with self._lock:
            since = self._down.pop(node, None)
            if since is not None:
                address = self._addresses[node]
                self._intervals.append((node, address, since, time.monotonic()))

    def healthy_since(self, node: NodeId) -> float | None:
        """Return when a node's last fault ended, 0 if it had none, None if it has one now."""
        with self._lock:
            if node in self._down:
                return None
            ends = [until for name, _, _, until in self._intervals if name == node]
            return max(ends, default=0.0)

    def faulty_address(self, address: str, start: float, end: float) -> bool:
        """Return whether the node at ``address`` had a fault between two times."""
        with self._lock:
            open_ones = [(self._addresses[node], since) for node, since in self._down.items()]
            return any(known == address and since <= end for known, since in open_ones) or any(
                known == address and since <= end and until >= start
                for _, known, since, until in self._intervals
            )


class FaultContext:
    """What actions use: the test bed, seeded random numbers, and the history.

    Conditions that a scenario expects of an action are checked with ``expect``; the run reports
    the failed ones.
    """

    def __init__(self, bed: TestBed, seed: int, history: EventSink) -> None:
        self._bed = bed
        self._history = history
        self._rng = random.Random(f"faults/{seed}")
        self._log = FaultLog()
        self._unexpected: list[str] = []
        self._notes = 0
        self._capacities = bed.profile.limit_capacities()
        self._lock = threading.Lock()

    @property
    def bed(self) -> TestBed:
        """Cluster under test."""
        return self._bed

    @property
    def log(self) -> FaultLog:
        """Faults of nodes so far."""
        return self._log

    @property
    def unexpected(self) -> tuple[str, ...]:
        """Conditions that did not hold."""
        return tuple(self._unexpected)

    def expect(self, condition: bool, description: str) -> None:
        """Report ``description`` as unexpected unless ``condition`` holds."""
        if not condition:
            self._unexpected.append(description)

    def any_node(self) -> NodeInfo:
        """Return a healthy node, chosen by the run's seed."""
        healthy = [
            node for node in self._bed.nodes() if self._log.healthy_since(node.node) is not None
        ]
        return self._rng.choice(sorted(healthy, key=lambda info: info.node))

    def info(self, node: NodeId) -> NodeInfo:
        """Return a node of the test bed."""
        return next(info for info in self._bed.nodes() if info.node == node)

    def kill(self, info: NodeInfo) -> None:
        """End a node at once; it stays down."""
        self._log.began(info)
        self._bed.kill_node(info.node)

    def pause(self, info: NodeInfo) -> None:
        """Suspend a node."""
        self._log.began(info)
        self._bed.pause_node(info.node)

    def resume(self, info: NodeInfo) -> None:
        """Resume a paused node."""
        self._bed.resume_node(info.node)
        self._log.ended(info.node)

    def stop_as_planned(self, info: NodeInfo) -> None:
        """Stop a node and record begin and end; the node is not faulty meanwhile."""
        self._history.record(PlannedStopBegan(at=time.monotonic(), subject=info.node))
        self._bed.stop_node(info.node)
        time.sleep(CUT_NOTICE_S)
        self._history.record(PlannedStopEnded(at=time.monotonic(), subject=info.node))
        self._log.began(info)

    def stop_upstream_as_planned(self, upstream: UpstreamId) -> None:
        """Stop an upstream stand-in that a release has withdrawn."""
        self._history.record(PlannedStopBegan(at=time.monotonic(), subject=upstream))
        self._bed.stop_upstream(upstream)
        time.sleep(CUT_NOTICE_S)
        self._history.record(PlannedStopEnded(at=time.monotonic(), subject=upstream))

    def note(self, **changes: Any) -> dict[str, Any]:
        """Return a release note with an id of its own."""
        with self._lock:
            self._notes += 1
            return {"id": f"experiment-{self._notes}", **changes}

    def submit(self, note: Mapping[str, Any], at: NodeId | None = None) -> Submission:
        """Submit a note and record its acceptance with the withdrawals and limits in it.

        Nodes may use what a note adds or raises before the operator hears of its acceptance, so
        that is recorded before the submission; what it withdraws or lowers counts from acceptance.
        """
        changes = _changed_limits(note)
        raised = {
            limit: capacity
            for limit, capacity in changes.items()
            if capacity > self._capacities.get(limit, capacity)
        }
        for upstream in note.get("added", {}).get("upstreams", ()):
            self._history.record(UpstreamAdded(at=time.monotonic(), upstream=upstream["id"]))
        self._record_limits(raised)
        submission = self._bed.submit_release(note, at)
        if not submission.accepted or submission.revision is None:
            self._record_limits({limit: self._capacities[limit] for limit in raised})
            return submission
        now = time.monotonic()
        self._history.record(
            ReleaseAccepted(
                at=now, revision=ReleaseRevision(submission.revision), note=NoteId(submission.note)
            )
        )
        for upstream in note.get("withdrawn", {}).get("upstreams", ()):
            self._history.record(WithdrawalAccepted(at=now, upstream=UpstreamId(upstream)))
        self._record_limits(
            {limit: capacity for limit, capacity in changes.items() if limit not in raised}
        )
        self._capacities.update(changes)
        return submission

    def _record_limits(self, capacities: Mapping[LimitId, int]) -> None:
        for limit, capacity in capacities.items():
            self._history.record(LimitInForce(at=time.monotonic(), limit=limit, capacity=capacity))

    def must_submit(self, note: Mapping[str, Any]) -> None:
        """Submit a note that has to be accepted."""
        submission = self.submit(note)
        self.expect(submission.accepted, f"note {note['id']} was not accepted")


def _changed_limits(note: Mapping[str, Any]) -> dict[LimitId, int]:
    return {
        limit_id("team", team["id"], kind): capacity
        for team in note.get("changed", {}).get("teams", ())
        for kind, capacity in Limits(**team.get("limits", {})).items()
    }
