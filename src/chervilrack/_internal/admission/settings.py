"""Settings of the admission to pipelines."""

from dataclasses import dataclass
from datetime import timedelta

# Orders are admitted only where each service has at least this many upstreams. With fewer, one call
# is so large a part of what a service does that its rate says little about single orders.
MIN_UPSTREAMS = 6


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Parameters of the admission to pipelines."""

    # Work that may be ahead of a request at each service, as the time that the upstreams of the
    # service take for it. With less, upstreams would be idle while their next pieces are on their
    # way; with more, requests would wait between stages, where their results occupy space.
    depth: timedelta = timedelta(milliseconds=250)
    # Time from the admission of an order to its results, beyond the time of the work ahead.
    first_stage_time: timedelta = timedelta(milliseconds=600)
    # Share of the capacity of full calls that is admitted. The rest covers calls that are not full
    # and upstreams that are slower than configured.
    fill: float = 0.88
    # An order that waits for a little longer than planned is still admitted as if it met its limit.
    grace: timedelta = timedelta(milliseconds=150)
    # Time by which orders of organisations that use less than an equal share are preferred.
    small_share_lead: timedelta = timedelta(milliseconds=100)
    # Waiting orders are looked at this often, or if there are many, after this time for each, so
    # that this takes a small part of a core. After ``depth`` upstreams could be idle.
    interval: timedelta = timedelta(milliseconds=50)
    interval_per_order: timedelta = timedelta(microseconds=150)
    # Factor by which the work of an order counts more for each step of lower priority, when orders
    # are chosen that miss their targets.
    priority_weight: float = 1.5
