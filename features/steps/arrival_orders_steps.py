"""Steps for the order in which the store's contents reach a node."""

from behave import then, when
from support.arrival_orders import ArrivalOrder

STEPS = 60


@when("{count:d} orders of arrival of {sources} are drawn")
def draw_orders(context, count, sources):
    context.orders = {}
    for seed in range(count):
        order = ArrivalOrder(seed, has_pages="pages" in sources)
        order.run(STEPS)
        context.orders[seed] = order.mistakes


@then("the node has at each time the upstreams that the store had at its revision")
@then("at the end it has those of the store")
def check_orders(context):
    wrong = {seed: mistakes[:2] for seed, mistakes in context.orders.items() if mistakes}
    assert not wrong, (len(wrong), list(wrong.items())[:3])
