"""Checks that every guard of a decision core is needed, and that a feature lists it.

A guard is a check of the protocol that a test can patch out.
"""


def assert_guard_is_needed(remove_guard, run_situation, description):
    """Run a situation without a guard, and fail if all its assertions pass."""
    try:
        with remove_guard():
            run_situation()
    except AssertionError:
        return
    raise AssertionError(f"{description} passes, although it must fail")


def assert_guards_are_listed(feature, guards):
    """Fail unless the examples of ``feature`` list each guard exactly once."""
    outlines = [scenario for scenario in feature.scenarios if scenario.type != "scenario"]
    rows = [row for o in outlines for example in o.examples for row in example.table.rows]
    listed = [row["guard"] for row in rows if "guard" in row.headings]
    assert sorted(listed) == sorted(guards), set(guards) ^ set(listed)
