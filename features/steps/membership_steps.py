"""Steps for membership."""

import math
from collections import Counter

import msgspec
from behave import then, when
from features.support.guard_checks import assert_guard_is_needed, assert_guards_are_listed
from features.support.membership_guards import GUARDS
from features.support.membership_machine import MembershipMachine
from features.support.membership_scenarios import SCENARIOS
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from chervilrack._internal.membership.state import Member, decode_view
from chervilrack._internal.membership.witnesses import choose_witnesses


@when("membership cores run under random faults")
def run_property(context):
    context.finished = False
    run_state_machine_as_test(MembershipMachine, settings=settings())
    context.finished = True


@then("membership kept its invariants and settled after healing")
def kept(context):
    assert context.finished


@then('membership passes the situation "{name}"')
def passes(context, name):
    SCENARIOS[name]()


@then('membership without the guard "{guard}" fails the situation "{name}"')
def fails_without(context, guard, name):
    assert_guard_is_needed(GUARDS[guard], SCENARIOS[name], f"{name} without the {guard}")


@then("membership names a situation for every guard")
def all_guards_listed(context):
    assert_guards_are_listed(context.feature, GUARDS)


@then("membership spreads {count:d} witnesses of {members:d} members over {zones:d} zones")
def spread(context, count, members, zones):
    everyone = [
        Member(f"n{number}", "1", f"zone-{number % zones}", f"peer:{number}", f"http:{number}")
        for number in range(members)
    ]
    chosen = choose_witnesses(everyone, 7)
    assert len(set(chosen)) == count, chosen
    zone_of = {member.node: member.zone for member in everyone}
    used = Counter(zone_of[process.node] for process in chosen)
    assert max(used.values()) == math.ceil(count / zones), used


@then("membership rejects the view {value}")
def rejects(context, value):
    try:
        decode_view(value.encode())
    except msgspec.ValidationError:
        return
    raise AssertionError("the view was decoded")
