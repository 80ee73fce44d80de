"""Settings of the routing policies."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """Tuning of health, load and affinity. The defaults suit stages of 20 ms to 6 s."""

    # With lagging load reports a few samples avoid that all nodes pick the same upstream; many
    # samples bring that back (Mitzenmacher, "How useful is old information?", 2000).
    samples: int = 3
    # Up to this number all candidates are examined for zone and health; above, samples of them.
    scan_limit: int = 48
    # Attempts that an upstream without a concurrency limit runs side by side.
    parallelism: int = 4
    # Relative extra cost and round trip of another zone.
    zone_cost: float = 0.15
    zone_round_trip: timedelta = timedelta(milliseconds=3)
    # Part of the service time that a fully cached prompt saves.
    prefix_saving: float = 0.5
    prefix_lifetime: timedelta = timedelta(minutes=10)
    prefix_entries: int = 20_000
    # Relative cost of loading what an engine does not hold.
    adapter_cost: float = 0.5
    model_cost: float = 4.0
    # Half of a load report's information is lost after this many service times. Longer memory
    # makes all nodes follow the same stale report.
    load_half_life: float = 0.5
    # Attempts of all nodes for which one attempt in flight of this node stands at most. Without
    # it, 20 nodes follow their reports and noise, and queues become longer than with
    # least-outstanding.
    own_weight: float = 8.0
    eject_failures: int = 3
    eject_time: timedelta = timedelta(seconds=5)
    eject_time_longest: timedelta = timedelta(seconds=120)
    # Time without a further ejection after which the ejection time starts at its base again.
    eject_forgiven: timedelta = timedelta(minutes=5)
    # 3 times the peers' median is beyond the spread between healthy engines of one model.
    outlier_ratio: float = 3.0
    outlier_samples: int = 5
    probation_successes: int = 3
    slow_start: timedelta = timedelta(seconds=10)
    slow_start_share: float = 0.1
    # Expected service time of a stage before the first attempt has ended.
    prior_mean: timedelta = timedelta(milliseconds=200)
    prior_spread: timedelta = timedelta(milliseconds=200)
