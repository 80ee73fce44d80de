"""Interface to the cluster under test, as narrow as the experiments need it."""

from collections.abc import Callable, Mapping, Sequence
from contextlib import AbstractContextManager
from dataclasses import dataclass
from typing import Any, Protocol

from chervilrack._internal.common.ids import NodeId, UpstreamId, ZoneId
from chervilrack._internal.common.registry import Registry
from chervilrack._internal.experiments.profile import Profile


@dataclass(frozen=True, slots=True)
class NodeInfo:
    """Node under test; ``address`` is the base URL for callers."""

    node: NodeId
    zone: ZoneId
    address: str


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """Release that a node reports as in force; ``note`` is the note's id, if it is known."""

    node: NodeId
    incarnation: str
    revision: int
    note: str | None


@dataclass(frozen=True, slots=True)
class NodeOverhead:
    """What was measured about a node's process since its start.

    ``control_bytes`` counts the bytes of messages from and to other nodes.
    """

    cpu_s: float
    rss_mb: float
    control_bytes: int
    uptime_s: float


@dataclass(frozen=True, slots=True)
class Submission:
    """Outcome of submitting a release note. ``conflict`` is the text of a refusal."""

    accepted: bool
    revision: int | None
    note: str
    conflict: str | None = None


@dataclass(frozen=True, slots=True)
class WorkArrival:
    """Work that arrived at an upstream stand-in; ``at`` is of ``CLOCK_MONOTONIC``, in seconds."""

    at: float
    served_as: str
    attempt: str
    organisation: str
    tokens: int
    idempotency_key: str = ""


@dataclass(frozen=True, slots=True)
class StandinRecord:
    """What one upstream stand-in saw, the evidence of a run.

    ``ended`` holds when each attempt ended; an attempt that is missing there still runs.
    ``executions`` counts by request id and idempotency key. ``cut_off`` holds the requests that a
    stop of the stand-in interrupted.
    """

    upstream: UpstreamId
    arrivals: Sequence[WorkArrival]
    ended: Mapping[str, float]
    executions: Mapping[tuple[str, str], int]
    cut_off: Sequence[str] = ()


@dataclass(frozen=True, slots=True)
class PlatformFaults:
    """Faults of the platform service.

    ``delay_s`` is added to each call; the next ``lost_answers`` writes that take effect are not
    answered.
    """

    unavailable: bool = False
    delay_s: float = 0.0
    lost_answers: int = 0


@dataclass(frozen=True, slots=True)
class PlatformCalls:
    """Calls counted by the platform stand-in since its start."""

    reads: int
    writes: int


@dataclass(frozen=True, slots=True)
class UpstreamFaults:
    """Faults of an upstream stand-in; the defaults are a healthy one.

    ``straggle`` multiplies service times; ``silent_s`` is a time for which the upstream says
    nothing before it goes on; ``break_after`` cuts streams after so many tokens; ``fail`` answers
    with status 500; ``crash`` cuts connections; ``refuse`` answers that the work was not executed.
    """

    straggle: float = 1.0
    silent_s: float = 0.0
    break_after: int | None = None
    fail: bool = False
    crash: bool = False
    refuse: bool = False


class TestBed(Protocol):
    """Cluster under test: nodes, platform service and upstream stand-ins of one profile.

    Leaving the context that made it stops everything it started.
    """

    @property
    def profile(self) -> Profile:
        """Profile that the cluster emulates."""

    def nodes(self) -> Sequence[NodeInfo]:
        """Return the nodes that run or are paused."""

    def start_node(self, zone: ZoneId) -> NodeInfo:
        """Start a node and wait until it is ready."""

    def kill_node(self, node: NodeId) -> None:
        """End a node at once, as the failure of its VM does."""

    def stop_node(self, node: NodeId) -> None:
        """Begin a planned stop and wait until the node's process has ended."""

    def pause_node(self, node: NodeId) -> None:
        """Suspend a node's process."""

    def resume_node(self, node: NodeId) -> None:
        """Resume a paused node."""

    def cut_links(self, nodes: Sequence[NodeId]) -> None:
        """Cut these nodes off from the other nodes."""

    def heal_links(self) -> None:
        """Restore all links."""

    def limit_owner(self, team: str) -> NodeId | None:
        """Return the node that grants the permits of a team's concurrency limit."""

    def set_platform_faults(self, faults: PlatformFaults) -> None:
        """Replace the faults of the platform service."""

    def platform_calls(self) -> PlatformCalls:
        """Return the number of calls to the platform service."""

    def set_upstream_faults(self, upstream: UpstreamId, faults: UpstreamFaults) -> None:
        """Replace the faults of an upstream stand-in."""

    def stop_upstream(self, upstream: UpstreamId) -> None:
        """Stop an upstream stand-in as planned, after a release has withdrawn it."""

    def submit_release(self, note: Mapping[str, Any], at: NodeId | None = None) -> Submission:
        """Submit a release note and wait until it is accepted or refused.

        ``at`` names the node to submit to; without it any running node is used.
        """

    def status(self, node: NodeId) -> NodeStatus | None:
        """Return a node's status, or None if the node does not answer."""

    def overhead(self, node: NodeId) -> NodeOverhead | None:
        """Return a node's overhead so far, or None if the node does not answer."""

    def records(self) -> Sequence[StandinRecord]:
        """Return the records of all upstream stand-ins, withdrawn ones included."""


@dataclass(frozen=True, slots=True)
class TestBedOptions:
    """How to start a cluster.

    ``policy`` names a routing policy; ``report_lag_s`` is the age of the load reports and cache
    events of upstreams.
    """

    profile: Profile
    policy: str
    seed: int
    report_lag_s: float = 0.0


TestBedFactory = Callable[[TestBedOptions], AbstractContextManager[TestBed]]
TEST_BEDS: Registry[TestBedFactory] = Registry("test bed")


def test_beds() -> Registry[TestBedFactory]:
    """Return the registry after importing the test beds that are part of chervilrack."""
    # Imported here because the module registers its test bed in this one.
    from chervilrack._internal.experiments import local_bed  # noqa: F401

    return TEST_BEDS
