"""Steps for membership features."""

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
def run_under_random_faults(context):
    context.finished = False
    run_state_machine_as_test(MembershipMachine, settings=settings())
    context.finished = True


@then("the membership invariants hold and the cores settle after the faults end")
def check_finished(context):
    assert context.finished


@then('membership keeps its invariants in the situation "{name}"')
def run_situation(context, name):
    SCENARIOS[name]()


@then('membership without the guard "{guard}" fails in the situation "{name}"')
def check_guard_is_needed(context, guard, name):
    assert_guard_is_needed(GUARDS[guard], SCENARIOS[name], f"{name} without the {guard}")


@then("the membership feature lists a situation for every guard")
def check_all_guards_are_listed(context):
    assert_guards_are_listed(context.feature, GUARDS)


@then("membership spreads {count:d} witnesses of {members:d} members over {zones:d} zones")
def check_spread_of_witnesses(context, count, members, zones):
    all_members = [
        Member(f"n{number}", "1", f"zone-{number % zones}", f"peer:{number}", f"http:{number}")
        for number in range(members)
    ]
    chosen = choose_witnesses(all_members, 7)
    assert len(set(chosen)) == count, chosen
    zone_of = {member.node: member.zone for member in all_members}
    witnesses_per_zone = Counter(zone_of[process.node] for process in chosen)
    assert max(witnesses_per_zone.values()) == math.ceil(count / zones), witnesses_per_zone


@then("membership rejects the view {value}")
def check_view_is_rejected(context, value):
    try:
        decode_view(value.encode())
    except msgspec.ValidationError:
        return
    raise AssertionError("an invalid view was decoded")
