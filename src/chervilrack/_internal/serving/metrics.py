"""Counters and latency histograms of a serving node, in the text format of Prometheus.

The number of label values is bounded. Routes and services come from the configuration.
Organisations are ranked by traffic, and those with little traffic share one label.
"""

from collections.abc import Mapping
from datetime import timedelta
from enum import Enum
from types import MappingProxyType

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from chervilrack._internal.balancing.standing import OWN_ANSWER, Bar, StandingEvent
from chervilrack._internal.batching.state import StartConditions
from chervilrack._internal.common.ids import ServiceId
from chervilrack._internal.forwarding.context import RequestContext
from chervilrack._internal.forwarding.forwarder import ForwardingOutcome
from chervilrack._internal.kvstore.eras import EraEvent
from chervilrack._internal.observability.metrics import (
    MAX_VALUES,
    OTHER,
    ThreadFailureMetric,
    TrafficRanking,
)
from chervilrack._internal.quarantine.state import SuspectEvent

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# In seconds. Target latencies lie between 0.15 and 2.3 s, deadlines between 1 and 20 s.
_REQUEST_BUCKETS = (0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2, 3, 4, 6, 10, 20)
_CALL_BUCKETS = (0.1, 0.2, 0.25, 0.3, 0.35, 0.4, 0.5, 0.7, 1, 2)
_WAIT_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6)
_AGE_BUCKETS = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3, 6)
_PIECE_BUCKETS = (1, 2, 4, 8, 12, 16, 24, 32, 48, 64)
# Organisations that have their own latency histogram on one node.
MAX_ORGANISATIONS = 50


class ForecastOutcome(Enum):
    """What became of a stream whose time from the first event to the end was forecast.

    ``SOONER`` and ``LATER`` are relative to the time that streams take if they go well.
    """

    REFUSED = "refused"
    SOONER = "sooner"
    LATER = "later"
    UNKNOWN = "unknown"


class _BoundedLabels:
    """Keeps the first ``limit`` distinct label values and replaces all others by ``OTHER``."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._seen: set[str] = set()

    def label(self, value: str) -> str:
        if value not in self._seen:
            if len(self._seen) >= self._limit:
                return OTHER
            self._seen.add(value)
        return value


class ServingMetrics:
    """Metrics of one node; thread-safe."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "chervilrack_serving_requests",
            "Requests by route and outcome.",
            ["route", "outcome"],
            registry=self._registry,
        )
        self._seconds = Histogram(
            "chervilrack_serving_request_seconds",
            "Time from the arrival of a request to the end of its answer.",
            ["organisation", "priority"],
            buckets=_REQUEST_BUCKETS,
            registry=self._registry,
        )
        self._call_seconds = Histogram(
            "chervilrack_serving_stage_call_seconds",
            "Duration of calls to stage upstreams.",
            ["service", "outcome"],
            buckets=_CALL_BUCKETS,
            registry=self._registry,
        )
        self._call_pieces = Histogram(
            "chervilrack_serving_stage_call_pieces",
            "Pieces in a call to a stage upstream.",
            ["service"],
            buckets=_PIECE_BUCKETS,
            registry=self._registry,
        )
        self._started_pieces = Counter(
            "chervilrack_serving_stage_pieces_started",
            "Pieces in started stage calls, by whether they can meet their due time.",
            ["service", "timeliness"],
            registry=self._registry,
        )
        self._wait_seconds = Histogram(
            "chervilrack_serving_stage_wait_seconds",
            "Longest wait of the pieces of a stage call before the call started.",
            ["service"],
            buckets=_WAIT_BUCKETS,
            registry=self._registry,
        )
        self._admissions = Counter(
            "chervilrack_serving_admissions",
            "Orders of first stages for which callers compete, by what the admission decided.",
            ["outcome"],
            registry=self._registry,
        )
        self._admission_seconds = Histogram(
            "chervilrack_serving_admission_seconds",
            "Time from the arrival of an order at the admission until it was admitted.",
            buckets=_WAIT_BUCKETS,
            registry=self._registry,
        )
        self._dropped = Gauge(
            "chervilrack_serving_log_lines_dropped",
            "Log lines dropped and not yet reported in the log.",
            registry=self._registry,
        )
        self._in_progress = Gauge(
            "chervilrack_serving_requests_in_progress",
            "Requests in progress.",
            registry=self._registry,
        )
        self._statements = Counter(
            "chervilrack_serving_upstream_statements",
            "What upstreams said of themselves, by event and by who read it.",
            ["event", "source"],
            registry=self._registry,
        )
        self._barred = Gauge(
            "chervilrack_serving_upstreams_barred",
            "Registered upstreams that get nothing from this node, by reason.",
            ["reason"],
            registry=self._registry,
        )
        self._report_ages = Histogram(
            "chervilrack_serving_report_age_seconds",
            "Mean age of the peers' reports by which an upstream was chosen.",
            ["service"],
            buckets=_AGE_BUCKETS,
            registry=self._registry,
        )
        self._spreads = Gauge(
            "chervilrack_serving_load_spread_ratio",
            "Standard deviation of the requests in flight at the upstreams of a service, relative "
            "to their mean, by this node's requests and the last reports of its peers.",
            ["service"],
            registry=self._registry,
        )
        self._loads = Counter(
            "chervilrack_serving_upstream_loads",
            "Answers in which an upstream states its load, by whether that can be read.",
            ["result"],
            registry=self._registry,
        )
        self._cold = Gauge(
            "chervilrack_serving_upstreams_cold",
            "Upstreams that count as cold at this node.",
            registry=self._registry,
        )
        self._cold_requests = Counter(
            "chervilrack_serving_cold_upstream_requests",
            "Requests sent to cold upstreams, and requests refused for lack of others, by service.",
            ["service", "event"],
            registry=self._registry,
        )
        self._evacuated = Gauge(
            "chervilrack_serving_evacuated_zones",
            "Zones whose upstreams get nothing from this node because they are evacuated.",
            registry=self._registry,
        )
        self._unreadable = Counter(
            "chervilrack_serving_unreadable_entries",
            "Revisions of entries of the store that were left out, by what their keys name.",
            ["kind"],
            registry=self._registry,
        )
        self._configuration_version = Gauge(
            "chervilrack_serving_configuration_version",
            "Version of the configuration in force, 0 before the first one.",
            registry=self._registry,
        )
        self._store_answer_age = Gauge(
            "chervilrack_serving_store_answer_age_seconds",
            "Time since the store's last answer to this node or to a node that it follows.",
            registry=self._registry,
        )
        self._eras = Counter(
            "chervilrack_serving_store_eras",
            "Returns of the store from an older copy, and odd or older eras, by event.",
            ["event"],
            registry=self._registry,
        )
        self._written_again = Counter(
            "chervilrack_serving_store_written_again",
            "Entries that this node wrote again after a return of the store, by kind.",
            ["kind"],
            registry=self._registry,
        )
        self._crashes = Counter(
            "chervilrack_serving_upstream_crashes",
            "Crashes of upstreams that this node has found out itself, by service.",
            ["service"],
            registry=self._registry,
        )
        self._suspects = Counter(
            "chervilrack_serving_suspects",
            "Changes of inputs that may crash upstreams, by event.",
            ["event"],
            registry=self._registry,
        )
        self._quarantined = Counter(
            "chervilrack_serving_quarantined_requests",
            "Requests refused because requests like them crash upstreams, by service.",
            ["service"],
            registry=self._registry,
        )
        self._held_bytes = Gauge(
            "chervilrack_serving_held_bytes",
            "Bytes held in memory for callers and upstreams, by kind.",
            ["kind"],
            registry=self._registry,
        )
        self._outside_homes = Counter(
            "chervilrack_serving_requests_outside_homes",
            "Requests refused because of their homes, by route.",
            ["route"],
            registry=self._registry,
        )
        self._thread_failures = ThreadFailureMetric(self._registry)
        self._forecasts = Counter(
            "chervilrack_serving_stream_forecasts",
            "Streams by route and by their time relative to the forecast if they go well.",
            ["route", "outcome"],
            registry=self._registry,
        )
        self._routes = _BoundedLabels(MAX_VALUES)
        self._services = _BoundedLabels(MAX_VALUES)
        self._organisations = TrafficRanking(
            MAX_ORGANISATIONS, on_removed=self._remove_organisation
        )

    def request_ended(self, context: RequestContext, outcome: ForwardingOutcome) -> None:
        """Record the end of a request."""
        late = outcome.name == "answered" and (context.request.arrived + outcome.took > context.due)
        name = "late" if late else outcome.name
        self._requests.labels(self._routes.label(context.route.name), name).inc()
        organisation = self._organisations.label(context.organisation or "none")
        seconds = outcome.took.total_seconds()
        self._seconds.labels(organisation, str(context.priority)).observe(seconds)

    def call_started(self, service: str, pieces: int, conditions: StartConditions) -> None:
        """Record the start of a call to a stage upstream."""
        label = self._services.label(service)
        late = conditions.late_pieces
        self._started_pieces.labels(label, "late").inc(late)
        self._started_pieces.labels(label, "in time").inc(pieces - late)
        self._wait_seconds.labels(label).observe(conditions.longest_wait.total_seconds())

    def call_ended(self, service: str, pieces: int, took: timedelta, *, failed: bool) -> None:
        """Record the end of a call to a stage upstream."""
        label = self._services.label(service)
        outcome = "failed" if failed else "answered"
        self._call_seconds.labels(label, outcome).observe(took.total_seconds())
        self._call_pieces.labels(label).observe(pieces)

    def order_admitted(self, waited: timedelta) -> None:
        """Count an order that was admitted after a wait."""
        self._admissions.labels("admitted").inc()
        self._admission_seconds.observe(waited.total_seconds())

    def order_refused(self) -> None:
        """Count an order that was refused because it cannot end in time."""
        self._admissions.labels("refused").inc()

    def forecast_compared(self, route: str, outcome: ForecastOutcome) -> None:
        """Count a stream whose rest was forecast, by what became of it."""
        self._forecasts.labels(self._routes.label(route), outcome.value).inc()

    def standing_changed(self, event: StandingEvent, source: str) -> None:
        """Count a statement of an upstream; ``source`` is as in ``StandingChanged``."""
        reader = source if source in (OWN_ANSWER, "") else "peer"
        self._statements.labels(event.value, reader or "directory").inc()

    def aged_reports_used(self, service: str, age: timedelta) -> None:
        """Record the mean age of the peers' reports by which an upstream was chosen."""
        self._report_ages.labels(self._services.label(service)).observe(age.total_seconds())

    def load_stated(self, *, readable: bool) -> None:
        """Count an answer in which an upstream states its load."""
        self._loads.labels("read" if readable else "unreadable").inc()

    def upstream_crashed(self, service: str) -> None:
        """Count a crash of an upstream."""
        self._crashes.labels(self._services.label(service)).inc()

    def suspect_changed(self, event: SuspectEvent) -> None:
        """Count a change of a suspect."""
        self._suspects.labels(event.value).inc()

    def request_quarantined(self, service: str) -> None:
        """Count a request that gets no upstream because requests like it crash them."""
        self._quarantined.labels(self._services.label(service)).inc()

    def request_outside_homes(self, route: str) -> None:
        """Count a request whose homes leave it no upstream."""
        self._outside_homes.labels(self._routes.label(route)).inc()

    def era_event(self, event: EraEvent) -> None:
        """Count an event about the eras of the store."""
        self._eras.labels(event.value).inc()

    def written_again(self, kind: str) -> None:
        """Count an entry that was written again after a return of the store."""
        self._written_again.labels(kind).inc()

    def upstreams_cold(self, count: int) -> None:
        """Set the number of cold upstreams."""
        self._cold.set(count)

    def cold_upstream_used(self, service: str) -> None:
        """Count a request to a cold upstream."""
        self._cold_requests.labels(self._services.label(service), "sent").inc()

    def kept_from_cold_upstreams(self, service: str) -> None:
        """Count a refusal because all usable upstreams of a service are cold."""
        self._cold_requests.labels(self._services.label(service), "refused").inc()

    def zones_evacuated(self, count: int) -> None:
        """Set the number of evacuated zones."""
        self._evacuated.set(count)

    def store_followed(self, version: int, answer_age: timedelta | None) -> None:
        """Set the version in force, and the age of the last answer of the store if there is one."""
        self._configuration_version.set(version)
        if answer_age is not None:
            self._store_answer_age.set(answer_age.total_seconds())

    def entry_unreadable(self, kind: str) -> None:
        """Count a revision of an entry that was left out; ``kind`` is what its key names."""
        self._unreadable.labels(kind).inc()

    def render(
        self,
        in_progress: int,
        dropped: int,
        barred: Mapping[Bar, int],
        held: Mapping[str, int] = MappingProxyType({}),
        spreads: Mapping[ServiceId, float] = MappingProxyType({}),
    ) -> bytes:
        """Return all metrics in the text format of Prometheus.

        ``in_progress`` is the number of requests in progress, ``dropped`` the number of log lines
        dropped since the last report, ``barred`` the number of upstreams that get nothing,
        ``held`` the number of bytes in memory for callers and upstreams, by kind, and ``spreads``
        the spread of the load of each service that has any.
        """
        for kind, size in held.items():
            self._held_bytes.labels(kind).set(size)
        self._spreads.clear()
        for service, spread in spreads.items():
            self._spreads.labels(self._services.label(service)).set(spread)
        for reason in Bar:
            self._barred.labels(reason.value).set(barred.get(reason, 0))
        self._thread_failures.update()
        self._in_progress.set(in_progress)
        self._dropped.set(dropped)
        return generate_latest(self._registry)

    def _remove_organisation(self, organisation: str) -> None:
        for metric in self._registry.collect():
            if metric.name == "chervilrack_serving_request_seconds":
                priorities = {
                    s.labels["priority"] for s in metric.samples if "priority" in s.labels
                }
                for priority in priorities:
                    self._seconds.remove(organisation, priority)
