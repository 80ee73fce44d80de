"""Connects the change feed to the node's copy of the store and to its peers."""

import threading
from collections.abc import Callable, Iterable
from datetime import timedelta

import msgspec

from chervilrack._internal.changefeed.core import ChangeFeed, ZoneMember
from chervilrack._internal.changefeed.messages import RelayedChange, StoreProgress
from chervilrack._internal.common.ids import NodeId
from chervilrack._internal.common.positions import StorePosition
from chervilrack._internal.kvstore.eras import EraEvent
from chervilrack._internal.kvstore.port import Change, ChangeKind, KeyValue
from chervilrack._internal.serving.directory import ContentSource, StoreDirectory
from chervilrack._internal.serving.state import ServingState

# Longest and shortest wait of a node that does not watch until it checks whether it has to.
LONGEST_FEED_WAIT_S = 1.0
SHORTEST_FEED_WAIT_S = 0.01
_MILLISECOND = timedelta(milliseconds=1)


class StoreRelay:
    """Applies the store's changes to the node's copy and passes them on to the node's zone.

    The class is the node's ``StoreListener``. The callers of ``on_progress``, ``observe_position``,
    ``set_members`` and ``tick`` hold the node's lock; the other methods acquire it themselves.
    """

    def __init__(
        self,
        feed: ChangeFeed,
        directory: StoreDirectory,
        state: ServingState,
        send: Callable[[Iterable[str], msgspec.Struct], None],
    ) -> None:
        self._feed = feed
        self._directory = directory
        self._state = state
        self._send = send
        self._answered_at: timedelta | None = None
        # How long the store was away before it began to answer this node again, until it is said.
        self._outage: timedelta | None = None
        self._feed_changed = threading.Event()
        # Nodes that watch in all zones, 0 until the members of this node's zone are known.
        self._watching_nodes = 0

    # Calls of StoreSync

    @property
    def revision(self) -> int:
        """Revision of the node's copy of the store, in its era."""
        return self._directory.revision

    @property
    def position(self) -> StorePosition:
        """Position of the node's copy of the store."""
        return self._directory.position

    @property
    def watching_nodes(self) -> int:
        """Number of nodes that may watch the store now, as far as this node knows.

        These are all nodes, unless this one passes the changes on: a starting fleet has no
        watchers yet, and when a node lacks a change, many others do.
        """
        with self._state.lock:
            if self._feed.recipients:
                return self._watching_nodes
            return len(self._state.fleet.addresses) + 1

    def must_watch(self) -> bool:
        """Whether the node has to watch the store itself."""
        with self._state.lock:
            now = self._state.clock.monotonic()
            return not self._feed.is_current(self._directory.position, now)

    def must_list(self) -> bool:
        """Whether the node reads what it lacks with a listing, and not with a watch."""
        with self._state.lock:
            return self._feed.lacks_large_changes(self._directory.position)

    def wait_for_feed(self) -> None:
        """Wait until the feed has changed, or no longer keeps the node's copy current."""
        with self._state.lock:
            now = self._state.clock.monotonic()
            until = self._feed.current_until(self._directory.position)
        left = (until - now).total_seconds() if until is not None else 0.0
        self._feed_changed.wait(max(SHORTEST_FEED_WAIT_S, min(left, LONGEST_FEED_WAIT_S)))
        self._feed_changed.clear()

    def on_listing(self, items: tuple[KeyValue, ...], revision: int, era: int = 0) -> None:
        """Apply a listing of all keys of the store, and announce its revision."""
        with self._state.lock:
            self._directory.on_listing(items, revision, era)
            self._pass_on(self._directory.revision, ())

    def on_changes(self, changes: tuple[Change, ...], revision: int, era: int = 0) -> None:
        """Apply changes of the store, and pass them on."""
        with self._state.lock:
            previous = self._directory.position
            self._directory.on_changes(changes, revision, era)
            if era == previous.era:
                self._pass_on(previous.revision, changes)

    def on_available(self) -> None:
        """Record that the store has answered this node."""
        with self._state.lock:
            now = self._state.clock.monotonic()
            if self._answered_at is not None and not self._directory.store_answers:
                self._outage = now - self._answered_at
            self._answered_at = now
            self._directory.on_available()

    def on_unchanged(self) -> None:
        """Tell the followers that the store has said so now."""
        with self._state.lock:
            if self._feed.recipients:
                self._send_keepalive(self._state.clock.monotonic())

    def on_unavailable(self, reason: str) -> None:
        """Record that the store does not answer this node."""
        self._directory.on_unavailable(reason)

    # Messages and timers

    def on_progress(self, sender: NodeId, message: StoreProgress) -> None:
        """Apply the changes that a watcher passes on."""
        now = self._state.clock.monotonic()
        position = self._directory.position
        if self._feed.is_outdated(message, position):
            self._state.metrics.era_event(EraEvent.OLDER_MESSAGE)
            self._state.log.note(
                "store",
                "older message dropped",
                routine=True,
                sender=sender,
                sent=message.position.fields,
                **position.fields,
            )
            return
        if self._feed.has_missed_outage(sender, message, self._answered_at, now):
            # Registrations that end now may have lapsed during the outage.
            self._state.catalogue.mark_outage(now - message.outage_ms * _MILLISECOND, now)
        to_apply = self._feed.receive(sender, message, position, now)
        if to_apply:
            changes = tuple(map(_change, to_apply))
            self._directory.on_changes(changes, message.revision, message.era, ContentSource.RELAY)
        if self._feed.is_current(self._directory.position, now):
            self._directory.on_available()
        else:
            self._feed_changed.set()

    def observe_position(self, known: StorePosition) -> None:
        """Record the position of another node's copy of the store."""
        now = self._state.clock.monotonic()
        self._feed.observe_position(known, self._directory.position, now)

    def answer_age(self, now: timedelta) -> timedelta | None:
        """Return the time since the store's last answer to this node or to one it follows.

        None means that there has been none.
        """
        answers = [at for at in (self._answered_at, self._feed.answered_at) if at is not None]
        return now - max(answers) if answers else None

    def set_members(self, members: list[ZoneMember], watching_nodes: int) -> None:
        """Set the live nodes of the zone and the number of nodes that watch in all zones."""
        was_watcher = self._feed.is_watcher
        self._feed.set_members(members)
        self._watching_nodes = watching_nodes
        if self._feed.is_watcher != was_watcher:
            self._state.log.note(
                "store",
                "watching for the zone" if self._feed.is_watcher else "following watchers",
                members=len(members),
                **self._directory.position.fields,
            )
            self._feed_changed.set()

    @property
    def next_time(self) -> timedelta | None:
        """Time at which ``tick`` has work."""
        return self._feed.next_keepalive

    def tick(self, now: timedelta) -> None:
        """Send a keepalive if it is due and the store answers this node."""
        due = self._feed.next_keepalive
        if due is None or now < due:
            return
        self._send_keepalive(now)

    def _send_keepalive(self, now: timedelta) -> None:
        position, age = self._directory.position, self._answer_age(now)
        message = self._feed.progress(
            position.revision, position, (), now, age=age or timedelta(0), outage=self._outage
        )
        if self._directory.store_answers and age is not None:
            self._outage = None
            self._send_to_zone(message)

    def _answer_age(self, now: timedelta) -> timedelta | None:
        return now - self._answered_at if self._answered_at is not None else None

    def _pass_on(self, previous: int, changes: tuple[Change, ...]) -> None:
        if not self._feed.recipients:
            return
        now = self._state.clock.monotonic()
        relayed = [
            RelayedChange(
                change.item.key,
                change.item.value,
                change.item.mod_revision,
                change.kind is ChangeKind.DELETE,
            )
            for change in changes
        ]
        message = self._feed.progress(
            previous,
            self._directory.position,
            relayed,
            now,
            age=self._answer_age(now) or timedelta(0),
            outage=self._outage,
        )
        self._outage = None
        self._send_to_zone(message)

    def _send_to_zone(self, message: StoreProgress) -> None:
        self._send([f"tcp://{address}" for address in self._feed.recipients], message)


def _change(relayed: RelayedChange) -> Change:
    kind = ChangeKind.DELETE if relayed.deleted else ChangeKind.PUT
    return Change(kind, KeyValue(relayed.key, relayed.value, relayed.revision))
