"""Reads what upstreams state of their load in the answers that this node gets anyway."""

from collections import OrderedDict
from datetime import timedelta

from chervilrack._internal.balancing.core import Balancer
from chervilrack._internal.catalogue.state import UpstreamIncarnation
from chervilrack._internal.common.ids import UpstreamId
from chervilrack._internal.forwarding.dialect import ResponseMetadata
from chervilrack._internal.observability.decisions import DecisionLog
from chervilrack._internal.serving.metrics import ServingMetrics

# Upstreams with unreadable statements that are remembered, so that each is logged once.
MAX_UNREADABLE = 256


class LoadWatch:
    """Passes stated loads to the balancer, and reports those that cannot be read.

    The callers hold the node's lock.
    """

    def __init__(self, balancer: Balancer, log: DecisionLog, metrics: ServingMetrics) -> None:
        self._balancer = balancer
        self._log = log
        self._metrics = metrics
        self._unreadable: OrderedDict[UpstreamId, None] = OrderedDict()

    def answer_received(
        self, upstream: UpstreamIncarnation, metadata: ResponseMetadata, now: timedelta
    ) -> None:
        """Record the load that an upstream states in an answer, if it states one."""
        if metadata.load is not None:
            self._metrics.load_stated(readable=True)
            self._unreadable.pop(upstream.id, None)
            load = metadata.load
            in_progress = load.running + load.waiting
            self._balancer.record_stated_load(upstream.id, in_progress, load.slowdown, now)
        elif metadata.load_unreadable:
            self._metrics.load_stated(readable=False)
            if upstream.id not in self._unreadable:
                self._log.note("balancing", "load unreadable", upstream=upstream.id)
            self._unreadable[upstream.id] = None
            self._unreadable.move_to_end(upstream.id)
            if len(self._unreadable) > MAX_UNREADABLE:
                self._unreadable.popitem(last=False)
