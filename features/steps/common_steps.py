"""Steps for rendezvous hashing."""

from behave import then, when

from chervilrack._internal.common.hashing import rendezvous_owner


@when("hashing assigns {items:d} items to {members:d} members and again without one of them")
def compare_owners(context, items, members):
    names = [f"node-{number}" for number in range(members)]
    context.removed_member = names[0]
    context.owners_before = {
        f"item-{i}": rendezvous_owner(f"item-{i}", names) for i in range(items)
    }
    context.owners_after = {
        item: rendezvous_owner(item, names[1:]) for item in context.owners_before
    }


@then("hashing moved exactly the items of the removed member")
def check_moved_items(context):
    moved_items = {
        item for item, owner in context.owners_before.items() if context.owners_after[item] != owner
    }
    removed_members_items = {
        item for item, owner in context.owners_before.items() if owner == context.removed_member
    }
    assert moved_items == removed_members_items, moved_items ^ removed_members_items
    assert removed_members_items
