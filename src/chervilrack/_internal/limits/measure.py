"""Measures the messages and CPU time that limits cost a node, by number of nodes and upstreams."""

import random
import time
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from chervilrack._internal.common.effects import Send
from chervilrack._internal.common.ids import (
    Epoch,
    LimitId,
    NodeId,
    ReleaseRevision,
    TeamId,
    UpstreamId,
    ZoneId,
)
from chervilrack._internal.limits.messages import (
    ConfigurationApplied,
    EpochActive,
    LimitEvent,
    PeerMessage,
    Tick,
    ViewAdopted,
)
from chervilrack._internal.limits.service import LimitService
from chervilrack._internal.releases.state import (
    Configuration,
    LimitKind,
    Limits,
    Team,
    Upstream,
    UpstreamKind,
    limit_id,
)

TICK = timedelta(milliseconds=100)
WARM_UP_TICKS = 40
# Each node changes its demand for this many limits per second, like a node that uses only a few
# upstreams.
DEMAND_CHANGES_PER_S = 2
UPSTREAM_CONCURRENCY = 16


@dataclass(frozen=True, slots=True)
class LimitCost:
    """Mean cost of limits at one node.

    Messages and bytes per second are the sums of those sent and received. CPU time is in percent of
    one core and covers the handling of events, without encoding and transport.
    """

    nodes: int
    upstreams: int
    messages_per_s: float
    bytes_per_s: float
    cpu_percent: float


def measure_limits(
    sizes: Sequence[tuple[int, int]] = ((6, 24), (12, 100), (25, 230), (50, 460), (100, 920)),
    seconds: int = 5,
    seed: int = 1,
) -> list[LimitCost]:
    """Return the cost for each pair of a number of nodes and a number of upstreams.

    The simulated demand moves between limits.
    """
    return [_Fleet(nodes, upstreams, seed).measure(seconds) for nodes, upstreams in sizes]


class _Fleet:
    """Limit services of all nodes and a network that delivers messages at the next tick."""

    def __init__(self, nodes: int, upstreams: int, seed: int) -> None:
        self._rng = random.Random(seed)
        self._upstreams = upstreams
        self._now = timedelta(0)
        self._messages = 0
        self._bytes = 0
        self._cpu = 0.0
        self._encoder = msgspec.msgpack.Encoder()
        self._inboxes: dict[NodeId, list[PeerMessage]] = defaultdict(list)
        self._services = {
            node: LimitService(node, lambda: True, random.Random(f"{seed}/{node}"))
            for node in (NodeId(f"node-{number}") for number in range(nodes))
        }
        self._limits = [
            limit_id("upstream", f"u-{number}", LimitKind.CONCURRENCY)
            for number in range(upstreams)
        ]
        members = frozenset(self._services)
        for node in self._services:
            self._handle(node, ConfigurationApplied(_configuration(upstreams)))
            self._handle(node, ViewAdopted(Epoch(1), members, members))
            self._handle(node, EpochActive(Epoch(1)))

    def measure(self, seconds: int) -> LimitCost:
        """Run the fleet for ``seconds`` and return the mean cost of a node."""
        self._run(WARM_UP_TICKS)
        self._messages = self._bytes = 0
        self._cpu = 0.0
        self._run(int(timedelta(seconds=seconds) / TICK))
        nodes = len(self._services)
        # Each message is sent by one node and received by another.
        per_node = 2 / (nodes * seconds)
        return LimitCost(
            nodes=nodes,
            upstreams=self._upstreams,
            messages_per_s=self._messages * per_node,
            bytes_per_s=self._bytes * per_node,
            cpu_percent=100 * self._cpu / (nodes * seconds),
        )

    def _run(self, ticks: int) -> None:
        change_probability = DEMAND_CHANGES_PER_S * TICK.total_seconds()
        for _ in range(ticks):
            self._now += TICK
            inboxes, self._inboxes = self._inboxes, defaultdict(list)
            for node, service in self._services.items():
                for message in inboxes[node]:
                    self._handle(node, message)
                if self._rng.random() < change_probability:
                    demand_by_limit: dict[LimitId, int] = {self._rng.choice(self._limits): 2}
                    service.permits.set_demand(demand_by_limit, self._now)
                self._handle(node, Tick())

    def _handle(self, node: NodeId, event: LimitEvent) -> None:
        started = time.process_time()
        effects = self._services[node].handle(event, self._now)
        self._cpu += time.process_time() - started
        for effect in effects:
            if isinstance(effect, Send):
                self._messages += 1
                self._bytes += len(self._encoder.encode(effect.message))
                self._inboxes[effect.to].append(PeerMessage(node, effect.message))


def _configuration(upstreams: int) -> Configuration:
    team = Team(TeamId("team"))
    records = [
        Upstream(
            id=UpstreamId(f"u-{number}"),
            team=team.id,
            kind=UpstreamKind.ENGINE,
            url=f"http://127.0.0.1:1/{number}",
            zone=ZoneId("zone"),
            limits=Limits(concurrency=UPSTREAM_CONCURRENCY),
        )
        for number in range(upstreams)
    ]
    return Configuration(
        revision=ReleaseRevision(1),
        teams={team.id: team},
        upstreams={record.id: record for record in records},
    )
