"""Settings of the routing policies."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """Parameters of health, load and affinity. The defaults suit stages of 20 ms to 6 s."""

    # Candidates that are compared per decision. A small random sample keeps nodes with the same
    # outdated load reports from all choosing the same upstream; a large sample does not
    # (Mitzenmacher, "How useful is old information?", 2000).
    sample_size: int = 3
    # Largest number of candidates whose zone and health are all examined. Of more candidates, only
    # a random sample is examined.
    scan_limit: int = 48
    # Concurrent attempts assumed for an upstream without a concurrency limit.
    default_concurrency: int = 4
    # Relative extra cost and additional round-trip time of an upstream in another zone.
    zone_cost: float = 0.15
    zone_round_trip: timedelta = timedelta(milliseconds=3)
    # Share of the service time that a fully cached prompt saves.
    prefix_saving: float = 0.5
    prefix_lifetime: timedelta = timedelta(minutes=10)
    prefix_entries: int = 20_000
    # Cost of loading a missing adapter or model, relative to the mean service time.
    adapter_cost: float = 0.5
    model_cost: float = 4.0
    # Half-life of a load report, in service times. With a longer half-life all nodes follow the
    # same outdated report.
    load_half_life: float = 0.5
    # Largest number of attempts of all nodes that one attempt of this node represents. Without
    # this weight, reports and noise dominate the choices of 20 nodes, and queues become longer
    # than with the least-outstanding policy.
    max_own_weight: float = 8.0
    # Consecutive failures after which an upstream is ejected. The ejection time starts at
    # eject_time and doubles with each further ejection.
    eject_failures: int = 3
    eject_time: timedelta = timedelta(seconds=5)
    max_eject_time: timedelta = timedelta(seconds=120)
    # Time since the last ejection after which the ejection time starts at eject_time again.
    ejection_count_reset_time: timedelta = timedelta(minutes=5)
    # Ratio to the median service time at which an upstream is ejected. Healthy engines of one
    # model differ by less than a factor of 3.
    outlier_ratio: float = 3.0
    # Attempts at an upstream before it can be an outlier.
    outlier_samples: int = 5
    # Successful probes after which an upstream is healthy again.
    probation_successes: int = 3
    # Duration of slow start, and the share of its normal load that an upstream gets at first.
    slow_start: timedelta = timedelta(seconds=10)
    min_slow_start_weight: float = 0.1
    # Expected service time of a stage before the first attempt has ended.
    prior_mean: timedelta = timedelta(milliseconds=200)
    prior_spread: timedelta = timedelta(milliseconds=200)
