"""The serving node: connects the cores to listeners, peers and the store, and runs their timers."""

import contextlib
import dataclasses
import logging
import os
import random
import secrets
import threading
from datetime import timedelta
from types import TracebackType
from typing import Self
from urllib.parse import parse_qsl

import msgspec

from chervilrack._internal.balancing.core import Balancer
from chervilrack._internal.batching.messages import (
    PiecesBegun,
    PiecesDropped,
    PiecesMade,
    PiecesQueued,
    PiecesReturned,
    PiecesWanted,
    ResultsReleased,
)
from chervilrack._internal.catalogue.state import CallerLimits
from chervilrack._internal.changefeed.core import ChangeFeed, FeedSettings, ZoneMember
from chervilrack._internal.changefeed.messages import StoreProgress
from chervilrack._internal.common.byte_budget import ByteBudget
from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.ids import Incarnation, NodeId
from chervilrack._internal.fleet.core import (
    Fleet,
    FleetEffect,
    PeerCannotHear,
    PeerHeardAgain,
    PeerJoined,
    PeerLeaving,
    PeerLost,
    PeerSilent,
)
from chervilrack._internal.fleet.messages import Heartbeat, StateReply, StateRequest
from chervilrack._internal.forwarding.attempts import AttemptRunner
from chervilrack._internal.forwarding.dialect import Dialect
from chervilrack._internal.forwarding.forwarder import Forwarder
from chervilrack._internal.forwarding.messages import InboundRequest, Responder
from chervilrack._internal.gateway.callers import CallerWatch
from chervilrack._internal.gateway.passthrough import ListenSettings, PassThroughServer
from chervilrack._internal.kvstore.eras import EraStore
from chervilrack._internal.observability.decisions import DecisionHandler, DecisionLog
from chervilrack._internal.peering.envelope import Envelope
from chervilrack._internal.peering.transport import PeerTransport
from chervilrack._internal.quarantine.messages import CrashReport, ProbeReport, SoundnessReport
from chervilrack._internal.serving.block_store import BlockStore
from chervilrack._internal.serving.directory import StoreDirectory
from chervilrack._internal.serving.homes import named_zones
from chervilrack._internal.serving.messages import serving_codec
from chervilrack._internal.serving.metrics import CONTENT_TYPE
from chervilrack._internal.serving.settings import ServingSettings
from chervilrack._internal.serving.stage_calls import StageCaller
from chervilrack._internal.serving.stage_coordinator import StageCoordinator
from chervilrack._internal.serving.state import ServingState
from chervilrack._internal.serving.store_relay import StoreRelay
from chervilrack._internal.serving.store_schema import StoreSchema
from chervilrack._internal.serving.store_sync import StoreSync
from chervilrack._internal.serving.timers import TimerThread

METRICS_PATH = "/metrics"
# Maximum number of endpoints in one look-up answer.
MAX_ENDPOINTS = 64
# Interval at which a stopping node checks whether requests are in progress.
STOP_POLL_INTERVAL = timedelta(milliseconds=50)
# Largest number of requests that a log line names.
MAX_LOGGED_REQUESTS = 50
# Time until all nodes have received the heartbeat by which this node announces that it is leaving.
# Their look-up answers contain this node until then.
LEAVE_PROPAGATION_TIME = timedelta(milliseconds=300)
# The callers' connections are closed this long before the process may be killed, or this share of
# the time for closing them.
EXIT_MARGIN = timedelta(milliseconds=50)
EXIT_MARGIN_SHARE = 0.25
# Shares of the process's memory for answers that are not whole yet or not yet sent, and for the
# bodies of requests. The process itself needs up to 70 MB, and its threads and sockets some more.
ANSWER_MEMORY_SHARE = 0.25
BODY_MEMORY_SHARE = 0.2
LARGEST_ANSWER = 64 * 1024 * 1024
# The same for streams that their callers have not read yet, and the largest part of one stream.
UNREAD_MEMORY_SHARE = 0.05
LARGEST_UNREAD = 1024 * 1024
# Requests for readiness, look-up and metrics have no body.
MAX_MANAGEMENT_BODY = 64 * 1024
_MILLISECOND = timedelta(milliseconds=1)
# Threads per listener for readiness, look-up and metrics; most answers take microseconds.
MIN_MANAGEMENT_THREADS = 2
MAX_MANAGEMENT_THREADS = 16


class ServingNode:
    """One serving node; use as a context manager. ``leave`` shuts it down gracefully."""

    def __init__(
        self,
        settings: ServingSettings,
        dialect: Dialect,
        schema: StoreSchema,
        store: EraStore | None,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self._settings = settings
        self._dialect = dialect
        self._clock = clock
        self._log = log
        self._incarnation = Incarnation(secrets.token_hex(4))
        rng = random.Random()
        self._fleet = Fleet(
            settings.node,
            str(settings.peer),
            rng,
            cpu_cores=settings.cpu_cores,
            lookup_bounds=settings.lookup_bounds,
        )
        self._state = ServingState(settings, self._fleet, clock, log)
        answers = ByteBudget(round(settings.memory_bytes * ANSWER_MEMORY_SHARE), LARGEST_ANSWER)
        self._body_memory = ByteBudget(round(settings.memory_bytes * BODY_MEMORY_SHARE))
        self._unread_memory = ByteBudget(
            round(settings.memory_bytes * UNREAD_MEMORY_SHARE), LARGEST_UNREAD
        )
        self._answer_memory = answers
        self._stage_caller = StageCaller(dialect, self._state, clock, answers)
        self._coordinator = StageCoordinator(
            settings.node, self._incarnation, self._state, dialect, self._stage_caller
        )
        self._caller_watch = CallerWatch()
        attempts = AttemptRunner(dialect, self._state, clock, answers)
        self._forwarder = Forwarder(self._state, dialect, attempts, self._coordinator, clock, rng)
        self._transport = PeerTransport(
            settings.node,
            self._incarnation,
            f"tcp://{settings.peer}",
            serving_codec(),
            self._on_message,
        )
        self._coordinator.transport = self._transport
        self._state.crash_watch.broadcast = self._broadcast
        self._directory = StoreDirectory(
            settings,
            schema,
            self._state,
            self._transport.send_to_address,
            self._apply_caller_limits,
            self._coordinator.reconfigure,
        )
        limits = settings.apply_limits
        self._feed = ChangeFeed(settings.node, settings.zone, FeedSettings(limits))
        self._relay = StoreRelay(
            self._feed, self._directory, self._state, self._transport.send_to_addresses
        )
        self._store_sync: StoreSync | None = None
        self._block_store: BlockStore | None = None
        if store is not None:
            store.eras.on_event = self._state.metrics.era_event
            self._store_sync = StoreSync(
                store,
                self._relay,
                self._directory.registration,
                rng,
                limits,
                lambda: self._state.metrics.written_again("registration"),
            )
            self._block_store = BlockStore(
                store, schema.block_prefix, self._directory.archive, self._state, self._live_nodes
            )
            self._state.crash_watch.on_record_outdated = self._block_store.wake
        self._leaving = threading.Event()
        # Whether responses close the connections of callers.
        self._closes_connections = False
        self._stopping = False
        self._timers = TimerThread(
            clock,
            self._state.lock,
            self._next_time,
            (
                self._beat,
                self._coordinator.tick,
                self._relay.tick,
                self._state.crash_watch.tick,
            ),
            self._on_pause,
        )
        self._coordinator.wake = self._timers.wake
        self._coordinator.try_node_again = self._try_peer_again
        self._state.crash_watch.wake = self._timers.wake
        self._next_heartbeat = timedelta(0)
        self._last_heartbeat = timedelta(0)
        self._caller_server = self._make_caller_server()
        self._management_servers = self._make_management_servers()
        self._exit = contextlib.ExitStack()

    @property
    def balancer(self) -> Balancer:
        """Load and health of the upstreams as this node sees them."""
        return self._state.balancer

    @property
    def directory(self) -> StoreDirectory:
        """The store's keys as this node knows them."""
        return self._directory

    @property
    def is_ready(self) -> bool:
        """Whether the node knows a configuration and its upstreams and is not shutting down."""
        return (
            self._state.is_accepting()
            and self._state.catalogue.configuration is not None
            and not self._leaving.is_set()
            and not self._stopping
        )

    def __enter__(self) -> Self:
        logging.getLogger().addHandler(DecisionHandler(self._log))
        with contextlib.ExitStack() as started:
            self._start_parts(started)
            self._exit = started.pop_all()
        self._log.note("node", "started", zone=self._settings.zone, process=os.getpid())
        return self

    def _start_parts(self, stack: contextlib.ExitStack) -> None:
        """Start the parts of the node; ``stack`` stops them, also if a later one cannot start."""
        enter = stack.enter_context
        now = self._clock.monotonic()
        self._fleet.add_addresses([str(seed) for seed in self._settings.seeds], now)
        enter(self._stage_caller)
        enter(self._caller_watch)
        enter(self._transport)
        # The callers' listener closes first: no request is read any more while the rest stops.
        for server in self._management_servers:
            enter(server)
        stack.callback(self._note_closed)
        enter(self._caller_server)
        if self._store_sync is not None and self._block_store is not None:
            enter(self._store_sync)
            enter(self._block_store)
        enter(self._timers)

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stopping = True
        self._exit.close()
        self._log.note("node", "stopped")

    def _note_closed(self) -> None:
        self._log.note("node", "callers closed", connections=self._caller_server.closed)

    def reload(self, settings: ServingSettings) -> None:
        """Add the seeds of changed settings; other changes take effect at the next start."""
        names = [field.name for field in dataclasses.fields(settings)]
        changed = [n for n in names if getattr(settings, n) != getattr(self._settings, n)]
        with self._state.lock:
            now = self._clock.monotonic()
            self._fleet.add_addresses([str(seed) for seed in settings.seeds], now)
        pending = [name for name in changed if name != "seeds"]
        self._log.note("node", "reloaded", changed=changed, at_next_start=pending)

    def leave(self) -> None:
        """Withdraw from look-up answers, then return when no requests remain or at the time limit.

        Requests are accepted until the end of ``stop_grace``, as long as they can be completed by
        then: callers may use an older look-up answer. Requests that are still in progress at the
        end get a final response.
        """
        self._state.begin_stop(self._settings.stop_grace)
        self._leaving.set()
        self._log.note("node", "leaving", in_progress=self._state.in_progress)
        self._closes_connections = True
        with self._state.lock:
            self._fleet.leave()
            self._next_heartbeat = timedelta(0)
        self._timers.wake()
        self._serve_until_stop()
        # The listener stays open for a short time. Requests that it accepted would be cut off.
        self._state.stop_accepting()
        self._end_requests(include_begun=False)
        plan = self._state.stop_plan
        self._wait_until_answered(plan.exit_at)
        self._end_requests(include_begun=True)
        self._wait_until_answered(plan.close_at)
        margin = min(EXIT_MARGIN, (plan.kill_at - plan.close_at) * EXIT_MARGIN_SHARE)
        self._caller_server.close_by(plan.kill_at - margin)
        self._log.note(
            "node", "left", in_progress=self._state.in_progress, ended=self._state.ended_by_stop
        )

    def _serve_until_stop(self) -> None:
        """Serve until no requests remain, or until the others must get their final responses."""
        lookups_expired_at = (
            self._clock.monotonic() + self._settings.lookup_lifetime * 3 + LEAVE_PROPAGATION_TIME
        )
        while (now := self._clock.monotonic()) < self._state.final_responses_at():
            if now >= lookups_expired_at and self._state.stop_accepting_if_idle():
                return
            self._pause_until(self._state.final_responses_at())

    def _end_requests(self, *, include_begun: bool) -> None:
        ended = self._state.end_requests(include_begun=include_begun)
        if ended:
            self._log.note(
                "node", "requests ended", count=len(ended), requests=ended[:MAX_LOGGED_REQUESTS]
            )

    def _wait_until_answered(self, end: timedelta) -> None:
        """Wait until all requests that were read are answered, but not longer than ``end``."""
        while self._state.unanswered and self._clock.monotonic() < end:
            self._pause_until(end)

    def _pause_until(self, end: timedelta) -> None:
        pause = min(STOP_POLL_INTERVAL, end - self._clock.monotonic())
        threading.Event().wait(max(0.001, pause.total_seconds()))

    # Listeners

    def _make_caller_server(self) -> PassThroughServer:
        return PassThroughServer(
            ListenSettings(self._settings.callers.host, self._settings.callers.port),
            self._handle_request,
            self._clock,
            self._caller_watch,
            lambda: self._closes_connections,
            self._refuse_overload,
            self._body_memory,
            self._unread_memory,
        )

    def _make_management_servers(self) -> list[PassThroughServer]:
        settings = self._settings
        servers = []
        management_addresses = {settings.readiness, settings.lookup}
        if settings.metrics is not None:
            management_addresses.add(settings.metrics)
        for address in sorted(management_addresses, key=str):
            listen = ListenSettings(
                address.host,
                address.port,
                max_body=MAX_MANAGEMENT_BODY,
                min_threads=MIN_MANAGEMENT_THREADS,
                max_threads=MAX_MANAGEMENT_THREADS,
            )
            servers.append(PassThroughServer(listen, self._answer_management, self._clock))
        return servers

    def _apply_caller_limits(self, limits: CallerLimits) -> None:
        self._caller_server.set_limits(
            limits.max_headers, limits.max_body, limits.header_timeout, limits.idle_timeout
        )

    def _handle_request(self, request: InboundRequest, responder: Responder) -> None:
        with self._state.answering():
            self._forwarder.handle(request, responder)

    def _refuse_overload(self, request: InboundRequest, responder: Responder) -> None:
        with self._state.answering():
            self._forwarder.refuse_overload(request, responder)

    def _answer_management(self, request: InboundRequest, responder: Responder) -> None:
        if request.path == self._dialect.readiness_path:
            responder.send_response(200 if self.is_ready else 503, [], b"")
        elif request.path == self._dialect.lookup_path:
            self._answer_lookup(request, responder)
        elif request.path == METRICS_PATH:
            with self._state.lock:
                barred = self._state.count_barred()
                spreads = self._state.load_spreads()
                now = self._clock.monotonic()
                self._state.metrics.upstreams_cold(self._state.cold.count(now))
                self._state.metrics.store_followed(
                    self._configuration_version, self._relay.answer_age(now)
                )
            held = {
                "answers": self._answer_memory.used,
                "bodies": self._body_memory.used,
                "unread": self._unread_memory.used,
            }
            body = self._state.metrics.render(
                self._state.in_progress, self._log.dropped, barred, held, spreads
            )
            responder.send_response(200, [("Content-Type", CONTENT_TYPE)], body)
        else:
            responder.send_response(404, [], b"")

    def _answer_lookup(self, request: InboundRequest, responder: Responder) -> None:
        query = dict(parse_qsl(request.target.partition("?")[2]))
        may_name = named_zones(
            self._state.regions,
            self._state.catalogue.configuration,
            self._dialect.read_lookup(query),
        )
        own_address = str(self._settings.callers) if self.is_ready else None
        own_address_there = own_address if may_name(self._settings.zone) else None
        now = self._clock.monotonic()
        with self._state.lock:
            # Nodes elsewhere refuse what they may not serve. Without any, callers have no answer.
            addresses = self._fleet.endpoints(
                own_address_there, MAX_ENDPOINTS, now, may_name
            ) or self._fleet.endpoints(own_address, MAX_ENDPOINTS, now)
        if not addresses:
            responder.send_response(503, [("Retry-After", "0.5")], b"")
            return
        body = self._dialect.encode_lookup(addresses, self._settings.lookup_lifetime)
        responder.send_response(200, [("Content-Type", "application/json")], body)

    # Peers

    def _on_message(self, envelope: Envelope) -> None:
        message, sender = envelope.message, envelope.sender
        if sender == self._settings.node and envelope.incarnation == self._incarnation:
            return
        with self._state.lock:
            self._fleet.record_message(sender, envelope.incarnation, self._clock.monotonic())
            match message:
                case Heartbeat():
                    self._on_heartbeat(sender, envelope.incarnation, message)
                case StateRequest():
                    self._directory.on_state_request(sender, message)
                case StateReply():
                    self._directory.on_state_reply(message)
                case StoreProgress():
                    self._relay.on_progress(sender, message)
                case CrashReport():
                    self._state.crash_watch.on_crash_report(message)
                    self._state.report_actions()
                case SoundnessReport():
                    self._state.crash_watch.on_soundness_report(message)
                case ProbeReport():
                    self._state.crash_watch.on_probe_report(message)
                case _:
                    self._on_stage_message(sender, message)

    def _on_stage_message(self, sender: NodeId, message: msgspec.Struct) -> None:
        match message:
            case PiecesWanted():
                self._coordinator.on_pieces_wanted(sender, message)
            case PiecesQueued():
                self._coordinator.on_order_queued(message)
            case PiecesBegun():
                self._coordinator.on_inputs_read(message)
            case PiecesMade():
                self._coordinator.on_results(sender, message)
            case PiecesDropped():
                self._coordinator.on_order_dropped(sender, message)
            case PiecesReturned():
                self._coordinator.on_pieces_returned(sender, message)
            case ResultsReleased():
                self._coordinator.on_results_released(message)

    def _on_heartbeat(self, sender: NodeId, incarnation: Incarnation, heartbeat: Heartbeat) -> None:
        now = self._clock.monotonic()
        self._perform(self._fleet.receive_heartbeat(sender, incarnation, heartbeat, now))
        self._state.balancer.set_peer_reports(sender, heartbeat.reports, now)
        self._state.leaving_reported(sender, heartbeat.leaving_upstreams)
        self._state.crash_watch.on_suspects(heartbeat.suspects)
        self._directory.on_heartbeat(heartbeat)
        self._relay.observe_position(heartbeat.position)

    @property
    def _configuration_version(self) -> int:
        """Version of the configuration in force, 0 before the first one."""
        configuration = self._state.catalogue.configuration
        return configuration.version if configuration is not None else 0

    def _live_nodes(self) -> list[NodeId]:
        """Return this node and those that are alive."""
        peers = [peer.node for peer in self._fleet.alive if peer.node is not None]
        return [self._settings.node, *peers]

    def _broadcast(self, message: msgspec.Struct) -> None:
        """Send a message to all nodes whose addresses are known."""
        addresses = [f"tcp://{address}" for address in self._fleet.addresses]
        self._transport.send_to_addresses(addresses, message)

    def _perform(self, effects: list[FleetEffect]) -> None:
        if effects:
            self._coordinator.on_owners_changed()
            self._update_zone_members()
        for effect in effects:
            match effect:
                case PeerLost(node, reason, silent_address):
                    if silent_address is not None:
                        self._transport.replace_link(f"tcp://{silent_address}")
                    self._log.note("fleet", "peer lost", peer=node, reason=reason)
                    self._state.balancer.forget_peer(node)
                    self._coordinator.on_node_lost(node)
                case PeerCannotHear(node, address):
                    self._transport.replace_link(f"tcp://{address}")
                    self._log.note("fleet", "not heard by a peer", peer=node, address=address)
                    self._send_heartbeat_soon()
                case PeerSilent(node, address):
                    self._transport.replace_link(f"tcp://{address}")
                    self._log.note("fleet", "peer silent", peer=node, address=address)
                    self._send_heartbeat_soon()
                case PeerHeardAgain(node):
                    self._log.note("fleet", "peer heard again", peer=node)
                    self._coordinator.on_node_heard_again(node)
                case PeerLeaving(node):
                    self._log.note("fleet", "peer leaving", peer=node)
                case PeerJoined(node, address):
                    self._log.note("fleet", "peer joined", peer=node, address=address)

    def _send_heartbeat_soon(self) -> None:
        """Send the next heartbeat early, over the new connection to a peer.

        If many connections fall silent at once, one heartbeat answers several peers.
        """
        early = self._last_heartbeat + self._fleet.shortest_heartbeat_interval
        self._next_heartbeat = min(self._next_heartbeat, early)
        self._timers.wake()

    def _try_peer_again(self, node: NodeId) -> None:
        self._perform(self._fleet.try_again(node))

    def _update_zone_members(self) -> None:
        """Pass the live nodes of the zone to the change feed."""
        members = [
            ZoneMember(peer.node, peer.address, peer.last_heartbeat.cpu_cores, peer.accepts_work)
            for peer in self._fleet.peers_in_zone(self._settings.zone)
            if peer.node is not None and peer.last_heartbeat is not None
        ]
        own_address, own_cores = str(self._settings.peer), self._settings.cpu_cores
        members.append(ZoneMember(self._settings.node, own_address, own_cores, self.is_ready))
        zone_sizes = self._fleet.zones
        zone_sizes[self._settings.zone] += 1
        self._relay.set_members(members, self._feed.count_watchers(zone_sizes.values()))

    def _send_heartbeat(self, now: timedelta) -> None:
        position = self._directory.position
        heartbeat = Heartbeat(
            address=str(self._settings.peer),
            caller_address=str(self._settings.callers),
            zone=self._settings.zone,
            ready=self.is_ready,
            leaving=self._leaving.is_set(),
            configuration_version=self._configuration_version,
            directory_revision=position.revision if not position.era else 0,
            store_answers=self._directory.store_answers,
            reports=tuple(self._state.balancer.local_reports(now)),
            peer_addresses=self._fleet.gossip(),
            ready_for_ms=round(self._fleet.update_readiness(self.is_ready, now) / _MILLISECOND),
            interval_ms=round(self._fleet.heartbeat_interval / _MILLISECOND),
            cpu_cores=self._settings.cpu_cores,
            leaving_upstreams=self._state.leaving_reports(),
            suspects=self._state.crash_watch.share_suspects(),
            directory_in_era=(position.era, position.revision) if position.era else None,
            unheard=self._fleet.unheard(),
        )
        self._broadcast(heartbeat)
        self._last_heartbeat = now
        self._next_heartbeat = now + self._fleet.heartbeat_interval
        self._coordinator.hand_over_queues()
        self._update_zone_members()

    # Timers

    def _on_pause(self, duration: timedelta) -> None:
        self._log.note("node", "paused", seconds=round(duration.total_seconds(), 2))
        self._fleet.compensate_pause(duration, self._clock.monotonic())

    def _next_time(self) -> timedelta:
        times = [
            self._next_heartbeat,
            self._coordinator.next_time(self._clock.monotonic()),
            self._relay.next_time,
            self._state.crash_watch.next_time,
        ]
        return min(time for time in times if time is not None)

    def _beat(self, now: timedelta) -> None:
        if now < self._next_heartbeat:
            return
        # Also after an exception, so that the timer is not due again at once.
        self._next_heartbeat = now + self._fleet.heartbeat_interval
        # All are called, in reverse order, even if one of them raises an exception.
        with contextlib.ExitStack() as calls:
            calls.callback(self._directory.expire_upstreams)
            calls.callback(lambda: self._perform(self._fleet.tick(now)))
            calls.callback(self._send_heartbeat, now)
