"""Outage grants, which permit orders on tickets in memory while the platform is unreachable."""

from datetime import timedelta

from chervilrack._internal.common.ids import Epoch
from chervilrack._internal.membership.messages import Heartbeat
from chervilrack._internal.membership.state import MembershipSettings, OutageGrant, Process, View
from chervilrack._internal.membership.witnesses import majority


class PlatformReachability:
    """Whether and since when this node cannot reach the platform."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._last_reached: timedelta | None = None
        self._reachable = True

    @property
    def reachable(self) -> bool:
        """Whether the last platform call succeeded; true before the first call."""
        return self._reachable

    def record_call(self, reachable: bool, now: timedelta) -> None:
        """Record the result of a platform call."""
        self._reachable = reachable
        if reachable or self._last_reached is None:
            self._last_reached = now

    def in_outage(self, now: timedelta) -> bool:
        """Whether the platform has been unreachable for long enough to permit outage grants."""
        return (
            not self._reachable
            and self._last_reached is not None
            and now - self._last_reached >= self._settings.outage_grant_delay
        )


class IssuedGrants:
    """Outage grants that this node has given as a witness."""

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
        """Grants whose tickets were reported as written; ``sent`` is the report's send time."""
        return tuple(OutageGrant(process, 0, sent) for process, sent in self._released.items())

    def process_heartbeat(
        self, sender: Process, heartbeat: Heartbeat, allowed: bool, now: timedelta
    ) -> bool:
        """Give or release a grant, as the heartbeat asks; return whether its request is granted.

        ``allowed`` says whether this witness may give a grant to ``sender``.
        """
        if heartbeat.no_tickets:
            self._written_before[sender] = max(heartbeat.sent, self._written_before.get(sender, -1))
            grant = self._outstanding.get(sender)
            if grant is not None and grant.sent < heartbeat.sent:
                del self._outstanding[sender]
                self._released[sender] = heartbeat.sent
        if not heartbeat.grant_partitions or not allowed:
            return False
        if self._written_before.get(sender, -1) > heartbeat.sent:
            return False  # the request was sent before the report that its tickets are written
        earlier = self._outstanding.get(sender, OutageGrant(sender, 0, -1))
        self._outstanding[sender] = OutageGrant(
            sender,
            earlier.partitions | heartbeat.grant_partitions,
            max(earlier.sent, heartbeat.sent),
        )
        self._last_requested[sender] = now
        return True

    def expire(self, view: View, horizon: timedelta, now: timedelta) -> None:
        """Drop grants that were last requested more than ``horizon`` ago.

        Callers no longer repeat the orders of such grants.
        """
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
    """This node's request for an outage grant, with the votes of the witnesses."""

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
        """Whether this node certainly holds no unwritten tickets of an outage."""
        return not self._may_have_tickets and self._requested_at is None

    @property
    def requested_partitions(self) -> int:
        """Bit set of partitions to request in the next heartbeat; 0 without a request."""
        return self._requested_partitions if self._requested_at is not None else 0

    def set_partitions(self, partitions: int) -> None:
        """Set the partitions of the next request."""
        self._partitions = partitions

    def update(self, in_outage: bool, sent: int) -> None:
        """Start, widen or end the request, before the heartbeat that is sent at ``sent``.

        A request for further partitions needs new votes.
        """
        if not in_outage or not self._partitions:
            self.end()
        elif self._requested_at is None or self._partitions & ~self._requested_partitions:
            self._requested_partitions = self._partitions
            self._requested_at = sent
            self._votes.clear()
            self._granted = False

    def end(self) -> None:
        """End the request, because the platform is reachable again or the epoch has changed."""
        self._requested_at = None
        self._votes.clear()
        self._granted = False

    def vote(self, witness: Process, view: View, epoch: Epoch, sent: int) -> None:
        """Count the grant by ``witness`` of the heartbeat that was sent at ``sent``."""
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
        """Record that all tickets and outcomes of the outage are written to the platform."""
        if not self._granted:
            self._may_have_tickets = False


def enough_grants(votes: int, witnesses: int) -> bool:
    """Whether the votes are a majority of the witnesses."""
    return votes >= majority(witnesses)


def may_grant(confirmed: bool, in_outage: bool) -> bool:
    """Whether a witness may give a grant.

    The witness must confirm the requesting node, and must itself observe the outage.
    """
    return confirmed and in_outage
