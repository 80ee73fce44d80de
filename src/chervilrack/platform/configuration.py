"""The operator's configuration and the upstreams' registrations, as values of the product."""

from datetime import timedelta
from typing import Final

import msgspec

from chervilrack._internal.catalogue.state import (
    BatchSpec,
    CallerLimits,
    EngineSpec,
    RequestKind,
    Route,
    ServiceSpec,
    ServingConfiguration,
    StageSpec,
    UpstreamEntry,
    UpstreamState,
)
from chervilrack._internal.common.ids import OrganisationId, ServiceId, UpstreamId, ZoneId
from chervilrack._internal.exceptions import ChervilrackError

CONFIGURATION_KEY: Final = "op/config"
UPSTREAM_PREFIX: Final = "servers/"
BYTES_PER_MEGABYTE: Final = 1_000_000

_KINDS: Final = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAM,
}


class UnreadableValue(ChervilrackError):
    """A value in the store is not what the platform's pages describe."""


class _Stage(msgspec.Struct):
    """``length`` is the approximate size of a result in bytes, not a duration."""

    service: str
    after: tuple[int, ...] = ()
    length: float = 0


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="camel"):
    """Either ``service`` or ``traffic_split`` is set."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0
    priority: int = 0
    service: str = ""
    traffic_split: tuple[_Split, ...] = ()
    max_attempts: int = 1
    stages: tuple[_Stage, ...] = ()
    anonymous: bool = False
    session_affinity: bool = False
    stream_resume: bool = False
    target_gap_ms: float = 0


class _Segments(msgspec.Struct, rename="camel"):
    """A stage service; ``queue`` is the calls that may wait, ``headroom_mb`` room for results."""

    slots: int
    queue: int
    batch: int
    call_ms: float
    item_ms: float
    headroom_mb: float
    handle_s: float


class _Engine(msgspec.Struct, rename="camel"):
    slots: int
    kv_capacity_tokens: int


class _Service(msgspec.Struct, rename="camel"):
    name: str
    health_path: str = "/health"
    max_connections: int = 0
    segments: _Segments | None = None
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


class _Configuration(msgspec.Struct):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...] = ()
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: tuple[_Tenant, ...] | None = None


class _Server(msgspec.Struct, rename="camel"):
    """``version`` is the upstream's software, ``sequence`` counts its reports."""

    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    version: str = ""
    cold_remaining_ms: float = 0
    born: int = 0


_configurations = msgspec.json.Decoder(_Configuration)
_servers = msgspec.json.Decoder(_Server)


def decode_configuration(value: bytes) -> ServingConfiguration:
    """Return the configuration held by the store. Raises UnreadableValue."""
    try:
        found = _configurations.decode(value)
        routes = tuple(_route(route) for route in found.routes)
    except (msgspec.DecodeError, KeyError) as error:
        raise UnreadableValue(f"{CONFIGURATION_KEY} is malformed: {error}") from None
    tenants = found.tenants or ()
    return ServingConfiguration(
        version=found.version,
        routes=routes,
        services={ServiceId(service.name): _service(service) for service in found.services},
        limits=CallerLimits(
            max_headers=found.limits.max_header_bytes,
            max_body=found.limits.max_body_bytes,
            header_timeout=_ms(found.limits.header_timeout_ms),
            idle_timeout=_ms(found.limits.idle_timeout_ms),
        ),
        keys={key: OrganisationId(tenant.name) for tenant in tenants for key in tenant.api_keys},
        priorities={
            OrganisationId(tenant.name): tenant.priority
            for tenant in tenants
            if tenant.priority is not None
        },
        has_organisations=found.tenants is not None,
    )


def decode_upstream(key: str, value: bytes) -> UpstreamEntry:
    """Return the registration under ``servers/ID``. Raises UnreadableValue."""
    try:
        found = _servers.decode(value)
        state = UpstreamState(found.state)
    except (msgspec.DecodeError, ValueError) as error:
        raise UnreadableValue(f"{key} is malformed: {error}") from None
    host, _, port = found.address.rpartition(":")
    if not host or not port.isdigit() or not found.service:
        raise UnreadableValue(f"{key} names no address or service")
    return UpstreamEntry(
        id=UpstreamId(key.removeprefix(UPSTREAM_PREFIX)),
        service=ServiceId(found.service),
        address=found.address,
        zone=ZoneId(found.zone),
        state=state,
        slots=found.slots,
        version=found.version,
        cold_remaining=_ms(found.cold_remaining_ms),
        started_at_ms=found.born,
    )


def _route(route: _Route) -> Route:
    split = tuple((ServiceId(part.service), part.weight) for part in route.traffic_split)
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=_KINDS[route.kind],
        timeout=_ms(route.timeout_ms),
        target_latency=_ms(route.target_latency_ms),
        split=split or ((ServiceId(route.service), 1.0),),
        priority=route.priority,
        max_attempts=route.max_attempts,
        stages=tuple(
            StageSpec(ServiceId(stage.service), stage.after, round(stage.length))
            for stage in route.stages
        ),
        anonymous=route.anonymous,
        resumable=route.stream_resume,
        session_affinity=route.session_affinity,
        max_gap=_ms(route.target_gap_ms) if route.target_gap_ms else None,
    )


def _service(service: _Service) -> ServiceSpec:
    segments, engine = service.segments, service.engine
    return ServiceSpec(
        id=ServiceId(service.name),
        health_path=service.health_path,
        max_connections=service.max_connections,
        batching=None
        if segments is None
        else BatchSpec(
            slots=segments.slots,
            queue=segments.queue,
            batch=segments.batch,
            call_time=_ms(segments.call_ms),
            item_time=_ms(segments.item_ms),
            result_space=round(segments.headroom_mb * BYTES_PER_MEGABYTE),
            result_lifetime=timedelta(seconds=segments.handle_s),
        ),
        engine=None
        if engine is None
        else EngineSpec(slots=engine.slots, kv_tokens=engine.kv_capacity_tokens),
    )


def _ms(value: float) -> timedelta:
    return timedelta(milliseconds=value)
