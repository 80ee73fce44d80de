"""Configuration of pass-through serving: routes, services, stages, organisations and limits.

A configuration is one immutable value. Sizes are in bytes, durations are ``timedelta``.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from functools import cached_property
from typing import NamedTuple

from chervilrack._internal.common.ids import OrganisationId, RegionId, ServiceId, UpstreamId, ZoneId


class RequestKind(Enum):
    """Kind of a route's requests, which decides whether a request may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class StageSpec:
    """Stage that runs before the request itself.

    ``after`` holds the indices of the stages whose results it takes as input. ``result_size`` is
    the size in bytes of the result of one piece.
    """

    service: ServiceId
    after: tuple[int, ...]
    result_size: int


@dataclass(frozen=True, slots=True)
class Route:
    """How requests for one host and path prefix are served.

    ``split`` holds the services of the route with their traffic weights. A lower ``priority`` is
    served first. ``max_gap`` is the longest time between two events of a stream that counts as
    on time. ``anonymous`` routes require no key. ``homes`` are the regions in which the requests
    may be served, None if all are.
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
    homes: frozenset[RegionId] | None = None

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be executed more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable

    @property
    def final_stages(self) -> tuple[int, ...]:
        """Indices of the stages whose results go to the request and not to another stage."""
        used = {index for stage in self.stages for index in stage.after}
        return tuple(index for index in range(len(self.stages)) if index not in used)


@dataclass(frozen=True, slots=True)
class BatchSpec:
    """How one upstream of a stage service takes work.

    ``slots`` calls run at a time, ``queue`` calls may wait, and a call has at most ``batch``
    pieces. A call takes ``call_time`` plus about ``item_time`` per piece. ``result_space`` is the
    number of bytes for stored results, ``result_lifetime`` the time for which the upstream keeps
    a result.
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
    """Capacity of one model engine; ``kv_tokens`` is the size of its key-value cache."""

    slots: int
    kv_tokens: int


@dataclass(frozen=True, slots=True)
class WarmUpSpec:
    """How the upstreams of a service warm up after a cold start.

    An upstream is cold for up to ``duration``. It then bears ``rate`` requests a second.
    """

    duration: timedelta
    rate: float


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """One service; ``batching`` is set for stage services, ``engine`` for model services.

    ``warm_up`` is set for services whose upstreams must not get many requests while cold.
    """

    id: ServiceId
    health_path: str = "/health"
    max_connections: int = 0
    batching: BatchSpec | None = None
    engine: EngineSpec | None = None
    warm_up: WarmUpSpec | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers' connections and requests.

    The defaults hold until a configuration is known.
    """

    max_headers: int = 16 * 1024
    max_body: int = 4 * 1024 * 1024
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(frozen=True)
class ServingConfiguration:
    """One version of the configuration.

    ``keys`` maps callers' API keys to organisations. No key is required if the configuration has
    no organisations (``has_organisations`` is False). ``priorities`` holds the organisations
    that have a priority of their own, and ``homes`` those whose requests may be served in some
    regions only.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[ServiceId, ServiceSpec]
    limits: CallerLimits = CallerLimits()
    keys: Mapping[str, OrganisationId] = field(default_factory=dict)
    priorities: Mapping[OrganisationId, int] = field(default_factory=dict)
    has_organisations: bool = False
    homes: Mapping[OrganisationId, frozenset[RegionId]] = field(default_factory=dict)

    @cached_property
    def _by_host(self) -> Mapping[str, Sequence[Route]]:
        hosts: dict[str, list[Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host.lower(), []).append(route)
        for routes in hosts.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        return hosts

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``, or None."""
        routes = self._by_host.get(host.lower(), ())
        return next((route for route in routes if path.startswith(route.path_prefix)), None)

    def homes_of(
        self, route: Route, organisation: OrganisationId | None
    ) -> frozenset[RegionId] | None:
        """Return the regions in which a request may be served, None if all are.

        Both the homes of the route and those of the organisation bind.
        """
        own = self.homes.get(organisation) if organisation is not None else None
        if route.homes is None or own is None:
            return own if route.homes is None else route.homes
        return route.homes & own

    def lookup_homes(self, host: str) -> frozenset[RegionId] | None:
        """Return the regions whose nodes may be named to callers of a host, None if all may be.

        These are the homes that all its routes with homes share, or else all homes of these.
        """
        homes = [r.homes for r in self._by_host.get(host.lower(), ()) if r.homes is not None]
        if not homes:
            return None
        return frozenset.intersection(*homes) or frozenset.union(*homes)

    def priority(self, route: Route, organisation: OrganisationId | None) -> int:
        """Return the priority of a request; 0 is served first.

        The priority of the organisation, if it has one, overrides that of the route.
        """
        if organisation is None:
            return route.priority
        return self.priorities.get(organisation, route.priority)


class UpstreamState(Enum):
    """State that an upstream registers for itself."""

    READY = "ready"
    DRAINING = "draining"


class UpstreamIncarnation(NamedTuple):
    """One start of an upstream; a later start has a later time, in Unix milliseconds."""

    id: UpstreamId
    started_at_ms: int


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """Registration of one upstream.

    ``address`` is ``IP:PORT``. ``cold_remaining`` is the time until a cold upstream has warmed up.
    ``started_at_ms`` is the Unix time of its start in milliseconds.
    """

    id: UpstreamId
    service: ServiceId
    address: str
    zone: ZoneId
    state: UpstreamState
    slots: int = 1
    version: str = ""
    cold_remaining: timedelta = timedelta(0)
    started_at_ms: int = 0

    @property
    def incarnation(self) -> UpstreamIncarnation:
        """The start of the upstream that the registration describes, whatever its address."""
        return UpstreamIncarnation(self.id, self.started_at_ms)
