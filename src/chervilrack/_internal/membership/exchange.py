"""Heartbeats and their answers, and the evidence that they carry."""

from datetime import timedelta

from chervilrack._internal.common.effects import Send
from chervilrack._internal.common.ids import Epoch, NodeId, ReleaseRevision
from chervilrack._internal.membership.confirmation import MICROSECOND, Confirmation, confirms
from chervilrack._internal.membership.grants import (
    IssuedGrants,
    OwnGrant,
    PlatformContact,
    may_grant,
)
from chervilrack._internal.membership.messages import Heartbeat, HeartbeatReply, ViewAnnounce
from chervilrack._internal.membership.peers import Peers
from chervilrack._internal.membership.sealing import Sealing
from chervilrack._internal.membership.state import Member, MembershipSettings, Process, View
from chervilrack._internal.membership.suspicion import Suspicion
from chervilrack._internal.membership.witnesses import zone_relays

# Only witnesses give grants. They are told some more times that all tickets were written,
# because a heartbeat can be lost.
GRANT_LINGER = timedelta(seconds=10)


class Exchange:
    """State of this node's heartbeats as sender, witness and relay."""

    def __init__(self, member: Member, settings: MembershipSettings) -> None:
        self._process = member.process
        self._zone = member.zone
        self._settings = settings
        self.confirmation = Confirmation(settings)
        self.sealing = Sealing(settings)
        self.suspicion = Suspicion(member.node, settings)
        self.issued_grants = IssuedGrants()
        self.own_grant = OwnGrant()
        self.contact = PlatformContact(settings)
        self.peers = Peers()
        self.release = ReleaseRevision(0)
        self._relays: tuple[Process, ...] = ()
        self._vouches: dict[Process, tuple[NodeId, ...]] = {}
        self._next_witness = self._next_relay = timedelta(0)
        self._was_confirmed = False
        self._accepted = ReleaseRevision(0)
        self._grant_until = timedelta(0)

    def adopt(self, view: View, previous: View | None, now: timedelta) -> None:
        """Follow ``view``; the next heartbeats are due at once."""
        listened = previous is not None and self._listens(previous)
        self.suspicion.adopt(view, previous, listened, now)
        self.peers.retain(view)
        self.own_grant.end()
        self.confirmation.start_epoch(view, view.has(self._process))
        self.sealing.adopt(view, now)
        self.sealing.heard(self._process, view.epoch, self.issued_grants.held, now)
        self._vouches = _relay_zones(view, self._settings) if self._large(view) else {}
        self._relays = tuple(p for p in self._vouches if self._process.node in self._vouches[p])
        self._next_witness = self._next_relay = now
        self._accepted = ReleaseRevision(0)

    def announcements(self, view: View) -> list[Send]:
        """Return the hints that spread a view quickly: witnesses to relays, relays to nodes."""
        targets = set(self._vouches.get(self._process, ()))
        if self._process in view.witnesses:
            everyone = self._vouches or [member.process for member in view.members]
            targets.update(process.node for process in everyone)
        hint = ViewAnnounce(view.epoch)
        return [Send(node, hint) for node in sorted(targets - {self._process.node})]

    def heartbeats(self, view: View, now: timedelta) -> list[Send]:
        """Return the heartbeats that are due; a witness answers its own at once."""
        relay_due = bool(self._relays) and now >= self._next_relay
        witness_due = now >= self._next_witness
        if not relay_due and not witness_due:
            return []
        targets: list[Process] = []
        if relay_due:
            # Nodes ask relays at the short interval: a relay's remaining validity can be as low
            # as one of its own intervals less than the TTL when it answers.
            self._next_relay = now + self._settings.heartbeat_interval
            targets += self._relays
        if witness_due:
            self._next_witness = now + self._settings.interval(len(view.members))
            if self._reaches_witnesses(view, now):
                targets += [witness for witness in view.witnesses if witness not in targets]
        self._restart_suspicion(now)
        sent = self.confirmation.sent(now)
        self.own_grant.update(self.contact.away(now), sent)
        if not self.own_grant.no_tickets:
            self._grant_until = now + GRANT_LINGER
        heartbeat = self._heartbeat(view, sent, now)
        if self._process in view.witnesses:
            self._answer_own(view, heartbeat, now)
        return [Send(to.node, heartbeat) for to in targets if to != self._process]

    def receive(
        self, sender: Process, heartbeat: Heartbeat, view: View, now: timedelta
    ) -> HeartbeatReply:
        """Take a heartbeat in and return the answer to it."""
        self.peers.heard(sender, heartbeat.epoch, heartbeat.release, now)
        self.sealing.heard(sender, heartbeat.epoch, heartbeat.held, now)
        if heartbeat.no_tickets:
            self.sealing.tickets_written(sender, heartbeat.sent)
        if view.has(sender):
            self._observe(sender, heartbeat, view, now)
        confirmed = confirms(view, self._process, self.release, sender, heartbeat)
        allowed = may_grant(confirmed, self.contact.away(now))
        return HeartbeatReply(
            to=sender.incarnation,
            epoch=view.epoch,
            release=self.release,
            sent=heartbeat.sent,
            sealed=self.sealing.sealed_through,
            accepted=self.release_majority(view),
            confirmed=confirmed,
            remaining=self._relay_remaining(sender, heartbeat, view, now) // MICROSECOND,
            granted=self.issued_grants.receive(sender, heartbeat, allowed, now),
            held=self.issued_grants.held,
            doubtful=self.sealing.doubtful_epochs,
            written=self.issued_grants.released,
        )

    def receive_reply(
        self, sender: Process, reply: HeartbeatReply, view: View, now: timedelta
    ) -> None:
        """Take an answer in. Answers to an earlier run of this process are ignored."""
        self.peers.heard(sender, reply.epoch, reply.release, now)
        self.sealing.heard(sender, reply.epoch, reply.held, now)
        self.sealing.learn(Epoch(min(reply.sealed, view.epoch - 1)), reply.doubtful, now)
        if reply.epoch == view.epoch:
            self._accepted = max(self._accepted, reply.accepted)
        for holder in reply.written:
            self.sealing.tickets_written(holder.process, holder.sent)
        if reply.to != self._process.incarnation or not view.has(self._process):
            return
        if reply.confirmed:
            self.confirmation.vote(sender, reply.epoch, reply.sent)
        if reply.granted:
            self.own_grant.vote(sender, view, reply.epoch, reply.sent)
        if reply.remaining and sender in self._relays:
            self.confirmation.relayed(reply.epoch, reply.sent, reply.remaining * MICROSECOND)

    def housekeeping(self, view: View, now: timedelta) -> None:
        """Drop state that can no longer be used."""
        self.sealing.forget(view, now)
        horizon = self._settings.retry_horizon * (1 + self._settings.clock_margin)
        self.issued_grants.expire(view, horizon, now)

    def release_majority(self, view: View) -> ReleaseRevision:
        """Return the highest release that a majority of witnesses has applied.

        This must hold for the view and for each epoch that is not sealed, because nodes can
        still be confirmed there.
        """
        own = {self._process: self.release}
        sets = [(view.epoch, view.witnesses)]
        sets += [(item.epoch, item.witnesses) for item in self.sealing.unsealed]
        found = min(self.peers.release_majority(who, epoch, own) for epoch, who in sets)
        return max(found, self._accepted)

    def _heartbeat(self, view: View, sent: int, now: timedelta) -> Heartbeat:
        witness = self._process in view.witnesses
        vouched = self._vouches.get(self._process, ())
        return Heartbeat(
            epoch=view.epoch,
            release=self.release,
            sent=sent,
            sealed=self.sealing.sealed_through,
            confirmed=self._confirmed(now),
            silent=self.suspicion.silent(vouched, now),
            missing=tuple(sorted(self.suspicion.missing(now)))
            if witness and self._confirmed(now)
            else (),
            grant_partitions=self.own_grant.asked_partitions,
            no_tickets=self.own_grant.no_tickets,
            held=self.issued_grants.held,
        )

    def _answer_own(self, view: View, heartbeat: Heartbeat, now: timedelta) -> None:
        if confirms(view, self._process, self.release, self._process, heartbeat):
            self.confirmation.vote(self._process, view.epoch, heartbeat.sent)
            allowed = may_grant(True, self.contact.away(now))
            if self.issued_grants.receive(self._process, heartbeat, allowed, now):
                self.own_grant.vote(self._process, view, view.epoch, heartbeat.sent)

    def _observe(self, sender: Process, heartbeat: Heartbeat, view: View, now: timedelta) -> None:
        self.suspicion.heard(sender.node, heartbeat.confirmed, now)
        if sender in view.witnesses:
            self.suspicion.witness_report(sender.node, heartbeat.epoch, heartbeat.missing, now)
        vouched = self._vouches.get(sender)
        if vouched and heartbeat.epoch == view.epoch:
            self.suspicion.relay_report(vouched, heartbeat.silent, now)

    def _relay_remaining(
        self, sender: Process, heartbeat: Heartbeat, view: View, now: timedelta
    ) -> timedelta:
        relays_for = sender.node in self._vouches.get(self._process, ())
        fits = heartbeat.epoch == view.epoch and view.has(sender)
        if not relays_for or not fits or heartbeat.release < max(self.release, view.release):
            return timedelta(0)
        return self.confirmation.remaining(now)

    def _reaches_witnesses(self, view: View, now: timedelta) -> bool:
        """Whether to send to the witnesses directly: everyone but nodes served by relays.

        The latter also do so while they need or have a grant.
        """
        until = self.confirmation.until
        unserved = until is None or until - now < self._settings.confirmation_ttl / 8
        return (
            not self._relays
            or self._process in view.witnesses
            or self._process in self.sealing.sealing_witnesses
            or unserved
            or now < self._grant_until
        )

    def _restart_suspicion(self, now: timedelta) -> None:
        """Trust nothing observed while this node could not act: it may have been cut off."""
        confirmed = self._confirmed(now)
        if confirmed and not self._was_confirmed:
            self.suspicion.resume(now)
        self._was_confirmed = confirmed

    def _confirmed(self, now: timedelta) -> bool:
        until = self.confirmation.until
        return until is not None and now < until

    def _listens(self, view: View) -> bool:
        return self._process in view.witnesses or bool(self._vouches.get(self._process))

    def _large(self, view: View) -> bool:
        return len(view.members) > self._settings.relay_threshold


def _relay_zones(view: View, settings: MembershipSettings) -> dict[Process, tuple[NodeId, ...]]:
    """Return the nodes that each relay vouches for: those of its zone that are not relays."""
    result: dict[Process, tuple[NodeId, ...]] = {}
    for zone in {member.zone for member in view.members}:
        relays = zone_relays(view, zone, settings.relays_per_zone)
        nodes = [member.node for member in view.members if member.zone == zone]
        others = tuple(node for node in nodes if node not in {relay.node for relay in relays})
        result.update(dict.fromkeys(relays, others))
    return result
