"""Fakes of router, permits and telemetry that record their calls."""

from datetime import timedelta

from chervilrack._internal.limits.port import Permit
from chervilrack._internal.releases.state import LimitKind, Upstream, UpstreamKind, limit_kind
from chervilrack._internal.routing.port import Estimate, RouteDecision

ZERO = timedelta(0)


def seconds(value):
    return timedelta(seconds=value)


def service_upstream(name, url="http://127.0.0.1:9", **fields):
    values = {"team": "forge", "kind": UpstreamKind.SERVICE, "zone": "z", "service": "stock"}
    return Upstream(id=name, url=url, **{**values, **fields})


class FakeRouter:
    """Router that chooses the first of the candidates with the fewest attempts in flight."""

    def __init__(self, mean=0.1, spread=0.02):
        self.expected = Estimate(seconds(mean), seconds(spread))
        self.in_flight = {}
        self.attempts = {}
        self.outcomes = {}

    def choose(self, candidates, context, now):
        allowed = [one for one in candidates if one.id not in context.excluded]
        if not allowed:
            return None
        best = min(allowed, key=lambda one: self.in_flight.get(one.id, 0))
        return RouteDecision(best.id, "fewest in flight")

    def attempt_started(self, attempt, upstream, context, now):
        assert attempt not in self.attempts
        self.attempts[attempt] = upstream
        self.in_flight[upstream] = self.in_flight.get(upstream, 0) + 1

    def attempt_finished(self, attempt, succeeded, service_time, now):
        assert attempt not in self.outcomes
        self.outcomes[attempt] = succeeded
        self.in_flight[self.attempts[attempt]] -= 1

    def estimate(self, upstream, context):
        return self.expected

    def stage_estimate(self, candidates, context):
        return self.expected


class FakePermits:
    """Concurrency permits by pool; a pool without a capacity has no limit.

    ``returned`` lists how each permit was returned, and at which instant for ``release_at``.
    """

    def __init__(self, capacities=None):
        self.capacities = dict(capacities or {})
        self.used = {}
        self.held = {}
        self.delayed_returns = []
        self.returned = []
        self.demand = {}
        self.last_number = 0

    def shortage(self, amounts, now):
        self._expire(now)
        return tuple(
            pool
            for pool, amount in amounts.items()
            if pool in self.capacities and self.used.get(pool, 0) + amount > self.capacities[pool]
        )

    def try_acquire(self, amounts, now):
        if self.shortage(amounts, now):
            return None
        self.last_number += 1
        permit = Permit(self.last_number, dict(amounts))
        self.held[permit.number] = permit
        for pool, amount in amounts.items():
            if limit_kind(pool) is LimitKind.CONCURRENCY:
                self.used[pool] = self.used.get(pool, 0) + amount
        return permit

    def release(self, permit, now):
        self._return(permit, "release")

    def cancel(self, permit, now):
        self._return(permit, "cancel")

    def release_at(self, permit, at):
        assert permit.number in self.held
        self.returned.append(("release_at", at))
        self.delayed_returns.append((at, permit))

    def set_demand(self, waiting, now):
        self.demand = dict(waiting)

    def _expire(self, now):
        due = [entry for entry in self.delayed_returns if entry[0] <= now]
        for entry in due:
            self.delayed_returns.remove(entry)
            self._free(entry[1])

    def _return(self, permit, method):
        self.returned.append((method, None))
        self._free(permit)

    def _free(self, permit):
        del self.held[permit.number]  # raises KeyError if the permit was returned before
        for pool, amount in permit.amounts.items():
            if limit_kind(pool) is LimitKind.CONCURRENCY:
                self.used[pool] -= amount


class FakeTelemetry:
    """Telemetry that stores all reports."""

    def __init__(self):
        self.decisions, self.stages, self.tokens = [], [], []

    def record_decision(self, request_id, organisation, event):
        self.decisions.append((request_id, organisation, event))

    def record_action(self, action):
        raise AssertionError("execution must not report actions")

    def request_finished(self, *arguments):
        raise AssertionError("only the gateway reports finished requests")

    def stage_finished(self, *arguments):
        self.stages.append(arguments)

    def record_token_times(self, *arguments):
        self.tokens.append(arguments)
