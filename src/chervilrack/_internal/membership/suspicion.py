"""Failure detection: members from which a majority of witnesses receives no heartbeats."""

from collections.abc import Iterable
from datetime import timedelta

from chervilrack._internal.common.ids import Epoch, NodeId
from chervilrack._internal.membership.messages import SilentMember
from chervilrack._internal.membership.state import MembershipSettings, View
from chervilrack._internal.membership.witnesses import majority, removal_order

MILLISECOND = timedelta(milliseconds=1)


class FailureDetector:
    """Times of the last heartbeats of members, and the members that other witnesses suspect."""

    def __init__(self, node: NodeId, settings: MembershipSettings) -> None:
        self._node = node
        self._settings = settings
        self._last_heartbeat: dict[NodeId, timedelta] = {}
        self._last_confirmed: dict[NodeId, timedelta] = {}
        # Kept apart from this node's own observations, because otherwise two relays could repeat
        # each other's reports of a failed member, which would then never be suspected.
        self._last_heard_by_relay: dict[NodeId, timedelta] = {}
        self._witness_reports: dict[NodeId, tuple[timedelta, Epoch, frozenset[NodeId]]] = {}
        self._candidate_since: dict[NodeId, timedelta] = {}

    def adopt(
        self, view: View, previous: View | None, received_heartbeats: bool, now: timedelta
    ) -> None:
        """Adopt ``view`` and start the timers of new members.

        ``received_heartbeats`` says whether this node also received heartbeats in the previous
        view. If not, the timers of all members start.
        """
        for member in view.members:
            if not received_heartbeats or previous is None or not previous.has(member.process):
                self._last_heartbeat[member.node] = now
                self._last_confirmed[member.node] = now
        nodes = {member.node for member in view.members}
        for table in (
            self._last_heartbeat,
            self._last_confirmed,
            self._last_heard_by_relay,
            self._witness_reports,
            self._candidate_since,
        ):
            for node in [node for node in table if node not in nodes]:
                del table[node]

    def reset_timers(self, now: timedelta) -> None:
        """Restart all timers, because this node was paused or cut off and its data is stale."""
        self._last_heartbeat = dict.fromkeys(self._last_heartbeat, now)
        self._last_confirmed = dict.fromkeys(self._last_confirmed, now)
        self._witness_reports.clear()

    def record_heartbeat(self, node: NodeId, confirmed: bool, now: timedelta) -> None:
        """Record a heartbeat of ``node``; ``confirmed`` says whether the node may act.

        Heartbeats of a node that has been unconfirmed for the suspicion timeout do not count. Such
        a node receives no replies or lacks the release, so that it does not serve what it owns.
        """
        if confirmed:
            self._last_confirmed[node] = now
        unconfirmed = now - self._last_confirmed.get(node, now)
        if unconfirmed < self._settings.suspicion_timeout:
            self._last_heartbeat[node] = now

    def record_relay_report(
        self, nodes: Iterable[NodeId], silent: Iterable[SilentMember], now: timedelta
    ) -> None:
        """Record a relay's report on the ``nodes`` that it serves.

        The relay has recently received heartbeats from the nodes that ``silent`` does not list.
        """
        ages = {item.node: item.age_ms * MILLISECOND for item in silent}
        for node in nodes:
            last_heard = now - ages.get(node, timedelta(0))
            self._last_heard_by_relay[node] = max(
                last_heard, self._last_heard_by_relay.get(node, last_heard)
            )

    def record_witness_report(
        self, witness: NodeId, epoch: Epoch, suspected: Iterable[NodeId], now: timedelta
    ) -> None:
        """Record which members another witness suspects."""
        self._witness_reports[witness] = (now, epoch, frozenset(suspected))

    def silent(self, nodes: Iterable[NodeId], now: timedelta) -> tuple[SilentMember, ...]:
        """Return those of ``nodes`` whose last heartbeat is older than the heartbeat interval.

        ``nodes`` are the nodes that this node serves as a relay.
        """
        limit = self._settings.large_heartbeat_interval * 1.1
        ages = ((node, now - self._last_heartbeat.get(node, now)) for node in nodes)
        return tuple(SilentMember(node, age // MILLISECOND) for node, age in ages if age > limit)

    def suspected(self, now: timedelta) -> frozenset[NodeId]:
        """Return the members that this node suspects.

        Neither this node nor a relay has received their heartbeats for the suspicion timeout.
        """
        return frozenset(
            node
            for node, last_heard in self._last_heartbeat.items()
            if node != self._node
            and now - max(last_heard, self._last_heard_by_relay.get(node, last_heard))
            >= self._settings.suspicion_timeout
        )

    def suspected_by_majority(self, view: View, now: timedelta) -> frozenset[NodeId]:
        """Return the members that a majority of the witnesses suspects at the epoch of ``view``."""
        oldest_report = now - self._settings.suspicion_timeout / 2
        votes = [self.suspected(now)]
        for witness in view.witnesses:
            report = self._witness_reports.get(witness.node)
            if witness.node != self._node and report is not None:
                received_at, epoch, suspected = report
                if received_at >= oldest_report and epoch == view.epoch:
                    votes.append(suspected)
        needed = majority(len(view.witnesses))
        return frozenset(
            node for node in votes[0] if enough_to_remove(sum(node in v for v in votes), needed)
        )

    def due_removals(
        self, candidates: frozenset[NodeId], view: View, now: timedelta
    ) -> frozenset[NodeId]:
        """Return the candidates if this witness is to remove them now, according to its rank.

        Each live witness with a higher rank adds a delay, so that normally one node writes.
        """
        self._candidate_since = {node: self._candidate_since.get(node, now) for node in candidates}
        ranked = removal_order(view.witnesses, view.epoch)
        if not candidates or self._node not in ranked:
            return frozenset()
        before = ranked[: ranked.index(self._node)]
        rank = sum(node not in candidates for node in before)
        wait = rank * self._settings.rank_delay
        if not any(now - since >= wait for since in self._candidate_since.values()):
            return frozenset()
        return candidates


def enough_to_remove(votes: int, needed: int) -> bool:
    """Whether enough witnesses suspect a member for its removal."""
    return votes >= needed
