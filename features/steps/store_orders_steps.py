"""Steps for drawn orders of what happens to the store."""

import logging

from behave import then, when
from features.support.store_guards import GUARDS
from features.support.store_orders import StoreOrders
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test


def draw(context, **changes):
    """Draw orders; keep the message of the first mistake, if any."""
    context.mistake = None
    # Each order has returns of the store, about which clients write a line.
    logging.disable(logging.CRITICAL)
    try:
        run_state_machine_as_test(StoreOrders, settings=settings(**changes))
    except AssertionError as error:
        context.mistake = str(error)
    finally:
        logging.disable(logging.NOTSET)


@when("orders of answers, messages, cuts, starts and returns are drawn")
def draw_orders(context):
    draw(context, print_blob=False)


@then("none of them breaks an invariant")
def check_none(context):
    assert context.mistake is None, context.mistake


@when("{count:d} orders are drawn without {guard}")
def draw_without(context, count, guard):
    with GUARDS[guard]():
        draw(
            context,
            max_examples=count,
            phases=[Phase.generate],
            report_multiple_bugs=False,
            print_blob=False,
        )


@then("one of them breaks {invariants}")
def check_found(context, invariants):
    assert context.mistake is not None, "no order breaks an invariant"
    assert context.mistake.partition(":")[0] in invariants.split(", "), context.mistake
