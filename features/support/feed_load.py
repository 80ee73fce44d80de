"""Simulates nodes that follow the store through the change feed, without network or threads.

Watch calls of a node are answered when the store changes, or after a fixed time. A killed node
stays a member of its zone until the others notice its silence.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from datetime import timedelta
from enum import Enum

from chervilrack._internal.changefeed.core import ChangeFeed, FeedSettings, ZoneMember
from chervilrack._internal.changefeed.limits import ApplyLimits
from chervilrack._internal.changefeed.messages import RelayedChange, StoreProgress
from chervilrack._internal.common.ids import NodeId, ZoneId
from chervilrack._internal.common.positions import StorePosition

STORE_LATENCY = timedelta(milliseconds=5)
LINK_LATENCY = timedelta(milliseconds=3)
CHANGE_DELAY_S = 0.005
# Time from a failed call to the next one.
BACKOFF = timedelta(milliseconds=300)
# Least time until a node that does not watch looks again whether it has to.
FEED_CHECK = timedelta(milliseconds=10)
LONGEST_CHECK = timedelta(seconds=1)


class Service(Enum):
    """What the store does with the calls of a node."""

    SERVED = "served"
    SILENT = "silent"
    TURNED_AWAY = "turned away"


class _Node:
    def __init__(self, number: int, zone: str, limits: ApplyLimits) -> None:
        self.name = NodeId(f"n{number}")
        self.zone = zone
        self.feed = ChangeFeed(self.name, ZoneId(zone), FeedSettings(limits))
        self.service = Service.SERVED
        self.is_frozen = False
        # Time of the store's last answer, None while it does not answer.
        self.answered_at: timedelta | None = timedelta(0)
        self.revision = 0
        self.learned: dict[int, timedelta] = {}
        self.alive = True
        self.is_silent = False
        self.calls = 0
        # Number of the open watch call, None while the node does not watch.
        self.open_call: int | None = None

    @property
    def position(self) -> StorePosition:
        return StorePosition(0, self.revision)

    def advance(self, revision: int, now: timedelta) -> None:
        assert revision >= self.revision, (self.name, revision, self.revision)
        for learned in range(self.revision + 1, revision + 1):
            self.learned[learned] = now
        self.revision = revision


class FeedSimulation:
    """One simulation; ``changed_at`` holds the time of each revision of the store."""

    def __init__(
        self,
        nodes: int,
        zones: int,
        seed: int,
        value_bytes: int = 300,
        limits: ApplyLimits | None = None,
    ) -> None:
        self._limits = limits or ApplyLimits()
        self._rng = random.Random(seed)
        self._value = b"x" * value_bytes
        self._events: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._calls = itertools.count(1)
        self._detection_time = max(timedelta(seconds=1.05), timedelta(seconds=0.0125) * nodes * 3.5)
        self.lost_share = 0.0
        self.now = timedelta(0)
        self.revision = 0
        self.changed_at: dict[int, timedelta] = {}
        self.nodes = [_Node(number, f"z{number % zones}", self._limits) for number in range(nodes)]
        self._by_address = {node.name: node for node in self.nodes}
        self._members_changed()
        sizes = [sum(node.zone == f"z{zone}" for node in self.nodes) for zone in range(zones)]
        self._change_delay = timedelta(
            seconds=min(
                self._limits.change_delay.total_seconds(),
                CHANGE_DELAY_S * self.nodes[0].feed.count_watchers(sizes),
            )
        )
        for node in self.nodes:
            self._schedule(self._jitter(FEED_CHECK), lambda node=node: self._check(node))

    def run(self, seconds: float) -> None:
        """Run until a time in seconds from the start."""
        end = timedelta(seconds=seconds)
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def schedule_change(self, seconds: float) -> None:
        """Change the store at a time."""
        self._schedule(timedelta(seconds=seconds), self._change)

    def kill_watchers(self) -> None:
        """Kill all watchers; the other nodes notice it later."""
        for node in self.nodes:
            node.alive = node.alive and not node.feed.is_watcher
        self._schedule(self.now + self._detection_time, self._members_changed)

    def disturb_watchers(self, count: int, how: str) -> None:
        """Freeze ``count`` watchers of each zone, or have the store not serve them."""
        for zone in {node.zone for node in self.nodes}:
            watchers = [n for n in self.nodes if n.zone == zone and n.feed.is_watcher]
            for node in watchers[:count]:
                if how == "frozen":
                    node.is_frozen = True
                else:
                    node.service = Service(how)

    def silence_one_watcher_per_zone(self) -> None:
        """Drop all messages of one watcher of each zone, which goes on watching."""
        for node in {n.zone: n for n in self.nodes if n.feed.is_watcher}.values():
            node.is_silent = True

    def _schedule(self, at: timedelta, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), action))

    def _jitter(self, longest: timedelta) -> timedelta:
        return longest * self._rng.random()

    def _members_changed(self) -> None:
        for node in self.nodes:
            node.feed.set_members(
                [
                    ZoneMember(other.name, other.name, 1.0, True)
                    for other in self.nodes
                    if other.zone == node.zone and other.alive
                ]
            )

    def _change(self) -> None:
        self.revision += 1
        self.changed_at[self.revision] = self.now
        for node in self.nodes:
            if node.open_call is not None:
                self._schedule(
                    self.now + STORE_LATENCY,
                    lambda node=node, call=node.open_call: self._answer(node, call),
                )

    def _check(self, node: _Node) -> None:
        """Watch if the node has to, as the thread that follows the store does."""
        if not node.alive or node.is_frozen or node.open_call is not None:
            return
        until = node.feed.current_until(node.position)
        if until is None or until < self.now:
            self._watch(node)
        else:
            wait = min(max(until - self.now, FEED_CHECK), LONGEST_CHECK)
            self._schedule(self.now + wait, lambda: self._check(node))

    def _watch(self, node: _Node) -> None:
        node.calls += 1
        node.open_call = call = next(self._calls)
        if node.service is Service.TURNED_AWAY:
            self._schedule(self.now + STORE_LATENCY, lambda: self._fail(node, call))
        else:
            limits = self._limits
            last = node.answered_at if node.answered_at is not None else self.now
            wait = max(limits.watch_wait - (self.now - last), STORE_LATENCY)
            answered_in = STORE_LATENCY if self.revision > node.revision else wait
            self._schedule(self.now + answered_in, lambda: self._answer(node, call))
            self._schedule(self.now + limits.watch_timeout, lambda: self._fail(node, call))
        self._keep_alive(node, call)

    def _keep_alive(self, node: _Node, call: int) -> None:
        due = node.feed.next_keepalive
        if node.open_call != call or due is None or not node.alive or node.is_frozen:
            return
        if self.now >= due:
            self._send_keepalive(node)
        self._schedule(
            max(due, self.now) + timedelta(milliseconds=4), lambda: self._keep_alive(node, call)
        )

    def _send_keepalive(self, node: _Node) -> None:
        answered_at = node.answered_at
        age = self.now - answered_at if answered_at is not None else timedelta(0)
        message = node.feed.progress(node.revision, node.position, (), self.now, age=age)
        if answered_at is not None:
            self._send(node, message)

    def _fail(self, node: _Node, call: int) -> None:
        if node.open_call != call or not node.alive or node.is_frozen:
            return
        node.open_call = None
        node.answered_at = None
        self._schedule(self.now + BACKOFF, lambda: self._check(node))

    def _answer(self, node: _Node, call: int) -> None:
        is_served = node.service is Service.SERVED
        if node.open_call != call or not node.alive or node.is_frozen or not is_served:
            return
        node.open_call = None
        node.answered_at = self.now
        previous, revision = node.revision, self.revision
        if revision <= previous:
            self._send_keepalive(node)
            self._check(node)
            return
        node.advance(revision, self.now)
        changes = [
            RelayedChange("k", self._value, number, False)
            for number in range(previous + 1, revision + 1)
        ]
        self._send(node, node.feed.progress(previous, node.position, changes, self.now))
        self._schedule(self.now + self._change_delay, lambda: self._check(node))

    def _send(self, node: _Node, message: StoreProgress) -> None:
        for address in node.feed.recipients:
            if node.is_silent or self._rng.random() < self.lost_share:
                continue
            other = self._by_address[NodeId(address)]
            self._schedule(
                self.now + LINK_LATENCY,
                lambda other=other: self._receive(other, node.name, message),
            )

    def _receive(self, node: _Node, sender: NodeId, message: StoreProgress) -> None:
        if not node.alive or node.is_frozen:
            return
        if node.feed.receive(sender, message, node.position, self.now):
            node.advance(message.revision, self.now)
        if node.open_call is None and not node.feed.is_current(node.position, self.now):
            self._check(node)
