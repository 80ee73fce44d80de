"""Watches the nodes of a run: releases in force, and the overhead without load."""

import threading
import time
from collections.abc import Mapping, Sequence
from types import TracebackType
from typing import Self

from chervilrack._internal.common.ids import Incarnation, NodeId, NoteId, ReleaseRevision
from chervilrack._internal.experiments.faults import FaultLog
from chervilrack._internal.experiments.result import ControlUse
from chervilrack._internal.experiments.testbed import NodeOverhead, TestBed
from chervilrack._internal.history.events import Event, ReleaseAccepted, ReleaseApplied
from chervilrack._internal.history.recorder import EventSink

# The lag of a release is measured to this accuracy, and never as shorter than it was.
POLL_S = 0.1


class ReleaseMonitor:
    """Records when nodes put releases into force; a context manager with a thread."""

    def __init__(self, bed: TestBed, history: EventSink) -> None:
        self._bed = bed
        self._history = history
        self._seen: dict[tuple[str, str], int] = {}
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="release-monitor", daemon=True)

    def __enter__(self) -> Self:
        self._poll()
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.wait(POLL_S):
            self._poll()

    def _poll(self) -> None:
        for info in self._bed.nodes():
            status = self._bed.status(info.node)
            if status is None:
                continue
            process = (status.node, status.incarnation)
            if self._seen.get(process) == status.revision:
                continue
            self._seen[process] = status.revision
            self._history.record(
                ReleaseApplied(
                    at=time.monotonic(),
                    node=status.node,
                    incarnation=Incarnation(status.incarnation),
                    revision=ReleaseRevision(status.revision),
                    note=None if status.note is None else NoteId(status.note),
                )
            )


def release_lag_s(
    events: Sequence[Event], nodes: Sequence[NodeId], log: FaultLog, end: float
) -> float | None:
    """Return the longest time from a release's acceptance to its use on a running node.

    ``nodes`` are those running at the end. The time counts from the end of a node's last fault if
    that is later. A node without the release by ``end`` counts until then, unless it is faulty.
    Returns None without an accepted release.
    """
    accepted = [event for event in events if isinstance(event, ReleaseAccepted)]
    applied = [event for event in events if isinstance(event, ReleaseApplied)]
    lags: list[float] = []
    for release in accepted:
        for node in nodes:
            healthy_since = log.healthy_since(node)
            if healthy_since is None:
                continue
            own = [event for event in applied if event.node == node]
            first_seen = min((event.at for event in own), default=end)
            in_force = min((e.at for e in own if e.revision >= release.revision), default=end)
            since = max(release.at, healthy_since, min(first_seen, in_force))
            lags.append(max(0.0, in_force - since))
    return max(lags, default=None) if accepted else None


def overheads(bed: TestBed) -> dict[NodeId, NodeOverhead]:
    """Return the overhead of every node that answers."""
    found = {info.node: bed.overhead(info.node) for info in bed.nodes()}
    return {node: overhead for node, overhead in found.items() if overhead is not None}


def control_use(
    before: Mapping[NodeId, NodeOverhead], after: Mapping[NodeId, NodeOverhead]
) -> ControlUse:
    """Return the mean overhead per node between two times without requests."""
    pairs = [
        (before[node], late)
        for node, late in after.items()
        if node in before and late.uptime_s > before[node].uptime_s
    ]
    if not pairs:
        return ControlUse()
    seconds = [late.uptime_s - early.uptime_s for early, late in pairs]
    cpu = [late.cpu_s - early.cpu_s for early, late in pairs]
    sent = [late.control_bytes - early.control_bytes for early, late in pairs]
    count = len(pairs)
    return ControlUse(
        cpu_share=sum(c / s for c, s in zip(cpu, seconds, strict=True)) / count,
        rss_mb=sum(late.rss_mb for _, late in pairs) / count,
        bytes_per_s=sum(b / s for b, s in zip(sent, seconds, strict=True)) / count,
    )
