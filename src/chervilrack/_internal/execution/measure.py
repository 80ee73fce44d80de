"""Measures what a stage call through the runner costs beyond the same call made directly.

Run as ``python -m chervilrack._internal.execution.measure [PAIRS]``. Both calls of a pair go to the
same emulated service one directly after the other, in alternating order, so that drift of the
machine affects both. The service runs in the same process; its cost is in both calls. Limits and
routing are stand-ins that always say yes, so the figures are the cost of execution/ and upstreams/.
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

_WARM_UP = 200
_SERVICE, _OPERATION = ServiceId("stock"), "look"
_BODY = {"item": 42, "note": "x" * 200}


@dataclass(frozen=True, slots=True)
class Figures:
    """Medians over all pairs: times in milliseconds, and the ratio of through to direct."""

    pairs: int
    direct_ms: float
    through_ms: float
    added_ms: float
    ratio: float
    direct_cpu_ms: float
    through_cpu_ms: float
    added_cpu_ms: float


class _FixedRouter:
    """Chooses the first candidate and expects 1 ms."""

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
        """Ignore the start."""

    def attempt_finished(
        self, attempt: AttemptId, succeeded: bool | None, service_time: timedelta, now: timedelta
    ) -> None:
        """Ignore the end."""

    def estimate(self, upstream: UpstreamId, context: RouteContext) -> Estimate:
        del upstream, context
        return self._estimate

    def stage_estimate(self, candidates: Sequence[Upstream], context: RouteContext) -> Estimate:
        del candidates, context
        return self._estimate


class _UnlimitedPermits:
    """Grants everything."""

    def __init__(self) -> None:
        self._numbers = itertools.count()

    def try_acquire(self, amounts: Mapping[LimitId, int], now: timedelta) -> Permit | None:
        del now
        return Permit(next(self._numbers), amounts)

    def shortage(self, amounts: Mapping[LimitId, int], now: timedelta) -> tuple[LimitId, ...]:
        del amounts, now
        return ()

    def release(self, permit: Permit, now: timedelta) -> None:
        """Ignore the end."""

    def release_at(self, permit: Permit, at: timedelta) -> None:
        """Ignore the end."""

    def cancel(self, permit: Permit, now: timedelta) -> None:
        """Ignore the end."""

    def set_demand(self, waiting: Mapping[LimitId, int], now: timedelta) -> None:
        """Ignore the demand."""


def _timed(action: Callable[[], None]) -> tuple[float, float]:
    """Return the milliseconds and the calling thread's CPU milliseconds of one action."""
    cpu, wall = time.thread_time(), time.perf_counter()
    action()
    return (time.perf_counter() - wall) * 1e3, (time.thread_time() - cpu) * 1e3


def measure_execution(pairs: int) -> Figures:
    """Run ``pairs`` pairs of calls and return the medians.

    The added time is the median of the differences within pairs.
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

        def direct() -> None:
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

        def through() -> None:
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
            for _each in range(_WARM_UP):
                direct()
                through()
            gc.collect()
            results = []
            for number in range(pairs):
                if number % 2:
                    first = _timed(direct)
                    results.append((first, _timed(through)))
                else:
                    second = _timed(through)
                    results.append((_timed(direct), second))
    return Figures(
        pairs=pairs,
        direct_ms=median(one[0][0] for one in results),
        through_ms=median(one[1][0] for one in results),
        added_ms=median(one[1][0] - one[0][0] for one in results),
        ratio=median(one[1][0] / one[0][0] for one in results),
        direct_cpu_ms=median(one[0][1] for one in results),
        through_cpu_ms=median(one[1][1] for one in results),
        added_cpu_ms=median(one[1][1] - one[0][1] for one in results),
    )


def main() -> None:
    """Print the figures as one line of JSON."""
    pairs = int(sys.argv[1]) if len(sys.argv) > 1 else 2000
    sys.stdout.write(msgspec.json.encode(measure_execution(pairs)).decode() + "\n")


if __name__ == "__main__":
    main()
