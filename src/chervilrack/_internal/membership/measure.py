"""Measures the cost of the membership protocol per node, with real cores and encoded messages."""

import random
import time
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from chervilrack._internal.common.effects import Send
from chervilrack._internal.common.ids import Epoch, Incarnation, NodeId, ZoneId
from chervilrack._internal.membership import messages as m
from chervilrack._internal.membership.core import Membership
from chervilrack._internal.membership.state import (
    Departed,
    Member,
    MembershipSettings,
    UnsealedEpoch,
    View,
)
from chervilrack._internal.membership.witnesses import choose_witnesses, zone_relays

TICK = timedelta(milliseconds=100)
WARM_UP_TICKS = 50


@dataclass(frozen=True, slots=True)
class MembershipCost:
    """Steady cost of one role: means over the nodes, and the largest CPU share of one node.

    Message and byte rates are per second of protocol time and add sent and received messages. CPU
    is in percent of one CPU core. It covers the decisions of the membership core and the encoding
    and decoding of messages, but no transport.
    """

    members: int
    role: str
    nodes: int
    messages_per_s: float
    bytes_per_s: float
    cpu_percent: float
    cpu_percent_max: float


@dataclass(frozen=True, slots=True)
class ViewChangeCost:
    """Cost of one removal. Bytes are those sent and received beyond the steady rate of the role."""

    members: int
    role: str
    bytes_per_change: float
    ticks_until_adopted: int


class _Node:
    """Membership core of one member with its cost counters."""

    def __init__(self, member: Member, settings: MembershipSettings, seed: int) -> None:
        self.member = member
        self.core = Membership(member, settings, random.Random(seed))
        self.reset()

    def reset(self) -> None:
        self.messages = 0
        self.bytes = 0
        self.cpu = 0.0


class _Fleet:
    """Members of one view, which exchange encoded messages without delay."""

    def __init__(self, members: int, zones: int) -> None:
        settings = MembershipSettings()
        all_members = tuple(
            Member(
                NodeId(f"node-{number:04}"),
                Incarnation(f"{number:016x}"),
                ZoneId(f"zone-{number % zones:02}"),
                f"10.0.{number // 250}.{number % 250}:7000",
                f"10.0.{number // 250}.{number % 250}:8000",
            )
            for number in range(members)
        )
        witnesses = choose_witnesses(all_members, settings.max_witnesses)
        self.view = View(Epoch(1), all_members, witnesses)
        self.nodes = {
            member.node: _Node(member, settings, number)
            for number, member in enumerate(all_members)
        }
        self.relays = {
            process.node
            for zone in {member.zone for member in all_members}
            for process in zone_relays(self.view, zone, settings.relays_per_zone)
            if members > settings.relay_threshold
        }
        self.now = timedelta(0)
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[m.MembershipMessage] = msgspec.msgpack.Decoder(
            m.MembershipMessage
        )
        self._queue: deque[tuple[NodeId, NodeId, bytes]] = deque()
        for node in self.nodes.values():
            self._handle_event(node, m.ViewLearned(self.view, 1))

    def run(self, ticks: int) -> None:
        """Advance all cores by ``ticks`` of 100 ms."""
        for _ in range(ticks):
            self.now += TICK
            for node in self.nodes.values():
                self._handle_event(node, m.Tick())
            while self._queue:
                sender, to, data = self._queue.popleft()
                if to in self.nodes:
                    self._deliver(self.nodes[to], self.nodes[sender].member, data)

    def reset(self) -> None:
        """Set all counters to zero."""
        for node in self.nodes.values():
            node.reset()

    def remove_last(self) -> Epoch:
        """Remove the last member without a role and return the epoch of the next view.

        The member stops, and the witnesses receive the next view.
        """
        name = [name for name in self.nodes if self.role(name) == "node"][-1]
        del self.nodes[name]
        members = tuple(member for member in self.view.members if member.node != name)
        unsealed = (UnsealedEpoch(self.view.epoch, self.view.witnesses),)
        departed = (Departed(name, Incarnation("0"), Epoch(2), 1),)
        view = View(Epoch(2), members, self.view.witnesses, departed, unsealed)
        for witness in self.view.witnesses:
            self._handle_event(self.nodes[witness.node], m.ViewLearned(view, 2))
        return view.epoch

    def bytes_by_role(self) -> dict[str, float]:
        """Return the mean bytes per node of each role since the last reset."""
        totals: dict[str, list[int]] = {}
        for name, node in self.nodes.items():
            totals.setdefault(self.role(name), []).append(node.bytes)
        return {role: sum(values) / len(values) for role, values in totals.items()}

    def role(self, node: NodeId) -> str:
        """Return the role of ``node``; a witness that is also a relay counts as a witness."""
        if any(process.node == node for process in self.view.witnesses):
            return "witness"
        return "relay" if node in self.relays else "node"

    def _deliver(self, node: _Node, sender: Member, data: bytes) -> None:
        start = time.process_time()
        message = self._decoder.decode(data)
        node.cpu += time.process_time() - start
        node.messages += 1
        node.bytes += len(data)
        self._handle_event(node, m.PeerMessage(sender.node, sender.incarnation, message))

    def _handle_event(self, node: _Node, event: m.MembershipEvent) -> None:
        start = time.process_time()
        effects = node.core.handle(event, self.now)
        encoded = [
            (effect.to, self._encoder.encode(effect.message))
            for effect in effects
            if isinstance(effect, Send)
        ]
        node.cpu += time.process_time() - start
        for to, data in encoded:
            node.messages += 1
            node.bytes += len(data)
            self._queue.append((node.member.node, to, data))


def measure_membership(
    sizes: Iterable[int] = (6, 12, 25, 50, 100, 390), seconds: int = 20
) -> list[MembershipCost]:
    """Return the steady cost of each role for views of ``sizes`` members.

    A view has one zone per 16 members, but at least 3 and at most 24 zones. Raises RuntimeError
    if a node is not confirmed, because the costs would not be those of a working cluster.
    """
    rows: list[MembershipCost] = []
    for size in sizes:
        fleet = _Fleet(size, max(3, min(24, size // 16)))
        fleet.run(WARM_UP_TICKS)
        fleet.reset()
        fleet.run(round(seconds / TICK.total_seconds()))
        rows += _steady_costs(fleet, seconds)
    return rows


def _steady_costs(fleet: _Fleet, seconds: int) -> list[MembershipCost]:
    now = fleet.now
    if not all(node.core.may_act(now) for node in fleet.nodes.values()):
        raise RuntimeError(f"not all of {len(fleet.nodes)} nodes are confirmed")
    rows = []
    for role in ("witness", "relay", "node"):
        nodes = [node for name, node in fleet.nodes.items() if fleet.role(name) == role]
        if not nodes:
            continue
        scale = 1 / (len(nodes) * seconds)
        rows.append(
            MembershipCost(
                members=len(fleet.nodes),
                role=role,
                nodes=len(nodes),
                messages_per_s=sum(node.messages for node in nodes) * scale,
                bytes_per_s=sum(node.bytes for node in nodes) * scale,
                cpu_percent=100 * sum(node.cpu for node in nodes) * scale,
                cpu_percent_max=100 * max(node.cpu for node in nodes) / seconds,
            )
        )
    return rows


def measure_view_change(members: int = 390) -> list[ViewChangeCost]:
    """Return what the removal of one member costs each role.

    The witnesses receive the new view as if from their watch, all other nodes from peers. At least
    8 members are needed, because the removed member must not be a witness. Raises RuntimeError if
    a node has not adopted the view after 5 s.
    """
    fleet = _Fleet(members, max(3, min(24, members // 16)))
    fleet.run(WARM_UP_TICKS)
    fleet.reset()
    fleet.run(WARM_UP_TICKS)
    steady = fleet.bytes_by_role()
    fleet.reset()
    epoch = fleet.remove_last()
    ticks_until_adopted = 0
    for tick in range(1, WARM_UP_TICKS + 1):
        fleet.run(1)
        if not ticks_until_adopted and all(
            node.core.epoch == epoch for node in fleet.nodes.values()
        ):
            ticks_until_adopted = tick
    if not ticks_until_adopted:
        raise RuntimeError("a node has not adopted the new view")
    changed = fleet.bytes_by_role()
    return [
        ViewChangeCost(members, role, changed[role] - steady[role], ticks_until_adopted)
        for role in changed
    ]
