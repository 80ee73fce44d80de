"""Settings of a serving node."""

from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.common.ids import NodeId, ZoneId
from chervilrack._internal.limits.retry_budget import RetryBudgetSettings


@dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class ServingSettings:
    """Addresses and bounds of one serving node.

    ``peer`` is where other nodes reach it; ``seeds`` are peer addresses of some others. The
    listeners for readiness and the look-up may share an address.
    """

    node: NodeId
    zone: ZoneId
    callers: Address
    readiness: Address
    lookup: Address
    peer: Address
    seeds: tuple[Address, ...] = ()
    store: Address | None = None
    metrics: Address | None = None
    # Callers keep a look-up answer for up to three times its lifetime; a stopping node waits so
    # long, and has to end within stop_grace.
    lookup_lifetime: timedelta = timedelta(seconds=2)
    stop_grace: timedelta = timedelta(seconds=8)
    retry_budget: RetryBudgetSettings = field(default_factory=RetryBudgetSettings)
    balancing_policy: str = "expected-wait"
    batching: str = "shared"
