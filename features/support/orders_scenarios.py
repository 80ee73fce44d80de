"""Situations of order executors; each raises AssertionError if an order is handled wrongly."""

from dataclasses import replace
from datetime import timedelta

from features.support.membership_world import SETTINGS
from features.support.orders_world import OrdersWorld

from chervilrack._internal.membership import messages as member_messages
from chervilrack._internal.membership.state import Member
from chervilrack._internal.orders import messages as o
from chervilrack._internal.orders.state import (
    OrderSettings,
    RecordState,
    decode_record,
    partition_of,
    partition_owner,
    record_key,
)

LIMIT_STEPS = 400


def settled_world(nodes=5, settings=SETTINGS, order_settings=None):
    world = OrdersWorld(nodes, 3, settings, order_settings)
    world.unsent_share = 0
    world.run_until_settled(LIMIT_STEPS)
    world.run_steps(20)
    return world


def answer_codes(world, *requests):
    """Return the result codes of requests: "" for a response, None for no answer."""
    return [
        world.answers[request].code if request in world.answers else None for request in requests
    ]


def node_other_than(world, *names):
    return next(name for name in sorted(world.nodes) if name not in names)


def stored_records(world):
    """Return the order records on the platform by key."""
    items = world.platform.items.items()
    return {key: decode_record(item[0]) for key, item in items if key.startswith("orders/")}


def orders_from_every_node():
    """An order runs once, whichever node it is submitted to, and its outcome is recorded."""
    world = settled_world()
    requests = [world.submit(f"n{number % 5}", f"k{number}") for number in range(200)]
    world.run_until_answered(LIMIT_STEPS)
    assert answer_codes(world, *requests) == [""] * 200
    assert len(world.executions) == 200
    assert all(record.state is RecordState.DONE for record in stored_records(world).values())


def group_size():
    """A burst is committed in few transactions of at most 128 operations."""
    world = settled_world(3)
    name = world.owner("k0")
    keys = [key for key in (f"k{i}" for i in range(2000)) if world.owner(key) == name][:300]
    world.txn_sizes.clear()
    for key in keys:
        world.submit(name, key)
    world.run_until_answered(LIMIT_STEPS)
    assert max(world.txn_sizes) <= 128, max(world.txn_sizes)
    # Orders finish within 15 steps; each step has one transaction for all records to be written.
    assert len(world.txn_sizes) <= 30, len(world.txn_sizes)


def concurrent_duplicates():
    """Simultaneous copies of an order at all nodes share one execution and one response."""
    world = settled_world()
    requests = [world.submit(name, "same") for name in world.nodes for _ in range(3)]
    world.run_until_answered(LIMIT_STEPS)
    assert answer_codes(world, *requests) == [""] * 15
    assert len(world.dispatched) == 1


def other_body_under_the_key():
    """Another body under a key is rejected while the first order runs and afterwards."""
    world = settled_world()
    first = world.submit("n0", "key", b"1")
    second = world.submit("n1", "key", b"2")
    world.run_until_answered(LIMIT_STEPS)
    third = world.submit("n2", "key", b"3")
    world.run_until_answered(LIMIT_STEPS)
    assert sorted(answer_codes(world, first, second)) == ["", "IDEMPOTENCY_KEY_REUSED"]
    assert answer_codes(world, third) == ["IDEMPOTENCY_KEY_REUSED"]


def look_up_by_organisation():
    """Only the organisation of an order finds the outcome under the order's key."""
    world = settled_world()
    world.submit("n0", "key", organisation="one")
    world.run_until_answered(LIMIT_STEPS)
    own = world.look_up("n1", "key", organisation="one")
    other = world.look_up("n1", "key", organisation="two")
    world.run_steps(10)
    assert answer_codes(world, own, other) == ["", "UNKNOWN_ORDER"]


def executor_crash_while_running():
    """After a crash of its executor, a running order stays unknown and never runs again."""
    world = settled_world()
    world.upstream_delay_steps = (1000, 1000)
    executor = world.owner("key")
    request = world.submit(node_other_than(world, executor), "key")
    world.run_steps(10)
    assert len(world.executions) == 1
    world.crash(executor)
    world.run_steps(150)
    again = world.submit(node_other_than(world, executor), "key")
    look_up = world.look_up(node_other_than(world, executor), "key")
    world.run_steps(30)
    assert answer_codes(world, request, again, look_up) == ["ORDER_OUTCOME_UNKNOWN"] * 3


def key_of_an_order_not_executed():
    """The key of an order that was not sent to an upstream accepts a new order with any body."""
    world = settled_world()
    world.unsent_share = 1
    first = world.submit("n0", "key", b"1")
    world.run_until_answered(LIMIT_STEPS)
    world.unsent_share = 0
    second = world.submit("n1", "key", b"2")
    world.run_until_answered(LIMIT_STEPS)
    assert answer_codes(world, first, second) == ["NO_UPSTREAM", ""]


def superseded_executor():
    """An executor that missed a view change can no longer write tickets.

    The test extends the executor's confirmation, as a faulty clock could do.
    """
    world = settled_world()
    executor = world.owner("key")
    old = world.nodes[executor]
    others = set(world.nodes) - {executor}
    world.cut_off({executor})
    world.cannot_read_view = {executor}
    world.run_steps(150)
    assert old.core.epoch < world.nodes[next(iter(others))].core.active_epoch
    old.orders._may_act = lambda now: True
    old.core.may_act = lambda now: True
    world.check = world.check_node = lambda *args: None
    first = world.submit(executor, "key")
    world.run_steps(30)
    second = world.submit(next(iter(others)), "key")
    world.run_steps(30)
    assert answer_codes(world, second) == [""]
    assert answer_codes(world, first) != [""]
    assert len(world.executions[record_key("org", "key")]) == 1


def lost_ticket_write():
    """A ticket whose write was lost is not treated as written."""
    world = settled_world()
    executor = world.owner("key")
    node = world.nodes[executor]
    world.submit(executor, "key")
    world.queue = [item for item in world.queue if item[1] is not None]
    number = node.orders._groups.in_flight.number
    world.handle_order_event(node, o.RecordsWritten(number, member_messages.WriteOutcome.UNKNOWN))
    world.crash(executor)
    world.run_steps(150)
    request = world.submit(node_other_than(world), "key")
    world.run_until_answered(LIMIT_STEPS)
    assert answer_codes(world, request) == [""]


def lost_ticket_response():
    """An order whose ticket was written, but whose write response was lost, runs once."""
    world = settled_world()
    world.platform.lose_responses = 1
    request = world.submit(world.owner("key"), "key")
    world.run_until_answered(LIMIT_STEPS)
    assert answer_codes(world, request) == [""]
    assert len(world.dispatched) == 1


def run_platform_outage(world):
    """Start an outage and run until witnesses have given outage grants."""
    world.platform.up = False
    world.run_steps(45)


def orders_in_an_outage_are_recorded_later():
    """Orders run under outage grants; their outcomes are recorded after the outage."""
    world = settled_world()
    run_platform_outage(world)
    requests = [world.submit(f"n{number % 5}", f"k{number}") for number in range(60)]
    world.run_steps(60)
    assert answer_codes(world, *requests) == [""] * 60
    assert not stored_records(world)
    world.platform.up = True
    world.run_steps(60)
    assert len(stored_records(world)) == 60
    assert all(not node.core._exchange.issued_grants.outstanding for node in world.nodes.values())


def outage_grants_behind_relays():
    """Executors that send heartbeats only to relays get outage grants, which end afterwards."""
    world = settled_world(16)
    run_platform_outage(world)
    requests = [world.submit(f"n{number % 16}", f"k{number}") for number in range(60)]
    world.run_steps(60)
    assert answer_codes(world, *requests) == [""] * 60
    world.platform.up = True
    world.run_steps(100)
    assert len(stored_records(world)) == 60
    assert all(not node.core._exchange.issued_grants.outstanding for node in world.nodes.values())


def lost_write_over_a_reused_key():
    """An order that reused a key in an outage stays pending until its outcome is recorded.

    The first write after the outage is lost. The read that follows finds the earlier record of the
    key. Without the pending order, a repeated request would run the order again.
    """
    world = settled_world()
    executor = world.owner("key")
    world.unsent_share = 1
    world.submit(executor, "key")
    world.run_until_answered(LIMIT_STEPS)
    world.unsent_share = 0
    run_platform_outage(world)
    world.submit(executor, "key")
    world.run_steps(20)
    assert len(world.dispatched) == 2
    write, lost_txns = world.write_records, []

    def lose_first_write(node, txn):
        if lost_txns:
            return write(node, txn)
        lost_txns.append(txn)
        event = o.RecordsWritten(txn.number, member_messages.WriteOutcome.UNKNOWN)
        return world.respond_to_orders(node, event)

    world.write_records = lose_first_write
    world.platform.up = True
    world.run_steps(30)
    assert lost_txns
    again = world.submit(node_other_than(world, executor), "key")
    world.run_until_answered(LIMIT_STEPS)
    assert answer_codes(world, again) == [""]
    assert len(world.dispatched) == 2
    assert stored_records(world)[record_key("org", "key")].state is RecordState.DONE


def executor_crash_in_outage():
    """After a crash under an outage grant, orders stay unknown until the retry horizon."""
    horizon = timedelta(seconds=30)
    settings = replace(SETTINGS, retry_horizon=horizon)
    world = settled_world(5, settings, replace(OrderSettings(), retry_horizon=horizon))
    executor = world.owner("key")
    run_platform_outage(world)
    first = world.submit(executor, "key")
    world.run_steps(20)
    assert answer_codes(world, first) == [""]
    world.crash(executor)
    world.platform.up = True
    world.run_steps(100)
    again = world.submit(node_other_than(world), "key")
    world.run_steps(30)
    assert answer_codes(world, again) == ["ORDER_OUTCOME_UNKNOWN"]
    world.run_steps(400)
    unused_key = next(k for k in (f"f{i}" for i in range(9999)) if _same_partition(k, "key"))
    later = world.submit(node_other_than(world), unused_key)
    world.run_steps(30)
    assert answer_codes(world, later) == [""]


def _same_partition(first, second):
    return partition_of("org", first) == partition_of("org", second)


def cut_off_executor_records_late():
    """Outcomes of an outage are found even if they are recorded after the partition's take-over."""
    world = settled_world()
    executor = world.owner("key")
    run_platform_outage(world)
    world.submit(executor, "key")
    world.run_steps(20)
    world.cut_off({executor})
    world.platform.up = True
    world.platform.cut = {executor}
    world.run_steps(120)
    during = world.submit(node_other_than(world, executor), "key")
    world.run_steps(20)
    assert answer_codes(world, during) == ["ORDER_OUTCOME_UNKNOWN"]
    world.heal()
    world.run_until_settled(LIMIT_STEPS)
    world.run_steps(60)
    again = world.submit(node_other_than(world, executor), "key")
    world.run_steps(20)
    assert answer_codes(world, again) == [""]
    assert len(world.dispatched) == 1


def platform_unreachable_from_executor_only():
    """An executor that alone cannot reach the platform gets no grant and refuses its orders."""
    world = settled_world()
    executor = world.owner("key")
    world.platform.cut = {executor}
    world.run_steps(45)
    request = world.submit(executor, "key")
    world.run_steps(50)
    assert answer_codes(world, request) == ["PLATFORM_AWAY"]
    assert not world.dispatched


def grant_of_one_witness():
    """A grant of one witness is not sufficient.

    If that witness and the executor both crashed, nothing would show that an order may have run.
    """
    world = settled_world()
    executor = world.owner("key")
    witness = node_other_than(world, executor)
    world.platform.cut = {executor, witness}
    world.run_steps(45)
    world.submit(executor, "key")
    world.run_steps(50)
    world.crash(executor)
    world.crash(witness)
    world.run_steps(150)
    request = world.submit(node_other_than(world), "key")
    world.run_until_answered(LIMIT_STEPS)
    assert answer_codes(world, request) == [""]


def owner_of_unsealed_epoch():
    """A new owner waits while an earlier owner may still run orders under an outage grant."""
    world = settled_world(4)
    view = world.nodes["n0"].core.view
    second, third = [process.node for process in view.witnesses][1:]
    run_platform_outage(world)
    world.start(5)
    world.run_steps(20)
    joined = view_with_member(view, Member("n5", "n5.1", "zone-2", "peer:5", "http:5"))
    key = next(
        key
        for key in (f"k{i}" for i in range(999))
        if partition_owner(joined, partition_of("org", key)) == "n5" and world.owner(key) == second
    )
    world.platform.up = True
    world.platform.cut = set(world.nodes) - {"n5"}
    # The joiner reaches a majority of the five new witnesses, but one of the three earlier ones.
    world.cut_off({second, third})
    world.run_steps(250)
    joiner = world.nodes["n5"].core
    assert joiner.may_act(world.nodes["n5"].now(world))
    assert joiner.active_epoch < joiner.epoch
    early = world.submit(second, key)
    late = world.submit("n5", key)
    world.run_steps(80)
    assert answer_codes(world, early, late) == ["", "ORDER_NOT_RECORDED"]


def view_with_member(view, member):
    """Return the view of the next epoch with one more member."""
    return type(view)(view.epoch + 1, (*view.members, member), view.witnesses)


def late_copy_of_refused_order():
    """A late copy of an order that was refused as not executed does not run."""
    world = settled_world()
    executor = world.owner("key")
    sender = node_other_than(world, executor)
    world.platform.cut = {executor}
    world.run_steps(45)
    request = world.submit(sender, "key")
    copy = next(
        effect.message for effect in reversed(world.nodes[sender].effects) if _sends_order(effect)
    )
    world.run_steps(50)
    assert answer_codes(world, request) == ["PLATFORM_AWAY"]
    world.platform.cut = set()
    world.run_steps(5)
    world.deliver(world.nodes[executor], world.nodes[sender].process, copy)
    world.run_steps(30)
    assert not world.dispatched


def late_copy_after_restart():
    """A copy of an order sent to an earlier incarnation of the executor does not run."""
    world = settled_world()
    executor = world.owner("key")
    sender = node_other_than(world, executor)
    world.platform.cut = {executor}
    world.run_steps(45)
    request = world.submit(sender, "key")
    copy = next(
        effect.message for effect in reversed(world.nodes[sender].effects) if _sends_order(effect)
    )
    world.run_steps(50)
    assert answer_codes(world, request) == ["PLATFORM_AWAY"]
    world.platform.cut = set()
    world.crash(executor)
    world.start(int(executor[1:]))
    world.run_until_settled(LIMIT_STEPS)
    world.run_steps(50)
    world.deliver(world.nodes[executor], world.nodes[sender].process, copy)
    world.run_steps(30)
    assert not world.dispatched


def _sends_order(effect):
    return isinstance(getattr(effect, "message", None), o.SubmitOrder)


def old_records_expire():
    """Records older than the retention time are deleted."""
    world = settled_world(3, SETTINGS, replace(OrderSettings(), retention=timedelta(seconds=60)))
    for number in range(100):
        world.submit("n0", f"k{number}")
    world.run_until_answered(LIMIT_STEPS)
    world.run_steps(500)
    assert len(stored_records(world)) == 100
    world.run_steps(2500)
    assert not stored_records(world)


SITUATIONS = {
    function.__name__.replace("_", " "): function
    for function in (
        orders_from_every_node,
        group_size,
        concurrent_duplicates,
        other_body_under_the_key,
        look_up_by_organisation,
        executor_crash_while_running,
        key_of_an_order_not_executed,
        superseded_executor,
        lost_ticket_write,
        lost_ticket_response,
        orders_in_an_outage_are_recorded_later,
        outage_grants_behind_relays,
        lost_write_over_a_reused_key,
        executor_crash_in_outage,
        cut_off_executor_records_late,
        platform_unreachable_from_executor_only,
        grant_of_one_witness,
        owner_of_unsealed_epoch,
        late_copy_of_refused_order,
        late_copy_after_restart,
        old_records_expire,
    )
}
