"""Settings of a serving node."""

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Self

from chervilrack._internal.balancing.cold import ColdLimits
from chervilrack._internal.balancing.core import DEFAULT_POLICY
from chervilrack._internal.changefeed.limits import ApplyLimits
from chervilrack._internal.common.ids import NodeId, RegionId, ZoneId
from chervilrack._internal.fleet.lookup import LookupBounds
from chervilrack._internal.limits.retry_budget import RetryBudgetSettings

MAX_PORT = 65_535
MAX_HOST_LENGTH = 253
_HOST = re.compile(rf"[0-9A-Za-z.:\[\]_-]{{1,{MAX_HOST_LENGTH}}}")
_PORT = re.compile(r"[0-9]{1,5}")


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Self:
        """Return the address HOST:PORT. Raises ValueError if nothing can be connected to it."""
        host, _, port = text.rpartition(":")
        if not _HOST.fullmatch(host) or not _PORT.fullmatch(port):
            raise ValueError("expected an address HOST:PORT")
        if not 1 <= int(port) <= MAX_PORT:
            raise ValueError(f"expected a port between 1 and {MAX_PORT}")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class ServingSettings:
    """Addresses and limits of one serving node.

    ``peer`` is the address at which other nodes reach this one, ``seeds`` are the peer addresses
    of some other nodes. The listeners for readiness, look-up and metrics may share an address.
    ``cpu_cores`` is the processor time that the node may use, in cores. ``regions`` holds the
    region of each zone; it is empty where zones are in no regions.
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
    # Callers may use a look-up answer for up to three times its lifetime. A stopping node serves
    # requests for that long and has to exit within stop_grace.
    lookup_lifetime: timedelta = timedelta(seconds=2)
    # How long look-up answers may name a node that has stopped, None if nothing bounds it.
    lookup_bounds: LookupBounds | None = None
    stop_grace: timedelta = timedelta(seconds=8)
    retry_budget: RetryBudgetSettings = field(default_factory=RetryBudgetSettings)
    balancing_policy: str = DEFAULT_POLICY
    batching: str = "shared"
    cpu_cores: float = 1.0
    # Above this many bytes of memory, the process is killed.
    memory_bytes: int = 300_000_000
    # How a change of the store takes effect in time.
    apply_limits: ApplyLimits = field(default_factory=ApplyLimits)
    regions: Mapping[ZoneId, RegionId] = field(default_factory=dict)
    # Bound on the requests to a cold upstream; None if there is none.
    cold_limits: ColdLimits | None = None
