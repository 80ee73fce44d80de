"""Failure suspicion: members that a majority of witnesses does not hear."""

from collections.abc import Iterable
from datetime import timedelta

from chervilrack._internal.common.ids import Epoch, NodeId
from chervilrack._internal.membership.messages import Silence
from chervilrack._internal.membership.state import MembershipSettings, View
from chervilrack._internal.membership.witnesses import majority, removal_order

MILLISECOND = timedelta(milliseconds=1)


class Suspicion:
    """When each member was last heard, and which members other witnesses miss."""

    def __init__(self, node: NodeId, settings: MembershipSettings) -> None:
        self._node = node
        self._settings = settings
        self._direct: dict[NodeId, timedelta] = {}
        # Kept apart from the node's own observations: two relays that repeat each other's
        # reports would otherwise keep a dead member alive for ever.
        self._confirmed: dict[NodeId, timedelta] = {}
        self._vouched: dict[NodeId, timedelta] = {}
        self._reports: dict[NodeId, tuple[timedelta, Epoch, frozenset[NodeId]]] = {}
        self._since: dict[NodeId, timedelta] = {}

    def adopt(self, view: View, previous: View | None, listens: bool, now: timedelta) -> None:
        """Start the timers of members that are new, or of all if the node starts listening.

        ``listens`` says that this node received heartbeats in the previous view as well.
        """
        for member in view.members:
            if not listens or previous is None or not previous.has(member.process):
                self._direct[member.node] = now
                self._confirmed[member.node] = now
        nodes = {member.node for member in view.members}
        for table in (self._direct, self._confirmed, self._vouched, self._reports, self._since):
            for node in [node for node in table if node not in nodes]:
                del table[node]

    def resume(self, now: timedelta) -> None:
        """Restart all timers after this node was paused or cut off: what it knows is old."""
        self._direct = dict.fromkeys(self._direct, now)
        self._confirmed = dict.fromkeys(self._confirmed, now)
        self._reports.clear()

    def heard(self, node: NodeId, confirmed: bool, now: timedelta) -> None:
        """Note a heartbeat.

        A node that has long been unconfirmed counts as silent: its requests arrive, but no
        answers reach it or it lacks the release, so that it blocks what it owns.
        """
        if confirmed:
            self._confirmed[node] = now
        unconfirmed = now - self._confirmed.get(node, now)
        if unconfirmed < self._settings.suspicion_timeout:
            self._direct[node] = now

    def relay_report(
        self, nodes: Iterable[NodeId], silent: Iterable[Silence], now: timedelta
    ) -> None:
        """Note which of a relay's ``nodes`` it has not heard lately; it has heard the others."""
        ages = {item.node: item.age_ms * MILLISECOND for item in silent}
        for node in nodes:
            at = now - ages.get(node, timedelta(0))
            self._vouched[node] = max(at, self._vouched.get(node, at))

    def witness_report(
        self, witness: NodeId, epoch: Epoch, missing: Iterable[NodeId], now: timedelta
    ) -> None:
        """Note which members another witness misses."""
        self._reports[witness] = (now, epoch, frozenset(missing))

    def silent(self, nodes: Iterable[NodeId], now: timedelta) -> tuple[Silence, ...]:
        """Return those of a relay's ``nodes`` that it has not heard for over a heartbeat."""
        limit = self._settings.large_heartbeat_interval * 1.1
        ages = ((node, now - self._direct.get(node, now)) for node in nodes)
        return tuple(Silence(node, age // MILLISECOND) for node, age in ages if age > limit)

    def missing(self, now: timedelta) -> frozenset[NodeId]:
        """Return the members from which nothing was heard for the suspicion timeout."""
        return frozenset(
            node
            for node, at in self._direct.items()
            if node != self._node
            and now - max(at, self._vouched.get(node, at)) >= self._settings.suspicion_timeout
        )

    def agreed(self, view: View, now: timedelta) -> frozenset[NodeId]:
        """Return the members that a majority of the view's witnesses misses at its epoch."""
        fresh = now - self._settings.suspicion_timeout / 2
        votes = [self.missing(now)]
        for witness in view.witnesses:
            report = self._reports.get(witness.node)
            if witness.node != self._node and report is not None:
                at, epoch, missing = report
                if at >= fresh and epoch == view.epoch:
                    votes.append(missing)
        needed = majority(len(view.witnesses))
        return frozenset(
            node for node in votes[0] if enough_missing(sum(node in v for v in votes), needed)
        )

    def due(self, candidates: frozenset[NodeId], view: View, now: timedelta) -> frozenset[NodeId]:
        """Return the candidates that this witness shall remove now, according to its rank.

        Each live witness ranked before this one adds a delay, so that normally one node writes.
        """
        self._since = {node: self._since.get(node, now) for node in candidates}
        ranked = removal_order(view.witnesses, view.epoch)
        if not candidates or self._node not in ranked:
            return frozenset()
        before = ranked[: ranked.index(self._node)]
        rank = sum(node not in candidates for node in before)
        wait = rank * self._settings.rank_delay
        if not any(now - since >= wait for since in self._since.values()):
            return frozenset()
        return candidates


def enough_missing(votes: int, needed: int) -> bool:
    """Whether enough witnesses miss a member to remove it."""
    return votes >= needed
