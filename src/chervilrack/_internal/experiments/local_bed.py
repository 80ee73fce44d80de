"""Test bed on this machine: each node is a process of its own, stand-ins run in a few more."""

import contextlib
import secrets
import subprocess
import sys
import threading
import time
from collections.abc import Iterator, Mapping, Sequence
from contextlib import ExitStack, contextmanager
from typing import Any

import msgspec
import psutil
import urllib3

from chervilrack._internal.cli.client import NodeClient, NodeRefused
from chervilrack._internal.cluster.notes import first_note
from chervilrack._internal.common.hashing import rendezvous_owner
from chervilrack._internal.common.ids import NodeId, UpstreamId, ZoneId
from chervilrack._internal.exceptions import ChervilrackError, NodeUnreachable
from chervilrack._internal.experiments.bed_process import FleetStart, NodeCommand, NodeStart
from chervilrack._internal.experiments.profile import Profile
from chervilrack._internal.experiments.testbed import (
    TEST_BEDS,
    NodeInfo,
    NodeOverhead,
    NodeStatus,
    PlatformCalls,
    PlatformFaults,
    StandinRecord,
    Submission,
    TestBed,
    TestBedOptions,
    UpstreamFaults,
    WorkArrival,
)
from chervilrack._internal.gateway.authentication import key_digest
from chervilrack._internal.releases.state import LimitKind, limit_id
from chervilrack._internal.standins.platform import Faults, PlatformStandIn, VmState

# Two processes serve the stand-ins' requests and tokens at twice a profile's capacity.
FLEET_PROCESSES = 2
READY_TIMEOUT_S = 30.0
# A planned stop ends after the look-up lifetime and the longest deadline; see the node daemon.
STOP_TIMEOUT_S = 60.0
POLL_S = 0.05
_FOREVER_MS = 24 * 3600 * 1000
DEFAULT_LIMIT_POLICY = "leased"


class TestBedError(ChervilrackError):
    """The test bed cannot be started or does not do what was asked of it."""


class _Process:
    """Process of the test bed that answers lines of JSON."""

    def __init__(self, kind: str, start: msgspec.Struct) -> None:
        command = [sys.executable, "-m", "chervilrack._internal.experiments.bed_process", kind]
        self._popen = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        self._lock = threading.Lock()
        self.started = self._exchange(msgspec.json.encode(start).decode())
        self.begun_at = time.monotonic()
        self.process = psutil.Process(self._popen.pid)

    def command(self, command: msgspec.Struct) -> Any:
        """Send a command and return its answer."""
        return self._exchange(msgspec.json.encode(command).decode())

    def _exchange(self, line: str) -> Any:
        assert self._popen.stdin is not None
        assert self._popen.stdout is not None
        with self._lock:
            try:
                self._popen.stdin.write(line + "\n")
                self._popen.stdin.flush()
                answer = self._popen.stdout.readline()
            except (OSError, ValueError) as error:
                raise TestBedError(f"process {self._popen.pid} does not answer: {error}") from None
        if not answer:
            raise TestBedError(f"process {self._popen.pid} has ended")
        return msgspec.json.decode(answer)

    def kill(self) -> None:
        """End the process at once."""
        self._popen.kill()
        self.close()

    def close(self) -> None:
        """Close the input, which ends the process, and wait for it."""
        with contextlib.suppress(OSError):
            if self._popen.stdin is not None:
                self._popen.stdin.close()
        try:
            self._popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._popen.kill()
            self._popen.wait()
        if self._popen.stdout is not None:
            self._popen.stdout.close()


class LocalTestBed:
    """Implementation of ``TestBed`` with processes on loopback.

    The policy is ``ROUTING`` or ``ROUTING/LIMITS``, such as ``round-robin/static-split``. Messages
    between nodes of different zones are delayed by the profile's latency; connections to upstreams
    are not.
    """

    def __init__(self, options: TestBedOptions) -> None:
        self._options = options
        self._profile = options.profile
        self._routing, _, limits = options.policy.partition("/")
        self._limits = limits or DEFAULT_LIMIT_POLICY
        self._key = secrets.token_urlsafe(16)
        self._platform = PlatformStandIn()
        self._fleets: list[_Process] = []
        self._addresses: dict[UpstreamId, str] = {}
        self._nodes: dict[NodeId, tuple[NodeInfo, _Process]] = {}
        self._paused: set[NodeId] = set()
        self._leaving: set[NodeId] = set()
        self._cut: frozenset[NodeId] = frozenset()
        self._notes: dict[int, str] = {}
        self._count = 0
        self._http = urllib3.PoolManager(num_pools=64, maxsize=8)
        self._lock = threading.Lock()

    def start(self, stack: ExitStack) -> None:
        """Start everything and accept the profile's first release note."""
        stack.enter_context(self._http)
        stack.enter_context(self._platform)
        stack.callback(self._close)
        names = [name for pool in self._profile.pools for name in pool.upstreams]
        for number in range(FLEET_PROCESSES):
            part = tuple(names[number::FLEET_PROCESSES])
            start = FleetStart(self._profile.name, part, self._options.report_lag_s)
            self._fleets.append(_Process("fleet", start))
            self._addresses.update(self._fleets[-1].started)
        for number in range(self._profile.nodes):
            self._launch(self._profile.zone_of(number))
        for info in self.nodes():
            self._await_ready(info)
        note = first_note(self._profile, self._addresses)
        submission = self.submit_release(note)
        if not submission.accepted:
            raise TestBedError(f"the first release note was not accepted: {submission.conflict}")
        self._await_release(submission.revision or 0)

    def _close(self) -> None:
        for _, process in self._nodes.values():
            if process.process.is_running():
                process.process.resume()
            process.kill()
        for fleet in self._fleets:
            fleet.close()

    @property
    def profile(self) -> Profile:
        """Profile that the cluster emulates."""
        return self._profile

    # Nodes

    def nodes(self) -> Sequence[NodeInfo]:
        """Return the nodes that run or are paused."""
        with self._lock:
            return [info for info, _ in self._nodes.values()]

    def process(self, node: NodeId) -> psutil.Process:
        """Return the operating system's process of a node."""
        return self._nodes[node][1].process

    def start_node(self, zone: ZoneId) -> NodeInfo:
        """Start a node and wait until it is ready."""
        info = self._launch(zone)
        self._await_ready(info)
        return info

    def _launch(self, zone: ZoneId) -> NodeInfo:
        with self._lock:
            self._count += 1
            name = NodeId(f"node-{self._count}")
            seeds = tuple(process.started["peer"] for _, process in self._nodes.values())
        start = NodeStart(
            node=name,
            zone=zone,
            seed=self._options.seed * 1000 + self._count,
            platform=self._platform.address,
            seeds=seeds,
            routing_policy=self._routing,
            limit_policy=self._limits,
            operator_key_sha256=key_digest(self._key),
        )
        self._platform.set_vm(name, VmState.LIVE)
        process = _Process("node", start)
        info = NodeInfo(name, zone, process.started["http"])
        with self._lock:
            self._nodes[name] = (info, process)
        self._update_links()
        return info

    def kill_node(self, node: NodeId) -> None:
        """End a node at once, as the failure of its VM does."""
        with self._lock:
            _, process = self._nodes.pop(node)
        process.kill()
        self._platform.set_vm(node, VmState.GONE)

    def stop_node(self, node: NodeId) -> None:
        """Begin a planned stop and wait until the node's process has ended."""
        _, process = self._nodes[node]
        self._platform.set_vm(node, VmState.LEAVING)
        self._leaving.add(node)
        process.command(NodeCommand(leave=True))
        with self._lock:
            del self._nodes[node]
        process.close()
        self._platform.set_vm(node, VmState.GONE)

    def pause_node(self, node: NodeId) -> None:
        """Suspend a node's process."""
        self._paused.add(node)
        self._nodes[node][1].process.suspend()

    def resume_node(self, node: NodeId) -> None:
        """Resume a paused node."""
        self._nodes[node][1].process.resume()
        self._paused.discard(node)

    def cut_links(self, nodes: Sequence[NodeId]) -> None:
        """Cut these nodes off from the other nodes."""
        self._cut = frozenset(nodes)
        self._update_links()

    def heal_links(self) -> None:
        """Restore all links."""
        self._cut = frozenset()
        self._update_links()

    def _update_links(self) -> None:
        with self._lock:
            nodes = dict(self._nodes)
        delay = self._profile.between_zones_ms / 1000
        for name, (info, process) in nodes.items():
            # A leaving node answers no command until it has left.
            if name in self._paused | self._leaving:
                continue
            others = [(other, entry) for other, entry in nodes.items() if other != name]
            process.command(
                NodeCommand(
                    blocked=tuple(
                        entry[1].started["peer"]
                        for other, entry in others
                        if (other in self._cut) != (name in self._cut)
                    ),
                    delays_s={
                        entry[1].started["peer"]: delay
                        for _, entry in others
                        if entry[0].zone != info.zone
                    },
                )
            )

    def limit_owner(self, team: str) -> NodeId | None:
        """Return the node that grants the permits of a team's concurrency limit."""
        limit = limit_id("team", team, LimitKind.CONCURRENCY)
        owner = rendezvous_owner(limit, [info.node for info in self.nodes()])
        return None if owner is None else NodeId(owner)

    # Platform service and upstream stand-ins

    def set_platform_faults(self, faults: PlatformFaults) -> None:
        """Replace the faults of the platform service."""
        self._platform.inject(
            Faults(
                unavailable_ms=_FOREVER_MS if faults.unavailable else 0,
                slow_by_ms=round(faults.delay_s * 1000),
                slow_for_ms=_FOREVER_MS,
                lose_responses=faults.lost_answers,
            )
        )

    def platform_calls(self) -> PlatformCalls:
        """Return the number of calls to the platform service; a waiting watch is one a second."""
        counts = self._platform.counts
        return PlatformCalls(counts.reads + counts.watch_seconds, counts.writes)

    def set_upstream_faults(self, upstream: UpstreamId, faults: UpstreamFaults) -> None:
        """Replace the faults of an upstream stand-in."""
        values = {name: getattr(faults, name) for name in UpstreamFaults.__dataclass_fields__}
        self._post(f"{self._addresses[upstream]}/faults", values)

    def stop_upstream(self, upstream: UpstreamId) -> None:
        """Wait until a withdrawn stand-in's work has ended, at most its deadline, then stop it."""
        address = self._addresses[upstream]
        end = time.monotonic() + self._profile.deadline_s
        while self._get(f"{address}/drain-status")["running"] and time.monotonic() < end:
            time.sleep(POLL_S)
        self.set_upstream_faults(upstream, UpstreamFaults(crash=True))

    def records(self) -> Sequence[StandinRecord]:
        """Return the records of all upstream stand-ins, withdrawn ones included."""
        return [
            _standin_record(name, self._get(f"{address}/record"))
            for name, address in self._addresses.items()
        ]

    # Operators

    def submit_release(self, note: Mapping[str, Any], at: NodeId | None = None) -> Submission:
        """Submit a release note and wait until it is accepted or refused."""
        away = self._paused | self._leaving
        running = [info for info in self.nodes() if info.node not in away]
        info = next((entry for entry in running if entry.node == at), running[0])
        client = NodeClient(info.address, self._key)
        try:
            answer = client.post("/operator/v1/releases/accept", msgspec.json.encode(note))
        except (NodeRefused, NodeUnreachable) as error:
            return Submission(False, None, note["id"], conflict=str(error))
        return Submission(answer["state"] == "accepted", answer["revision"], note["id"])

    def status(self, node: NodeId) -> NodeStatus | None:
        """Return a node's status, or None if the node does not answer."""
        entry = self._nodes.get(node)
        if entry is None or node in self._paused:
            return None
        info, process = entry
        try:
            release = int(self._operator(info, "status")["release"])
            if release not in self._notes:
                for known in self._operator(info, "releases"):
                    self._notes[known["revision"]] = known["note"]["id"]
        except (urllib3.exceptions.HTTPError, TestBedError):
            return None
        incarnation = process.started["incarnation"]
        return NodeStatus(node, incarnation, release, self._notes.get(release))

    def overhead(self, node: NodeId) -> NodeOverhead | None:
        """Return a node's overhead so far, or None if the node does not answer."""
        entry = self._nodes.get(node)
        if entry is None or node in self._paused | self._leaving:
            return None
        process = entry[1]
        try:
            with process.process.oneshot():
                times = process.process.cpu_times()
                memory = process.process.memory_info().rss
            counted = process.command(NodeCommand())["peer_bytes"]
        except (psutil.Error, TestBedError):
            return None
        return NodeOverhead(
            cpu_s=times.user + times.system,
            rss_mb=memory / 1e6,
            control_bytes=counted,
            uptime_s=time.monotonic() - process.begun_at,
        )

    def _operator(self, info: NodeInfo, name: str) -> Any:
        headers = {"Authorization": f"Bearer {self._key}"}
        return self._get(f"{info.address}/operator/v1/{name}", headers)

    # HTTP

    def _get(self, url: str, headers: Mapping[str, str] | None = None) -> Any:
        return self._call("GET", url, headers=headers)

    def _post(self, url: str, body: Mapping[str, Any]) -> Any:
        return self._call("POST", url, body=msgspec.json.encode(body))

    def _call(self, method: str, url: str, **options: Any) -> Any:
        timeout = urllib3.Timeout(connect=1.0, read=5.0)
        response = self._http.request(method, url, timeout=timeout, retries=False, **options)
        if response.status != 200:
            raise TestBedError(f"{url} answers with status {response.status}: {response.data!r}")
        return msgspec.json.decode(response.data)

    def _await_ready(self, info: NodeInfo) -> None:
        end = time.monotonic() + READY_TIMEOUT_S
        while True:
            with contextlib.suppress(urllib3.exceptions.HTTPError, TestBedError):
                self._get(f"{info.address}/readyz")
                return
            if time.monotonic() >= end:
                raise TestBedError(f"{info.node} was not ready within {READY_TIMEOUT_S:.0f} s")
            time.sleep(POLL_S)

    def _await_release(self, revision: int) -> None:
        end = time.monotonic() + READY_TIMEOUT_S
        for info in self.nodes():
            while (status := self.status(info.node)) is None or status.revision < revision:
                if time.monotonic() >= end:
                    raise TestBedError(f"{info.node} did not apply release {revision}")
                time.sleep(POLL_S)


def _standin_record(name: UpstreamId, found: Mapping[str, Any]) -> StandinRecord:
    return StandinRecord(
        upstream=name,
        arrivals=[
            WorkArrival(
                at=arrival["time"],
                served_as=arrival["request"],
                attempt=arrival["attempt"],
                organisation=arrival["organisation"],
                tokens=arrival["tokens"],
                idempotency_key=arrival["key"],
            )
            for arrival in found["arrivals"]
        ],
        ended=found["ended"],
        executions={
            (entry["request"], entry["key"]): entry["count"] for entry in found["executions"]
        },
        cut_off=found["cut_off"],
    )


@TEST_BEDS.register("local")
@contextmanager
def local_test_bed(options: TestBedOptions) -> Iterator[TestBed]:
    """Start a local test bed; leaving the context ends all of its processes."""
    with ExitStack() as stack:
        bed = LocalTestBed(options)
        bed.start(stack)
        yield bed
