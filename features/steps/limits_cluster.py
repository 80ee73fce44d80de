"""Simulated nodes and network for the properties of limits; contains no steps."""

import heapq
import random
from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.common.effects import Send
from chervilrack._internal.common.ids import LimitId, NodeId
from chervilrack._internal.limits.messages import (
    CapacityGained,
    ConfigurationApplied,
    EpochActive,
    PeerMessage,
    Tick,
    ViewAdopted,
)
from chervilrack._internal.limits.policies import limit_policies
from chervilrack._internal.releases.state import Configuration, Limits, Team, Upstream, UpstreamKind

LONGEST_ATTEMPT = 7.0
# Transfer times of requests to the upstream differ by up to this much.
TRANSFER = 0.05
TICK = 0.1
# Set apart from the implementation's window: what the upstream counts.
WINDOW = 1.0
# Nodes keep time in microseconds.
ROUNDING = 2e-6
SECOND = LimitId("upstream/u/concurrency")


@dataclass
class Work:
    """Occupied capacity at the upstream; ``until`` is when it ends there."""

    node: str
    amount: int
    arrived: float
    until: float


@dataclass
class View:
    epoch: int
    members: frozenset
    active: frozenset
    removed: bool
    departed: frozenset = frozenset()


@dataclass
class SimNode:
    name: str
    offset: float
    service: object = None
    view: View | None = None
    revision: int = 0
    paused: bool = False
    crashed: bool = False
    backlog: list = field(default_factory=list)
    inbox: list = field(default_factory=list)
    running: int = 0
    messages: int = 0


class Cluster:
    """Nodes with limits over a network with loss, duplication, reordering and delay."""

    def __init__(self, nodes, limit, kind="concurrency", seed=0, policy="leased", tick=TICK):
        self.rng = random.Random(seed)
        self.kind = kind
        self.limit = LimitId(f"team/t/{kind}")
        self.policy = policy
        self.second = None  # capacity of another pool of which each attempt needs one permit
        self.now = 0.0
        self.tick = tick
        self.queue = []
        self.counter = 0
        self.loss = self.duplication = 0.0
        self.delay = (0.001, 0.003)
        self.blocked = set()
        self.limits = [None, limit]  # by revision
        self.active_epoch = 0
        self.active_revision = 0
        self.in_flight = []
        self.violations = []
        self.dispatched = 0
        self.requests = {}
        self.sent = 0
        self.hold = None  # directed tests: messages for which it returns True are kept in ``held``
        self.held = []
        self.attempt_time = (0.02, 1.0)
        self.unknown_ends = 0.2
        names = [f"n{number}" for number in range(nodes)]
        self.view = View(1, frozenset(names), frozenset(names), False)
        self.views = [self.view]
        self.nodes = {}
        for name in names:
            self.start(name)
            self.adopt(name)
            self.apply_release(name)

    # Life of nodes

    def start(self, name):
        node = SimNode(name, self.rng.uniform(0, 1000))
        factory = limit_policies.get(self.policy)
        node.service = factory(
            NodeId(name), lambda: self.may_act(node), random.Random(self.rng.random())
        )
        self.nodes[name] = node
        self.at(self.rng.uniform(0, self.tick), lambda: self.run_tick(node))
        return node

    def may_act(self, node):
        return (
            not node.crashed
            and node.view is not None
            and node.view.epoch >= self.active_epoch
            and node.name in node.view.members
            and node.revision >= self.active_revision
        )

    def adopt(self, name):
        node = self.nodes[name]
        view = self.view
        if node.crashed or (node.view and node.view.epoch >= view.epoch):
            return
        removed = node.view is not None and any(
            v.removed for v in self.views if v.epoch > node.view.epoch
        )
        next_view = node.view is not None and view.epoch == node.view.epoch + 1
        departed = view.departed if next_view else None
        node.view = view
        event = ViewAdopted(view.epoch, view.members, view.active, removed, departed)
        self.event(node, event)

    def change_view(self, members, active=None, removed=False, replaced=()):
        members = frozenset(members)
        departed = (self.view.members - members) | frozenset(replaced)
        active = frozenset(active or members) & members or members
        self.view = View(self.view.epoch + 1, members, active, removed, departed)
        self.views.append(self.view)

    def activate(self):
        """Make the latest epoch active: nodes of earlier ones are not confirmed any more."""
        self.active_epoch = self.view.epoch

    def tell_active(self, name):
        node = self.nodes[name]
        if not node.crashed and node.view and node.view.epoch == self.active_epoch:
            self.event(node, EpochActive(self.active_epoch))

    def release(self, limit):
        self.limits.append(limit)

    def apply_release(self, name):
        node = self.nodes[name]
        while not node.crashed and node.revision < len(self.limits) - 1:
            node.revision += 1
            self.event(node, ConfigurationApplied(self.configuration(node.revision)))

    def apply_one(self, name):
        node = self.nodes[name]
        if not node.crashed and node.revision < len(self.limits) - 1:
            node.revision += 1
            self.event(node, ConfigurationApplied(self.configuration(node.revision)))

    def configuration(self, revision):
        limits = Limits(**{self.kind: self.limits[revision]})
        upstreams = {}
        if self.second is not None:
            upstream = Upstream(
                "u", "t", UpstreamKind.ENGINE, "http://u", "z", Limits(concurrency=self.second)
            )
            upstreams["u"] = upstream
        return Configuration(revision=revision, teams={"t": Team("t", limits)}, upstreams=upstreams)

    def amounts(self, permits, attempts=1):
        amounts = {self.limit: permits}
        if self.second is not None:
            amounts[SECOND] = attempts
        return amounts

    # Time and messages

    def at(self, delay, action):
        self.counter += 1
        heapq.heappush(self.queue, (self.now + delay, self.counter, action))

    def local(self, node):
        return timedelta(seconds=node.offset + self.now)

    def run_tick(self, node):
        if node.crashed:
            return
        if not node.paused:
            self.event(node, Tick())
            self.work(node)
        self.at(self.tick, lambda: self.run_tick(node))

    def event(self, node, event):
        for effect in node.service.handle(event, self.local(node)):
            if isinstance(effect, Send):
                node.messages += 1
                self.sent += 1
                self.transmit(node.name, effect.to, effect.message)
            elif isinstance(effect, CapacityGained):
                self.work(node)

    def transmit(self, sender, to, message):
        if self.hold is not None and self.hold(sender, to, message):
            self.held.append((sender, to, message))
            return
        copies = 1 + (self.rng.random() < self.duplication)
        for _ in range(copies):
            if (sender, to) in self.blocked or self.rng.random() < self.loss:
                continue
            delay = self.rng.uniform(*self.delay)
            self.at(delay, lambda: self.deliver(sender, to, message))

    def deliver(self, sender, to, message):
        node = self.nodes.get(to)
        if node is None or node.crashed:
            return
        if node.paused:
            node.inbox.append((sender, message))
        else:
            self.event(node, PeerMessage(NodeId(sender), message))

    def resume(self, name):
        node = self.nodes[name]
        node.paused = False
        inbox, node.inbox = node.inbox, []
        for sender, message in inbox:
            self.deliver(sender, name, message)

    def advance(self, seconds):
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = end

    # Work

    def work(self, node):
        """Dispatch waiting work as far as permits allow and state the rest as demand."""
        permits = node.service.permits
        now = self.local(node)
        while node.backlog:
            amount = node.backlog[0]
            permit = permits.try_acquire(self.amounts(amount), now)
            if permit is None:
                break
            node.backlog.pop(0)
            self.dispatch(node, amount, permit)
        waiting = self.amounts(sum(node.backlog), len(node.backlog)) if node.backlog else {}
        permits.set_demand(waiting, now)

    def dispatch(self, node, amount, permit):
        self.dispatched += 1
        node.running += 1
        duration = self.rng.uniform(*self.attempt_time)
        transfer = self.rng.choice((0.0, TRANSFER))
        arrived = self.now + transfer
        unknown = self.rng.random() < self.unknown_ends
        until = arrived + WINDOW if self.kind != "concurrency" else self.now + duration
        self.in_flight.append(Work(node.name, amount, arrived, until))
        self.check(node, arrived)
        if unknown:
            deadline = self.local(node) + timedelta(seconds=duration)
            node.service.permits.release_at(permit, deadline)
            self.at(duration, lambda: self.ended(node, None))
        else:
            self.at(duration, lambda: self.ended(node, permit))

    def ended(self, node, permit):
        node.running -= 1
        if permit is not None and not node.crashed:
            node.service.permits.release(permit, self.local(node))
            if not node.paused:
                self.work(node)

    def occupied(self, instant):
        return sum(work.amount for work in self.in_flight if work.until > instant + ROUNDING)

    def limit_in_force(self):
        """Return the highest limit between the oldest and the newest release at work, or None.

        A release that the others skip at once may have been used by a node meanwhile.
        """
        revisions = [node.revision for node in self.nodes.values() if self.may_act(node)]
        if not revisions:
            return 0
        limits = self.limits[min(revisions) : max(revisions) + 1]
        return None if None in limits else max(limits)

    def check(self, node, arrived):
        self.in_flight = [work for work in self.in_flight if work.until > self.now]
        limit = self.limit_in_force()
        occupied = self.occupied(arrived if self.kind != "concurrency" else self.now)
        if limit is not None and occupied > limit:
            self.violations.append(f"{self.now:.3f} s: {node.name}: {occupied} of {limit}")
        if not self.may_act(node):
            self.violations.append(f"{self.now:.3f} s: {node.name} acted without confirmation")

    def demand(self, name, requests, amount=1):
        node = self.nodes[name]
        node.backlog += [amount] * requests
        if not node.paused and not node.crashed:
            self.work(node)

    # Observation

    def cap(self, name):
        pool = self.nodes[name].service.permits.pool(self.limit)
        return 0 if pool is None else pool.cap

    def caps(self):
        return {name: self.cap(name) for name in sorted(self.view.members)}

    def settle(self, seconds):
        """End all faults, let everyone learn the latest view and release, and stop demand."""
        self.loss = self.duplication = 0.0
        self.delay = (0.001, 0.003)
        self.blocked = set()
        self.hold = None
        for name, node in self.nodes.items():
            node.backlog = []
            if node.paused:
                self.resume(name)
        dead = {n.name for n in self.nodes.values() if n.crashed}
        if dead & self.view.members:
            live = self.view.members - dead
            self.change_view(live, (self.view.active - dead) or live, removed=True)
        for name in self.nodes:
            self.adopt(name)
            self.apply_release(name)
        self.active_revision = len(self.limits) - 1
        self.activate()
        for name in self.nodes:
            self.tell_active(name)
        self.advance(seconds)
