"""Fixed runs of order executors; each raises AssertionError if an order is handled wrongly."""

from dataclasses import replace
from datetime import timedelta

from features.support.membership_world import SETTINGS
from features.support.orders_world import OrdersWorld

from chervilrack._internal.membership import messages as shared
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

LIMIT = 400


def settled_world(nodes=5, settings=SETTINGS, order_settings=None):
    world = OrdersWorld(nodes, 3, settings, order_settings)
    world.unsent = 0
    world.run_until_settled(LIMIT)
    world.run_steps(20)
    return world


def codes(world, *requests):
    return [
        world.answers[request].code if request in world.answers else None for request in requests
    ]


def other_than(world, *names):
    return next(name for name in sorted(world.nodes) if name not in names)


def records(world):
    items = world.platform.items.items()
    return {key: decode_record(item[0]) for key, item in items if key.startswith("orders/")}


def orders_from_every_node():
    """Each order runs once, wherever it is submitted, and its outcome is recorded."""
    world = settled_world()
    requests = [world.submit(f"n{number % 5}", f"k{number}") for number in range(200)]
    world.run_until_answered(LIMIT)
    assert codes(world, *requests) == [""] * 200
    assert len(world.executions) == 200
    assert all(record.state is RecordState.DONE for record in records(world).values())


def group_size():
    """A burst is committed in few transactions of at most 128 operations."""
    world = settled_world(3)
    name = world.owner("k0")
    keys = [key for key in (f"k{i}" for i in range(2000)) if world.owner(key) == name][:300]
    world.txn_sizes.clear()
    for key in keys:
        world.submit(name, key)
    world.run_until_answered(LIMIT)
    assert max(world.txn_sizes) <= 128, max(world.txn_sizes)
    # Orders end over 15 steps, and each step takes one transaction for all that are waiting.
    assert len(world.txn_sizes) <= 30, len(world.txn_sizes)


def concurrent_duplicates():
    """Copies of an order at all nodes at once share one execution and one response."""
    world = settled_world()
    requests = [world.submit(name, "same") for name in world.nodes for _ in range(3)]
    world.run_until_answered(LIMIT)
    assert codes(world, *requests) == [""] * 15
    assert len(world.started) == 1


def other_body_under_the_key():
    """Another body is rejected while the first is in progress and after it."""
    world = settled_world()
    first = world.submit("n0", "key", b"1")
    second = world.submit("n1", "key", b"2")
    world.run_until_answered(LIMIT)
    third = world.submit("n2", "key", b"3")
    world.run_until_answered(LIMIT)
    assert sorted(codes(world, first, second)) == ["", "IDEMPOTENCY_KEY_REUSED"]
    assert codes(world, third) == ["IDEMPOTENCY_KEY_REUSED"]


def look_up_by_organisation():
    """An outcome is found under its key, by its own organisation only."""
    world = settled_world()
    world.submit("n0", "key", organisation="one")
    world.run_until_answered(LIMIT)
    own = world.look_up("n1", "key", organisation="one")
    other = world.look_up("n1", "key", organisation="two")
    world.run_steps(10)
    assert codes(world, own, other) == ["", "UNKNOWN_ORDER"]


def executor_crash_while_running():
    """After the executor's crash the order stays unknown and is never run again."""
    world = settled_world()
    world.upstream_steps = (1000, 1000)
    executor = world.owner("key")
    request = world.submit(other_than(world, executor), "key")
    world.run_steps(10)
    assert len(world.executions) == 1
    world.crash(executor)
    world.run_steps(150)
    again = world.submit(other_than(world, executor), "key")
    found = world.look_up(other_than(world, executor), "key")
    world.run_steps(30)
    assert codes(world, request, again, found) == ["ORDER_OUTCOME_UNKNOWN"] * 3


def not_executed_key_is_free():
    """A key whose order was decided not to be sent may be used again, also with another body."""
    world = settled_world()
    world.unsent = 1
    first = world.submit("n0", "key", b"1")
    world.run_until_answered(LIMIT)
    world.unsent = 0
    second = world.submit("n1", "key", b"2")
    world.run_until_answered(LIMIT)
    assert codes(world, first, second) == ["NO_UPSTREAM", ""]


def superseded_executor():
    """An executor that missed a view change cannot write tickets any more.

    Its confirmation is extended by hand, as if it had been given by a faulty clock.
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
    assert codes(world, second) == [""]
    assert codes(world, first) != [""]
    assert len(world.executions[record_key("org", "key")]) == 1


def lost_ticket_write():
    """A ticket whose write was lost is not taken for written."""
    world = settled_world()
    executor = world.owner("key")
    node = world.nodes[executor]
    world.submit(executor, "key")
    world.queue = [item for item in world.queue if item[1] is not None]
    number = node.orders._groups.in_flight.number
    world.give_orders(node, o.RecordsWritten(number, shared.WriteOutcome.UNKNOWN))
    world.crash(executor)
    world.run_steps(150)
    request = world.submit(other_than(world), "key")
    world.run_until_answered(LIMIT)
    assert codes(world, request) == [""]


def lost_ticket_response():
    """A ticket that was written although the response was lost leads to one execution."""
    world = settled_world()
    world.platform.lose_responses = 1
    request = world.submit(world.owner("key"), "key")
    world.run_until_answered(LIMIT)
    assert codes(world, request) == [""]
    assert len(world.started) == 1


def outage(world):
    world.platform.up = False
    world.run_steps(45)


def outage_and_flush():
    """Orders run under grants in an outage; their outcomes are recorded afterwards."""
    world = settled_world()
    outage(world)
    requests = [world.submit(f"n{number % 5}", f"k{number}") for number in range(60)]
    world.run_steps(60)
    assert codes(world, *requests) == [""] * 60
    assert not records(world)
    world.platform.up = True
    world.run_steps(60)
    assert len(records(world)) == 60
    assert all(not node.core._exchange.issued_grants.outstanding for node in world.nodes.values())


def outage_with_relays():
    """Executors that normally talk only to relays get grants and give them back."""
    world = settled_world(16)
    outage(world)
    requests = [world.submit(f"n{number % 16}", f"k{number}") for number in range(60)]
    world.run_steps(60)
    assert codes(world, *requests) == [""] * 60
    world.platform.up = True
    world.run_steps(100)
    assert len(records(world)) == 60
    assert all(not node.core._exchange.issued_grants.outstanding for node in world.nodes.values())


def lost_flush_over_free_key():
    """An order that ran in an outage under a free key is kept until its outcome is recorded."""
    world = settled_world()
    executor = world.owner("key")
    world.unsent = 1
    world.submit(executor, "key")
    world.run_until_answered(LIMIT)
    world.unsent = 0
    outage(world)
    world.submit(executor, "key")
    world.run_steps(20)
    assert len(world.started) == 2
    write, lost = world.write_tickets, []

    def write_once_lost(node, txn):
        if lost:
            return write(node, txn)
        lost.append(txn)
        event = o.RecordsWritten(txn.number, shared.WriteOutcome.UNKNOWN)
        return world.respond_orders(node, event)

    world.write_tickets = write_once_lost
    world.platform.up = True
    world.run_steps(30)
    assert lost
    again = world.submit(other_than(world, executor), "key")
    world.run_until_answered(LIMIT)
    assert codes(world, again) == [""]
    assert len(world.started) == 2
    assert records(world)[record_key("org", "key")].state is RecordState.DONE


def executor_crash_in_outage():
    """Orders of a granted executor that is lost are unknown until the retry horizon."""
    horizon = timedelta(seconds=30)
    settings = replace(SETTINGS, retry_horizon=horizon)
    world = settled_world(5, settings, replace(OrderSettings(), retry_horizon=horizon))
    executor = world.owner("key")
    outage(world)
    first = world.submit(executor, "key")
    world.run_steps(20)
    assert codes(world, first) == [""]
    world.crash(executor)
    world.platform.up = True
    world.run_steps(100)
    again = world.submit(other_than(world), "key")
    world.run_steps(30)
    assert codes(world, again) == ["ORDER_OUTCOME_UNKNOWN"]
    world.run_steps(400)
    fresh = next(k for k in (f"f{i}" for i in range(9999)) if _same_partition(k, "key"))
    later = world.submit(other_than(world), fresh)
    world.run_steps(30)
    assert codes(world, later) == [""]


def _same_partition(first, second):
    return partition_of("org", first) == partition_of("org", second)


def cut_off_executor_flushes_late():
    """Tickets of an outage that arrive after the take-over clear the doubt and are found."""
    world = settled_world()
    executor = world.owner("key")
    outage(world)
    world.submit(executor, "key")
    world.run_steps(20)
    world.cut_off({executor})
    world.platform.up = True
    world.platform.cut = {executor}
    world.run_steps(120)
    asked = world.submit(other_than(world, executor), "key")
    world.run_steps(20)
    assert codes(world, asked) == ["ORDER_OUTCOME_UNKNOWN"]
    world.heal()
    world.run_until_settled(LIMIT)
    world.run_steps(60)
    again = world.submit(other_than(world, executor), "key")
    world.run_steps(20)
    assert codes(world, again) == [""]
    assert len(world.started) == 1


def platform_away_from_executor_only():
    """An executor that alone misses the platform gets no grant and refuses truthfully."""
    world = settled_world()
    executor = world.owner("key")
    world.platform.cut = {executor}
    world.run_steps(45)
    request = world.submit(executor, "key")
    world.run_steps(50)
    assert codes(world, request) == ["PLATFORM_AWAY"]
    assert not world.started


def grant_of_one_witness():
    """One witness's grant is not sufficient: with it and the executor the trace would be lost."""
    world = settled_world()
    executor = world.owner("key")
    witness = other_than(world, executor)
    world.platform.cut = {executor, witness}
    world.run_steps(45)
    world.submit(executor, "key")
    world.run_steps(50)
    world.crash(executor)
    world.crash(witness)
    world.run_steps(150)
    request = world.submit(other_than(world), "key")
    world.run_until_answered(LIMIT)
    assert codes(world, request) == [""]


def owner_of_unsealed_epoch():
    """A new owner waits while a granted executor of an earlier epoch may still act."""
    world = settled_world(4)
    view = world.nodes["n0"].core.view
    second, third = [process.node for process in view.witnesses][1:]
    outage(world)
    world.start(5)
    world.run_steps(20)
    joined = replace_members(view, Member("n5", "n5.1", "zone-2", "peer:5", "http:5"))
    key = next(
        key
        for key in (f"k{i}" for i in range(999))
        if partition_owner(joined, partition_of("org", key)) == "n5" and world.owner(key) == second
    )
    world.platform.up = True
    world.platform.cut = set(world.nodes) - {"n5"}
    # A majority of the five new witnesses, but only one of the three earlier ones.
    world.cut_off({second, third})
    world.run_steps(250)
    joiner = world.nodes["n5"].core
    assert joiner.may_act(world.nodes["n5"].now(world))
    assert joiner.active_epoch < joiner.epoch
    early = world.submit(second, key)
    late = world.submit("n5", key)
    world.run_steps(80)
    assert codes(world, early, late) == ["", "ORDER_NOT_RECORDED"]


def replace_members(view, member):
    return type(view)(view.epoch + 1, (*view.members, member), view.witnesses)


def late_copy_of_refused_order():
    """A copy of an order that was refused as not executed does not run later."""
    world = settled_world()
    executor = world.owner("key")
    sender = other_than(world, executor)
    world.platform.cut = {executor}
    world.run_steps(45)
    request = world.submit(sender, "key")
    copy = next(e.message for e in reversed(world.nodes[sender].effects) if _is_submit(e))
    world.run_steps(50)
    assert codes(world, request) == ["PLATFORM_AWAY"]
    world.platform.cut = set()
    world.run_steps(5)
    world.deliver(world.nodes[executor], world.nodes[sender].process, copy)
    world.run_steps(30)
    assert not world.started


def late_copy_after_restart():
    """A copy of an order for an earlier run of the executor does not run at the next one."""
    world = settled_world()
    executor = world.owner("key")
    sender = other_than(world, executor)
    world.platform.cut = {executor}
    world.run_steps(45)
    request = world.submit(sender, "key")
    copy = next(e.message for e in reversed(world.nodes[sender].effects) if _is_submit(e))
    world.run_steps(50)
    assert codes(world, request) == ["PLATFORM_AWAY"]
    world.platform.cut = set()
    world.crash(executor)
    world.start(int(executor[1:]))
    world.run_until_settled(LIMIT)
    world.run_steps(50)
    world.deliver(world.nodes[executor], world.nodes[sender].process, copy)
    world.run_steps(30)
    assert not world.started


def _is_submit(effect):
    return isinstance(getattr(effect, "message", None), o.SubmitOrder)


def old_records_expire():
    """Records older than the retention are deleted."""
    world = settled_world(3, SETTINGS, replace(OrderSettings(), retention=timedelta(seconds=60)))
    for number in range(100):
        world.submit("n0", f"k{number}")
    world.run_until_answered(LIMIT)
    world.run_steps(500)
    assert len(records(world)) == 100
    world.run_steps(2500)
    assert not records(world)


SCENARIOS = {
    function.__name__.replace("_", " "): function
    for function in (
        orders_from_every_node,
        group_size,
        concurrent_duplicates,
        other_body_under_the_key,
        look_up_by_organisation,
        executor_crash_while_running,
        not_executed_key_is_free,
        superseded_executor,
        lost_ticket_write,
        lost_ticket_response,
        outage_and_flush,
        outage_with_relays,
        lost_flush_over_free_key,
        executor_crash_in_outage,
        cut_off_executor_flushes_late,
        platform_away_from_executor_only,
        grant_of_one_witness,
        owner_of_unsealed_epoch,
        late_copy_of_refused_order,
        late_copy_after_restart,
        old_records_expire,
    )
}
