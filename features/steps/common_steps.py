"""Steps for the shared types."""

from behave import then, when

from chervilrack._internal.common.hashing import rendezvous_owner


@when("hashing owners of {items:d} items over {members:d} members are compared after one leaves")
def compare_owners(context, items, members):
    names = [f"node-{number}" for number in range(members)]
    context.left = names[0]
    context.before = {f"item-{i}": rendezvous_owner(f"item-{i}", names) for i in range(items)}
    context.after = {item: rendezvous_owner(item, names[1:]) for item in context.before}


@then("hashing moved only items of the member that left")
def moved_only_left(context):
    moved = {item for item, owner in context.before.items() if context.after[item] != owner}
    owned_by_left = {item for item, owner in context.before.items() if owner == context.left}
    assert moved == owned_by_left, moved ^ owned_by_left
    assert owned_by_left
