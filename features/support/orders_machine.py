"""Hypothesis state machine that submits orders to a simulated cluster with faults."""

from features.support.membership_machine import SETTLE_LIMIT_STEPS, MembershipMachine
from features.support.orders_world import OrdersWorld
from hypothesis import strategies as st
from hypothesis.stateful import precondition, rule

# 30 s: covers the request timeout of 6 s, the answer grace, and the reads and group commits that
# follow the end of an outage.
ANSWER_LIMIT_STEPS = 300


class OrdersMachine(MembershipMachine):
    """Adds orders with few keys, so that repeats, reused keys and races are frequent."""

    world_class = OrdersWorld

    @rule(a=st.integers(0, 6), key=st.integers(0, 11), other_body=st.integers(0, 7))
    def submit(self, a, key, other_body):
        body = b"2" if other_body == 0 else b"1"
        self.world.submit(self.pick(a), f"key-{key}", body)

    @rule(count=st.integers(2, 6), key=st.integers(0, 11), steps=st.integers(0, 20))
    def submit_everywhere(self, count, key, steps):
        for number in range(count):
            self.world.submit(self.pick(number), f"key-{key}")
        self.world.run_steps(steps)

    @rule(first=st.integers(0, 9), steps=st.integers(0, 60))
    def submit_new(self, first, steps):
        for number in range(6):
            self.world.submit(self.pick(number + first), f"new-{len(self.world.requests)}")
        self.world.run_steps(steps)

    @rule(a=st.integers(0, 6), key=st.integers(0, 11))
    def look_up(self, a, key):
        self.world.look_up(self.pick(a), f"key-{key}")

    @precondition(lambda self: self.world.platform.up)
    @rule(before=st.integers(0, 40), during=st.integers(20, 70), victim=st.integers(0, 6))
    def orders_in_outage(self, before, during, victim):
        """Run orders under outage grants; crash or cut off one executor before the outage ends."""
        self.world.run_steps(before)
        self.world.platform.up = False
        self.world.run_steps(35)
        for number in range(8):
            self.world.submit(self.pick(number), f"key-{number}")
        self.world.run_steps(during)
        if len(self.world.nodes) > 3:
            name = self.pick(victim)
            if during % 2:
                self.world.crash(name)
            else:
                self.world.platform.cut.add(name)
                self.world.cut_off({name})
        self.world.platform.up = True
        self.world.run_steps(20)
        for number in range(8):
            self.world.submit(self.pick(number), f"key-{number}")
        self.world.run_steps(80)

    def teardown(self):
        if self.world is None or not self.world.nodes:
            return
        self.world.heal()
        self.world.run_until_settled(SETTLE_LIMIT_STEPS)
        self.world.run_until_answered(ANSWER_LIMIT_STEPS)
