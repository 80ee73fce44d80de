"""Steps for the node daemon."""

import threading
import time
from dataclasses import dataclass

import msgspec
from behave import given, then, when

from chervilrack._internal.cluster.local import LocalCluster
from chervilrack._internal.common.clock import ManualClock
from chervilrack._internal.experiments.profile import load_profile
from chervilrack._internal.membership.changes import ViewChange
from chervilrack._internal.membership.sealing import Sealing
from chervilrack._internal.membership.state import Member, MembershipSettings, View
from chervilrack._internal.node.codec import create_codec, message_types
from chervilrack._internal.node.cores import has_removal
from chervilrack._internal.node.reactor import Reactor
from chervilrack._internal.releases.state import LimitKind, limit_id

WAIT_LIMIT_S = 20


@dataclass
class Good:
    """Effect that is carried out."""


@dataclass
class Bad:
    """Effect that fails."""


class Core:
    """Core of the tests."""

    def __init__(self, effects, fail_first=False):
        self.effects = effects
        self.fail = fail_first

    def handle(self, event, now):
        if self.fail:
            self.fail = False
            raise ValueError("first event")
        return self.effects


def _reactor(context, core):
    context.core = core
    context.carried = []
    context.reactor = Reactor(ManualClock(), threading.RLock())
    context.reactor.on(Good, context.carried.append)


def _fail(effect):
    raise ValueError("effect")


@given("a node reactor whose core returns an effect with {fault} and a good one")
def reactor_with_fault(context, fault):
    _reactor(context, Core([Bad(), Good()]))
    if fault == "a failing handler":
        context.reactor.on(Bad, _fail)


@given("a node reactor whose core fails on the first event")
def reactor_with_failing_core(context):
    _reactor(context, Core([Good()], fail_first=True))


@when("node reactor gets {count:d} events")
def submit(context, count):
    for _ in range(count):
        context.reactor.submit(context.core, object())


@then("node reactor has carried out {good:d} good effects and counts {failures:d} failures")
def check_reactor(context, good, failures):
    assert (len(context.carried), context.reactor.failures) == (good, failures)


@given("a node with all slices connected")
def start_node(context):
    cluster = LocalCluster(load_profile("paramo"), 1, seed=1)
    context.cluster = cluster.__enter__()
    context.add_cleanup(cluster.__exit__, None, None, None)
    context.node = cluster.nodes[0]


@then("node codec and routes know every message of {part}")
def check_messages(context, part):
    codec = create_codec()
    for kind in message_types(part):
        assert issubclass(kind, msgspec.Struct)
        assert codec.is_registered(kind), kind
        assert context.node.cores.has_route(kind), kind


@when("node status is read while demand waits to be reported")
def read_status(context):
    context.cluster.accept_first_note()
    cores = context.node.cores
    limit = limit_id("team", context.cluster.profile.teams[0].id, LimitKind.CONCURRENCY)
    with cores.reactor.lock:
        now = context.node.clock.monotonic()
        cores.limits.permits.set_demand({limit: 2}, now)
        context.node.operations.status()
        context.due = cores.limits.permits.due_reports(now)
    context.limit = limit


@then("node still reports the demand to the owner")
def check_due(context):
    assert context.limit in context.due, context.due
    # The cluster must stay healthy for the clean-up.
    limit = time.monotonic() + WAIT_LIMIT_S
    while context.node.not_ready() is not None:
        assert time.monotonic() < limit
        time.sleep(0.05)


def _member(node, incarnation="1"):
    return Member(node, incarnation, "z", f"tcp://{node}", f"http://{node}")


def _views(*steps):
    """Apply steps to a view of two members, one epoch each; return the first and the last."""
    first = View(3, (_member("a"), _member("b")), (_member("a").process,))
    view = first
    for step in steps:
        change = ViewChange(view)
        step(change)
        view = change.build(MembershipSettings(), Sealing(MembershipSettings()), 0, "w")
    return first, view


CHANGES = {
    "joins": [lambda c: c.join(_member("c"))],
    "leaves as planned": [lambda c: c.mark_leaving("b"), lambda c: c.leave("b")],
    "fails": [lambda c: c.fail(["b"], frozenset())],
    "is replaced": [lambda c: c.join(_member("b", "2"))],
    "is replaced and leaves": [lambda c: c.join(_member("b", "2")), lambda c: c.leave("b")],
    "joins and fails in between": [
        lambda c: c.join(_member("c")),
        lambda c: c.fail(["c"], frozenset()),
    ],
}


@when("node view changes because a member {change}")
def change_view(context, change):
    context.views = _views(*CHANGES[change])


@then("node tells limits that a member was removed: {removed}")
def check_removed(context, removed):
    previous, view = context.views
    assert has_removal(view, previous) == (removed == "yes"), view
