"""Hypothesis profiles for all features: repeatable in CI, random when CHERVILRACK_FUZZ is set."""

import os

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
