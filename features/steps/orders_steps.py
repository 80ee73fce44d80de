"""Steps for at-most-once execution of orders."""

import json

import msgspec
from behave import then, when
from features.support.guard_checks import assert_guard_is_needed, assert_guards_are_listed
from features.support.orders_guards import GUARDS
from features.support.orders_machine import OrdersMachine
from features.support.orders_scenarios import SITUATIONS
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from chervilrack._internal.orders.state import Record, RecordState, decode_record, encode_record


@when("orders are submitted under random faults")
def run_state_machine(context):
    context.finished = False
    run_state_machine_as_test(OrdersMachine, settings=settings())
    context.finished = True


@then("the orders keep their invariants and all requests are answered")
def check_run_finished(context):
    assert context.finished


@then('order executors handle the situation "{name}"')
def run_situation(context, name):
    SITUATIONS[name]()


@then('without the guard "{guard}" order executors fail the situation "{name}"')
def check_guard_is_needed(context, guard, name):
    assert_guard_is_needed(GUARDS[guard], SITUATIONS[name], f"{name} without the {guard}")


@then("the situations of orders check every guard once")
def check_all_guards_listed(context):
    assert_guards_are_listed(context.feature, GUARDS)


@then('an order record with "{field}" set to {value} is rejected')
def check_record_rejected(context, field, value):
    record = Record(RecordState.TICKET, "n", "n.1", 1, "n/n.1/1", "0" * 64, 1)
    fields = json.loads(encode_record(record))
    assert decode_record(json.dumps(fields).encode()) == record
    fields[field] = json.loads(value)
    try:
        decode_record(json.dumps(fields).encode())
    except msgspec.ValidationError:
        return
    raise AssertionError("the record was decoded")
