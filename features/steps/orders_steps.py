"""Steps for orders."""

import json

import msgspec
from behave import then, when
from features.support.guard_checks import assert_guard_is_needed, assert_guards_are_listed
from features.support.orders_guards import GUARDS
from features.support.orders_machine import OrdersMachine
from features.support.orders_scenarios import SCENARIOS
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from chervilrack._internal.orders.state import Record, RecordState, decode_record, encode_record


@when("orders are submitted under random faults")
def run_property(context):
    context.finished = False
    run_state_machine_as_test(OrdersMachine, settings=settings())
    context.finished = True


@then("orders kept their invariants and all requests were answered")
def kept(context):
    assert context.finished


@then('orders pass the situation "{name}"')
def passes(context, name):
    SCENARIOS[name]()


@then('orders without the guard "{guard}" fail the situation "{name}"')
def fails_without(context, guard, name):
    assert_guard_is_needed(GUARDS[guard], SCENARIOS[name], f"{name} without the {guard}")


@then("orders name a situation for every guard")
def all_guards_listed(context):
    assert_guards_are_listed(context.feature, GUARDS)


@then('orders reject a record with "{field}" set to {value}')
def rejects(context, field, value):
    record = Record(RecordState.TICKET, "n", "n.1", 1, "n/n.1/1", "0" * 64, 1)
    fields = json.loads(encode_record(record))
    assert decode_record(json.dumps(fields).encode()) == record
    fields[field] = json.loads(value)
    try:
        decode_record(json.dumps(fields).encode())
    except msgspec.ValidationError:
        return
    raise AssertionError("the record was decoded")
