"""Prometheus metrics of one node in a separate registry.

Every label has a bounded number of values, so that neither the memory of a node nor the size of
``/metrics`` grows with the number of organisations or with arbitrary names sent by callers.
"""

import threading
from collections.abc import Callable
from datetime import timedelta
from typing import Generic, TypeVar

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest
from prometheus_client.metrics import MetricWrapperBase

from chervilrack._internal.common.supervision import FAILURES, ThreadFailures

OTHER = "other"

# Number of organisations with their own label. The histogram of one organisation takes 18 time
# series, so 13,000 organisations would need 234,000 series on each node. 200 organisations keep
# /metrics below 4,000 series and cover nearly all traffic, because a few organisations are large.
MAX_ORGANISATIONS = 200
# Limit of values of the other labels. Priority classes, stages, teams, pipelines and services come
# from releases and are few; the limit is a safeguard against errors.
MAX_VALUES = 100
# Ranking 13,000 organisations takes milliseconds, so organisations are ranked only once per this
# many requests.
REQUESTS_PER_RANKING = 10_000

# Upper bounds of the histogram buckets in seconds. 0.97 s is the target for the first token; 6 s is
# the longest deadline.
_REQUEST_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 0.97, 1.5, 2, 3, 4, 5, 6)
_STAGE_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 6)
_TOKEN_BUCKETS_S = (0.005, 0.01, 0.015, 0.02, 0.025, 0.03, 0.035, 0.05, 0.075, 0.1, 0.25, 1)

M = TypeVar("M", bound=MetricWrapperBase)


class ThreadFailureMetric:
    """Metric of the unexpected exceptions after which long-lived threads went on; thread-safe."""

    def __init__(self, registry: CollectorRegistry, failures: ThreadFailures = FAILURES) -> None:
        self._failures = failures
        self._lock = threading.Lock()
        self._exported: dict[str, int] = {}
        self._counter = Counter(
            "chervilrack_thread_failures",
            "Unexpected exceptions after which a long-lived thread went on, by thread.",
            ["thread"],
            registry=registry,
        )

    def update(self) -> None:
        """Take the counts over; to be called before the registry is exported."""
        with self._lock:
            for thread, count in self._failures.counts.items():
                self._counter.labels(thread).inc(count - self._exported.get(thread, 0))
                self._exported[thread] = count


class TrafficRanking:
    """Gives the organisations with the most requests their own label; all others share one label.

    The first ``capacity`` organisations each get their own label. Every ``requests_per_ranking``
    requests, the organisations are ranked again: the ``capacity`` largest get the labels, and
    ``on_removed`` is called with each organisation that lost its label. Counts are halved at each
    ranking, so that recent requests weigh more.
    """

    def __init__(
        self,
        capacity: int = MAX_ORGANISATIONS,
        requests_per_ranking: int = REQUESTS_PER_RANKING,
        on_removed: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._capacity = capacity
        self._requests_per_ranking = requests_per_ranking
        self._on_removed = on_removed
        self._counts: dict[str, int] = {}
        self._ranked: set[str] = set()
        self._requests_until_ranking = requests_per_ranking
        self._lock = threading.Lock()

    def label(self, organisation: str) -> str:
        """Count one request of ``organisation`` and return the label of the organisation."""
        with self._lock:
            self._counts[organisation] = self._counts.get(organisation, 0) + 1
            if organisation not in self._ranked and len(self._ranked) < self._capacity:
                self._ranked.add(organisation)
            self._requests_until_ranking -= 1
            removed = self._rank() if self._requests_until_ranking <= 0 else ()
            label = organisation if organisation in self._ranked else OTHER
        for name in removed:
            self._on_removed(name)
        return label

    def _rank(self) -> tuple[str, ...]:
        self._requests_until_ranking = self._requests_per_ranking
        # The count of an organisation with its own label is doubled, because each exchange of two
        # organisations restarts the counters of both.
        by_size = sorted(
            self._counts,
            key=lambda name: (-self._counts[name] * (1 + (name in self._ranked)), name),
        )
        ranked = set(by_size[: self._capacity])
        removed = tuple(self._ranked - ranked)
        self._ranked = ranked
        halved = {name: count // 2 for name, count in self._counts.items()}
        self._counts = {name: count for name, count in halved.items() if count or name in ranked}
        return removed


class _BoundedMetric(Generic[M]):
    """Metric with a bounded number of values per label.

    The child metric of each combination of label values is cached, because ``labels()`` costs more
    than an observation.
    """

    def __init__(self, metric: M) -> None:
        self._metric = metric
        self._children: dict[tuple[str, ...], M] = {}
        self._values_by_label: list[set[str]] = [set() for _ in metric._labelnames]

    def child(self, *values: str) -> M:
        child = self._children.get(values)
        return child if child is not None else self._create_child(values)

    def remove(self, *values: str) -> None:
        if self._children.pop(values, None) is not None:
            self._metric.remove(*values)
            for known_values, value in zip(self._values_by_label, values, strict=True):
                known_values.discard(value)

    def _create_child(self, values: tuple[str, ...]) -> M:
        bounded_values = []
        for known_values, value in zip(self._values_by_label, values, strict=True):
            if value not in known_values and len(known_values) >= MAX_VALUES + MAX_ORGANISATIONS:
                bounded_values.append(OTHER)
            else:
                known_values.add(value)
                bounded_values.append(value)
        child = self._metric.labels(*bounded_values)
        if tuple(bounded_values) == values:
            self._children[values] = child
        return child


class NodeMetrics:
    """All metrics of one node. Durations are exported in seconds. Thread-safe."""

    def __init__(self, max_organisations: int = MAX_ORGANISATIONS) -> None:
        self._registry = CollectorRegistry()
        self._request_by_organisation = _BoundedMetric(
            self._histogram("request_seconds", "End-to-end request time", ("organisation",))
        )
        self._request_by_class = _BoundedMetric(
            self._histogram("request_class_seconds", "End-to-end request time", ("priority_class",))
        )
        stage_labels = ("stage", "priority_class")
        self._queue_time = _BoundedMetric(
            self._histogram(
                "stage_queue_seconds", "Time in the stage queue", stage_labels, _STAGE_BUCKETS_S
            )
        )
        self._service_time = _BoundedMetric(
            self._histogram(
                "stage_service_seconds",
                "Service time of a stage attempt",
                stage_labels,
                _STAGE_BUCKETS_S,
            )
        )
        self._first_token = _BoundedMetric(
            self._histogram("first_token_seconds", "Time to the first token", ("priority_class",))
        )
        self._between_tokens = _BoundedMetric(
            self._histogram(
                "between_tokens_seconds",
                "Time between tokens",
                ("priority_class",),
                _TOKEN_BUCKETS_S,
            )
        )
        self._requests = _BoundedMetric(
            self._counter("requests", "Outcomes", ("target", "outcome"))
        )
        cost_labels = ("stage", "team")
        self._cost_requests = _BoundedMetric(
            self._counter("cost_requests", "Stage attempts served", cost_labels)
        )
        self._cost_service_time = _BoundedMetric(
            self._counter("cost_service_seconds", "Service time of stage attempts", cost_labels)
        )
        self._cost_tokens = _BoundedMetric(
            self._counter("cost_tokens", "Tokens of stage attempts", cost_labels)
        )
        self._actions = _BoundedMetric(
            self._counter("automatic_actions", "Automatic actions taken", ("part", "action"))
        )
        self._thread_failures = ThreadFailureMetric(self._registry)
        self._ranking = TrafficRanking(
            max_organisations, on_removed=self._request_by_organisation.remove
        )

    @property
    def registry(self) -> CollectorRegistry:
        """Registry of these metrics, to which other components of the node may add metrics."""
        return self._registry

    def export(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        self._thread_failures.update()
        return generate_latest(self._registry)

    def request_finished(
        self,
        organisation: str,
        priority_class: str,
        target: str,
        outcome: str,
        duration: timedelta,
    ) -> None:
        """Record the end of a request to ``target`` (a pipeline or service)."""
        duration_s = duration.total_seconds()
        self._request_by_organisation.child(self._ranking.label(organisation)).observe(duration_s)
        self._request_by_class.child(priority_class).observe(duration_s)
        self._requests.child(target, outcome).inc()

    def stage_finished(
        self,
        stage: str,
        priority_class: str,
        team: str,
        queue_time: timedelta,
        service_time: timedelta,
        tokens: int,
    ) -> None:
        """Record one finished attempt of a stage and add its cost to the totals of ``team``."""
        service_s = service_time.total_seconds()
        self._queue_time.child(stage, priority_class).observe(queue_time.total_seconds())
        self._service_time.child(stage, priority_class).observe(service_s)
        self._cost_requests.child(stage, team).inc()
        self._cost_service_time.child(stage, team).inc(service_s)
        if tokens:
            self._cost_tokens.child(stage, team).inc(tokens)

    def record_token_times(
        self, priority_class: str, first: timedelta, between: tuple[timedelta, ...]
    ) -> None:
        """Record the time to the first token and the times between tokens of one stream."""
        self._first_token.child(priority_class).observe(first.total_seconds())
        between_tokens = self._between_tokens.child(priority_class)
        for gap in between:
            between_tokens.observe(gap.total_seconds())

    def record_action(self, part: str, action: str) -> None:
        """Count one automatic action."""
        self._actions.child(part, action).inc()

    def _histogram(
        self,
        name: str,
        help_text: str,
        labels: tuple[str, ...],
        buckets: tuple[float, ...] = _REQUEST_BUCKETS_S,
    ) -> Histogram:
        return Histogram(
            f"chervilrack_{name}", help_text, labels, buckets=buckets, registry=self._registry
        )

    def _counter(self, name: str, help_text: str, labels: tuple[str, ...]) -> Counter:
        return Counter(f"chervilrack_{name}", help_text, labels, registry=self._registry)
