"""The node daemon: connects the cores, the transport, the platform and the HTTP server."""

import logging
import threading
import time
from collections.abc import Iterator, Mapping, Sequence
from contextlib import ExitStack
from datetime import timedelta
from types import TracebackType
from typing import Any, Self

from chervilrack._internal.common.clock import Clock, SystemClock
from chervilrack._internal.common.ids import OrganisationId, RequestId
from chervilrack._internal.common.results import Problem, ResultCode
from chervilrack._internal.execution.candidates import CandidateFinder
from chervilrack._internal.execution.port import Executor
from chervilrack._internal.execution.runner import PipelineRunner
from chervilrack._internal.execution.scheduler import Scheduler
from chervilrack._internal.execution.work import WorkPlanner
from chervilrack._internal.gateway.application import Application
from chervilrack._internal.gateway.authentication import OperatorKeys
from chervilrack._internal.gateway.callers import CallerWatch
from chervilrack._internal.gateway.lookup import Endpoint
from chervilrack._internal.gateway.ports import Operations, OrderCoordinator
from chervilrack._internal.gateway.routes import Routes
from chervilrack._internal.gateway.server import HttpServer
from chervilrack._internal.kvstore.port import PlatformService
from chervilrack._internal.limits.policies import limit_policies
from chervilrack._internal.membership import messages as member_messages
from chervilrack._internal.membership.core import Membership
from chervilrack._internal.membership.state import Member, MemberState, Process
from chervilrack._internal.node.codec import create_codec
from chervilrack._internal.node.cores import NodeCores, create_rng
from chervilrack._internal.node.operations import NodeOperations
from chervilrack._internal.node.options import NodeOptions
from chervilrack._internal.node.order_coordinator import NodeOrderCoordinator
from chervilrack._internal.node.periodic import PeriodicAction
from chervilrack._internal.node.platform_link import PlatformLink
from chervilrack._internal.node.platform_worker import PlatformWorker
from chervilrack._internal.node.reactor import Reactor
from chervilrack._internal.node.reports import POLLS_PER_S, UpstreamReportPoller
from chervilrack._internal.observability.telemetry import NodeTelemetry
from chervilrack._internal.orders.core import OrderExecutor
from chervilrack._internal.peering.envelope import Envelope
from chervilrack._internal.peering.transport import PeerTransport
from chervilrack._internal.releases.accept import ReleaseStore
from chervilrack._internal.releases.state import Configuration
from chervilrack._internal.routing.policies import routing_policies
from chervilrack._internal.upstreams.commands import UpstreamCommands
from chervilrack._internal.upstreams.connections import ConnectionPools
from chervilrack._internal.upstreams.protocols import create_clients

logger = logging.getLogger(__name__)

# Heartbeats are sent every 500 ms. Ticks every 50 ms would cost 0.28 % of a core more and gain
# nothing.
MEMBERSHIP_TICK_INTERVAL = timedelta(milliseconds=100)
# Permits move between nodes in steps of this interval, so it is shorter than the others.
LIMITS_TICK_INTERVAL = timedelta(milliseconds=50)
CORE_TICK_INTERVAL = timedelta(milliseconds=100)
# Longest wait in each step of a planned leave. Requests in progress end within the longest
# deadline; a node whose requests have not ended by this time stops all the same.
LEAVE_TIMEOUT = timedelta(seconds=15)
POLL_INTERVAL_S = 0.05


class Node:
    """One node, as a context manager that serves from entering to exiting the context.

    ``leave`` stops the node gracefully. To the other nodes, an exit without ``leave`` looks like
    a crash.
    """

    def __init__(
        self, options: NodeOptions, platform: PlatformService, clock: Clock | None = None
    ) -> None:
        self._options = options
        self._clock = clock or SystemClock()
        self._stack = ExitStack()
        self._telemetry = NodeTelemetry(self._clock)
        self._platform = platform
        self._lock = threading.RLock()
        self._leaving = False
        self._accepts_messages = False

    # Life cycle

    def __enter__(self) -> Self:
        with ExitStack() as stack:
            self._start(stack)
            self._stack = stack.pop_all()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stack.close()

    def _start(self, stack: ExitStack) -> None:
        options = self._options
        self._transport = stack.enter_context(
            PeerTransport(
                options.node,
                options.incarnation,
                options.peer_listen,
                create_codec(),
                self._receive,
                options.curve,
            )
        )
        self._server = HttpServer(options.http, self._create_application(stack))
        self._server.bind()
        self._build_cores()
        self._build_executor(stack)
        platform_worker = stack.enter_context(
            PlatformWorker(
                self._platform, self._report_reachable, create_rng(options.seed, "watch")
            )
        )
        order_executor = OrderExecutor(
            Process(options.node, options.incarnation), options.orders, self._membership.may_act
        )
        self._orders = stack.enter_context(
            NodeOrderCoordinator(
                self._cores,
                order_executor,
                platform_worker,
                self._runner,
                self._telemetry,
                self._clock,
            )
        )
        store = ReleaseStore(self._platform)
        platform_link = PlatformLink(self._cores, platform_worker, store)
        self._operations = NodeOperations(
            options.node,
            self._cores,
            store,
            platform_link,
            self._telemetry,
            self._clock,
            lambda: list(self._upstream_rows()),
        )
        self._accepts_messages = True
        platform_link.start()
        stack.enter_context(
            PeriodicAction("membership", MEMBERSHIP_TICK_INTERVAL, self._cores.tick_membership)
        )
        stack.enter_context(PeriodicAction("limits", LIMITS_TICK_INTERVAL, self._cores.tick_limits))
        stack.enter_context(PeriodicAction("cores", CORE_TICK_INTERVAL, self._tick))
        poll_interval = timedelta(seconds=1) / POLLS_PER_S
        stack.enter_context(PeriodicAction("reports", poll_interval, self._report_poller.poll_next))
        stack.enter_context(self._runner)
        stack.enter_context(self._server)
        logger.info("node: %s serves at %s", options.node, self.http_address)

    def _create_application(self, stack: ExitStack) -> Application:
        caller_watch = stack.enter_context(CallerWatch())
        operator_keys = OperatorKeys(self._options.operator_key_digests)
        rng = create_rng(self._options.seed, "look-up")
        lookup_lifetime = self._options.lookup_lifetime
        routes = Routes(self, operator_keys, caller_watch, self._clock, rng, lookup_lifetime)
        return Application(routes, lambda: self._leaving)

    def _build_cores(self) -> None:
        options = self._options
        member = Member(
            node=options.node,
            incarnation=options.incarnation,
            zone=options.zone,
            peer_address=options.advertised_peer or self._transport.address,
            http_address=options.advertised_http or self.http_address,
        )
        membership = Membership(member, options.membership, create_rng(options.seed, "membership"))
        create_limits = limit_policies.get(options.limit_policy)
        limits = create_limits(options.node, self.may_act, create_rng(options.seed, "limits"))
        self._membership = membership
        self._cores = NodeCores(
            options.node,
            member.peer_address,
            Reactor(self._clock, self._lock),
            membership,
            limits,
            self._transport,
            self._telemetry,
            self._clock,
        )

    def _build_executor(self, stack: ExitStack) -> None:
        options = self._options
        create_router = routing_policies.get(options.routing_policy)
        self._router = create_router(create_rng(options.seed, "routing"), options.zone, None)
        find_candidates = CandidateFinder(lambda: self._cores.configuration)
        scheduler = Scheduler(self._router, self._cores.limits.permits, find_candidates)
        pools = stack.enter_context(ConnectionPools(options.upstream_tls))
        self._runner = PipelineRunner(
            scheduler=scheduler,
            planner=WorkPlanner(lambda: self._cores.configuration, self._router, find_candidates),
            clients=create_clients(pools, self.may_act),
            lock=self._lock,
            clock=self._clock,
            may_act=self.may_act,
            telemetry=self._telemetry,
        )
        self._cores.on_capacity(self._runner.capacity_gained)

        def handle_configuration(configuration: Configuration) -> None:
            pools.retain(upstream.url for upstream in configuration.upstreams.values())
            self._runner.capacity_gained()

        self._cores.on_configuration(handle_configuration)
        self._report_poller = UpstreamReportPoller(
            UpstreamCommands(pools, self.may_act),
            self._router,
            lambda: self._cores.configuration,
            self._lock,
            self._clock,
            create_rng(options.seed, "reports"),
        )

    def leave(self) -> bool:
        """Stop gracefully: leave the endpoint look-up, stop listening, let requests end.

        Returns whether all requests have ended within ``LEAVE_TIMEOUT``.
        """
        self._leaving = True
        self._cores.submit(self._membership, member_messages.LeaveRequested())
        self._wait_until(lambda: not self._is_active_member(), LEAVE_TIMEOUT)
        # Callers may use a look-up answer that names this node until the answer expires.
        time.sleep(self._options.lookup_lifetime.total_seconds())
        self._server.stop_listening()
        drained = self._wait_until(self._is_idle, LEAVE_TIMEOUT)
        self._cores.submit(self._membership, member_messages.Drained())
        self._wait_until(lambda: not self._membership.is_member, LEAVE_TIMEOUT)
        return drained

    def reload_certificate(self) -> None:
        """Read the TLS certificate again. Raises OSError if it cannot be used."""
        self._server.reload_certificate()

    def _is_idle(self) -> bool:
        """Whether no request is in progress and every outcome of an order is stored."""
        return self._runner.in_flight == 0 and self._orders.in_progress == 0

    def _wait_until(self, condition: Any, timeout: timedelta) -> bool:
        deadline = self._clock.monotonic() + timeout
        while not condition():
            if self._clock.monotonic() >= deadline:
                return False
            time.sleep(POLL_INTERVAL_S)
        return True

    def _is_active_member(self) -> bool:
        view = self._membership.view
        member = view.member(self._options.node) if view is not None else None
        return (
            member is not None and member.state is MemberState.ACTIVE and self._membership.is_member
        )

    # Messages and periodic work

    def _receive(self, envelope: Envelope) -> None:
        # Messages that arrive before the cores exist are dropped, as the transport may drop any.
        if self._accepts_messages:
            self._cores.receive(envelope)

    def _report_reachable(self, reachable: bool) -> None:
        self._cores.submit(self._membership, member_messages.PlatformReachable(reachable))
        self._orders.report_reachable(reachable)

    def _tick(self) -> None:
        self._cores.tick_releases()
        self._orders.tick(self._clock.now())
        with self._lock:
            actions = self._router.drain_actions()
        for action in actions:
            self._telemetry.record_action(action)

    # Interface for the gateway and the commands

    @property
    def options(self) -> NodeOptions:
        """Options the node was started with."""
        return self._options

    @property
    def http_address(self) -> str:
        """URL at which the node serves callers."""
        settings = self._options.http
        scheme = "https" if settings.certificate else "http"
        return f"{scheme}://{settings.host}:{self._server.port}"

    @property
    def peer_address(self) -> str:
        """Address at which the node receives messages."""
        return self._transport.address

    @property
    def transport(self) -> PeerTransport:
        """Transport to the other nodes."""
        return self._transport

    @property
    def clock(self) -> Clock:
        """Clock of the node's decisions."""
        return self._clock

    @property
    def telemetry(self) -> NodeTelemetry:
        """Metrics, attainment and explanations of this node."""
        return self._telemetry

    @property
    def cores(self) -> NodeCores:
        """Decision cores; their state may be read only under the lock of their reactor."""
        return self._cores

    @property
    def executor(self) -> Executor:
        """Runs pipelines and idempotent operations."""
        return self._runner

    @property
    def orders(self) -> OrderCoordinator:
        """Runs non-idempotent operations at most once."""
        return self._orders

    @property
    def operations(self) -> Operations:
        """Carries out operators' requests."""
        return self._operations

    @property
    def configuration(self) -> Configuration:
        """Configuration in force at this node."""
        return self._cores.configuration

    def may_act(self) -> bool:
        """Whether this node is confirmed now."""
        return self._membership.may_act(self._clock.monotonic())

    def endpoints(self) -> Sequence[Endpoint]:
        """Return the endpoints of all members of the view."""
        view = self._membership.view
        if view is None:
            return ()
        return [
            Endpoint(
                member.node, member.zone, member.http_address, member.state is MemberState.LEAVING
            )
            for member in view.members
        ]

    def not_ready(self) -> Problem | None:
        """Return why new work is refused at the moment, or None."""
        if self._membership.view is None or not self._membership.is_member:
            return Problem(ResultCode.NOT_READY, "this node is not a member yet")
        if not self.may_act():
            return Problem(ResultCode.NOT_CONFIRMED, "no majority of witnesses confirms this node")
        return None

    def explanation(
        self, request_id: RequestId, organisation: OrganisationId | None
    ) -> Sequence[str] | None:
        """Return the decisions about a request; None if the organisation has no such request."""
        explanations = self._telemetry.explanations
        explanation = (
            explanations.read_as_operator(request_id)
            if organisation is None
            else explanations.read(request_id, organisation)
        )
        if explanation is None:
            return None
        return [
            f"{at / timedelta(milliseconds=1):9.1f} ms  {event}" for at, event in explanation.events
        ]

    def metrics(self) -> bytes:
        """Return the metrics in Prometheus text format."""
        return self._telemetry.metrics.export()

    def request_ended(
        self,
        organisation: OrganisationId,
        priority_class: str,
        target: str,
        outcome: str,
        seconds: float,
    ) -> None:
        """Record the end of a request for metrics and attainment."""
        self._telemetry.request_finished(
            organisation, priority_class, target, outcome, timedelta(seconds=seconds)
        )

    def _upstream_rows(self) -> Iterator[Mapping[str, Any]]:
        for upstream in sorted(self.configuration.upstreams.values(), key=lambda entry: entry.id):
            yield {
                "upstream": upstream.id,
                "team": upstream.team,
                "kind": upstream.kind.value,
                "zone": upstream.zone,
                "models": ",".join(upstream.models) or None,
            }
