"""Prometheus metrics of one node, in a registry of its own.

Every label has a bounded number of values, so that neither the memory of a node nor the size of
``/metrics`` grows with the number of organisations or with names that callers invent.
"""

import threading
from collections.abc import Callable
from datetime import timedelta
from typing import Generic, TypeVar

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest
from prometheus_client.metrics import MetricWrapperBase

OTHER = "other"

# A histogram of one organisation takes 18 time series. With 13,000 organisations that would be
# 234,000 series on each node; 200 organisations keep /metrics below 4,000 series and still cover
# nearly all traffic, because a few organisations are large.
MAX_ORGANISATIONS = 200
# Classes, stages, teams, pipelines and services come from releases; the bound only catches errors.
MAX_VALUES = 100
# Ranking 13,000 organisations takes milliseconds, so it is done once per this many requests.
REQUESTS_PER_RANKING = 10_000

# 0.97 s is the target of the first token, 6 s the longest deadline.
_REQUEST_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 0.97, 1.5, 2, 3, 4, 5, 6)
_STAGE_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 6)
_TOKEN_BUCKETS = (0.005, 0.01, 0.015, 0.02, 0.025, 0.03, 0.035, 0.05, 0.075, 0.1, 0.25, 1)

M = TypeVar("M", bound=MetricWrapperBase)


class TrafficRanking:
    """Keeps the organisations with the most recent traffic; the others share one label.

    Until ``capacity`` organisations are known, each gets its own label. After that a ranking
    every ``requests_per_ranking`` requests replaces the smallest by larger ones. Counts are halved
    at each ranking, so that it follows recent traffic.
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
        self._until_ranking = requests_per_ranking
        self._lock = threading.Lock()

    def label(self, organisation: str) -> str:
        """Count one request and return the label of its organisation."""
        with self._lock:
            self._counts[organisation] = self._counts.get(organisation, 0) + 1
            if organisation not in self._ranked and len(self._ranked) < self._capacity:
                self._ranked.add(organisation)
            self._until_ranking -= 1
            removed = self._rank() if self._until_ranking <= 0 else ()
            label = organisation if organisation in self._ranked else OTHER
        for name in removed:
            self._on_removed(name)
        return label

    def _rank(self) -> tuple[str, ...]:
        self._until_ranking = self._requests_per_ranking
        # An organisation that has a label counts double, because each change of the set restarts
        # the counters of two organisations.
        order = sorted(
            self._counts,
            key=lambda name: (-self._counts[name] * (1 + (name in self._ranked)), name),
        )
        ranked = set(order[: self._capacity])
        removed = tuple(self._ranked - ranked)
        self._ranked = ranked
        halved = {name: count // 2 for name, count in self._counts.items()}
        self._counts = {name: count for name, count in halved.items() if count or name in ranked}
        return removed


class _Children(Generic[M]):
    """Caches the children of a metric, because ``labels()`` costs more than the observation."""

    def __init__(self, metric: M) -> None:
        self._metric = metric
        self._children: dict[tuple[str, ...], M] = {}
        self._seen: list[set[str]] = [set() for _ in metric._labelnames]

    def get(self, *values: str) -> M:
        child = self._children.get(values)
        return child if child is not None else self._add(values)

    def remove(self, *values: str) -> None:
        if self._children.pop(values, None) is not None:
            self._metric.remove(*values)
            for seen, value in zip(self._seen, values, strict=True):
                seen.discard(value)

    def _add(self, values: tuple[str, ...]) -> M:
        bounded = []
        for seen, value in zip(self._seen, values, strict=True):
            if value not in seen and len(seen) >= MAX_VALUES + MAX_ORGANISATIONS:
                bounded.append(OTHER)
            else:
                seen.add(value)
                bounded.append(value)
        child = self._metric.labels(*bounded)
        if tuple(bounded) == values:
            self._children[values] = child
        return child


class NodeMetrics:
    """All metrics of one node. Durations are exported in seconds. Thread-safe."""

    def __init__(self, organisations: int = MAX_ORGANISATIONS) -> None:
        self._registry = CollectorRegistry()
        self._request_by_organisation = _Children(
            self._histogram("request_seconds", "End-to-end time", ("organisation",))
        )
        self._request_by_class = _Children(
            self._histogram("request_class_seconds", "End-to-end time", ("priority_class",))
        )
        labels = ("stage", "priority_class")
        self._queue = _Children(
            self._histogram("stage_queue_seconds", "Time in queue", labels, _STAGE_BUCKETS)
        )
        self._service = _Children(
            self._histogram("stage_service_seconds", "Service time", labels, _STAGE_BUCKETS)
        )
        self._first_token = _Children(
            self._histogram("first_token_seconds", "Time to the first token", ("priority_class",))
        )
        self._between_tokens = _Children(
            self._histogram(
                "between_tokens_seconds", "Time between tokens", ("priority_class",), _TOKEN_BUCKETS
            )
        )
        self._outcomes = _Children(self._counter("requests", "Outcomes", ("target", "outcome")))
        cost = ("stage", "team")
        self._cost_requests = _Children(self._counter("cost_requests", "Attempts served", cost))
        self._cost_seconds = _Children(self._counter("cost_service_seconds", "Time served", cost))
        self._cost_tokens = _Children(self._counter("cost_tokens", "Tokens served", cost))
        self._actions = _Children(
            self._counter("automatic_actions", "Automatic actions", ("part", "action"))
        )
        self._ranking = TrafficRanking(
            organisations, on_removed=self._request_by_organisation.remove
        )

    @property
    def registry(self) -> CollectorRegistry:
        """Registry that holds these metrics; other parts of the node may add theirs."""
        return self._registry

    def export(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def request_finished(
        self,
        organisation: str,
        priority_class: str,
        target: str,
        outcome: str,
        duration: timedelta,
    ) -> None:
        """Record the end of one request to ``target`` (a pipeline or service)."""
        seconds = duration.total_seconds()
        self._request_by_organisation.get(self._ranking.label(organisation)).observe(seconds)
        self._request_by_class.get(priority_class).observe(seconds)
        self._outcomes.get(target, outcome).inc()

    def stage_finished(
        self,
        stage: str,
        priority_class: str,
        team: str,
        queue_time: timedelta,
        service_time: timedelta,
        tokens: int,
    ) -> None:
        """Record one finished attempt and its cost to the team."""
        served = service_time.total_seconds()
        self._queue.get(stage, priority_class).observe(queue_time.total_seconds())
        self._service.get(stage, priority_class).observe(served)
        self._cost_requests.get(stage, team).inc()
        self._cost_seconds.get(stage, team).inc(served)
        if tokens:
            self._cost_tokens.get(stage, team).inc(tokens)

    def record_token_times(
        self, priority_class: str, first: timedelta, between: tuple[timedelta, ...]
    ) -> None:
        """Record the times of one token stream."""
        self._first_token.get(priority_class).observe(first.total_seconds())
        between_tokens = self._between_tokens.get(priority_class)
        for gap in between:
            between_tokens.observe(gap.total_seconds())

    def record_action(self, part: str, action: str) -> None:
        """Count one automatic action."""
        self._actions.get(part, action).inc()

    def _histogram(
        self,
        name: str,
        text: str,
        labels: tuple[str, ...],
        buckets: tuple[float, ...] = _REQUEST_BUCKETS,
    ) -> Histogram:
        return Histogram(
            f"chervilrack_{name}", text, labels, buckets=buckets, registry=self._registry
        )

    def _counter(self, name: str, text: str, labels: tuple[str, ...]) -> Counter:
        return Counter(f"chervilrack_{name}", text, labels, registry=self._registry)
