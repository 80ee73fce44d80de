"""The serving node: wires the cores to listeners, peers and the store, and runs their timers."""

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
from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.ids import Incarnation, NodeId
from chervilrack._internal.fleet.core import Fleet, FleetEffect, PeerJoined, PeerLeaving, PeerLost
from chervilrack._internal.fleet.messages import Heartbeat, StateGiven, StateWanted
from chervilrack._internal.forwarding.attempts import AttemptRunner
from chervilrack._internal.forwarding.dialect import Dialect
from chervilrack._internal.forwarding.forwarder import Forwarder
from chervilrack._internal.forwarding.messages import InboundRequest, Responder
from chervilrack._internal.gateway.callers import CallerWatch
from chervilrack._internal.gateway.passthrough import ListenSettings, PassThroughServer
from chervilrack._internal.kvstore.port import KeyValueStore
from chervilrack._internal.observability.decisions import DecisionHandler, DecisionLog
from chervilrack._internal.peering.envelope import Envelope
from chervilrack._internal.peering.transport import PeerTransport
from chervilrack._internal.serving.directory import StoreDirectory
from chervilrack._internal.serving.messages import serving_codec
from chervilrack._internal.serving.metrics import CONTENT_TYPE
from chervilrack._internal.serving.settings import ServingSettings
from chervilrack._internal.serving.stage_calls import StageCaller
from chervilrack._internal.serving.stage_coordinator import StageCoordinator
from chervilrack._internal.serving.state import REFUSAL_MARGIN, STOP_MARGIN, ServingState
from chervilrack._internal.serving.store_schema import StoreSchema
from chervilrack._internal.serving.store_sync import StoreSync
from chervilrack._internal.serving.timers import TimerThread

logger = logging.getLogger(__name__)

METRICS_PATH = "/metrics"
# Endpoints in one look-up answer.
MOST_ENDPOINTS = 64
# Time for other nodes to hear that this one leaves; they name it until then.
LOOKUP_SLACK = timedelta(milliseconds=300)
_MILLISECOND = timedelta(milliseconds=1)
# Readiness and look-up answers take microseconds.
SIDE_THREADS = 2
MOST_SIDE_THREADS = 16


class ServingNode:
    """One node; use as a context manager. ``leave`` ends its service gracefully."""

    def __init__(
        self,
        settings: ServingSettings,
        dialect: Dialect,
        schema: StoreSchema,
        store: KeyValueStore | None,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self._settings = settings
        self._dialect = dialect
        self._clock = clock
        self._log = log
        self._incarnation = Incarnation(secrets.token_hex(4))
        rng = random.Random()
        self._fleet = Fleet(settings.node, str(settings.peer), rng)
        self._state = ServingState(settings, self._fleet, clock, log)
        self._caller = StageCaller(dialect, clock)
        self._coordinator = StageCoordinator(
            settings.node, self._incarnation, self._state, dialect, self._caller
        )
        self._watch = CallerWatch()
        attempts = AttemptRunner(dialect, self._state, clock)
        self._forwarder = Forwarder(self._state, dialect, attempts, self._coordinator, clock, rng)
        self._transport = PeerTransport(
            settings.node,
            self._incarnation,
            f"tcp://{settings.peer}",
            serving_codec(),
            self._received,
        )
        self._coordinator.transport = self._transport
        self._directory = StoreDirectory(
            settings,
            schema,
            self._state,
            self._transport.send_to_address,
            self._limit_callers,
            self._coordinator.reconfigure,
        )
        self._sync: StoreSync | None = None
        if store is not None:
            self._sync = StoreSync(store, self._directory, self._directory.registration, rng)
        self._leaving = threading.Event()
        self._closing = False
        self._stopping = False
        self._timers = TimerThread(
            clock, self._state.lock, self._next_time, self._tick, self._was_paused
        )
        self._coordinator.wake = self._timers.wake
        self._next_beat = timedelta(0)
        self._servers = self._make_servers()
        self._exit = contextlib.ExitStack()

    @property
    def balancer(self) -> Balancer:
        """Load and health of the upstreams, as this node sees them."""
        return self._state.balancer

    @property
    def directory(self) -> StoreDirectory:
        """What this node knows of the store's keys."""
        return self._directory

    @property
    def is_ready(self) -> bool:
        """Whether the node knows a configuration with its upstreams and is not leaving."""
        return (
            self._state.is_accepting()
            and self._state.catalogue.configuration is not None
            and not self._leaving.is_set()
            and not self._stopping
        )

    def __enter__(self) -> Self:
        logging.getLogger().addHandler(DecisionHandler(self._log))
        enter = self._exit.enter_context
        now = self._clock.monotonic()
        self._fleet.learn([str(seed) for seed in self._settings.seeds], now)
        enter(self._caller)
        enter(self._watch)
        enter(self._transport)
        for server in self._servers:
            enter(server)
        if self._sync is not None:
            enter(self._sync)
        enter(self._timers)
        self._log.note("node", "started", zone=self._settings.zone, process=os.getpid())
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stopping = True
        self._exit.close()
        self._log.note("node", "stopped")

    def reload(self, settings: ServingSettings) -> None:
        """Learn the seeds of changed settings; other changes take effect at the next start."""
        names = [field.name for field in dataclasses.fields(settings)]
        changed = [n for n in names if getattr(settings, n) != getattr(self._settings, n)]
        with self._state.lock:
            now = self._clock.monotonic()
            self._fleet.learn([str(seed) for seed in settings.seeds], now)
        pending = [name for name in changed if name != "seeds"]
        self._log.note("node", "reloaded", changed=changed, at_next_start=pending)

    def leave(self) -> None:
        """Stop being named to callers, and return when all requests have ended or time is up.

        Callers that kept an older answer are still served while their answer may last.
        """
        self._leaving.set()
        self._log.note("node", "leaving", in_progress=self._state.in_progress)
        self._closing = True
        self._state.leave()
        with self._state.lock:
            self._fleet.leave()
            self._next_beat = timedelta(0)
        self._timers.wake()
        started = self._clock.monotonic()
        until = started + self._settings.lookup_lifetime * 3 + LOOKUP_SLACK
        last = started + self._settings.stop_grace - STOP_MARGIN
        while (now := self._clock.monotonic()) < last:
            if now >= until and self._state.stop_accepting() == 0:
                break
            if now >= last - REFUSAL_MARGIN:
                self._state.stop_waiting()
            threading.Event().wait(0.1)
        # The listener is open for some time more; what it takes would be cut off.
        self._state.stop_accepting()
        self._log.note("node", "left", in_progress=self._state.in_progress)

    # Listeners

    def _make_servers(self) -> list[PassThroughServer]:
        settings = self._settings
        servers = [
            PassThroughServer(
                ListenSettings(settings.callers.host, settings.callers.port),
                self._forwarder.handle,
                self._clock,
                self._watch,
                lambda: self._closing,
            )
        ]
        sides = {settings.readiness, settings.lookup}
        if settings.metrics is not None:
            sides.add(settings.metrics)
        for address in sorted(sides, key=str):
            listen = ListenSettings(
                address.host,
                address.port,
                first_threads=SIDE_THREADS,
                most_threads=MOST_SIDE_THREADS,
            )
            servers.append(PassThroughServer(listen, self._answer_side, self._clock))
        return servers

    def _limit_callers(self, limits: CallerLimits) -> None:
        for server in self._servers[:1]:
            server.limit(limits.max_headers, limits.max_body, limits.idle_time)

    def _answer_side(self, request: InboundRequest, responder: Responder) -> None:
        if request.path == self._dialect.readiness_path:
            responder.send_response(200 if self.is_ready else 503, [], b"")
        elif request.path == self._dialect.lookup_path:
            self._answer_lookup(request, responder)
        elif request.path == METRICS_PATH:
            body = self._state.metrics.render(self._state.in_progress, self._log.dropped)
            responder.send_response(200, [("Content-Type", CONTENT_TYPE)], body)
        else:
            responder.send_response(404, [], b"")

    def _answer_lookup(self, request: InboundRequest, responder: Responder) -> None:
        query = dict(parse_qsl(request.target.partition("?")[2]))
        self._dialect.read_lookup(query)
        own = str(self._settings.callers) if self.is_ready else None
        with self._state.lock:
            addresses = self._fleet.endpoints(own, MOST_ENDPOINTS)
        if not addresses:
            responder.send_response(503, [("Retry-After", "0.5")], b"")
            return
        body = self._dialect.encode_lookup(addresses, self._settings.lookup_lifetime)
        responder.send_response(200, [("Content-Type", "application/json")], body)

    # Peers

    def _received(self, envelope: Envelope) -> None:
        message, sender = envelope.message, envelope.sender
        if sender == self._settings.node and envelope.incarnation == self._incarnation:
            return
        with self._state.lock:
            self._fleet.note_message(sender, envelope.incarnation, self._clock.monotonic())
            match message:
                case Heartbeat():
                    self._heard(sender, envelope.incarnation, message)
                case StateWanted():
                    self._directory.give_state(sender, message)
                case StateGiven():
                    self._directory.take_state(message)
                case PiecesWanted():
                    self._coordinator.wanted(sender, message)
                case PiecesQueued():
                    self._coordinator.queued(message)
                case PiecesBegun():
                    self._coordinator.begun(message)
                case PiecesMade():
                    self._coordinator.made(sender, message)
                case PiecesDropped():
                    self._coordinator.dropped(sender, message)
                case PiecesReturned():
                    self._coordinator.returned(sender, message)
                case ResultsReleased():
                    self._coordinator.released(message)

    def _heard(self, sender: NodeId, incarnation: Incarnation, beat: Heartbeat) -> None:
        now = self._clock.monotonic()
        self._fleet_changed(self._fleet.heard(sender, incarnation, beat, now))
        self._state.balancer.set_peer_reports(sender, beat.reports)
        self._directory.heard(beat)

    def _fleet_changed(self, effects: list[FleetEffect]) -> None:
        if effects:
            self._coordinator.owners_changed()
        for effect in effects:
            match effect:
                case PeerLost(node, reason):
                    self._log.note("fleet", "peer lost", peer=node, reason=reason)
                    self._state.balancer.forget_peer(node)
                    self._coordinator.node_lost(node)
                case PeerLeaving(node):
                    self._log.note("fleet", "peer leaving", peer=node)
                case PeerJoined(node, address):
                    self._log.note("fleet", "peer joined", peer=node, address=address)

    def _beat(self, now: timedelta) -> None:
        configuration = self._state.catalogue.configuration
        beat = Heartbeat(
            address=str(self._settings.peer),
            callers=str(self._settings.callers),
            zone=self._settings.zone,
            ready=self.is_ready,
            leaving=self._leaving.is_set(),
            configuration=configuration.version if configuration is not None else 0,
            directory=self._directory.revision,
            store_answers=self._directory.store_answers,
            reports=tuple(self._state.balancer.local_reports(now)),
            peers=self._fleet.gossip(),
            ready_for_ms=round(self._fleet.note_ready(self.is_ready, now) / _MILLISECOND),
            interval_ms=round(self._fleet.interval / _MILLISECOND),
        )
        addresses = [f"tcp://{address}" for address in self._fleet.addresses]
        self._transport.send_to_addresses(addresses, beat)
        self._next_beat = now + self._fleet.interval
        self._coordinator.hand_over()

    # Timers

    def _was_paused(self, late: timedelta) -> None:
        self._log.note("node", "paused", seconds=round(late.total_seconds(), 2))
        self._fleet.woke(late)

    def _next_time(self) -> timedelta:
        times = [self._next_beat, self._coordinator.next_time(self._clock.monotonic())]
        return min(time for time in times if time is not None)

    def _tick(self, now: timedelta) -> None:
        try:
            if now >= self._next_beat:
                self._beat(now)
                self._fleet_changed(self._fleet.tick(now))
                self._directory.expire()
            self._coordinator.tick(now)
        except Exception:
            logger.exception("node: a timer failed")
            self._next_beat = now + self._fleet.interval
