"""Configuration of pass-through serving: routes, services, stages, organisations and limits.

A configuration is one immutable value. Sizes are in bytes, durations are ``timedelta``.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from functools import cached_property

from chervilrack._internal.common.ids import OrganisationId, ServiceId, UpstreamId, ZoneId


class RequestKind(Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class StageSpec:
    """Work that is done before a request runs; ``after`` holds the indices of its inputs."""

    service: ServiceId
    after: tuple[int, ...]
    result_size: int


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host below one path prefix, and how they are served.

    ``split`` holds services with their weights. ``max_gap`` is the longest pause between events
    of a stream that is still on time.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout: timedelta
    target_latency: timedelta
    split: tuple[tuple[ServiceId, float], ...]
    priority: int = 0
    max_attempts: int = 1
    stages: tuple[StageSpec, ...] = ()
    anonymous: bool = False
    resumable: bool = False
    session_affinity: bool = False
    max_gap: timedelta | None = None

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable

    @property
    def final_stages(self) -> tuple[int, ...]:
        """Indices of the stages that no other stage follows; their results feed the request."""
        used = {index for stage in self.stages for index in stage.after}
        return tuple(index for index in range(len(self.stages)) if index not in used)


@dataclass(frozen=True, slots=True)
class BatchSpec:
    """How the upstreams of a stage service take work; each value holds for one upstream.

    ``call_time`` is the fixed time of a call, ``item_time`` the approximate time of one piece.
    """

    slots: int
    queue: int
    batch: int
    call_time: timedelta
    item_time: timedelta
    result_space: int
    result_lifetime: timedelta


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Capacity of one model engine of a service."""

    slots: int
    kv_tokens: int


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """One service; ``batching`` is set for stage services and ``engine`` for model engines."""

    id: ServiceId
    health_path: str = "/health"
    max_connections: int = 0
    batching: BatchSpec | None = None
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send. The defaults hold until a configuration is known."""

    max_headers: int = 16 * 1024
    max_body: int = 4 * 1024 * 1024
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(frozen=True)
class ServingConfiguration:
    """One version of the configuration.

    ``keys`` maps callers' keys to organisations. Without organisations no key is asked for.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[ServiceId, ServiceSpec]
    limits: CallerLimits = CallerLimits()
    keys: Mapping[str, OrganisationId] = field(default_factory=dict)
    priorities: Mapping[OrganisationId, int] = field(default_factory=dict)
    has_organisations: bool = False

    @cached_property
    def _by_host(self) -> Mapping[str, Sequence[Route]]:
        hosts: dict[str, list[Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host.lower(), []).append(route)
        for routes in hosts.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        return hosts

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix that begins ``path``."""
        routes = self._by_host.get(host.lower(), ())
        return next((route for route in routes if path.startswith(route.path_prefix)), None)

    def priority(self, route: Route, organisation: OrganisationId | None) -> int:
        """Return the rank of a request, 0 first; an organisation's own rank goes first."""
        if organisation is None:
            return route.priority
        return self.priorities.get(organisation, route.priority)


class UpstreamState(Enum):
    """States that an upstream reports."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """One upstream as it registered itself. ``address`` is ``IP:PORT``."""

    id: UpstreamId
    service: ServiceId
    address: str
    zone: ZoneId
    state: UpstreamState
    slots: int = 1
    version: str = ""
    cold_remaining: timedelta = timedelta(0)
    started_at_ms: int = 0
