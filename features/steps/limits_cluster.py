"""Simulated nodes, network and upstream for tests of limits; contains no steps."""

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

LONGEST_ATTEMPT_S = 7.0
# Maximum difference between the transfer times of two requests to the upstream.
MAX_TRANSFER_DIFFERENCE_S = 0.05
TICK_S = 0.1
# Length of the rate window in which the upstream counts. The constant is independent of the
# implementation's window, so that the tests notice a change of the latter.
RATE_WINDOW_S = 1.0
# Tolerance for rounding, since the nodes keep time in microseconds.
ROUNDING_S = 2e-6
SECOND_LIMIT = LimitId("upstream/u/concurrency")


@dataclass
class Attempt:
    """Capacity that one attempt occupies at the upstream from ``arrived`` to ``until``."""

    node: str
    amount: int
    arrived: float
    until: float


@dataclass
class View:
    """Members of one epoch, as the membership service would announce them."""

    epoch: int
    members: frozenset
    active: frozenset
    member_removed: bool
    departed: frozenset = frozenset()


@dataclass
class SimulatedNode:
    """Limits of one node, with its waiting requests and its clock's ``offset``."""

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
    """Nodes that share a limit over a network that loses, duplicates, reorders and delays messages.

    ``violations`` lists each dispatch that exceeded the limit or came from an unconfirmed node.
    """

    def __init__(self, nodes, limit, kind="concurrency", seed=0, policy="leased", tick=TICK_S):
        self.rng = random.Random(seed)
        self.kind = kind
        self.limit = LimitId(f"team/t/{kind}")
        self.policy = policy
        self.second_capacity = None  # of a second limit, of which each attempt needs one permit
        self.now = 0.0
        self.tick = tick
        self.actions = []
        self.action_count = 0
        self.loss = self.duplication = 0.0
        self.delay = (0.001, 0.003)
        self.blocked_links = set()
        self.limits = [None, limit]  # by release revision
        self.active_epoch = 0
        self.active_revision = 0
        self.in_flight = []
        self.violations = []
        self.dispatched = 0
        self.requests = {}
        self.messages_sent = 0
        # Predicate of directed tests; the network keeps matching messages in ``held_messages``.
        self.should_hold = None
        self.held_messages = []
        self.attempt_time = (0.02, 1.0)
        self.unknown_end_probability = 0.2
        names = [f"n{number}" for number in range(nodes)]
        self.view = View(1, frozenset(names), frozenset(names), False)
        self.views = [self.view]
        self.nodes = {}
        for name in names:
            self.start_node(name)
            self.adopt_view(name)
            self.apply_releases(name)

    # Nodes, views and releases

    def start_node(self, name):
        node = SimulatedNode(name, self.rng.uniform(0, 1000))
        factory = limit_policies.get(self.policy)
        node.service = factory(
            NodeId(name), lambda: self.may_act(node), random.Random(self.rng.random())
        )
        self.nodes[name] = node
        self.schedule(self.rng.uniform(0, self.tick), lambda: self.run_tick(node))
        return node

    def may_act(self, node):
        return (
            not node.crashed
            and node.view is not None
            and node.view.epoch >= self.active_epoch
            and node.name in node.view.members
            and node.revision >= self.active_revision
        )

    def adopt_view(self, name):
        node = self.nodes[name]
        view = self.view
        if node.crashed or (node.view and node.view.epoch >= view.epoch):
            return
        member_removed = node.view is not None and any(
            v.member_removed for v in self.views if v.epoch > node.view.epoch
        )
        next_view = node.view is not None and view.epoch == node.view.epoch + 1
        departed = view.departed if next_view else None
        node.view = view
        event = ViewAdopted(view.epoch, view.members, view.active, member_removed, departed)
        self.handle_event(node, event)

    def change_view(self, members, active=None, member_removed=False, replaced=()):
        members = frozenset(members)
        departed = (self.view.members - members) | frozenset(replaced)
        active = frozenset(active or members) & members or members
        self.view = View(self.view.epoch + 1, members, active, member_removed, departed)
        self.views.append(self.view)

    def activate(self):
        """Make the latest epoch active; nodes of earlier epochs are not confirmed any more."""
        self.active_epoch = self.view.epoch

    def announce_active_epoch(self, name):
        node = self.nodes[name]
        if not node.crashed and node.view and node.view.epoch == self.active_epoch:
            self.handle_event(node, EpochActive(self.active_epoch))

    def publish_release(self, limit):
        self.limits.append(limit)

    def apply_releases(self, name):
        node = self.nodes[name]
        while not node.crashed and node.revision < len(self.limits) - 1:
            node.revision += 1
            self.handle_event(node, ConfigurationApplied(self.configuration(node.revision)))

    def apply_next_release(self, name):
        node = self.nodes[name]
        if not node.crashed and node.revision < len(self.limits) - 1:
            node.revision += 1
            self.handle_event(node, ConfigurationApplied(self.configuration(node.revision)))

    def configuration(self, revision):
        limits = Limits(**{self.kind: self.limits[revision]})
        upstreams = {}
        if self.second_capacity is not None:
            upstream = Upstream(
                "u",
                "t",
                UpstreamKind.ENGINE,
                "http://u",
                "z",
                Limits(concurrency=self.second_capacity),
            )
            upstreams["u"] = upstream
        return Configuration(revision=revision, teams={"t": Team("t", limits)}, upstreams=upstreams)

    def amounts(self, permits, attempts=1):
        amounts = {self.limit: permits}
        if self.second_capacity is not None:
            amounts[SECOND_LIMIT] = attempts
        return amounts

    # Time and messages

    def schedule(self, delay, action):
        self.action_count += 1
        heapq.heappush(self.actions, (self.now + delay, self.action_count, action))

    def local_time(self, node):
        return timedelta(seconds=node.offset + self.now)

    def run_tick(self, node):
        if node.crashed:
            return
        if not node.paused:
            self.handle_event(node, Tick())
            self.dispatch_backlog(node)
        self.schedule(self.tick, lambda: self.run_tick(node))

    def handle_event(self, node, event):
        for effect in node.service.handle(event, self.local_time(node)):
            if isinstance(effect, Send):
                node.messages += 1
                self.messages_sent += 1
                self.transmit(node.name, effect.to, effect.message)
            elif isinstance(effect, CapacityGained):
                self.dispatch_backlog(node)

    def transmit(self, sender, to, message):
        if self.should_hold is not None and self.should_hold(sender, to, message):
            self.held_messages.append((sender, to, message))
            return
        copies = 1 + (self.rng.random() < self.duplication)
        for _ in range(copies):
            if (sender, to) in self.blocked_links or self.rng.random() < self.loss:
                continue
            delay = self.rng.uniform(*self.delay)
            self.schedule(delay, lambda: self.deliver(sender, to, message))

    def deliver(self, sender, to, message):
        node = self.nodes.get(to)
        if node is None or node.crashed:
            return
        if node.paused:
            node.inbox.append((sender, message))
        else:
            self.handle_event(node, PeerMessage(NodeId(sender), message))

    def resume(self, name):
        node = self.nodes[name]
        node.paused = False
        inbox, node.inbox = node.inbox, []
        for sender, message in inbox:
            self.deliver(sender, name, message)

    def advance(self, seconds):
        end = self.now + seconds
        while self.actions and self.actions[0][0] <= end:
            self.now, _, action = heapq.heappop(self.actions)
            action()
        self.now = end

    # Work

    def dispatch_backlog(self, node):
        """Dispatch waiting requests as far as permits allow and set the rest as demand."""
        permits = node.service.permits
        now = self.local_time(node)
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
        transfer = self.rng.choice((0.0, MAX_TRANSFER_DIFFERENCE_S))
        arrived = self.now + transfer
        unknown = self.rng.random() < self.unknown_end_probability
        until = arrived + RATE_WINDOW_S if self.kind != "concurrency" else self.now + duration
        self.in_flight.append(Attempt(node.name, amount, arrived, until))
        self.check_dispatch(node, arrived)
        if unknown:
            deadline = self.local_time(node) + timedelta(seconds=duration)
            node.service.permits.release_at(permit, deadline)
            self.schedule(duration, lambda: self.end_attempt(node, None))
        else:
            self.schedule(duration, lambda: self.end_attempt(node, permit))

    def end_attempt(self, node, permit):
        node.running -= 1
        if permit is not None and not node.crashed:
            node.service.permits.release(permit, self.local_time(node))
            if not node.paused:
                self.dispatch_backlog(node)

    def occupied(self, instant):
        return sum(
            attempt.amount for attempt in self.in_flight if attempt.until > instant + ROUNDING_S
        )

    def limit_in_force(self):
        """Return the highest limit of the releases in use, or None if one of them sets no limit.

        Every release between the oldest and the newest one of the confirmed nodes counts, because
        some node may have used the release before it applied a later one.
        """
        revisions = [node.revision for node in self.nodes.values() if self.may_act(node)]
        if not revisions:
            return 0
        limits = self.limits[min(revisions) : max(revisions) + 1]
        return None if None in limits else max(limits)

    def check_dispatch(self, node, arrived):
        self.in_flight = [attempt for attempt in self.in_flight if attempt.until > self.now]
        limit = self.limit_in_force()
        occupied = self.occupied(arrived if self.kind != "concurrency" else self.now)
        if limit is not None and occupied > limit:
            self.violations.append(f"{self.now:.3f} s: {node.name}: {occupied} of {limit}")
        if not self.may_act(node):
            self.violations.append(f"{self.now:.3f} s: {node.name} acted without confirmation")

    def add_requests(self, name, requests, amount=1):
        node = self.nodes[name]
        node.backlog += [amount] * requests
        if not node.paused and not node.crashed:
            self.dispatch_backlog(node)

    # Allocations

    def allocation(self, name):
        pool = self.nodes[name].service.permits.pool(self.limit)
        return 0 if pool is None else pool.cap

    def allocations(self):
        return {name: self.allocation(name) for name in sorted(self.view.members)}

    def end_faults(self, seconds):
        """End all faults and demand, bring all nodes up to date and let ``seconds`` pass."""
        self.loss = self.duplication = 0.0
        self.delay = (0.001, 0.003)
        self.blocked_links = set()
        self.should_hold = None
        for name, node in self.nodes.items():
            node.backlog = []
            if node.paused:
                self.resume(name)
        crashed_names = {n.name for n in self.nodes.values() if n.crashed}
        if crashed_names & self.view.members:
            live_names = self.view.members - crashed_names
            self.change_view(
                live_names, (self.view.active - crashed_names) or live_names, member_removed=True
            )
        for name in self.nodes:
            self.adopt_view(name)
            self.apply_releases(name)
        self.active_revision = len(self.limits) - 1
        self.activate()
        for name in self.nodes:
            self.announce_active_epoch(name)
        self.advance(seconds)
