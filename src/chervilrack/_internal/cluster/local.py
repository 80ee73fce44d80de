"""A whole cluster in one process: platform and upstream stand-ins, and nodes."""

import json
import secrets
import time
from collections.abc import Mapping, Sequence
from contextlib import ExitStack
from types import TracebackType
from typing import Any, Self

from chervilrack._internal.cli.client import NodeClient
from chervilrack._internal.cluster.fleet import UpstreamFleet
from chervilrack._internal.cluster.notes import first_note
from chervilrack._internal.common.ids import NodeId
from chervilrack._internal.exceptions import ChervilrackError
from chervilrack._internal.experiments.profile import Profile
from chervilrack._internal.gateway.authentication import key_digest
from chervilrack._internal.gateway.server import HttpServerSettings
from chervilrack._internal.kvstore.registry import PlatformSettings, open_platform
from chervilrack._internal.membership.state import MembershipSettings
from chervilrack._internal.node.daemon import Node
from chervilrack._internal.node.options import NodeOptions
from chervilrack._internal.standins.platform import PlatformStandIn

LOOPBACK = "127.0.0.1"
READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02
HTTP_THREADS = 48


class ClusterNotReady(ChervilrackError):
    """The nodes did not become ready in time."""


class LocalCluster:
    """Cluster of a profile in this process; a context manager that stops every part on exit."""

    def __init__(self, profile: Profile, nodes: int, seed: int | None = None) -> None:
        self._profile = profile
        self._node_count = nodes
        self._seed = seed
        self._stack = ExitStack()
        self._nodes: list[Node] = []
        self._operator_key = secrets.token_urlsafe(16)

    @property
    def profile(self) -> Profile:
        """Profile of the cluster."""
        return self._profile

    @property
    def nodes(self) -> Sequence[Node]:
        """Nodes of the cluster."""
        return tuple(self._nodes)

    @property
    def fleet(self) -> UpstreamFleet:
        """Emulated upstreams."""
        return self._fleet

    @property
    def platform(self) -> PlatformStandIn:
        """Emulated platform service."""
        return self._platform

    @property
    def operator_key(self) -> str:
        """Key for the operator interface of all nodes."""
        return self._operator_key

    def __enter__(self) -> Self:
        with ExitStack() as stack:
            self._platform = stack.enter_context(PlatformStandIn())
            self._fleet = stack.enter_context(UpstreamFleet(self._profile))
            for number in range(self._node_count):
                self._start_node(stack, number)
            self._await_ready()
            self._stack = stack.pop_all()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stack.close()

    def accept_first_note(self) -> Mapping[str, Any]:
        """Accept the profile's first release note through the first node."""
        document = json.dumps(first_note(self._profile, self._fleet.addresses)).encode()
        client = NodeClient(self._nodes[0].http_address, self._operator_key)
        answer: Mapping[str, Any] = client.post("/operator/v1/releases/accept", document)
        return answer

    def _start_node(self, stack: ExitStack, number: int) -> None:
        options = NodeOptions(
            node=NodeId(f"node-{number + 1}"),
            zone=self._profile.zone_of(number),
            http=HttpServerSettings(LOOPBACK, 0, threads=HTTP_THREADS),
            membership=MembershipSettings(seeds=tuple(node.peer_address for node in self._nodes)),
            operator_key_digests=(key_digest(self._operator_key),),
            seed=None if self._seed is None else self._seed + number,
        )
        platform = open_platform(PlatformSettings(endpoints=(self._platform.address,)))
        self._nodes.append(stack.enter_context(Node(options, platform)))

    def _await_ready(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while any(node.not_ready() is not None for node in self._nodes):
            if time.monotonic() >= deadline:
                raise ClusterNotReady(f"nodes were not ready within {READY_TIMEOUT_S:.0f} s")
            time.sleep(POLL_INTERVAL_S)
