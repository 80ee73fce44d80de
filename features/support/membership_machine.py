"""Hypothesis state machine that runs several membership cores under random faults."""

from dataclasses import replace

from features.support.membership_world import SETTINGS, MembershipWorld
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

# 2 minutes of 100 ms steps. The longest wait is the sum of VM list lag, join probe timeout and
# flap delay.
SETTLE_LIMIT_STEPS = 1200

# Settings with which even a few nodes in three zones use relays and change their witnesses, as
# only views of more than 12 members do by default.
RELAY_SETTINGS = replace(SETTINGS, relay_threshold=3, relays_per_zone=1, max_witnesses=3)


class MembershipMachine(RuleBasedStateMachine):
    """Hypothesis chooses the faults; the seed of the world decides on message order and loss.

    The arguments ``a`` and ``b`` of the rules are numbers of nodes, see ``pick``.
    """

    world_class = MembershipWorld

    def __init__(self):
        super().__init__()
        self.world = None

    @initialize(
        nodes=st.integers(3, 7),
        seed=st.integers(0, 2**16),
        settled=st.booleans(),
        settings=st.sampled_from([SETTINGS, RELAY_SETTINGS]),
    )
    def start(self, nodes, seed, settled, settings):
        self.world = self.world_class(nodes, seed, settings)
        if settled:
            self.world.run_until_settled(SETTLE_LIMIT_STEPS)

    def pick(self, number):
        """Return the name of a running node; ``number`` counts through the sorted names."""
        names = sorted(self.world.nodes)
        return names[number % len(names)]

    @rule(steps=st.integers(1, 45))
    def run(self, steps):
        self.world.run_steps(steps)

    @rule(a=st.integers(0, 6), b=st.integers(0, 6))
    def cut_one_way(self, a, b):
        self.world.cut_links.add((self.pick(a), self.pick(b)))

    @rule(a=st.integers(0, 6), inbound=st.booleans(), outbound=st.booleans())
    def isolate(self, a, inbound, outbound):
        name = self.pick(a)
        for other in self.world.nodes:
            if inbound:
                self.world.cut_links.add((other, name))
            if outbound:
                self.world.cut_links.add((name, other))
        self.world.run_steps(10)

    @rule()
    def heal_links(self):
        self.world.cut_links.clear()

    @rule(a=st.integers(0, 6), steps=st.integers(0, 60))
    def pause(self, a, steps):
        self.world.nodes[self.pick(a)].paused = True
        self.world.run_steps(steps)

    @rule()
    def resume_all(self):
        for node in self.world.nodes.values():
            node.paused = False

    @precondition(lambda self: len(self.world.nodes) > 1)
    @rule(a=st.integers(0, 6), steps=st.integers(0, 40))
    def crash(self, a, steps):
        self.world.crash(self.pick(a))
        self.world.run_steps(steps)

    @precondition(lambda self: self.world.crashed)
    @rule(other_address=st.booleans())
    def restart_empty(self, other_address):
        name = sorted(self.world.crashed)[0]
        self.world.start(int(name[1:]), other_address)

    @rule(steps=st.integers(0, 40))
    def platform_outage(self, steps):
        self.world.platform.up = False
        self.world.run_steps(steps)

    @rule()
    def platform_returns(self):
        self.world.platform.up = True
        self.world.platform.cut.clear()
        self.world.slow_platform = False

    @rule(a=st.integers(0, 6))
    def cut_from_platform(self, a):
        self.world.platform.cut.add(self.pick(a))

    @rule(count=st.integers(1, 3), slow=st.booleans())
    def lose_platform_responses(self, count, slow):
        self.world.platform.lose_responses = count
        self.world.slow_platform = slow

    @rule(loss=st.sampled_from([0.0, 0.1, 0.4]), duplication=st.sampled_from([0.0, 0.3]))
    def set_message_faults(self, loss, duplication):
        self.world.loss, self.world.duplication = loss, duplication

    @precondition(lambda self: self.world.platform.up)
    @rule()
    def record_release(self):
        self.world.record_release()

    def teardown(self):
        if self.world is None or not self.world.nodes:
            return
        self.world.heal()
        self.world.run_until_settled(SETTLE_LIMIT_STEPS)
