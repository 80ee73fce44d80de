"""Failure detection by heartbeats: which nodes callers may use and which may own stage queues."""

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.common.addresses import is_address
from chervilrack._internal.common.ids import Incarnation, NodeId, ZoneId
from chervilrack._internal.fleet.lookup import LookupBounds
from chervilrack._internal.fleet.messages import Heartbeat

_ZERO = timedelta(0)


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Timing of heartbeats and of the decisions that are based on them."""

    # A killed node counts as lost after silence_heartbeats intervals; callers cache an endpoint
    # look-up for longer than that.
    min_heartbeat_interval: timedelta = timedelta(milliseconds=300)
    # The interval grows with the fleet: at 12.5 ms per node, a node sends at most 80 heartbeats
    # per second whatever the size of the fleet.
    heartbeat_interval_per_node: timedelta = timedelta(microseconds=12_500)
    silence_heartbeats: float = 3.5
    # After this share of that time, a silent peer is tried over a new connection: its open ones may
    # have fallen silent. Heartbeats are sent and checked once an interval, so that a peer which
    # answers over the new connection is heard before it counts as lost.
    trial_share: float = 0.5
    # Shortest time between two heartbeats, as a share of the usual interval. Heartbeats go to all
    # nodes: without it, nodes whose links fall silent would answer each silent peer with one.
    early_heartbeat_share: float = 0.25
    # Addresses that do not answer are dropped after this time.
    forget_after: timedelta = timedelta(seconds=20)
    # Peer addresses in one heartbeat; a new node learns all addresses from a few heartbeats.
    gossiped_peers: int = 8
    # Addresses of silent peers in one heartbeat.
    stated_unheard: int = 16
    # A node owns queues after it has been ready for this time. When a queue moves, its owner's
    # knowledge of the upstreams is lost, and a process that has just started answers slowly.
    owner_settle_time: timedelta = timedelta(seconds=5)
    # Nodes with less than this share of the processor time of the largest node own no queues. An
    # owner handles the messages of all nodes for its queue, and runs late on a small node.
    owner_cpu_share: float = 0.5
    # Time for which a starting node waits for heartbeats before its view counts as complete.
    settle_time: timedelta = timedelta(milliseconds=700)


@dataclass(slots=True)
class Peer:
    """Another node.

    ``last_message_at`` is None until its first heartbeat arrives. It moves forward by each pause of
    this process; ``heard_at`` does not.
    """

    address: str
    added_at: timedelta
    node: NodeId | None = None
    incarnation: Incarnation | None = None
    last_message_at: timedelta | None = None
    heard_at: timedelta | None = None
    last_heartbeat: Heartbeat | None = None
    alive: bool = False
    leaving: bool = False
    # When this node last learnt that the peer does not hear it.
    unheard_at: timedelta | None = None
    # Whether the peer is tried over a new connection and has not been heard since.
    on_trial: bool = False

    @property
    def accepts_work(self) -> bool:
        """Whether requests of callers and new queue entries may go to the node."""
        return (
            self.alive
            and not self.leaving
            and self.last_heartbeat is not None
            and self.last_heartbeat.ready
        )


@dataclass(frozen=True, slots=True)
class PeerJoined:
    """The first heartbeat of a node arrived, or the first one after it was lost."""

    node: NodeId
    address: str


@dataclass(frozen=True, slots=True)
class PeerLeaving:
    """A node completes the work that it has and accepts no new work."""

    node: NodeId


@dataclass(frozen=True, slots=True)
class PeerLost:
    """A node has been silent for too long or has restarted; the work that it had is lost.

    ``silent_address`` is the peer address of a silent node. It may live behind connections that
    have fallen silent, and be reached over new ones.
    """

    node: NodeId
    reason: str
    silent_address: str | None = None


@dataclass(frozen=True, slots=True)
class PeerCannotHear:
    """A peer, which this node hears, says that it does not hear this node."""

    node: NodeId
    address: str


@dataclass(frozen=True, slots=True)
class PeerSilent:
    """A live peer is silent, and is to be tried over a new connection."""

    node: NodeId
    address: str


@dataclass(frozen=True, slots=True)
class PeerHeardAgain:
    """A silent peer is heard again; messages from and to it may have been lost meanwhile."""

    node: NodeId


FleetEffect = PeerJoined | PeerLeaving | PeerLost | PeerCannotHear | PeerSilent | PeerHeardAgain


class Fleet:
    """Other nodes of the fleet and their liveness, as this node sees them."""

    def __init__(
        self,
        node: NodeId,
        address: str,
        rng: random.Random,
        settings: FleetSettings | None = None,
        cpu_cores: float = 1.0,
        lookup_bounds: LookupBounds | None = None,
    ) -> None:
        self._node = node
        self._lookup_bounds = lookup_bounds
        self._cpu_cores = cpu_cores
        self._address = address
        self._rng = rng
        self._settings = settings or FleetSettings()
        self._peers: dict[str, Peer] = {}
        self._by_node: dict[NodeId, Peer] = {}
        self._leaving = False
        self._ready_since: timedelta | None = None
        self._ready_for = _ZERO
        # End of the last pause of this process.
        self._resumed_at: timedelta | None = None

    @property
    def heartbeat_interval(self) -> timedelta:
        """Time between two heartbeats of this node."""
        settings = self._settings
        return max(
            settings.min_heartbeat_interval,
            settings.heartbeat_interval_per_node * (len(self._peers) + 1),
        )

    @property
    def shortest_heartbeat_interval(self) -> timedelta:
        """Time between two heartbeats of this node while it tries peers that are silent."""
        return self.heartbeat_interval * self._settings.early_heartbeat_share

    @property
    def addresses(self) -> list[str]:
        """Peer addresses to which this node sends heartbeats."""
        return list(self._peers)

    @property
    def alive(self) -> list[Peer]:
        """Other nodes that are alive."""
        return [peer for peer in self._peers.values() if peer.alive]

    @property
    def size(self) -> int:
        """Number of nodes that are alive, including this one."""
        return 1 + sum(1 for peer in self._peers.values() if peer.alive)

    @property
    def zones(self) -> Counter[str]:
        """Number of live nodes in each zone, without this one."""
        return Counter(
            peer.last_heartbeat.zone for peer in self.alive if peer.last_heartbeat is not None
        )

    def peers_in_zone(self, zone: ZoneId) -> list[Peer]:
        """Return the other nodes of a zone that are alive."""
        return [
            peer
            for peer in self.alive
            if peer.last_heartbeat is not None and peer.last_heartbeat.zone == zone
        ]

    def owners(self) -> list[NodeId]:
        """Return the nodes that may own queues.

        They are alive, not leaving, ready for long enough and not much smaller than the largest of
        these nodes. If no node has been ready for the required time, all ready nodes are
        considered. This node is a candidate unless it is leaving while another node is ready.
        """
        candidates = {
            peer.node: (
                timedelta(milliseconds=peer.last_heartbeat.ready_for_ms),
                peer.last_heartbeat.cpu_cores,
            )
            for peer in self._peers.values()
            if peer.accepts_work and peer.node is not None and peer.last_heartbeat is not None
        }
        if not self._leaving or not candidates:
            candidates[self._node] = (self._ready_for, self._cpu_cores)
        settled = {
            node: cores
            for node, (ready_for, cores) in candidates.items()
            if ready_for >= self._settings.owner_settle_time
        }
        cores_by_node = settled or {node: cores for node, (_, cores) in candidates.items()}
        least_cores = max(cores_by_node.values()) * self._settings.owner_cpu_share
        return sorted(node for node, cores in cores_by_node.items() if cores >= least_cores)

    def settled_nodes(self) -> list[NodeId]:
        """Return the nodes that take work and have been ready for long enough to be known to all.

        This node is included if that is so for itself.
        """
        settled = [
            peer.node
            for peer in self._peers.values()
            if peer.accepts_work
            and peer.node is not None
            and peer.last_heartbeat is not None
            and timedelta(milliseconds=peer.last_heartbeat.ready_for_ms)
            >= self._settings.owner_settle_time
        ]
        if not self._leaving and self._ready_for >= self._settings.owner_settle_time:
            settled.append(self._node)
        return sorted(settled)

    @property
    def is_known_as_settled(self) -> bool:
        """Whether this node has been settled for so long that its peers have heard of it."""
        known_after = self._settings.owner_settle_time + 2 * self.heartbeat_interval
        return not self._leaving and self._ready_for >= known_after

    def update_readiness(self, ready: bool, now: timedelta) -> timedelta:
        """Record whether this node is ready and return for how long it has been."""
        if not ready:
            self._ready_since = None
        elif self._ready_since is None:
            self._ready_since = now
        self._ready_for = now - self._ready_since if self._ready_since is not None else _ZERO
        return self._ready_for

    def leave(self) -> None:
        """Record that this node completes the work that it has and accepts no new work."""
        self._leaving = True

    def address_of(self, node: NodeId) -> str | None:
        """Return the peer address of a node, None unless the node is alive."""
        peer = self._by_node.get(node)
        return peer.address if peer is not None and peer.alive else None

    def add_addresses(self, addresses: Iterable[str], now: timedelta) -> None:
        """Add peer addresses from the store, from the seeds or from another node's heartbeat.

        Texts that are no address are ignored; no message could be sent to them.
        """
        for address in addresses:
            is_known = address == self._address or address in self._peers
            if not is_known and is_address(address):
                self._peers[address] = Peer(address, now)

    def receive_heartbeat(
        self, node: NodeId, incarnation: Incarnation, heartbeat: Heartbeat, now: timedelta
    ) -> list[FleetEffect]:
        """Record a heartbeat and return the resulting changes of its sender's state."""
        self.add_addresses((heartbeat.address, *heartbeat.peer_addresses), now)
        peer = self._peers.get(heartbeat.address)
        if peer is None:  # a previous process at this node's own address
            return []
        effects: list[FleetEffect] = []
        if peer.alive and peer.incarnation != incarnation:
            effects.append(PeerLost(peer.node or node, "restarted"))
            peer.alive = False
        peer.node, peer.incarnation = node, incarnation
        peer.last_message_at = peer.heard_at = now
        peer.last_heartbeat = heartbeat
        self._by_node[node] = peer
        if not peer.alive:
            peer.alive = True
            peer.leaving = False
            effects.append(PeerJoined(node, peer.address))
        elif peer.on_trial:
            effects.append(PeerHeardAgain(node))
        peer.on_trial = False
        if heartbeat.leaving and not peer.leaving:
            peer.leaving = True
            effects.append(PeerLeaving(node))
        if self._address in heartbeat.unheard and self._is_news_that_unheard(peer, now):
            peer.unheard_at = now
            effects.append(PeerCannotHear(node, peer.address))
        return effects

    def _is_news_that_unheard(self, peer: Peer, now: timedelta) -> bool:
        """Whether the peer had time to hear this node since it last said that it does not."""
        return peer.unheard_at is None or now - peer.unheard_at > self._silence_limit(peer)

    def record_message(self, node: NodeId, incarnation: Incarnation, now: timedelta) -> None:
        """Count any message from the current process of a live node as a sign of life."""
        peer = self._by_node.get(node)
        if peer is not None and peer.alive and peer.incarnation == incarnation:
            peer.last_message_at = peer.heard_at = now

    def has_message_since(self, node: NodeId, since: timedelta) -> bool:
        """Whether a message from a node has arrived after ``since``."""
        peer = self._by_node.get(node)
        return (
            peer is not None and peer.last_message_at is not None and peer.last_message_at > since
        )

    def try_again(self, node: NodeId) -> list[FleetEffect]:
        """Try a live node that does not answer over a new connection, once until it is heard."""
        peer = self._by_node.get(node)
        if peer is None or not peer.alive or peer.on_trial:
            return []
        peer.on_trial = True
        return [PeerSilent(node, peer.address)]

    def tick(self, now: timedelta) -> list[FleetEffect]:
        """Return the nodes that are newly silent or lost, and drop addresses that stay silent."""
        effects: list[FleetEffect] = []
        for address, peer in list(self._peers.items()):
            last_seen = peer.last_message_at if peer.last_message_at is not None else peer.added_at
            if peer.alive and now - last_seen > self._silence_limit(peer):
                peer.alive = False
                assert peer.node is not None
                reason = f"silent for {(now - last_seen).total_seconds():.2f} s"
                effects.append(PeerLost(peer.node, reason, address))
            elif peer.alive and peer.node is not None:
                trial_after = self._silence_limit(peer) * self._settings.trial_share
                if now - last_seen > trial_after:
                    effects += self.try_again(peer.node)
            if not peer.alive and now - last_seen > self._settings.forget_after:
                del self._peers[address]
                if peer.node is not None and self._by_node.get(peer.node) is peer:
                    del self._by_node[peer.node]
        return effects

    def _silence_limit(self, peer: Peer) -> timedelta:
        """Return the silence after which a peer counts as lost.

        The peer's own interval is taken into account: a peer that knows more nodes than this one
        sends less often.
        """
        announced = (
            timedelta(milliseconds=peer.last_heartbeat.interval_ms)
            if peer.last_heartbeat is not None
            else _ZERO
        )
        return max(self.heartbeat_interval, announced) * self._settings.silence_heartbeats

    def compensate_pause(self, paused: timedelta, now: timedelta) -> None:
        """Move the time of each peer's last message forward by a pause that ends at ``now``.

        Peers do not seem silent because this process was not running.
        """
        self._resumed_at = now
        for peer in self._peers.values():
            if peer.last_message_at is not None:
                peer.last_message_at += paused

    def gossip(self) -> tuple[str, ...]:
        """Return a random sample of the peer addresses of live nodes."""
        alive = [peer.address for peer in self.alive]
        return tuple(self._rng.sample(alive, min(len(alive), self._settings.gossiped_peers)))

    def unheard(self) -> tuple[str, ...]:
        """Return a random sample of the addresses of peers that were alive and are silent."""
        silent = [
            peer.address
            for peer in self._peers.values()
            if peer.on_trial or (not peer.alive and peer.last_message_at is not None)
        ]
        return tuple(self._rng.sample(silent, min(len(silent), self._settings.stated_unheard)))

    def endpoints(
        self,
        own_address: str | None,
        limit: int,
        now: timedelta,
        may_name: Callable[[ZoneId], bool] = lambda _: True,
    ) -> list[str]:
        """Return up to ``limit`` caller addresses of ready nodes in random order.

        ``own_address`` is included unless None, and peers unless ``may_name`` excludes their zone.
        Nodes of all other zones are returned, since the load of a zone may exceed the capacity of
        its nodes. Crossing zones takes about a thousandth of the
        shortest target latency.
        """
        addresses = [
            peer.last_heartbeat.caller_address
            for peer in self._peers.values()
            if peer.accepts_work
            and peer.last_heartbeat is not None
            and self._is_current(peer, now)
            and may_name(ZoneId(peer.last_heartbeat.zone))
        ]
        if own_address is not None:
            addresses.append(own_address)
        self._rng.shuffle(addresses)
        return addresses[:limit]

    def _is_current(self, peer: Peer, now: timedelta) -> bool:
        """Whether look-up answers may name a live peer, which may be silent for a while."""
        if self._lookup_bounds is None or peer.heard_at is None:
            return True
        return self._lookup_bounds.may_name(peer.heard_at, self._resumed_at, now)
