"""Order executors of a cluster with a simulated network, platform and clocks."""

from datetime import UTC, datetime, timedelta

from features.support.membership_world import SETTINGS, MembershipWorld, Node

from chervilrack._internal.membership import messages as member_messages
from chervilrack._internal.membership.messages import MembershipMessage, WriteOutcome
from chervilrack._internal.orders import messages as o
from chervilrack._internal.orders.core import OrderExecutor
from chervilrack._internal.orders.state import (
    Order,
    OrderResult,
    OrderSettings,
    RecordState,
    decode_record,
    partition_of,
)

START_TIME = datetime(2026, 1, 1, tzinfo=UTC)
REQUEST_TIMEOUT = timedelta(seconds=6)
EVENTS_FOR_ORDERS = (
    member_messages.ViewAdopted,
    member_messages.EpochActive,
    member_messages.DoubtfulEpochsChanged,
    member_messages.OutageGrantChanged,
)


class OrdersNode(Node):
    """Process with a membership core and an order executor."""

    def __init__(self, name, number, run, world, address):
        super().__init__(name, number, run, world, address)
        self.orders = OrderExecutor(self.process, world.order_settings, self.core.may_act)


class OrdersWorld(MembershipWorld):
    """Simulated cluster that records the orders sent to upstreams and the answers to callers.

    ``unsent_share`` is the share of dispatched orders that are not sent to an upstream.
    ``upstream_delay_steps`` are the least and the most steps until an order has run.
    """

    node_class = OrdersNode

    def __init__(self, nodes, seed, settings=SETTINGS, order_settings=None):
        self.order_settings = order_settings or OrderSettings()
        self.requests = {}
        self.answers = {}
        self.answers_changed = False
        self.executions = {}
        self.dispatched = []
        self.txn_sizes = []
        self.upstream_delay_steps = (0, 15)
        self.unsent_share = 0.1
        super().__init__(nodes, seed, settings)

    @property
    def wall_time(self):
        return START_TIME + self.time

    def submit(self, name, key, body=b"1", organisation="org", timeout=REQUEST_TIMEOUT):
        node = self.nodes[name]
        request = f"r{len(self.requests)}"
        order = Order(organisation, key, "payments", "pay", body, int(self.wall_time.timestamp()))
        self.requests[request] = (node, order, self.steps)
        event = o.OrderSubmitted(request, order, node.now(self) + timeout)
        self.handle_order_event(node, event)
        return request

    def look_up(self, name, key, organisation="org"):
        node = self.nodes[name]
        request = f"q{len(self.requests)}"
        self.requests[request] = (node, None, self.steps)
        event = o.LookUpRequested(request, organisation, key, node.now(self) + REQUEST_TIMEOUT)
        self.handle_order_event(node, event)
        return request

    def owner(self, key, organisation="org"):
        """Return the node that executes the orders of a key in the newest view."""
        newest = max(self.nodes.values(), key=lambda node: node.core.epoch)
        return newest.orders._partitions.owner(partition_of(organisation, key)).node

    def key_owned_by(self, name):
        return next(f"k{i}" for i in range(1000) if self.owner(f"k{i}") == name)

    def handle_order_event(self, node, event):
        for effect in node.orders.handle(event, node.now(self)):
            self.apply_effect(node, effect)

    def deliver(self, node, sender, message):
        if isinstance(message, MembershipMessage):
            super().deliver(node, sender, message)
        else:
            self.handle_order_event(node, o.PeerMessage(sender.node, sender.incarnation, message))

    def deliver_platform_events(self, node):
        super().deliver_platform_events(node)
        self.handle_order_event(
            node, member_messages.PlatformReachable(self.platform.reachable(node.name))
        )
        self.handle_order_event(node, o.Tick(self.wall_time))

    def apply_effect(self, node, effect):
        match effect:
            case o.WriteRecords(txn=txn):
                self.schedule_platform_call(
                    self.platform_delay(), node, lambda: self.write_records(node, txn)
                )
            case o.ReadPartition(partition=partition):
                self.schedule_platform_call(
                    self.platform_delay(), node, lambda: self.read_partition(node, partition)
                )
            case o.RunOrder():
                self.run_order(node, effect)
            case o.AnswerOrder(request=request, result=result):
                self.record_answer(request, result)
            case member_messages.PartitionsOwned() | member_messages.OutageTicketsWritten():
                self.handle_event(node, effect)
            case _:
                super().apply_effect(node, effect)
        if isinstance(effect, EVENTS_FOR_ORDERS):
            self.handle_order_event(node, effect)

    def write_records(self, node, txn):
        self.txn_sizes.append(len(txn.compares) + len(txn.puts) + len(txn.deletes))
        number = txn.number
        if not self.platform.reachable(node.name):
            outcome = self.rng.choice([WriteOutcome.NOT_APPLIED, WriteOutcome.UNKNOWN])
            self.respond_to_orders(node, o.RecordsWritten(number, outcome))
            return
        before = dict(self.platform.items)
        applied = self.platform.txn(
            [(compare.key, compare.mod_revision) for compare in txn.compares],
            [(put.key, put.value) for put in txn.puts],
            txn.deletes,
        )
        self.check_records(before, txn, applied)
        if self.platform.lose_responses:
            self.platform.lose_responses -= 1
            event = o.RecordsWritten(number, WriteOutcome.UNKNOWN)
        elif applied:
            event = o.RecordsWritten(number, WriteOutcome.APPLIED, self.platform.revision)
        else:
            event = o.RecordsWritten(number, WriteOutcome.CONFLICT)
        self.respond_to_orders(node, event)

    def check_records(self, before, txn, applied):
        """Check that no outcome is changed and that no process replaces another's ticket."""
        for put in txn.puts if applied else ():
            if put.key in before:
                old, new = decode_record(before[put.key][0]), decode_record(put.value)
                assert old.state is not RecordState.DONE, f"an outcome was changed: {old} {new}"
                if old.state is RecordState.TICKET:
                    assert old.process == new.process, f"a ticket was replaced: {old} {new}"

    def read_partition(self, node, partition):
        if not self.platform.reachable(node.name):
            return
        self.platform.calls += 1
        records = tuple(
            (key, decode_record(value), mod)
            for key, (value, mod) in sorted(self.platform.items.items())
            if key.startswith(f"orders/{partition}/")
        )
        self.respond_to_orders(node, o.RecordsRead(partition, records, self.platform.revision))

    def respond_to_orders(self, node, event):
        if self.nodes.get(node.name) is node:
            self.queue.append((self.steps, node.name, lambda n: self.handle_order_event(n, event)))

    def run_order(self, node, effect):
        assert node.core.may_act(node.now(self)), (
            f"{node.name} runs an order without a confirmation"
        )
        self.dispatched.append((node.name, effect.record_key))
        self.answers_changed = True
        sent = self.rng.random() >= self.unsent_share
        if sent:
            runs = self.executions.setdefault(effect.record_key, [])
            runs.append((node.process, effect.order, self.steps))
            assert len(runs) == 1, f"an order ran twice: {runs}"
        result = OrderResult(body=b"done:" + effect.order.body)
        if not sent:
            result = OrderResult("NO_UPSTREAM", "none", "no", 503)
        event = o.OrderRunFinished(effect.record_key, result, sent)
        self.queue.append(
            (
                self.steps + self.rng.randint(*self.upstream_delay_steps),
                node.name,
                lambda n: self.handle_order_event(n, event) if n is node else None,
            )
        )

    def record_answer(self, request, result):
        assert request not in self.answers, f"{request} was answered twice"
        self.answers[request] = result
        self.answers_changed = True
        order = self.requests[request][1]
        if order is not None and not result.code:
            assert result.body == b"done:" + order.body, f"{request} got another response"

    def check_answers(self):
        """Check that no order ran if all requests under its key were answered "not executed"."""
        executed_values = {}
        for request, (_, order, _) in self.requests.items():
            if order is not None:
                result = self.answers.get(request)
                executed_values.setdefault(order.record_key, set()).add(result and result.executed)
        for key, values in executed_values.items():
            if values == {"no"}:
                assert key not in self.executions, (
                    f"{key} ran, but all callers were answered 'not executed'"
                )

    def check(self):
        super().check()
        if self.answers_changed:
            self.answers_changed = False
            self.check_answers()

    def unanswered(self):
        """Return the unanswered requests of processes that have not stopped."""
        return [
            request
            for request, (node, _, _) in self.requests.items()
            if request not in self.answers and self.nodes.get(node.name) is node
        ]

    def in_progress(self):
        return sum(node.orders.in_progress for node in self.nodes.values())

    def run_until_answered(self, limit):
        for _ in range(limit):
            if not self.unanswered() and not self.in_progress():
                return
            self.step()
        raise AssertionError(
            f"unanswered after {limit} steps: {self.unanswered()}; "
            f"in progress: {[n.orders._pending for n in self.nodes.values()]}"
        )
