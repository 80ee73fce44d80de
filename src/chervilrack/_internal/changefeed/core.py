"""Decides which nodes of a zone watch the store, and whether the feed keeps a node current."""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.changefeed.limits import ApplyLimits
from chervilrack._internal.changefeed.messages import RelayedChange, StoreProgress
from chervilrack._internal.common.hashing import rendezvous_order
from chervilrack._internal.common.ids import NodeId, ZoneId
from chervilrack._internal.common.positions import ORIGIN, StorePosition

_ZERO = timedelta(0)
_MILLISECOND = timedelta(milliseconds=1)


@dataclass(frozen=True, slots=True)
class FeedSettings:
    """Timing and size of the change feed."""

    limits: ApplyLimits = field(default_factory=ApplyLimits)

    # One watcher may be killed, frozen or cut off without an effect on the other nodes of its zone.
    watchers_per_zone: int = 2
    # In smaller zones every node watches the store.
    min_zone_nodes: int = 5
    # Nodes with less than this share of the processor time of the largest node of the zone do not
    # watch: a watcher sends messages to all nodes of its zone.
    watcher_cpu_share: float = 0.5
    # Changes with more bytes of values are only announced, and each node reads them from the store,
    # whose link is faster than those of the nodes.
    max_relayed_bytes: int = 8192


@dataclass(frozen=True, slots=True)
class ZoneMember:
    """A live node of this node's zone; ``can_watch`` is whether it is ready and not leaving."""

    node: NodeId
    address: str
    cpu_cores: float
    can_watch: bool


class ChangeFeed:
    """The change feed as one node sees it. Times are monotonic."""

    def __init__(self, node: NodeId, zone: ZoneId, settings: FeedSettings | None = None) -> None:
        self._node = node
        self._zone = zone
        self._settings = settings or FeedSettings()
        self._watchers: frozenset[NodeId] = frozenset((node,))
        self._recipients: tuple[str, ...] = ()
        # Time of the store's latest answer to a watcher of this zone, and to each of them.
        self._answered_at: timedelta | None = None
        self._answers: dict[NodeId, timedelta] = {}
        # Newest position that a watcher of this zone, or any other node, has announced.
        self._announced = ORIGIN
        self._known_elsewhere = ORIGIN
        # Newest position whose changes a watcher has left out for their size.
        self._omitted = ORIGIN
        self._lagging_since: timedelta | None = None
        self._next_keepalive = timedelta(0)

    @property
    def is_watcher(self) -> bool:
        """Whether this node watches the store for its zone."""
        return self._node in self._watchers

    @property
    def answered_at(self) -> timedelta | None:
        """Time of the store's latest answer to a watcher of the zone, as its messages state it."""
        return self._answered_at

    @property
    def recipients(self) -> tuple[str, ...]:
        """Peer addresses to which this node passes changes on; empty unless it is a watcher."""
        return self._recipients

    def set_members(self, members: Sequence[ZoneMember]) -> None:
        """Choose the watchers among the live nodes of the zone, this one included."""
        settings = self._settings
        candidates = [member for member in members if member.can_watch]
        if len(members) < settings.min_zone_nodes or not candidates:
            self._watchers, self._recipients = frozenset((self._node,)), ()
            return
        least_cores = max(m.cpu_cores for m in candidates) * settings.watcher_cpu_share
        names = [member.node for member in candidates if member.cpu_cores >= least_cores]
        order = rendezvous_order(self._zone, names)
        known = {member.node for member in members}
        self._answers = {node: at for node, at in self._answers.items() if node in known}
        self._watchers = frozenset(NodeId(name) for name in order[: settings.watchers_per_zone])
        self._recipients = (
            tuple(member.address for member in members if member.node != self._node)
            if self.is_watcher
            else ()
        )

    def count_watchers(self, zone_sizes: Iterable[int]) -> int:
        """Return the number of nodes that watch the store, from the numbers of nodes by zone."""
        settings = self._settings
        return sum(
            size if size < settings.min_zone_nodes else settings.watchers_per_zone
            for size in zone_sizes
        )

    def is_current(self, position: StorePosition, now: timedelta) -> bool:
        """Whether the feed keeps a copy of the store at this position current.

        If it does not, the node has to watch the store itself. Watchers always have to.
        """
        until = self.current_until(position)
        return until is not None and now <= until

    def current_until(self, position: StorePosition) -> timedelta | None:
        """Return the time until which ``is_current`` holds without a further message.

        None means that it does not hold now.
        """
        if self.is_watcher or self._answered_at is None or position < self._announced:
            return None
        limits = self._settings.limits
        until = self._answered_at + limits.max_age
        if position >= self._known_elsewhere:
            self._lagging_since = None
        if self._lagging_since is not None:
            until = min(until, self._lagging_since + limits.lag_limit)
        return until

    def lacks_large_changes(self, position: StorePosition) -> bool:
        """Whether changes were left out of the feed for their size after this position.

        A node that has fallen behind would read each of them with a watch, and only the newest one
        of each key with a listing.
        """
        return not self.is_watcher and position < self._omitted

    def has_missed_outage(
        self,
        sender: NodeId,
        progress: StoreProgress,
        own_answer_at: timedelta | None,
        now: timedelta,
    ) -> bool:
        """Whether the store was away for the sender, and answered no other watcher meanwhile.

        ``own_answer_at`` is the time of its last answer to this node itself. ``receive`` has to be
        called afterwards.
        """
        if not progress.regained:
            return False
        began = now - progress.outage_ms * _MILLISECOND
        answers = [at for node, at in self._answers.items() if node != sender]
        if own_answer_at is not None:
            answers.append(own_answer_at)
        return not any(at > began for at in answers)

    def is_outdated(self, progress: StoreProgress, position: StorePosition) -> bool:
        """Whether a watcher's message is of an older era than the node's copy, and is dropped.

        The watcher has not noticed yet that the store has come back from a copy.
        """
        return progress.era < position.era

    def receive(
        self, sender: NodeId, progress: StoreProgress, position: StorePosition, now: timedelta
    ) -> tuple[RelayedChange, ...]:
        """Record the message of a watcher; return the changes that the node has to apply.

        ``position`` is that of the node's copy. If changes before those of the message are missing,
        none are returned, and ``is_current`` is false until the node has read them from the store.
        Messages of older eras are ignored.
        """
        if self.is_outdated(progress, position):
            return ()
        answered_at = now - progress.age_ms * _MILLISECOND
        if self._answered_at is None or answered_at > self._answered_at:
            self._answered_at = answered_at
        self._answers[sender] = max(answered_at, self._answers.get(sender, answered_at))
        announced = progress.position
        self._announced = max(self._announced, announced)
        if progress.omits_changes:
            self._omitted = max(self._omitted, announced)
        if announced <= position or announced.at(progress.previous) > position:
            return ()
        return tuple(
            change for change in progress.changes if announced.at(change.revision) > position
        )

    def observe_position(
        self, known: StorePosition, position: StorePosition, now: timedelta
    ) -> None:
        """Record that another node is at the position ``known``, and this one at ``position``."""
        self._known_elsewhere = max(self._known_elsewhere, known)
        if position >= self._known_elsewhere:
            self._lagging_since = None
        elif self._lagging_since is None:
            self._lagging_since = now

    def progress(
        self,
        previous: int,
        position: StorePosition,
        changes: Sequence[RelayedChange],
        now: timedelta,
        *,
        age: timedelta = _ZERO,
        outage: timedelta | None = None,
    ) -> StoreProgress:
        """Return the message that passes changes on, and postpone the next keepalive.

        ``previous`` is a revision of the era of ``position``, the node's own one. ``age`` is the
        time since the store's last answer, and ``outage`` that without an answer
        before it, if the store has just begun to answer again. Changes that are too large are left
        out; their receivers read them from the store.
        """
        self._next_keepalive = now + self._settings.limits.keepalive_interval
        age_ms = max(0, math.ceil(age / _MILLISECOND))
        size = sum(len(change.value) for change in changes)
        omits_changes = size > self._settings.max_relayed_bytes
        if omits_changes:
            previous, changes = position.revision, ()
        outage_ms = round((outage or _ZERO) / _MILLISECOND)
        return StoreProgress(
            previous,
            position.revision,
            tuple(changes),
            outage is not None,
            age_ms,
            outage_ms,
            position.era,
            omits_changes,
        )

    @property
    def next_keepalive(self) -> timedelta | None:
        """Time of the next keepalive, None unless this node passes changes on."""
        return self._next_keepalive if self._recipients else None
