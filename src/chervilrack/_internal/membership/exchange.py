"""Heartbeats and replies between nodes, and the evidence that these messages carry."""

from datetime import timedelta

from chervilrack._internal.common.effects import Send
from chervilrack._internal.common.ids import Epoch, NodeId, ReleaseRevision
from chervilrack._internal.membership.confirmation import MICROSECOND, Confirmation, confirms
from chervilrack._internal.membership.grants import (
    GrantRequest,
    IssuedGrants,
    PlatformReachability,
    may_grant,
)
from chervilrack._internal.membership.messages import Heartbeat, HeartbeatReply, ViewAnnounce
from chervilrack._internal.membership.peers import PeerStates
from chervilrack._internal.membership.sealing import Sealing
from chervilrack._internal.membership.state import Member, MembershipSettings, Process, View
from chervilrack._internal.membership.suspicion import FailureDetector
from chervilrack._internal.membership.witnesses import zone_relays

# After the tickets of an outage are written, a node sends its heartbeats to the witnesses for this
# time, to report that the grants can be released. More than one heartbeat is needed because a
# heartbeat can be lost. Relays cannot take the report, because only witnesses give grants.
GRANT_RELEASE_NOTICE_PERIOD = timedelta(seconds=10)


class HeartbeatExchange:
    """Heartbeat protocol of one node, in the roles of sender, witness and relay."""

    def __init__(self, member: Member, settings: MembershipSettings) -> None:
        self._process = member.process
        self._zone = member.zone
        self._settings = settings
        self.confirmation = Confirmation(settings)
        self.sealing = Sealing(settings)
        self.failure_detector = FailureDetector(member.node, settings)
        self.issued_grants = IssuedGrants()
        self.grant_request = GrantRequest()
        self.platform = PlatformReachability(settings)
        self.peer_states = PeerStates()
        self.release = ReleaseRevision(0)
        self._own_relays: tuple[Process, ...] = ()
        self._nodes_by_relay: dict[Process, tuple[NodeId, ...]] = {}
        self._next_witness_heartbeat = self._next_relay_heartbeat = timedelta(0)
        self._was_confirmed = False
        self._reported_release_majority = ReleaseRevision(0)
        self._contact_witnesses_until = timedelta(0)

    def adopt(self, view: View, previous: View | None, now: timedelta) -> None:
        """Adopt ``view`` and make the next heartbeats due at once."""
        received_heartbeats = previous is not None and self._receives_heartbeats(previous)
        self.failure_detector.adopt(view, previous, received_heartbeats, now)
        self.peer_states.retain(view)
        self.grant_request.end()
        self.confirmation.start_epoch(view, view.has(self._process))
        self.sealing.adopt(view, now)
        self.sealing.record_epoch(self._process, view.epoch, self.issued_grants.outstanding, now)
        self._nodes_by_relay = (
            _assign_nodes_to_relays(view, self._settings) if self._large(view) else {}
        )
        self._own_relays = tuple(
            p for p in self._nodes_by_relay if self._process.node in self._nodes_by_relay[p]
        )
        self._next_witness_heartbeat = self._next_relay_heartbeat = now
        self._reported_release_majority = ReleaseRevision(0)

    def announcements(self, view: View) -> list[Send]:
        """Return the announcements that spread ``view``.

        Witnesses send them to relays, relays to the nodes they serve. Without relays, witnesses
        send them to all members.
        """
        targets = set(self._nodes_by_relay.get(self._process, ()))
        if self._process in view.witnesses:
            recipients = self._nodes_by_relay or [member.process for member in view.members]
            targets.update(process.node for process in recipients)
        announcement = ViewAnnounce(view.epoch)
        return [Send(node, announcement) for node in sorted(targets - {self._process.node})]

    def heartbeats(self, view: View, now: timedelta) -> list[Send]:
        """Return the heartbeats that are due; a witness counts its own vote directly."""
        relay_due = bool(self._own_relays) and now >= self._next_relay_heartbeat
        witness_due = now >= self._next_witness_heartbeat
        if not relay_due and not witness_due:
            return []
        targets: list[Process] = []
        if relay_due:
            # Heartbeats to relays use the short interval, because the remaining validity that a
            # relay returns may already be shorter than the TTL by one interval of the relay.
            self._next_relay_heartbeat = now + self._settings.heartbeat_interval
            targets += self._own_relays
        if witness_due:
            self._next_witness_heartbeat = now + self._settings.interval(len(view.members))
            if self._sends_to_witnesses(view, now):
                targets += [witness for witness in view.witnesses if witness not in targets]
        self._reset_detector_if_reconfirmed(now)
        sent = self.confirmation.record_heartbeat(now)
        self.grant_request.update(self.platform.in_outage(now), sent)
        if not self.grant_request.no_tickets:
            self._contact_witnesses_until = now + GRANT_RELEASE_NOTICE_PERIOD
        heartbeat = self._heartbeat(view, sent, now)
        if self._process in view.witnesses:
            self._vote_for_self(view, heartbeat, now)
        return [Send(to.node, heartbeat) for to in targets if to != self._process]

    def receive_heartbeat(
        self, sender: Process, heartbeat: Heartbeat, view: View, now: timedelta
    ) -> HeartbeatReply:
        """Process a heartbeat and return the reply to it."""
        self.peer_states.record_message(sender, heartbeat.epoch, heartbeat.release, now)
        self.sealing.record_epoch(sender, heartbeat.epoch, heartbeat.outstanding_grants, now)
        if heartbeat.no_tickets:
            self.sealing.record_tickets_written(sender, heartbeat.sent)
        if view.has(sender):
            self._record_observations(sender, heartbeat, view, now)
        confirmed = confirms(view, self._process, self.release, sender, heartbeat)
        grant_allowed = may_grant(confirmed, self.platform.in_outage(now))
        return HeartbeatReply(
            to=sender.incarnation,
            epoch=view.epoch,
            release=self.release,
            sent=heartbeat.sent,
            sealed=self.sealing.sealed_through,
            accepted=self.release_majority(view),
            confirmed=confirmed,
            remaining=self._relay_validity(sender, heartbeat, view, now) // MICROSECOND,
            granted=self.issued_grants.process_heartbeat(sender, heartbeat, grant_allowed, now),
            outstanding_grants=self.issued_grants.outstanding,
            doubtful=self.sealing.doubtful_epochs,
            released_grants=self.issued_grants.released,
        )

    def receive_reply(
        self, sender: Process, reply: HeartbeatReply, view: View, now: timedelta
    ) -> None:
        """Process a reply.

        Votes and validity in replies to an earlier process of this node are ignored.
        """
        self.peer_states.record_message(sender, reply.epoch, reply.release, now)
        self.sealing.record_epoch(sender, reply.epoch, reply.outstanding_grants, now)
        self.sealing.apply_peer_knowledge(
            Epoch(min(reply.sealed, view.epoch - 1)), reply.doubtful, now
        )
        if reply.epoch == view.epoch:
            self._reported_release_majority = max(self._reported_release_majority, reply.accepted)
        for grant in reply.released_grants:
            self.sealing.record_tickets_written(grant.process, grant.sent)
        if reply.to != self._process.incarnation or not view.has(self._process):
            return
        if reply.confirmed:
            self.confirmation.vote(sender, reply.epoch, reply.sent)
        if reply.granted:
            self.grant_request.vote(sender, view, reply.epoch, reply.sent)
        if reply.remaining and sender in self._own_relays:
            self.confirmation.record_relayed_validity(
                reply.epoch, reply.sent, reply.remaining * MICROSECOND
            )

    def housekeeping(self, view: View, now: timedelta) -> None:
        """Drop state that has expired."""
        self.sealing.expire(view, now)
        horizon = self._settings.retry_horizon * (1 + self._settings.clock_margin)
        self.issued_grants.expire(view, horizon, now)

    def release_majority(self, view: View) -> ReleaseRevision:
        """Return the highest release that a majority of witnesses has applied.

        The majority is required in the view and in each unsealed epoch, because nodes can still
        be confirmed at these epochs.
        """
        own = {self._process: self.release}
        witness_sets = [(view.epoch, view.witnesses)]
        witness_sets += [(item.epoch, item.witnesses) for item in self.sealing.unsealed]
        own_release_majority = min(
            self.peer_states.release_majority(witnesses, epoch, own)
            for epoch, witnesses in witness_sets
        )
        return max(own_release_majority, self._reported_release_majority)

    def _heartbeat(self, view: View, sent: int, now: timedelta) -> Heartbeat:
        is_witness = self._process in view.witnesses
        served_nodes = self._nodes_by_relay.get(self._process, ())
        return Heartbeat(
            epoch=view.epoch,
            release=self.release,
            sent=sent,
            sealed=self.sealing.sealed_through,
            confirmed=self._is_confirmed(now),
            silent=self.failure_detector.silent(served_nodes, now),
            suspected=tuple(sorted(self.failure_detector.suspected(now)))
            if is_witness and self._is_confirmed(now)
            else (),
            grant_partitions=self.grant_request.requested_partitions,
            no_tickets=self.grant_request.no_tickets,
            outstanding_grants=self.issued_grants.outstanding,
        )

    def _vote_for_self(self, view: View, heartbeat: Heartbeat, now: timedelta) -> None:
        if confirms(view, self._process, self.release, self._process, heartbeat):
            self.confirmation.vote(self._process, view.epoch, heartbeat.sent)
            grant_allowed = may_grant(True, self.platform.in_outage(now))
            if self.issued_grants.process_heartbeat(self._process, heartbeat, grant_allowed, now):
                self.grant_request.vote(self._process, view, view.epoch, heartbeat.sent)

    def _record_observations(
        self, sender: Process, heartbeat: Heartbeat, view: View, now: timedelta
    ) -> None:
        self.failure_detector.record_heartbeat(sender.node, heartbeat.confirmed, now)
        if sender in view.witnesses:
            self.failure_detector.record_witness_report(
                sender.node, heartbeat.epoch, heartbeat.suspected, now
            )
        served_nodes = self._nodes_by_relay.get(sender)
        if served_nodes and heartbeat.epoch == view.epoch:
            self.failure_detector.record_relay_report(served_nodes, heartbeat.silent, now)

    def _relay_validity(
        self, sender: Process, heartbeat: Heartbeat, view: View, now: timedelta
    ) -> timedelta:
        serves_sender = sender.node in self._nodes_by_relay.get(self._process, ())
        sender_follows_view = heartbeat.epoch == view.epoch and view.has(sender)
        if (
            not serves_sender
            or not sender_follows_view
            or heartbeat.release < max(self.release, view.release)
        ):
            return timedelta(0)
        return self.confirmation.remaining(now)

    def _sends_to_witnesses(self, view: View, now: timedelta) -> bool:
        """Whether this node sends heartbeats to the witnesses itself.

        A node that is served by relays does so only if it is a witness of the view or of an
        unsealed epoch, if the relays do not keep its validity up, or around an outage grant.
        """
        until = self.confirmation.valid_until
        validity_is_low = until is None or until - now < self._settings.confirmation_ttl / 8
        return (
            not self._own_relays
            or self._process in view.witnesses
            or self._process in self.sealing.sealing_witnesses
            or validity_is_low
            or now < self._contact_witnesses_until
        )

    def _reset_detector_if_reconfirmed(self, now: timedelta) -> None:
        """Reset the failure detector when this node regains the right to act.

        Without this right the node may have been cut off, so that its observations do not count.
        """
        confirmed = self._is_confirmed(now)
        if confirmed and not self._was_confirmed:
            self.failure_detector.reset_timers(now)
        self._was_confirmed = confirmed

    def _is_confirmed(self, now: timedelta) -> bool:
        until = self.confirmation.valid_until
        return until is not None and now < until

    def _receives_heartbeats(self, view: View) -> bool:
        return self._process in view.witnesses or bool(self._nodes_by_relay.get(self._process))

    def _large(self, view: View) -> bool:
        return len(view.members) > self._settings.relay_threshold


def _assign_nodes_to_relays(
    view: View, settings: MembershipSettings
) -> dict[Process, tuple[NodeId, ...]]:
    """Return the nodes that each relay serves: those of its zone that are not relays."""
    result: dict[Process, tuple[NodeId, ...]] = {}
    for zone in {member.zone for member in view.members}:
        relays = zone_relays(view, zone, settings.relays_per_zone)
        nodes = [member.node for member in view.members if member.zone == zone]
        others = tuple(node for node in nodes if node not in {relay.node for relay in relays})
        result.update(dict.fromkeys(relays, others))
    return result
