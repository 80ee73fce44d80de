"""Steps for the loads that upstreams state in their answers to a serving node."""

import re

from behave import given, then
from serving_steps import wait_for
from statements_steps import add_second_upstreams

from chervilrack._internal.common.ids import UpstreamId


@given('upstream {name} states the load "{load}"')
def set_stated_load(context, name, load):
    add_second_upstreams(context)
    context.upstreams[name].stated_load = load


@then("the node believes that upstream {name} is {belief}")
def check_belief(context, name, belief):
    paces = context.node.balancer.paces
    if belief == "slowed by its VM":
        # An answer is read in another thread than the one that the caller waits for.
        wait_for(lambda: paces.trust(UpstreamId(name)) is not None, "the statement is recorded")
    else:
        assert paces.trust(UpstreamId(name)) is None


@then("the node has counted {count:d} unreadable loads")
def check_unreadable(context, count):
    metrics = context.node._state.metrics.render(0, 0, {}).decode()
    pattern = r'upstream_loads_total\{result="unreadable"\} ([0-9.]+)'
    counted = sum(float(number) for number in re.findall(pattern, metrics))
    assert counted == count, metrics
