"""Hypothesis state machine of limits under faults; contains no steps."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from limits_cluster import Cluster

KINDS = (("concurrency", 1), ("requests_per_s", 1), ("tokens_per_s", 300))


class LimitMachine(RuleBasedStateMachine):
    """3 to 7 nodes; the oracle counts the upstream's occupied capacity at each dispatch."""

    def __init__(self):
        super().__init__()
        self.cluster = None

    @initialize(
        nodes=st.integers(3, 7),
        limit=st.integers(1, 24),
        kind=st.sampled_from(KINDS),
        seed=st.integers(0, 2**16),
        tick=st.sampled_from((0.05, 0.1)),
    )
    def begin(self, nodes, limit, kind, seed, tick):
        name, self.amount = kind
        self.cluster = Cluster(nodes, limit * self.amount, name, seed, tick=tick)
        self.cluster.attempt_time = (0.02, 3.0)
        self.cluster.advance(0.5)

    def pick(self, index):
        names = sorted(self.cluster.nodes)
        return names[index % len(names)]

    @rule(index=st.integers(0, 6), requests=st.integers(1, 40))
    def demand(self, index, requests):
        self.cluster.demand(self.pick(index), requests, self.amount)

    @rule(
        requests=st.integers(1, 30),
        durations=st.sampled_from(((0.01, 0.03), (0.02, 3.0), (3.0, 7.0))),
    )
    def demand_everywhere(self, requests, durations):
        self.cluster.attempt_time = durations
        for name in self.cluster.nodes:
            self.cluster.demand(name, requests, self.amount)

    @rule(seconds=st.sampled_from((0.02, 0.1, 0.3, 1.0, 2.5)))
    def pass_time(self, seconds):
        self.cluster.advance(seconds)

    @rule(
        loss=st.sampled_from((0.0, 0.3, 0.8)),
        duplication=st.sampled_from((0.0, 0.5)),
        delay=st.sampled_from((0.003, 0.1, 1.5)),
    )
    def disturb_network(self, loss, duplication, delay):
        self.cluster.loss, self.cluster.duplication = loss, duplication
        self.cluster.delay = (0.001, delay)

    @rule(index=st.integers(0, 6), seconds=st.sampled_from((0.3, 1.0, 4.0)))
    def pause(self, index, seconds):
        name = self.pick(index)
        self.cluster.nodes[name].paused = True
        self.cluster.at(seconds, lambda: self.cluster.resume(name))

    @rule(index=st.integers(0, 6))
    @precondition(lambda self: sum(not n.crashed for n in self.cluster.nodes.values()) > 2)
    def crash(self, index):
        self.cluster.nodes[self.pick(index)].crashed = True

    @rule(
        index=st.integers(0, 6),
        delays=st.lists(st.sampled_from((0.0, 0.2, 2.0)), min_size=7, max_size=7),
    )
    @precondition(lambda self: len(self.cluster.view.members) > 2)
    def remove(self, index, delays):
        members = sorted(self.cluster.view.members)
        gone = members[index % len(members)]
        self.change(set(members) - {gone}, True, delays)

    @rule(
        index=st.integers(0, 6),
        delays=st.lists(st.sampled_from((0.0, 0.2, 2.0)), min_size=7, max_size=7),
    )
    def join(self, index, delays):
        """A crashed or removed node starts anew, or a new one joins."""
        cluster = self.cluster
        outside = [n for n, node in cluster.nodes.items() if self.restartable(node)]
        name = sorted(outside)[index % len(outside)] if outside else f"n{len(cluster.nodes)}"
        if len(cluster.nodes) >= 9 and not outside:
            return
        if name in cluster.nodes:
            cluster.nodes[name].crashed = True
        replaced = name in cluster.view.members
        # A node with an older release than all others is not confirmed.
        known = [n.revision for n in cluster.nodes.values() if not n.crashed]
        cluster.start(name)
        for _ in range(max(cluster.active_revision, min(known, default=1))):
            cluster.apply_one(name)
        self.change(
            cluster.view.members | {name}, replaced, delays, replaced={name} if replaced else ()
        )

    def restartable(self, node):
        return node.crashed or (node.name not in self.cluster.view.members and not node.running)

    @rule(
        index=st.integers(0, 6),
        delays=st.lists(st.sampled_from((0.0, 0.2, 2.0)), min_size=7, max_size=7),
    )
    def start_leaving(self, index, delays):
        view = self.cluster.view
        leaving = sorted(view.active)[index % len(view.active)]
        if len(view.active) > 1:
            self.change(view.members, False, delays, view.active - {leaving})

    def change(self, members, removed, delays, active=None, replaced=()):
        cluster = self.cluster
        active = (
            cluster.view.active | (members - cluster.view.members) if active is None else active
        )
        cluster.change_view(members, active, removed, replaced)
        for number, name in enumerate(sorted(cluster.nodes)):
            cluster.at(delays[number % len(delays)], lambda name=name: cluster.adopt(name))

    @rule()
    def activate(self):
        self.cluster.activate()
        for name in self.cluster.nodes:
            self.cluster.at(
                self.cluster.rng.uniform(0, 0.3), lambda name=name: self.cluster.tell_active(name)
            )

    @rule(
        limit=st.one_of(st.none(), st.integers(1, 24)),
        delays=st.lists(st.sampled_from((0.0, 0.1, 1.0)), min_size=7, max_size=7),
    )
    def release(self, limit, delays):
        cluster = self.cluster
        cluster.release(None if limit is None else limit * self.amount)
        for number, name in enumerate(sorted(cluster.nodes)):
            delay = delays[number % len(delays)]
            cluster.at(delay, lambda name=name: cluster.apply_release(name))

    @rule()
    def accept_release(self):
        self.cluster.active_revision = len(self.cluster.limits) - 1

    @invariant()
    def never_exceeded(self):
        if self.cluster is not None:
            assert not self.cluster.violations, self.cluster.violations[0]

    def teardown(self):
        cluster = self.cluster
        if cluster is None:
            return
        cluster.settle(12.0)
        self.never_exceeded()
        limit = cluster.limits[-1]
        members = sorted(cluster.view.members)
        if limit is None or not members:
            return
        assert sum(cluster.caps().values()) <= limit, (limit, cluster.caps())
        chosen = members[cluster.rng.randrange(len(members))]
        cluster.attempt_time = (3.0, 3.0)
        cluster.demand(chosen, 2 * limit // self.amount, self.amount)
        cluster.advance(1.0)
        kept = len(members) - 1 if limit >= 4 * len(members) else 0
        assert cluster.cap(chosen) >= limit - kept, (chosen, limit, cluster.caps())
        self.never_exceeded()
