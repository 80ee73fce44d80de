"""Checks that each guard of a decision core is needed and listed in its feature."""


def assert_guard_is_needed(without_guard, situation, what):
    """Run a situation without a guard and fail unless one of its assertions fails."""
    try:
        with without_guard():
            situation()
    except AssertionError:
        return
    raise AssertionError(f"{what} passes")


def assert_guards_are_listed(feature, guards):
    """Fail unless the tables of a feature name each guard exactly once."""
    outlines = [scenario for scenario in feature.scenarios if scenario.type != "scenario"]
    rows = [row for o in outlines for example in o.examples for row in example.table.rows]
    listed = [row["guard"] for row in rows if "guard" in row.headings]
    assert sorted(listed) == sorted(guards), set(guards) ^ set(listed)
