"""Registry of the promises that are checked with the evidence of a soak."""

from collections.abc import Callable, Iterator

from chervilrack._internal.common.registry import Registry
from chervilrack._internal.soak.records import Evidence, Violation

Check = Callable[[Evidence], Iterator[Violation]]
promises: Registry[Check] = Registry("promise")
