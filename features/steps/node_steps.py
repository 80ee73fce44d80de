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

WAIT_TIMEOUT_S = 20


@dataclass
class ValidEffect:
    """Effect that is carried out."""


@dataclass
class FaultyEffect:
    """Effect whose handler is missing or fails."""


class FakeCore:
    """Core that returns the same effects for each event."""

    def __init__(self, effects, fail_first=False):
        self.effects = effects
        self.fails_next = fail_first

    def handle(self, event, now):
        if self.fails_next:
            self.fails_next = False
            raise ValueError("first event")
        return self.effects


def _create_reactor(context, core):
    context.core = core
    context.carried_out = []
    context.reactor = Reactor(ManualClock(), threading.RLock())
    context.reactor.set_handler(ValidEffect, context.carried_out.append)


def _fail(effect):
    raise ValueError("effect")


@given("a node reactor whose core returns an effect with {fault} and a valid effect")
def reactor_with_fault(context, fault):
    _create_reactor(context, FakeCore([FaultyEffect(), ValidEffect()]))
    if fault == "a failing handler":
        context.reactor.set_handler(FaultyEffect, _fail)


@given("a node reactor whose core fails on the first event")
def reactor_with_failing_core(context):
    _create_reactor(context, FakeCore([ValidEffect()], fail_first=True))


@when("the node reactor receives {count:d} events")
def submit_events(context, count):
    for _ in range(count):
        context.reactor.submit(context.core, object())


@then("the node reactor has carried out {effects:d} valid effects and counts {failures:d} failures")
def check_reactor(context, effects, failures):
    assert (len(context.carried_out), context.reactor.failures) == (effects, failures)


@given("a running node with all components")
def start_node(context):
    cluster = LocalCluster(load_profile("paramo"), 1, seed=1)
    context.cluster = cluster.__enter__()
    context.add_cleanup(cluster.__exit__, None, None, None)
    context.node = cluster.nodes[0]


@then("the node has a codec and a handler for every message of {component}")
def check_messages(context, component):
    codec = create_codec()
    for message_type in message_types(component):
        assert issubclass(message_type, msgspec.Struct)
        assert codec.is_registered(message_type), message_type
        assert context.node.cores.has_route(message_type), message_type


@when("the node's status is read before its demand is reported")
def read_status(context):
    context.cluster.accept_first_note()
    cores = context.node.cores
    limit = limit_id("team", context.cluster.profile.teams[0].id, LimitKind.CONCURRENCY)
    with cores.reactor.lock:
        now = context.node.clock.monotonic()
        cores.limits.permits.set_demand({limit: 2}, now)
        context.node.operations.status()
        context.due_reports = cores.limits.permits.due_reports(now)
    context.limit = limit


@then("the node still reports the demand to the owner of the limit")
def check_due_reports(context):
    assert context.limit in context.due_reports, context.due_reports
    # The clean-up needs a healthy cluster.
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while context.node.not_ready() is not None:
        assert time.monotonic() < deadline
        time.sleep(0.05)


def _member(node, incarnation="1"):
    return Member(node, incarnation, "z", f"tcp://{node}", f"http://{node}")


def _build_views(*steps):
    """Return a view of two members, and the view after all ``steps``, each a new epoch."""
    first = View(3, (_member("a"), _member("b")), (_member("a").process,))
    view = first
    for step in steps:
        change = ViewChange(view)
        step(change)
        view = change.build(MembershipSettings(), Sealing(MembershipSettings()), 0, "w")
    return first, view


VIEW_CHANGES = {
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


@when("the node's view changes because a member {change}")
def change_view(context, change):
    context.views = _build_views(*VIEW_CHANGES[change])


@then("the event for limits reports a removed member: {removed}")
def check_removed(context, removed):
    previous, view = context.views
    assert has_removal(view, previous) == (removed == "yes"), view
