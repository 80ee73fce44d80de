"""Draws a fleet whose nodes send requests to upstreams of a zone that returns cold.

There is no network. Each node has its own state and its own view of the fleet. Heartbeats, requests
and faults are events in simulated time. No other upstreams are left, so that each node sends all
that it may.
"""

import heapq
import io
import itertools
import random
from datetime import timedelta
from types import SimpleNamespace

from chervilrack._internal.balancing.cold import ColdLimits
from chervilrack._internal.balancing.state import RequestLoad
from chervilrack._internal.catalogue.state import (
    ServiceSpec,
    ServingConfiguration,
    UpstreamEntry,
    UpstreamState,
    WarmUpSpec,
)
from chervilrack._internal.common.clock import ManualClock
from chervilrack._internal.common.ids import (
    Incarnation,
    NodeId,
    ServiceId,
    UpstreamId,
    ZoneId,
)
from chervilrack._internal.common.positions import StorePosition
from chervilrack._internal.fleet.core import Fleet
from chervilrack._internal.fleet.messages import Heartbeat
from chervilrack._internal.observability.decisions import DecisionLog
from chervilrack._internal.serving.settings import Address, ServingSettings
from chervilrack._internal.serving.state import ServingState

SERVICE, ZONE = ServiceId("s"), ZoneId("z9")
LOAD = RequestLoad()
RATE, OVERAGE, SLACK = 13.0, 1.5, 5.0
BOUND = RATE * OVERAGE + SLACK
COLD = timedelta(seconds=3)
UPSTREAMS = 3
RETURN_AT, END = 16.0, 19.5
REQUESTS_PER_S = 12.0
CONFIGURATION = ServingConfiguration(
    1, (), {SERVICE: ServiceSpec(SERVICE, warm_up=WarmUpSpec(COLD, RATE))}
)


def upstream(number):
    return UpstreamEntry(
        UpstreamId(f"u{number}"),
        SERVICE,
        f"10.0.0.{number}:80",
        ZONE,
        UpstreamState.READY,
        slots=32,
    )


class Node:
    """A node of the drawn fleet; ``group`` are the nodes that it reaches."""

    def __init__(self, number, names, seed, now):
        self.name = names[number]
        self.address = f"10.1.{number // 250}.{number % 250 + 1}:1"
        address = Address.parse(self.address)
        limits = ColdLimits(OVERAGE, SLACK)
        settings = ServingSettings(
            NodeId(self.name), ZoneId("z"), address, address, address, address, cold_limits=limits
        )
        self.clock = ManualClock()
        self.clock.advance(timedelta(seconds=now))
        self.fleet = Fleet(settings.node, self.address, random.Random(seed))
        self.state = ServingState(
            settings, self.fleet, self.clock, DecisionLog(self.name, io.StringIO())
        )
        self.state.rng.seed(seed)
        self.state.catalogue.apply_configuration(CONFIGURATION)
        for upstream_number in range(1, UPSTREAMS + 1):
            for effect in self.state.catalogue.put_upstream(upstream(upstream_number), 1):
                self.state.upstream_changed(effect)
        self.state.registered_nodes.update(names)
        self._change_evacuation(self.state.catalogue.evacuations.begin(ZONE))
        self.state.accept_requests()
        self.incarnation = Incarnation(f"{seed:x}")
        self.group = 0
        self.is_running = True

    def _change_evacuation(self, changes):
        for change in changes:
            self.state.evacuation_changed(change, StorePosition(0, 1))

    def return_zone(self):
        self._change_evacuation(self.state.catalogue.evacuations.end(ZONE))

    def advance(self, now):
        self.clock.advance(timedelta(seconds=now) - self.clock.monotonic())

    def heartbeat(self):
        now = self.clock.monotonic()
        ready_for = self.fleet.update_readiness(True, now)
        interval = self.fleet.heartbeat_interval
        return Heartbeat(
            self.address, self.address, "z", True, False, 1, 1, True, (), (),
            ready_for // timedelta(milliseconds=1), interval // timedelta(milliseconds=1),
        )  # fmt: skip


class ColdFleetDay:
    """A drawn course of a fleet of ``size`` nodes with one kind of trouble."""

    def __init__(self, size, trouble, seed):
        self._rng = random.Random(f"{size} {trouble} {seed}")
        self._names = [f"node-{number}" for number in range(size)]
        self._seeds = itertools.count(seed * 10_000 + 1)
        self._events = []
        self._order = itertools.count()
        self._trouble = trouble
        self.arrivals = {f"u{number}": [] for number in range(1, UPSTREAMS + 1)}
        self.refused = 0
        self._nodes = [self._start(number, 0.0) for number in range(size)]
        self._requests = itertools.count()

    def _at(self, time, action):
        heapq.heappush(self._events, (time, next(self._order), action))

    def _start(self, number, now):
        node = Node(number, self._names, next(self._seeds), now)
        node.number = number
        addresses = [f"10.1.{n // 250}.{n % 250 + 1}:1" for n in range(len(self._names))]
        node.fleet.add_addresses(addresses, node.clock.monotonic())
        interval = node.fleet.heartbeat_interval.total_seconds()
        self._at(now + self._rng.uniform(0, interval), lambda: self._beat(node))
        self._at(max(now + 0.7, RETURN_AT), lambda: self._request(node))
        self._at(
            max(now + 0.7, RETURN_AT + self._rng.uniform(0, 1.2)), lambda: self._return_zone(node)
        )
        return node

    def _is_current(self, node):
        return self._nodes[node.number] is node and node.is_running

    def _return_zone(self, node):
        if self._is_current(node):
            node.advance(self.now)
            node.return_zone()
        elif self._nodes[node.number] is node:
            self._at(self.now + 0.05, lambda: self._return_zone(node))

    def _beat(self, node):
        if self._nodes[node.number] is not node:
            return
        interval = node.fleet.heartbeat_interval.total_seconds()
        self._at(self.now + interval * self._rng.uniform(0.9, 1.1), lambda: self._beat(node))
        if not node.is_running:
            return
        node.advance(self.now)
        node.fleet.tick(node.clock.monotonic())
        message = node.heartbeat()
        for other in self._nodes:
            if other is not node and other.is_running and other.group == node.group:
                other.advance(self.now)
                other.fleet.receive_heartbeat(
                    NodeId(node.name), node.incarnation, message, other.clock.monotonic()
                )

    def _request(self, node):
        if self._nodes[node.number] is not node:
            return
        wait = self._rng.expovariate(REQUESTS_PER_S)
        self._at(self.now + wait, lambda: self._request(node))
        if not node.is_running:
            return
        node.advance(self.now)
        state = node.state
        chosen = state.choose(SERVICE, LOAD, ())
        if chosen is None:
            self.refused += state.unavailability(SERVICE) is not None
            return
        entry, choice = chosen
        context = SimpleNamespace(
            load=LOAD, service=SERVICE, metadata=SimpleNamespace(request_id=next(self._requests))
        )
        state.attempt_started(context, entry, choice)
        if state.may_send(entry.incarnation):
            self.arrivals[entry.id].append(self.now)

    # Troubles

    def _some(self, share):
        return self._rng.sample(self._nodes, max(1, round(share * len(self._nodes))))

    def _plan(self):
        rng = self._rng
        match self._trouble:
            case "no trouble":
                pass
            case "a tenth is cut off, each from all others":
                self._at(rng.uniform(2, 17), lambda: self._cut(self._some(0.1), apart=True))
            case "a tenth is cut off together":
                self._at(rng.uniform(2, 17), lambda: self._cut(self._some(0.1), apart=False))
            case "half is cut off from the other half":
                self._at(rng.uniform(2, 17), lambda: self._cut(self._some(0.5), apart=False))
            case "a tenth freezes and wakes":
                self._at(rng.uniform(12, 16), lambda: self._freeze(self._some(0.1)))
            case "most are killed and start again":
                self._at(rng.uniform(1, 17), lambda: self._restart(self._some(0.6), 0.5))
            case "a tenth starts anew, one after the other":
                for number, node in enumerate(self._some(0.1)):
                    self._at(2 + number % 15, lambda node=node: self._restart([node], 0.5))
            case "all of it":
                self._at(rng.uniform(2, 17), lambda: self._cut(self._some(0.1), apart=True))
                self._at(rng.uniform(12, 16), lambda: self._freeze(self._some(0.1)))
                self._at(rng.uniform(1, 17), lambda: self._restart(self._some(0.3), 0.5))
            case "the fleet has just started":
                self._at(rng.uniform(8, 14), lambda: self._restart(list(self._nodes), 0.5))

    def _cut(self, nodes, *, apart):
        for number, node in enumerate(nodes, 1):
            node.group = number if apart else 1

    def _freeze(self, nodes):
        for node in nodes:
            node.is_running = False
        wakes_at = self.now + self._rng.uniform(1, 4)
        self._at(wakes_at, lambda: self._wake(nodes, wakes_at))

    def _wake(self, nodes, now):
        for node in nodes:
            paused = timedelta(seconds=now) - node.clock.monotonic()
            node.fleet.compensate_pause(paused, timedelta(seconds=now))
            node.is_running = True

    def _restart(self, nodes, pause):
        for node in nodes:
            node.is_running = False
            self._at(self.now + pause, lambda node=node: self._replace(node))

    def _replace(self, node):
        if self._nodes[node.number] is node:
            self._nodes[node.number] = self._start(node.number, self.now)

    # Course and figures

    def run(self):
        self.now = 0.0
        self._plan()
        while self._events and self._events[0][0] < END:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def most_in_a_second(self):
        """Return the most arrivals of one upstream in a sliding second while it is cold."""
        cold_end = RETURN_AT + COLD.total_seconds()
        most = 0
        for times in self.arrivals.values():
            times.sort()
            cold = [at for at in times if at < cold_end]
            first = 0
            for last, at in enumerate(cold):
                while cold[first] < at - 1.0:
                    first += 1
                most = max(most, last - first + 1)
        return most

    def mean_per_second(self):
        """Return the arrivals of an upstream a second, once all nodes know of the return."""
        begin, end = RETURN_AT + 1.5, RETURN_AT + 2.9
        counts = [sum(begin <= at < end for at in times) for times in self.arrivals.values()]
        return sum(counts) / len(counts) / (end - begin)
