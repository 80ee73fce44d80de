"""Scenarios of experiments, in a registry that decorators fill."""

from chervilrack._internal.experiments.scenarios import changes, failures, load
from chervilrack._internal.experiments.scenarios.base import SCENARIOS, Scenario

__all__ = ["SCENARIOS", "Scenario", "changes", "failures", "load"]
