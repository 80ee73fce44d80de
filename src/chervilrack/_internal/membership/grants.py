"""Outage grants: permission to run orders on tickets in memory while the platform is away."""

from datetime import timedelta

from chervilrack._internal.common.ids import Epoch
from chervilrack._internal.membership.messages import Heartbeat
from chervilrack._internal.membership.state import MembershipSettings, OutageGrant, Process, View
from chervilrack._internal.membership.witnesses import majority


class PlatformReachability:
    """How long the platform has been away from this node."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._last_reached: timedelta | None = None
        self._reachable = True

    @property
    def reachable(self) -> bool:
        """Whether the last call succeeded; true before the first one."""
        return self._reachable

    def record_call(self, reachable: bool, now: timedelta) -> None:
        """Note the result of a platform call."""
        self._reachable = reachable
        if reachable or self._last_reached is None:
            self._last_reached = now

    def in_outage(self, now: timedelta) -> bool:
        """Whether the platform has not been reached for the time that permits grants."""
        return (
            not self._reachable
            and self._last_reached is not None
            and now - self._last_reached >= self._settings.outage_grant_delay
        )


class IssuedGrants:
    """Grants that this node holds as a witness until their tickets are reported written."""

    def __init__(self) -> None:
        self._outstanding: dict[Process, OutageGrant] = {}
        self._last_requested: dict[Process, timedelta] = {}
        self._written_before: dict[Process, int] = {}
        self._released: dict[Process, int] = {}

    @property
    def outstanding(self) -> tuple[OutageGrant, ...]:
        """Grants whose tickets are not known to be written."""
        return tuple(self._outstanding.values())

    @property
    def released(self) -> tuple[OutageGrant, ...]:
        """Grants whose tickets were reported written, with the time of the report."""
        return tuple(OutageGrant(process, 0, sent) for process, sent in self._released.items())

    def receive(self, sender: Process, heartbeat: Heartbeat, allowed: bool, now: timedelta) -> bool:
        """Give or release a grant; return whether the heartbeat's request is granted."""
        if heartbeat.no_tickets:
            self._written_before[sender] = max(heartbeat.sent, self._written_before.get(sender, -1))
            grant = self._outstanding.get(sender)
            if grant is not None and grant.sent < heartbeat.sent:
                del self._outstanding[sender]
                self._released[sender] = heartbeat.sent
        if not heartbeat.grant_partitions or not allowed:
            return False
        if self._written_before.get(sender, -1) > heartbeat.sent:
            return False  # an older request that arrives after its tickets were written
        earlier = self._outstanding.get(sender, OutageGrant(sender, 0, -1))
        self._outstanding[sender] = OutageGrant(
            sender,
            earlier.partitions | heartbeat.grant_partitions,
            max(earlier.sent, heartbeat.sent),
        )
        self._last_requested[sender] = now
        return True

    def expire(self, view: View, horizon: timedelta, now: timedelta) -> None:
        """Drop grants not asked for during ``horizon``: callers no longer repeat such orders."""
        for process in [p for p, at in self._last_requested.items() if now - at > horizon]:
            del self._last_requested[process]
            self._outstanding.pop(process, None)
            self._written_before.pop(process, None)
            self._released.pop(process, None)
        for process in [
            p for p in self._written_before if not view.has(p) and p not in self._last_requested
        ]:
            del self._written_before[process]


class GrantRequest:
    """This node's request for a grant and the votes for it."""

    def __init__(self) -> None:
        self._partitions = 0
        self._requested_partitions = 0
        self._requested_at: int | None = None
        self._votes: set[Process] = set()
        self._granted = False
        self._may_have_tickets = False

    @property
    def granted(self) -> bool:
        """Whether a majority of witnesses of the current epoch has granted the request."""
        return self._granted

    @property
    def no_tickets(self) -> bool:
        """Whether no ticket of an outage can be unwritten at this node."""
        return not self._may_have_tickets and self._requested_at is None

    @property
    def requested_partitions(self) -> int:
        """Partitions to ask for in the next heartbeat; 0 if no grant is wanted."""
        return self._requested_partitions if self._requested_at is not None else 0

    def set_partitions(self, partitions: int) -> None:
        """Set the partitions to ask for; a larger set needs new votes."""
        self._partitions = partitions

    def update(self, in_outage: bool, sent: int) -> None:
        """Start, widen or end the request before the heartbeat sent at ``sent``."""
        if not in_outage or not self._partitions:
            self.end()
        elif self._requested_at is None or self._partitions & ~self._requested_partitions:
            self._requested_partitions = self._partitions
            self._requested_at = sent
            self._votes.clear()
            self._granted = False

    def end(self) -> None:
        """End the request: the platform is back or the epoch has changed."""
        self._requested_at = None
        self._votes.clear()
        self._granted = False

    def vote(self, witness: Process, view: View, epoch: Epoch, sent: int) -> None:
        """Count a witness's grant."""
        if (
            self._requested_at is None
            or sent < self._requested_at
            or epoch != view.epoch
            or witness not in view.witnesses
        ):
            return
        self._votes.add(witness)
        if enough_grants(len(self._votes), len(view.witnesses)):
            self._granted = True
            self._may_have_tickets = True

    def record_tickets_written(self) -> None:
        """Note that all tickets and outcomes of the outage are on the platform."""
        if not self._granted:
            self._may_have_tickets = False


def enough_grants(votes: int, witnesses: int) -> bool:
    """Whether a majority of witnesses has granted."""
    return votes >= majority(witnesses)


def may_grant(confirmed: bool, in_outage: bool) -> bool:
    """Whether a witness may grant: it confirms the asker and misses the platform itself."""
    return confirmed and in_outage
