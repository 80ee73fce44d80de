"""Measures the additional cost of a call through the runner over the same call made directly.

Run as ``python -m chervilrack._internal.execution.measure [PAIRS]``. Both calls of a pair go to the
same emulated service one directly after the other, in alternating order, so that drift of the
machine affects both. The service runs in the same process, so its cost is part of both calls. The
router and the permits are stand-ins that allow every call, so the figures are the cost of the
packages execution and upstreams.
"""

import gc
import itertools
import sys
import threading
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from statistics import median

import msgspec
import urllib3

from chervilrack._internal.common.clock import SystemClock
from chervilrack._internal.common.ids import (
    AttemptId,
    LimitId,
    OrganisationId,
    RequestId,
    ServiceId,
    TeamId,
    UpstreamId,
    ZoneId,
)
from chervilrack._internal.execution.candidates import CandidateFinder
from chervilrack._internal.execution.port import ServiceRequest
from chervilrack._internal.execution.runner import PipelineRunner
from chervilrack._internal.execution.scheduler import Scheduler
from chervilrack._internal.execution.work import WorkPlanner
from chervilrack._internal.limits.port import Permit
from chervilrack._internal.observability.telemetry import NodeTelemetry
from chervilrack._internal.releases.state import (
    Configuration,
    Operation,
    Service,
    Upstream,
    UpstreamKind,
)
from chervilrack._internal.routing.port import Estimate, RouteContext, RouteDecision
from chervilrack._internal.standins.upstreams.simple import PlainService
from chervilrack._internal.upstreams.connections import ConnectionPools
from chervilrack._internal.upstreams.protocols import create_clients

_WARM_UP_PAIRS = 200
_SERVICE, _OPERATION = ServiceId("stock"), "look"
_BODY = {"item": 42, "note": "x" * 200}


@dataclass(frozen=True, slots=True)
class Figures:
    """Medians over all pairs: times in milliseconds, and the ratio of the two wall times.

    ``direct`` stands for calls made directly, ``through`` for calls through the runner and
    ``added`` for the difference of the two calls of a pair.
    """

    pairs: int
    direct_ms: float
    through_ms: float
    added_ms: float
    ratio: float
    direct_cpu_ms: float
    through_cpu_ms: float
    added_cpu_ms: float


class _FixedRouter:
    """Router that chooses the first candidate and estimates 1 ms for all work."""

    def __init__(self) -> None:
        self._estimate = Estimate(timedelta(milliseconds=1), timedelta(milliseconds=1))

    def choose(
        self, candidates: Sequence[Upstream], context: RouteContext, now: timedelta
    ) -> RouteDecision | None:
        del context, now
        return RouteDecision(candidates[0].id, "only candidate")

    def attempt_started(
        self, attempt: AttemptId, upstream: UpstreamId, context: RouteContext, now: timedelta
    ) -> None:
        """Record nothing."""

    def attempt_finished(
        self, attempt: AttemptId, succeeded: bool | None, service_time: timedelta, now: timedelta
    ) -> None:
        """Record nothing."""

    def estimate(self, upstream: UpstreamId, context: RouteContext) -> Estimate:
        del upstream, context
        return self._estimate

    def stage_estimate(self, candidates: Sequence[Upstream], context: RouteContext) -> Estimate:
        del candidates, context
        return self._estimate


class _UnlimitedPermits:
    """Permit source that grants every request."""

    def __init__(self) -> None:
        self._numbers = itertools.count()

    def try_acquire(self, amounts: Mapping[LimitId, int], now: timedelta) -> Permit | None:
        del now
        return Permit(next(self._numbers), amounts)

    def shortage(self, amounts: Mapping[LimitId, int], now: timedelta) -> tuple[LimitId, ...]:
        del amounts, now
        return ()

    def release(self, permit: Permit, now: timedelta) -> None:
        """Do nothing, as no amounts are counted."""

    def release_at(self, permit: Permit, at: timedelta) -> None:
        """Do nothing, as no amounts are counted."""

    def cancel(self, permit: Permit, now: timedelta) -> None:
        """Do nothing, as no amounts are counted."""

    def set_demand(self, waiting: Mapping[LimitId, int], now: timedelta) -> None:
        """Do nothing, as no permits are short."""


def _measure_times(action: Callable[[], None]) -> tuple[float, float]:
    """Run ``action``; return its wall time and the CPU time of this thread, in milliseconds."""
    cpu, wall = time.thread_time(), time.perf_counter()
    action()
    return (time.perf_counter() - wall) * 1e3, (time.thread_time() - cpu) * 1e3


def measure_execution(pairs: int) -> Figures:
    """Run ``pairs`` pairs of calls and return the medians.

    The added times are medians of the differences within pairs.
    """
    clock = SystemClock()
    numbers = itertools.count()
    with PlainService("stock", service_time=0.0) as service, ConnectionPools() as pools:
        upstream = Upstream(
            UpstreamId("stock"),
            TeamId("team"),
            UpstreamKind.SERVICE,
            service.address,
            ZoneId("zone"),
            service=_SERVICE,
        )
        configuration = Configuration(
            upstreams={upstream.id: upstream},
            services={_SERVICE: Service(_SERVICE, (Operation(_OPERATION),))},
        )
        router = _FixedRouter()
        find_candidates = CandidateFinder(lambda: configuration)
        runner = PipelineRunner(
            scheduler=Scheduler(router, _UnlimitedPermits(), find_candidates),
            planner=WorkPlanner(lambda: configuration, router, find_candidates),
            clients=create_clients(pools),
            lock=threading.RLock(),
            clock=clock,
            may_act=lambda: True,
            telemetry=NodeTelemetry(clock),
        )
        direct_pool = urllib3.connection_from_url(service.address)

        def call_directly() -> None:
            headers = {
                "Content-Type": "application/json",
                "X-Request-Id": f"direct-{next(numbers)}",
                "X-Attempt-Id": "a",
                "X-Organisation": "o",
            }
            content = msgspec.json.encode(_BODY)
            path = f"/operations/{_OPERATION}"
            answer = direct_pool.urlopen("POST", path, body=content, headers=headers)
            assert answer.status == 200
            assert "receipt" in msgspec.json.decode(answer.data)

        def call_through_runner() -> None:
            request = ServiceRequest(
                RequestId(f"through-{next(numbers)}"),
                OrganisationId("o"),
                "standard",
                _SERVICE,
                _OPERATION,
                _BODY,
                clock.monotonic() + timedelta(seconds=6),
            )
            answer = runner.run_service(request)
            assert "receipt" in answer.unwrap()

        with runner:
            for _pair in range(_WARM_UP_PAIRS):
                call_directly()
                call_through_runner()
            gc.collect()
            timings = []
            for number in range(pairs):
                if number % 2:
                    direct = _measure_times(call_directly)
                    timings.append((direct, _measure_times(call_through_runner)))
                else:
                    through = _measure_times(call_through_runner)
                    timings.append((_measure_times(call_directly), through))
    return Figures(
        pairs=pairs,
        direct_ms=median(pair[0][0] for pair in timings),
        through_ms=median(pair[1][0] for pair in timings),
        added_ms=median(pair[1][0] - pair[0][0] for pair in timings),
        ratio=median(pair[1][0] / pair[0][0] for pair in timings),
        direct_cpu_ms=median(pair[0][1] for pair in timings),
        through_cpu_ms=median(pair[1][1] for pair in timings),
        added_cpu_ms=median(pair[1][1] - pair[0][1] for pair in timings),
    )


def main() -> None:
    """Print the figures as one line of JSON; the first argument is the number of pairs."""
    pairs = int(sys.argv[1]) if len(sys.argv) > 1 else 2000
    sys.stdout.write(msgspec.json.encode(measure_execution(pairs)).decode() + "\n")


if __name__ == "__main__":
    main()
