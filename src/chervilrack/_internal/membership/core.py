"""Decision core of membership, which turns events into effects."""

import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from chervilrack._internal.common.effects import ActionTaken, Send
from chervilrack._internal.common.ids import Epoch, NodeId, ReleaseRevision
from chervilrack._internal.membership import messages as m
from chervilrack._internal.membership.changes import ViewChange, first_view
from chervilrack._internal.membership.deltas import ViewHistory, apply_delta
from chervilrack._internal.membership.exchange import HeartbeatExchange
from chervilrack._internal.membership.joining import JoinSchedule
from chervilrack._internal.membership.state import (
    DoubtfulEpoch,
    Member,
    MembershipSettings,
    MemberState,
    Process,
    View,
)
from chervilrack._internal.membership.vms import StoppedVms
from chervilrack._internal.membership.witnesses import majority
from chervilrack._internal.membership.writing import ViewWriter

PART = "membership"
HOUSEKEEPING_INTERVAL = timedelta(seconds=10)
Effects = list[m.MembershipEffect]


class Membership:
    """Membership of one node. Not thread-safe: the caller holds one lock around each call.

    ``member`` describes this run of the node's process. ``handle`` takes an event and the
    monotonic time, and returns the effects, which the caller carries out in this order.
    """

    def __init__(self, member: Member, settings: MembershipSettings, rng: random.Random) -> None:
        self._member = member
        self._process = member.process
        self._settings = settings
        self._exchange = HeartbeatExchange(member, settings)
        self._joining = JoinSchedule(member.node, settings, rng)
        self._writer = ViewWriter(settings, rng)
        self._stopped_vms = StoppedVms(settings)
        self._history = ViewHistory()
        self._view: View | None = None
        self._is_member = False
        self._mod_revision = 0
        # 0 means that no release is recorded. A node that has applied no release expects this.
        self._head_mod_revision: int | None = 0
        self._active_epoch = Epoch(0)
        self._outage_granted = False
        self._doubtful_epochs: tuple[DoubtfulEpoch, ...] = ()
        self._leaving = self._drained = self._replaced = self._was_member = False
        self._own_vm_listed_stopped = False
        self._member_since: dict[Process, timedelta] = {}
        self._next_seed = 0
        self._next_seed_contact = timedelta(0)
        self._next_view_request: timedelta | None = None
        self._last_tick: timedelta | None = None
        self._next_housekeeping = timedelta(0)
        self._handlers: dict[type, Callable[[Any, timedelta], Effects]] = {
            m.ViewLearned: self._on_view_learned,
            m.ViewAbsent: self._on_view_absent,
            m.ViewWriteFinished: self._on_view_written,
            m.PeerMessage: self._on_message,
            m.Tick: self._on_tick,
            m.VmListLearned: self._on_vm_list,
            m.PlatformReachable: self._on_platform,
            m.ReleaseApplied: self._on_release,
            m.LeaveRequested: self._on_leave,
            m.Drained: self._on_drained,
            m.PartitionsOwned: self._on_partitions,
            m.OutageTicketsWritten: self._on_tickets_written,
        }

    @property
    def view(self) -> View | None:
        """View that this node has adopted, or None before the first view."""
        return self._view

    @property
    def mod_revision(self) -> int:
        """Platform revision of the view's record."""
        return self._mod_revision

    @property
    def epoch(self) -> Epoch:
        """Epoch of the view, or 0 before the first view."""
        return self._view.epoch if self._view else Epoch(0)

    @property
    def active_epoch(self) -> Epoch:
        """Highest epoch that this node knows to be active."""
        return self._active_epoch

    @property
    def confirmed_until(self) -> timedelta | None:
        """End of the right to act on this node's monotonic clock; None without this right."""
        return self._exchange.confirmation.valid_until if self.is_member else None

    @property
    def confirmed_epoch(self) -> Epoch:
        """Epoch at which the right to act was last extended."""
        return self._exchange.confirmation.epoch

    @property
    def is_member(self) -> bool:
        """Whether the view lists this run of the process as a member."""
        return self._is_member

    @property
    def is_witness(self) -> bool:
        """Whether the view lists this run of the process as a witness."""
        return self._view is not None and self._process in self._view.witnesses

    @property
    def outage_granted(self) -> bool:
        """Whether orders may run on tickets in memory, as long as ``may_act`` returns true."""
        return self._outage_granted

    @property
    def witness_release_majority(self) -> ReleaseRevision:
        """Highest release that a node must have applied to be confirmed.

        A majority of the witnesses of the view, and of the witnesses of each unsealed epoch, has
        applied this release. The release counts as accepted only if a later read finds the view
        still at ``mod_revision``.
        """
        return self._exchange.release_majority(self._view) if self._view else ReleaseRevision(0)

    def may_act(self, now: timedelta) -> bool:
        """Whether this node may start work at ``now``, which the caller reads directly before."""
        until = self.confirmed_until
        return until is not None and now < until

    def peer_status(self, now: timedelta) -> tuple[m.PeerStatus, ...]:
        """Return what this node knows of each other member."""
        if self._view is None:
            return ()
        return self._exchange.peer_states.status(self._view, now, self._process)

    def handle(self, event: m.MembershipEvent, now: timedelta) -> Effects:
        """Process one event and return the effects to carry out."""
        effects = self._handlers[type(event)](event, now)
        return effects + self._changes_to_report(now)

    def _on_view_learned(self, event: m.ViewLearned, now: timedelta) -> Effects:
        self._writer.record_read(now)
        effects = self._adopt(event.view, event.mod_revision, now)
        if self._view is not None and not self.is_member:
            effects += self._change_view(self._view, now)
        return effects

    def _on_view_absent(self, event: m.ViewAbsent, now: timedelta) -> Effects:
        if self._view is not None:
            return [
                ActionTaken(
                    PART, "ignore", "view", "the platform lost the view; keeping the adopted view"
                )
            ]
        self._writer.record_read(now)
        if self._leaving or not self._writer.ready(now):
            return []
        view = first_view(self._member, self._exchange.release, self._write_id())
        return [*self._writer.write(m.WriteView(view, 0, self._head_mod_revision))]

    def _on_view_written(self, event: m.ViewWriteFinished, now: timedelta) -> Effects:
        view = self._writer.finished(event.outcome, now)
        return self._adopt(view, event.mod_revision, now) if view else []

    def _on_message(self, event: m.PeerMessage, now: timedelta) -> Effects:
        sender = Process(event.sender, event.incarnation)
        if sender.node == self._process.node:
            return []
        match event.message:
            case m.Heartbeat() as heartbeat:
                return self._on_heartbeat(sender, heartbeat, now)
            case m.HeartbeatReply() as reply:
                return self._on_reply(sender, reply, now)
            case m.ViewAnnounce(epoch=epoch):
                return self._request_view(sender.node, epoch, now)
            case m.ViewRequest(epoch=epoch):
                return self._push_view(sender.node, epoch)
            case m.ViewDelta() | m.ViewPush() as push:
                return self._on_push(push, now)

    def _on_push(self, push: m.ViewDelta | m.ViewPush, now: timedelta) -> Effects:
        if isinstance(push, m.ViewPush):
            return self._adopt(push.view, push.mod_revision, now)
        if self._view is None or push.base != self._view.epoch:
            return []
        return self._adopt(apply_delta(self._view, push), push.mod_revision, now)

    def _on_heartbeat(self, sender: Process, heartbeat: m.Heartbeat, now: timedelta) -> Effects:
        if self._view is None:
            return self._request_view(sender.node, heartbeat.epoch, now)
        reply = self._exchange.receive_heartbeat(sender, heartbeat, self._view, now)
        return [
            Send(sender.node, reply),
            *self._request_view(sender.node, heartbeat.epoch, now),
        ]

    def _on_reply(self, sender: Process, reply: m.HeartbeatReply, now: timedelta) -> Effects:
        if self._view is None:
            return self._request_view(sender.node, reply.epoch, now)
        self._exchange.receive_reply(sender, reply, self._view, now)
        if reply.to == self._process.incarnation and sender in self._view.witnesses:
            self._joining.record_reply(sender, now)
        return self._request_view(sender.node, reply.epoch, now)

    def _on_tick(self, event: m.Tick, now: timedelta) -> Effects:
        paused = (
            self._last_tick is not None
            and now - self._last_tick > self._settings.suspicion_timeout / 2
        )
        self._last_tick = now
        if paused:
            self._exchange.failure_detector.reset_timers(now)
        if self._view is None:
            return [*self._contact_seed(now), *self._writer.due_reads(True, now)]
        if now >= self._next_housekeeping:
            self._next_housekeeping = now + HOUSEKEEPING_INTERVAL
            self._exchange.housekeeping(self._view, now)
        read_regularly = not self.may_act(now)
        return [
            *self._exchange.heartbeats(self._view, now),
            *self._writer.due_reads(read_regularly, now),
            *self._change_view(self._view, now),
        ]

    def _on_vm_list(self, event: m.VmListLearned, now: timedelta) -> Effects:
        self._own_vm_listed_stopped = self._process.node in event.stopped_nodes
        self._stopped_vms.apply_list(event.stopped_nodes, now)
        self._exchange.sealing.record_stopped(self._stopped_vms.stopped, now)
        return []

    def _on_platform(self, event: m.PlatformReachable, now: timedelta) -> Effects:
        self._exchange.platform.record_call(event.reachable, now)
        return []

    def _on_release(self, event: m.ReleaseApplied, now: timedelta) -> Effects:
        if event.revision >= self._exchange.release:
            self._exchange.release = event.revision
            self._head_mod_revision = event.head_mod_revision
        return []

    def _on_leave(self, event: m.LeaveRequested, now: timedelta) -> Effects:
        self._leaving = True
        self._joining.stop()
        return []

    def _on_drained(self, event: m.Drained, now: timedelta) -> Effects:
        self._leaving = self._drained = True
        return []

    def _on_partitions(self, event: m.PartitionsOwned, now: timedelta) -> Effects:
        self._exchange.grant_request.set_partitions(event.partitions)
        return []

    def _on_tickets_written(self, event: m.OutageTicketsWritten, now: timedelta) -> Effects:
        self._exchange.grant_request.record_tickets_written()
        return []

    def _adopt(self, view: View, mod_revision: int, now: timedelta) -> Effects:
        previous = self._view
        if previous is not None and view.epoch <= previous.epoch:
            return []
        self._view, self._mod_revision = view, mod_revision
        self._is_member = view.has(self._process)
        self._history.add(view)
        self._next_view_request = None
        own_member = view.member(self._process.node)
        if self.is_member:
            self._was_member = True
        elif own_member is not None and self._was_member:
            # A newer process of this node has replaced this process, which must not join again.
            self._replaced = True
        self._member_since = {
            member.process: self._member_since.get(member.process, now) for member in view.members
        }
        self._stopped_vms.adopt(view, now)
        self._exchange.adopt(view, previous, now)
        if self.is_member or self._leaving or self._replaced:
            self._joining.stop()
        else:
            self._joining.start(view, now)
        return [
            m.ViewAdopted(view, mod_revision, previous),
            *self._exchange.announcements(view),
        ]

    def _changes_to_report(self, now: timedelta) -> Effects:
        effects: Effects = []
        granted = self._exchange.grant_request.granted and self.is_member
        if granted != self._outage_granted:
            self._outage_granted = granted
            effects.append(m.OutageGrantChanged(granted, self.epoch))
        doubtful_epochs = self._exchange.sealing.doubtful_epochs
        if self.epoch > self._active_epoch and self._exchange.sealing.is_active(now):
            self._active_epoch, self._doubtful_epochs = self.epoch, doubtful_epochs
            effects.append(m.EpochActive(self.epoch, doubtful_epochs))
        elif doubtful_epochs != self._doubtful_epochs:
            self._doubtful_epochs = doubtful_epochs
            effects.append(m.DoubtfulEpochsChanged(doubtful_epochs))
        return effects

    def _change_view(self, view: View, now: timedelta) -> Effects:
        if not self._writer.ready(now) or not self._exchange.platform.reachable:
            return []
        change = ViewChange(view)
        actions = self._collect_changes(change, view, now)
        if not change.changed:
            return []
        next_view = change.build(
            self._settings, self._exchange.sealing, self._exchange.release, self._write_id()
        )
        effect = m.WriteView(next_view, self._mod_revision, self._head_mod_revision)
        return [*actions, *self._writer.write(effect)]

    def _collect_changes(self, change: ViewChange, view: View, now: timedelta) -> Effects:
        actions: Effects = []
        own_member = view.member(self._process.node)
        if self.is_member and own_member is not None:
            if self._drained:
                change.leave(own_member.node)
                actions.append(ActionTaken(PART, "leave", own_member.node, "drained"))
            elif self._leaving and own_member.state is MemberState.ACTIVE:
                change.mark_leaving(own_member.node)
                actions.append(
                    ActionTaken(PART, "mark leaving", own_member.node, "leave requested")
                )
        elif not self._own_vm_listed_stopped and self._joining.is_due(view, now):
            if not self._writer.recently_read(now):
                # Many nodes may join at the same time, so that a write that is based on an older
                # read of the view would mostly conflict.
                self._writer.request_read()
                return []
            self._joining.record_attempt(now)
            change.join(self._member)
            actions.append(ActionTaken(PART, "join", self._process.node, "not a member"))
        failed = self._members_to_remove(change.changed, view, now)
        if failed:
            change.fail(failed, self._long_lived_members(now))
            reason = "suspected by a majority of witnesses, or VM listed as stopped"
            actions += [ActionTaken(PART, "remove", node, reason) for node in sorted(failed)]
        return actions

    def _members_to_remove(
        self, view_changes_anyway: bool, view: View, now: timedelta
    ) -> frozenset[NodeId]:
        stopped_members = self._stopped_vms.stopped_members(view) - {self._process.node}
        if not self.is_witness:
            # A node that is no witness removes only members with a stopped VM: together with a
            # change of its own, or if too few witnesses are left for a majority.
            stopped_witnesses = sum(witness.node in stopped_members for witness in view.witnesses)
            live_witnesses = len(view.witnesses) - stopped_witnesses
            no_majority = live_witnesses < majority(len(view.witnesses))
            return stopped_members if view_changes_anyway or no_majority else frozenset()
        # A witness without the right to act may itself be cut off, so that its observations do
        # not count.
        suspected = (
            self._exchange.failure_detector.suspected_by_majority(view, now)
            if self.may_act(now)
            else frozenset()
        )
        return self._exchange.failure_detector.due_removals(stopped_members | suspected, view, now)

    def _long_lived_members(self, now: timedelta) -> frozenset[NodeId]:
        reset = self._settings.flap_reset
        return frozenset(p.node for p, at in self._member_since.items() if now - at >= reset)

    def _contact_seed(self, now: timedelta) -> Effects:
        if not self._settings.seeds or now < self._next_seed_contact:
            return []
        self._next_seed_contact = now + self._settings.seed_interval
        address = self._settings.seeds[self._next_seed % len(self._settings.seeds)]
        self._next_seed += 1
        return [m.ContactSeed(address, m.ViewRequest(Epoch(0), self._member.peer_address))]

    def _request_view(self, node: NodeId, epoch: Epoch, now: timedelta) -> Effects:
        waiting = self._next_view_request is not None and now < self._next_view_request
        if epoch <= self.epoch or waiting:
            return []
        self._next_view_request = now + self._settings.heartbeat_interval
        return [Send(node, m.ViewRequest(self.epoch, self._member.peer_address))]

    def _push_view(self, node: NodeId, epoch: Epoch) -> Effects:
        if self._view is None or self._view.epoch <= epoch:
            return []
        delta = self._history.delta(epoch, self._mod_revision)
        return [Send(node, delta or m.ViewPush(self._view, self._mod_revision))]

    def _write_id(self) -> str:
        prefix = f"{self._process.node}/{self._process.incarnation}"
        return self._writer.next_write_id(prefix)
