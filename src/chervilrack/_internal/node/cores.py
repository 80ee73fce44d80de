"""Decision cores of one node, and the routing of messages, events and effects between them."""

import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec

from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.effects import ActionTaken, Send
from chervilrack._internal.common.ids import NodeId
from chervilrack._internal.limits import messages as limit_messages
from chervilrack._internal.limits.policies import LimitPolicy
from chervilrack._internal.membership import messages as member_messages
from chervilrack._internal.membership.core import Membership
from chervilrack._internal.membership.state import View
from chervilrack._internal.node.codec import message_types
from chervilrack._internal.node.reactor import DecisionCore, Reactor
from chervilrack._internal.observability.port import Telemetry
from chervilrack._internal.peering.envelope import Envelope
from chervilrack._internal.peering.transport import PeerTransport
from chervilrack._internal.releases import core as release_core
from chervilrack._internal.releases.state import Configuration

# Up to this many members, every node exchanges heartbeats and release announcements with every
# other node directly.
MAX_FULL_MESH_MEMBERS = 12

ConfigurationListener = Callable[[Configuration], None]


class NodeCores:
    """Membership, releases and limits of one node behind one reactor.

    ``PlatformLink`` registers the handlers of effects that need the platform,
    ``NodeOrderCoordinator`` those of order effects.
    """

    def __init__(
        self,
        node: NodeId,
        peer_address: str,
        reactor: Reactor,
        membership: Membership,
        limit_policy: LimitPolicy,
        transport: PeerTransport,
        telemetry: Telemetry,
        clock: Clock,
    ) -> None:
        self._node = node
        self._peer_address = peer_address
        self._reactor = reactor
        self._membership = membership
        self._limits = limit_policy
        self._releases = release_core.ReleaseLog()
        self._transport = transport
        self._clock = clock
        self._configuration_listeners: list[ConfigurationListener] = []
        self._capacity_listeners: list[Callable[[], None]] = []
        self._view_listeners: list[Callable[[member_messages.ViewAdopted], None]] = []
        self._epoch_listeners: list[Callable[[member_messages.EpochActive], None]] = []
        self._message_routes: dict[type[msgspec.Struct], Callable[[Envelope], None]] = {}
        self._head_mod_revisions: dict[int, int] = {}
        for effect_type, handler in (
            (Send, lambda effect: transport.send(effect.to, effect.message)),
            (ActionTaken, telemetry.record_action),
            (member_messages.ContactSeed, self._contact_seed),
            (member_messages.ViewAdopted, self._apply_view),
            (member_messages.EpochActive, self._activate_epoch),
            (release_core.ConfigurationChanged, self._apply_configuration),
            (limit_messages.CapacityGained, self._notify_capacity_listeners),
        ):
            reactor.set_handler(effect_type, handler)
        self._route_messages()
        transport.set_reply_to(peer_address)

    @property
    def reactor(self) -> Reactor:
        """Reactor that runs the cores."""
        return self._reactor

    @property
    def membership(self) -> Membership:
        """Membership core."""
        return self._membership

    @property
    def releases(self) -> release_core.ReleaseLog:
        """Release core."""
        return self._releases

    @property
    def limits(self) -> LimitPolicy:
        """Limits core."""
        return self._limits

    @property
    def configuration(self) -> Configuration:
        """Configuration in force at this node."""
        return self._releases.configuration

    def may_act(self) -> bool:
        """Whether this node is confirmed now."""
        return self._membership.may_act(self._clock.monotonic())

    def on_configuration(self, listener: ConfigurationListener) -> None:
        """Call ``listener`` under the lock after each new configuration."""
        self._configuration_listeners.append(listener)

    def on_capacity(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` under the lock after permits have become free."""
        self._capacity_listeners.append(listener)

    def on_view(self, listener: Callable[[member_messages.ViewAdopted], None]) -> None:
        """Call ``listener`` under the lock after each adopted view."""
        self._view_listeners.append(listener)

    def on_epoch_active(self, listener: Callable[[member_messages.EpochActive], None]) -> None:
        """Call ``listener`` under the lock after each activation of an epoch."""
        self._epoch_listeners.append(listener)

    def route(
        self, message_type: type[msgspec.Struct], handler: Callable[[Envelope], None]
    ) -> None:
        """Set the handler of one type of message from other nodes."""
        self._message_routes[message_type] = handler

    def has_route(self, message_type: type[msgspec.Struct]) -> bool:
        """Whether a type of message from other nodes has a handler."""
        return message_type in self._message_routes

    def receive(self, envelope: Envelope) -> None:
        """Pass a message from another node to the handler of its type."""
        self._message_routes[type(envelope.message)](envelope)

    def record_head_revision(self, revision: int, mod_revision: int) -> None:
        """Store the platform revision at which the latest release was recorded."""
        self._head_mod_revisions = {revision: mod_revision}

    def submit(self, core: DecisionCore, event: Any) -> None:
        """Pass an event to a core and carry out the resulting effects."""
        self._reactor.submit(core, event)

    def tick_membership(self) -> None:
        """Submit a tick to membership; called on a thread of its own."""
        self._reactor.submit(self._membership, member_messages.Tick())

    def tick_limits(self) -> None:
        """Submit a tick to limits."""
        self._reactor.submit(self._limits, limit_messages.Tick())

    def tick_releases(self) -> None:
        """Submit a tick to releases."""
        self._reactor.submit(self._releases, release_core.Tick())

    def _route_messages(self) -> None:
        routes = {
            "membership": self._receive_membership,
            "limits": self._receive_limits,
            "releases": self._receive_release,
        }
        for component, handler in routes.items():
            for message_type in message_types(component):
                self.route(message_type, handler)
        for message_type in (member_messages.Heartbeat, member_messages.HeartbeatReply):
            self.route(message_type, self._receive_heartbeat)

    def _receive_heartbeat(self, envelope: Envelope) -> None:
        self._receive_membership(envelope)
        message: Any = envelope.message
        revision = release_core.PeerRevision(envelope.sender, message.release)
        self._reactor.submit(self._releases, revision)

    def _receive_membership(self, envelope: Envelope) -> None:
        message: Any = envelope.message
        event = member_messages.PeerMessage(envelope.sender, envelope.incarnation, message)
        self._reactor.submit(self._membership, event)

    def _receive_limits(self, envelope: Envelope) -> None:
        event = limit_messages.PeerMessage(envelope.sender, envelope.message)
        self._reactor.submit(self._limits, event)

    def _receive_release(self, envelope: Envelope) -> None:
        message: Any = envelope.message
        self._reactor.submit(self._releases, release_core.MessageReceived(envelope.sender, message))

    def _contact_seed(self, effect: member_messages.ContactSeed) -> None:
        self._transport.send_to_address(effect.address, effect.message)

    def _apply_view(self, effect: member_messages.ViewAdopted) -> None:
        view = effect.view
        self._transport.set_peers({member.node: member.peer_address for member in view.members})
        self._transport.set_reply_to("" if self._membership.is_member else self._peer_address)
        event = limit_messages.ViewAdopted(
            epoch=view.epoch,
            members=frozenset(member.node for member in view.members),
            active_members=frozenset(member.node for member in view.active_members()),
            member_removed=has_removal(view, effect.previous),
        )
        self._reactor.submit(self._limits, event)
        self._reactor.submit(self._releases, release_core.PeersChanged(self._release_peers(view)))
        for listener in self._view_listeners:
            listener(effect)

    def _release_peers(self, view: View) -> frozenset[NodeId]:
        """Return the nodes with which this node exchanges release announcements directly."""
        nodes = frozenset(member.node for member in view.members)
        if len(nodes) <= MAX_FULL_MESH_MEMBERS:
            return nodes
        own_member = view.member(self._node)
        witnesses = {process.node for process in view.witnesses}
        return frozenset(
            member.node
            for member in view.members
            if member.node in witnesses
            or (own_member is not None and member.zone == own_member.zone)
        )

    def _activate_epoch(self, effect: member_messages.EpochActive) -> None:
        self._reactor.submit(self._limits, limit_messages.EpochActive(effect.epoch))
        for listener in self._epoch_listeners:
            listener(effect)

    def _apply_configuration(self, effect: release_core.ConfigurationChanged) -> None:
        configuration = effect.configuration
        self._reactor.submit(self._limits, limit_messages.ConfigurationApplied(configuration))
        event = member_messages.ReleaseApplied(
            configuration.revision, self._head_mod_revisions.get(configuration.revision)
        )
        self._reactor.submit(self._membership, event)
        for listener in self._configuration_listeners:
            listener(configuration)

    def _notify_capacity_listeners(self, effect: limit_messages.CapacityGained) -> None:
        for listener in self._capacity_listeners:
            listener()


def has_removal(view: View, previous: View | None) -> bool:
    """Whether a process may have left the view without having drained.

    A process that was replaced by a newer incarnation has not drained. Without a previous view
    every recent departure counts, because its work may still run.
    """
    since_epoch = previous.epoch if previous is not None else 0
    if any(not entry.drained and entry.epoch >= since_epoch for entry in view.departed):
        return True
    drained = {(entry.node, entry.incarnation) for entry in view.departed if entry.drained}
    return previous is not None and any(
        not view.has(member.process) and (member.node, member.incarnation) not in drained
        for member in previous.members
    )


def confirmation_remaining_s(membership: Membership, now: timedelta) -> float:
    """Return the seconds until this node's confirmation expires, 0 without a confirmation."""
    expiry = membership.confirmed_until
    return max(0.0, (expiry - now).total_seconds()) if expiry is not None else 0.0


def create_rng(seed: int | None, purpose: str) -> random.Random:
    """Return a random number generator for one purpose; deterministic if ``seed`` is given."""
    return random.Random(None if seed is None else f"{seed}/{purpose}")
