"""Who is alive: decides from heartbeats which nodes callers may use and which own queues."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.common.ids import Incarnation, NodeId
from chervilrack._internal.fleet.messages import Heartbeat

_ZERO = timedelta(0)


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Timing of heartbeats."""

    # A node that is killed is noticed after silence_heartbeats of them; callers keep a look-up
    # longer.
    heartbeat: timedelta = timedelta(milliseconds=300)
    # With more nodes each sends less often: 12.5 ms a node keep 80 messages/s at any size.
    heartbeat_per_node: timedelta = timedelta(microseconds=12_500)
    silence_heartbeats: float = 3.5
    # Addresses that were heard of and never answer are dropped after this time.
    forget_after: timedelta = timedelta(seconds=20)
    # Peers named in one heartbeat; enough for a newcomer to learn all within a few.
    gossiped_peers: int = 8
    # A node owns queues once it has been ready for this time: a queue that moves loses what its
    # owner knows of the upstreams, and a process that has just started answers slowly.
    owner_settle_time: timedelta = timedelta(seconds=5)
    # Time a starting node waits for others before it counts its view as whole.
    settle_time: timedelta = timedelta(milliseconds=700)


@dataclass(slots=True)
class Peer:
    """Another node. ``heard_at`` is None until its first heartbeat."""

    address: str
    added_at: timedelta
    node: NodeId | None = None
    incarnation: Incarnation | None = None
    heard_at: timedelta | None = None
    last: Heartbeat | None = None
    alive: bool = False
    leaving: bool = False

    @property
    def takes_work(self) -> bool:
        """Whether callers and new queue entries may go to it."""
        return self.alive and not self.leaving and self.last is not None and self.last.ready


@dataclass(frozen=True, slots=True)
class PeerJoined:
    """A node is heard for the first time, or again after a silence."""

    node: NodeId
    address: str


@dataclass(frozen=True, slots=True)
class PeerLeaving:
    """A node finishes what it has and takes nothing new."""

    node: NodeId


@dataclass(frozen=True, slots=True)
class PeerLost:
    """A node has been silent for too long or has restarted; what it had is gone."""

    node: NodeId
    reason: str


FleetEffect = PeerJoined | PeerLeaving | PeerLost


class Fleet:
    """Other nodes as this node hears them."""

    def __init__(
        self,
        node: NodeId,
        address: str,
        rng: random.Random,
        settings: FleetSettings | None = None,
    ) -> None:
        self._node = node
        self._address = address
        self._rng = rng
        self._settings = settings or FleetSettings()
        self._peers: dict[str, Peer] = {}
        self._by_node: dict[NodeId, Peer] = {}
        self._leaving = False
        self._ready_since: timedelta | None = None
        self._ready_for = _ZERO

    @property
    def interval(self) -> timedelta:
        """Time between two heartbeats of this node."""
        settings = self._settings
        return max(settings.heartbeat, settings.heartbeat_per_node * (len(self._peers) + 1))

    @property
    def addresses(self) -> list[str]:
        """Peer addresses that heartbeats go to."""
        return list(self._peers)

    @property
    def alive(self) -> list[Peer]:
        """Nodes that are heard."""
        return [peer for peer in self._peers.values() if peer.alive]

    @property
    def size(self) -> int:
        """Nodes that are heard, and this one."""
        return 1 + sum(1 for peer in self._peers.values() if peer.alive)

    def owners(self) -> list[NodeId]:
        """Return the nodes that may own queues: ready for some time, alive and not leaving.

        If no node has been ready for so long, those that are ready do. This node counts while it
        is not leaving, and if there is no other.
        """
        ready_for = {
            peer.node: timedelta(milliseconds=peer.last.ready_for_ms)
            for peer in self._peers.values()
            if peer.takes_work and peer.node is not None and peer.last is not None
        }
        if not self._leaving or not ready_for:
            ready_for[self._node] = self._ready_for
        settled = [n for n, time in ready_for.items() if time >= self._settings.owner_settle_time]
        return sorted(settled or ready_for)

    def note_ready(self, ready: bool, now: timedelta) -> timedelta:
        """Note whether this node is ready, and return for how long it has been."""
        if not ready:
            self._ready_since = None
        elif self._ready_since is None:
            self._ready_since = now
        self._ready_for = now - self._ready_since if self._ready_since is not None else _ZERO
        return self._ready_for

    def leave(self) -> None:
        """Note that this node finishes what it has and takes nothing new."""
        self._leaving = True

    def address_of(self, node: NodeId) -> str | None:
        """Return the peer address of a node that is alive."""
        peer = self._by_node.get(node)
        return peer.address if peer is not None and peer.alive else None

    def learn(self, addresses: Iterable[str], now: timedelta) -> None:
        """Add addresses from the store, from seeds or from another node."""
        for address in addresses:
            if address != self._address and address not in self._peers:
                self._peers[address] = Peer(address, now)

    def heard(
        self, node: NodeId, incarnation: Incarnation, beat: Heartbeat, now: timedelta
    ) -> list[FleetEffect]:
        """Take a heartbeat."""
        self.learn((beat.address, *beat.peers), now)
        peer = self._peers.get(beat.address)
        if peer is None:  # this node's own address, from a predecessor
            return []
        effects: list[FleetEffect] = []
        if peer.alive and peer.incarnation != incarnation:
            effects.append(PeerLost(peer.node or node, "restarted"))
            peer.alive = False
        peer.node, peer.incarnation = node, incarnation
        peer.heard_at, peer.last = now, beat
        self._by_node[node] = peer
        if not peer.alive:
            peer.alive = True
            peer.leaving = False
            effects.append(PeerJoined(node, peer.address))
        if beat.leaving and not peer.leaving:
            peer.leaving = True
            effects.append(PeerLeaving(node))
        return effects

    def note_message(self, node: NodeId, incarnation: Incarnation, now: timedelta) -> None:
        """Take any message of a node that is alive as a sign of life."""
        peer = self._by_node.get(node)
        if peer is not None and peer.alive and peer.incarnation == incarnation:
            peer.heard_at = now

    def has_heard(self, node: NodeId, since: timedelta) -> bool:
        """Whether anything was heard of a node after ``since``."""
        peer = self._by_node.get(node)
        return peer is not None and peer.heard_at is not None and peer.heard_at > since

    def tick(self, now: timedelta) -> list[FleetEffect]:
        """Note nodes that have been silent for too long."""
        effects: list[FleetEffect] = []
        for address, peer in list(self._peers.items()):
            last = peer.heard_at if peer.heard_at is not None else peer.added_at
            if peer.alive and now - last > self._silence_limit(peer):
                peer.alive = False
                assert peer.node is not None
                effects.append(
                    PeerLost(peer.node, f"silent for {(now - last).total_seconds():.2f} s")
                )
            if not peer.alive and now - last > self._settings.forget_after:
                del self._peers[address]
                if peer.node is not None and self._by_node.get(peer.node) is peer:
                    del self._by_node[peer.node]
        return effects

    def _silence_limit(self, peer: Peer) -> timedelta:
        """Return after which silence a peer is lost; it may know more nodes than this one."""
        told = timedelta(milliseconds=peer.last.interval_ms) if peer.last is not None else _ZERO
        return max(self.interval, told) * self._settings.silence_heartbeats

    def woke(self, paused: timedelta) -> None:
        """Shift what was heard after this process was paused, so that nobody seems silent."""
        for peer in self._peers.values():
            if peer.heard_at is not None:
                peer.heard_at += paused

    def gossip(self) -> tuple[str, ...]:
        """Return a few addresses of nodes that are alive."""
        alive = [peer.address for peer in self.alive]
        return tuple(self._rng.sample(alive, min(len(alive), self._settings.gossiped_peers)))

    def endpoints(self, own: str | None, most: int) -> list[str]:
        """Return the callers' addresses of ready nodes in random order, at most ``most``.

        Callers of all zones use all nodes: a zone's load may exceed its nodes, and a crossing
        takes a thousandth of the shortest target.
        """
        addresses = [
            peer.last.callers
            for peer in self._peers.values()
            if peer.takes_work and peer.last is not None
        ]
        if own is not None:
            addresses.append(own)
        self._rng.shuffle(addresses)
        return addresses[:most]
