"""Hypothesis profiles and reports of failed steps for all features.

The profiles are repeatable in CI, and random when CHERVILRACK_FUZZ is set.
"""

import io
import os
import traceback

from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
)
settings.register_profile("fuzz", settings.get_profile("ci"), derandomize=False, max_examples=2000)
settings.load_profile("fuzz" if os.environ.get("CHERVILRACK_FUZZ") else "ci")

# Lines of a node's log that are printed after a failed step.
LOG_LINES = 60


def after_step(context, step):
    """Print the traceback of a failed step, and the end of the node's log if there is one."""
    if step.exception is None:
        return
    print(f"\n{step.location} {step.keyword} {step.name}")
    print("".join(traceback.format_exception(step.exception)), end="")
    log = getattr(context, "log", None)
    if isinstance(log, io.StringIO):
        print("".join(log.getvalue().splitlines(keepends=True)[-LOG_LINES:]), end="")
