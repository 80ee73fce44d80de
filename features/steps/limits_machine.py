"""Hypothesis state machine that subjects limits to faults; contains no steps."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from limits_cluster import Cluster

KINDS_AND_AMOUNTS = (("concurrency", 1), ("requests_per_s", 1), ("tokens_per_s", 300))


class LimitMachine(RuleBasedStateMachine):
    """Runs 3 to 7 nodes under random faults, view changes and releases.

    The oracle compares the upstream's occupied capacity with the limit at each dispatch.
    """

    def __init__(self):
        super().__init__()
        self.cluster = None

    @initialize(
        nodes=st.integers(3, 7),
        limit=st.integers(1, 24),
        kind=st.sampled_from(KINDS_AND_AMOUNTS),
        seed=st.integers(0, 2**16),
        tick=st.sampled_from((0.05, 0.1)),
    )
    def start_cluster(self, nodes, limit, kind, seed, tick):
        name, self.amount = kind
        self.cluster = Cluster(nodes, limit * self.amount, name, seed, tick=tick)
        self.cluster.attempt_time = (0.02, 3.0)
        self.cluster.advance(0.5)

    def node_name(self, index):
        names = sorted(self.cluster.nodes)
        return names[index % len(names)]

    @rule(index=st.integers(0, 6), requests=st.integers(1, 40))
    def add_requests(self, index, requests):
        self.cluster.add_requests(self.node_name(index), requests, self.amount)

    @rule(
        requests=st.integers(1, 30),
        durations=st.sampled_from(((0.01, 0.03), (0.02, 3.0), (3.0, 7.0))),
    )
    def add_requests_everywhere(self, requests, durations):
        self.cluster.attempt_time = durations
        for name in self.cluster.nodes:
            self.cluster.add_requests(name, requests, self.amount)

    @rule(seconds=st.sampled_from((0.02, 0.1, 0.3, 1.0, 2.5)))
    def pass_time(self, seconds):
        self.cluster.advance(seconds)

    @rule(
        loss=st.sampled_from((0.0, 0.3, 0.8)),
        duplication=st.sampled_from((0.0, 0.5)),
        delay=st.sampled_from((0.003, 0.1, 1.5)),
    )
    def set_network_faults(self, loss, duplication, delay):
        self.cluster.loss, self.cluster.duplication = loss, duplication
        self.cluster.delay = (0.001, delay)

    @rule(index=st.integers(0, 6), seconds=st.sampled_from((0.3, 1.0, 4.0)))
    def pause(self, index, seconds):
        name = self.node_name(index)
        self.cluster.nodes[name].paused = True
        self.cluster.schedule(seconds, lambda: self.cluster.resume(name))

    @rule(index=st.integers(0, 6))
    @precondition(lambda self: sum(not n.crashed for n in self.cluster.nodes.values()) > 2)
    def crash(self, index):
        self.cluster.nodes[self.node_name(index)].crashed = True

    @rule(
        index=st.integers(0, 6),
        delays=st.lists(st.sampled_from((0.0, 0.2, 2.0)), min_size=7, max_size=7),
    )
    @precondition(lambda self: len(self.cluster.view.members) > 2)
    def remove(self, index, delays):
        members = sorted(self.cluster.view.members)
        removed_member = members[index % len(members)]
        self.change_membership(set(members) - {removed_member}, True, delays)

    @rule(
        index=st.integers(0, 6),
        delays=st.lists(st.sampled_from((0.0, 0.2, 2.0)), min_size=7, max_size=7),
    )
    def join(self, index, delays):
        """Restart a crashed or removed node, or let a new node join."""
        cluster = self.cluster
        restartable_names = [n for n, node in cluster.nodes.items() if self.is_restartable(node)]
        name = (
            sorted(restartable_names)[index % len(restartable_names)]
            if restartable_names
            else f"n{len(cluster.nodes)}"
        )
        if len(cluster.nodes) >= 9 and not restartable_names:
            return
        if name in cluster.nodes:
            cluster.nodes[name].crashed = True
        replaced = name in cluster.view.members
        # A node that is behind all others is not confirmed, so the node starts with a release that
        # some other node has applied.
        applied_revisions = [n.revision for n in cluster.nodes.values() if not n.crashed]
        cluster.start_node(name)
        for _ in range(max(cluster.active_revision, min(applied_revisions, default=1))):
            cluster.apply_next_release(name)
        self.change_membership(
            cluster.view.members | {name}, replaced, delays, replaced={name} if replaced else ()
        )

    def is_restartable(self, node):
        return node.crashed or (node.name not in self.cluster.view.members and not node.running)

    @rule(
        index=st.integers(0, 6),
        delays=st.lists(st.sampled_from((0.0, 0.2, 2.0)), min_size=7, max_size=7),
    )
    def start_leaving(self, index, delays):
        view = self.cluster.view
        leaving = sorted(view.active)[index % len(view.active)]
        if len(view.active) > 1:
            self.change_membership(view.members, False, delays, view.active - {leaving})

    def change_membership(self, members, member_removed, delays, active=None, replaced=()):
        cluster = self.cluster
        active = (
            cluster.view.active | (members - cluster.view.members) if active is None else active
        )
        cluster.change_view(members, active, member_removed, replaced)
        for number, name in enumerate(sorted(cluster.nodes)):
            cluster.schedule(
                delays[number % len(delays)], lambda name=name: cluster.adopt_view(name)
            )

    @rule()
    def activate(self):
        self.cluster.activate()
        for name in self.cluster.nodes:
            self.cluster.schedule(
                self.cluster.rng.uniform(0, 0.3),
                lambda name=name: self.cluster.announce_active_epoch(name),
            )

    @rule(
        limit=st.one_of(st.none(), st.integers(1, 24)),
        delays=st.lists(st.sampled_from((0.0, 0.1, 1.0)), min_size=7, max_size=7),
    )
    def publish_release(self, limit, delays):
        cluster = self.cluster
        cluster.publish_release(None if limit is None else limit * self.amount)
        for number, name in enumerate(sorted(cluster.nodes)):
            delay = delays[number % len(delays)]
            cluster.schedule(delay, lambda name=name: cluster.apply_releases(name))

    @rule()
    def require_latest_release(self):
        self.cluster.active_revision = len(self.cluster.limits) - 1

    @invariant()
    def limit_is_never_exceeded(self):
        if self.cluster is not None:
            assert not self.cluster.violations, self.cluster.violations[0]

    def teardown(self):
        cluster = self.cluster
        if cluster is None:
            return
        cluster.end_faults(12.0)
        self.limit_is_never_exceeded()
        limit = cluster.limits[-1]
        members = sorted(cluster.view.members)
        if limit is None or not members:
            return
        assert sum(cluster.allocations().values()) <= limit, (limit, cluster.allocations())
        busy_node = members[cluster.rng.randrange(len(members))]
        cluster.attempt_time = (3.0, 3.0)
        cluster.add_requests(busy_node, 2 * limit // self.amount, self.amount)
        cluster.advance(1.0)
        idle_allocations = len(members) - 1 if limit >= 4 * len(members) else 0
        assert cluster.allocation(busy_node) >= limit - idle_allocations, (
            busy_node,
            limit,
            cluster.allocations(),
        )
        self.limit_is_never_exceeded()
