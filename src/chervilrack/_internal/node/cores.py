"""The decision cores of one node and the routes of events and effects between them."""

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

# Up to this many members all nodes exchange heartbeats and release announcements directly.
DIRECT_PEERS = 12

ConfigurationListener = Callable[[Configuration], None]


class NodeCores:
    """Membership, releases and limits of one node behind one reactor.

    Effects that need the platform are added by ``PlatformLink``; those of orders by ``OrderLink``.
    """

    def __init__(
        self,
        node: NodeId,
        peer_address: str,
        reactor: Reactor,
        members: Membership,
        limit_policy: LimitPolicy,
        transport: PeerTransport,
        telemetry: Telemetry,
        clock: Clock,
    ) -> None:
        self._node = node
        self._peer_address = peer_address
        self._reactor = reactor
        self._membership = members
        self._limits = limit_policy
        self._releases = release_core.ReleaseLog()
        self._transport = transport
        self._clock = clock
        self._listeners: list[ConfigurationListener] = []
        self._capacity_listeners: list[Callable[[], None]] = []
        self._view_listeners: list[Callable[[member_messages.ViewAdopted], None]] = []
        self._active_listeners: list[Callable[[member_messages.EpochActive], None]] = []
        self._message_routes: dict[type[msgspec.Struct], Callable[[Envelope], None]] = {}
        self._head_revisions: dict[int, int] = {}
        for effect, handler in (
            (Send, lambda effect: transport.send(effect.to, effect.message)),
            (ActionTaken, telemetry.action),
            (member_messages.ContactSeed, self._contact),
            (member_messages.ViewAdopted, self._adopt_view),
            (member_messages.EpochActive, self._activate),
            (release_core.ConfigurationChanged, self._change_configuration),
            (limit_messages.CapacityGained, self._gain_capacity),
        ):
            reactor.on(effect, handler)
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
        """Limits of this node."""
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
        self._listeners.append(listener)

    def on_capacity(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` under the lock when permits have become free."""
        self._capacity_listeners.append(listener)

    def on_view(self, listener: Callable[[member_messages.ViewAdopted], None]) -> None:
        """Call ``listener`` under the lock after each adopted view."""
        self._view_listeners.append(listener)

    def on_epoch_active(self, listener: Callable[[member_messages.EpochActive], None]) -> None:
        """Call ``listener`` under the lock after each activation of an epoch."""
        self._active_listeners.append(listener)

    def route(self, message: type[msgspec.Struct], handler: Callable[[Envelope], None]) -> None:
        """Set the handler of one type of message from other nodes."""
        self._message_routes[message] = handler

    def has_route(self, message: type[msgspec.Struct]) -> bool:
        """Whether a type of message from other nodes has a handler."""
        return message in self._message_routes

    def receive(self, envelope: Envelope) -> None:
        """Take in a message from another node."""
        self._message_routes[type(envelope.message)](envelope)

    def note_head(self, revision: int, mod_revision: int) -> None:
        """Remember at which platform revision a release was recorded."""
        self._head_revisions = {revision: mod_revision}

    def submit(self, core: DecisionCore, event: Any) -> None:
        """Give an event to a core."""
        self._reactor.submit(core, event)

    def tick_membership(self) -> None:
        """Let time pass for membership; runs on its own thread."""
        self._reactor.submit(self._membership, member_messages.Tick())

    def tick_limits(self) -> None:
        """Let time pass for limits."""
        self._reactor.submit(self._limits, limit_messages.Tick())

    def tick(self) -> None:
        """Let time pass for releases."""
        self._reactor.submit(self._releases, release_core.Tick())

    def _route_messages(self) -> None:
        routes = {
            "membership": self._receive_membership,
            "limits": self._receive_limits,
            "releases": self._receive_release,
        }
        for part, handler in routes.items():
            for kind in message_types(part):
                self.route(kind, handler)
        for kind in (member_messages.Heartbeat, member_messages.HeartbeatReply):
            self.route(kind, self._receive_heartbeat)

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

    def _contact(self, effect: member_messages.ContactSeed) -> None:
        self._transport.send_to_address(effect.address, effect.message)

    def _adopt_view(self, effect: member_messages.ViewAdopted) -> None:
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
        nodes = frozenset(member.node for member in view.members)
        if len(nodes) <= DIRECT_PEERS:
            return nodes
        own = view.member(self._node)
        witnesses = {process.node for process in view.witnesses}
        return frozenset(
            member.node
            for member in view.members
            if member.node in witnesses or (own is not None and member.zone == own.zone)
        )

    def _activate(self, effect: member_messages.EpochActive) -> None:
        self._reactor.submit(self._limits, limit_messages.EpochActive(effect.epoch))
        for listener in self._active_listeners:
            listener(effect)

    def _change_configuration(self, effect: release_core.ConfigurationChanged) -> None:
        configuration = effect.configuration
        self._reactor.submit(self._limits, limit_messages.ConfigurationApplied(configuration))
        event = member_messages.ReleaseApplied(
            configuration.revision, self._head_revisions.get(configuration.revision)
        )
        self._reactor.submit(self._membership, event)
        for listener in self._listeners:
            listener(configuration)

    def _gain_capacity(self, effect: limit_messages.CapacityGained) -> None:
        for listener in self._capacity_listeners:
            listener()


def has_removal(view: View, previous: View | None) -> bool:
    """Whether a process left without having drained, as far as this node can tell.

    A process that was replaced by a newer incarnation has not drained. Without a previous view
    every recent departure counts, because its work may still run.
    """
    since = previous.epoch if previous is not None else 0
    if any(not entry.drained and entry.epoch >= since for entry in view.departed):
        return True
    drained = {(entry.node, entry.incarnation) for entry in view.departed if entry.drained}
    return previous is not None and any(
        not view.has(member.process) and (member.node, member.incarnation) not in drained
        for member in previous.members
    )


def confirmation_left(members: Membership, now: timedelta) -> float:
    """Return the seconds for which this node may still act, 0 without a confirmation."""
    until = members.confirmed_until
    return max(0.0, (until - now).total_seconds()) if until is not None else 0.0


def seeded(seed: int | None, purpose: str) -> random.Random:
    """Return a random number generator for one purpose; seeded in tests and experiments."""
    return random.Random(None if seed is None else f"{seed}/{purpose}")
