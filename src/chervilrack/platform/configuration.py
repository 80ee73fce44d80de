"""Decoders of the operator's configuration and of upstreams' registrations in the store."""

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

_REQUEST_KINDS: Final = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAM,
}


class UnreadableValue(ChervilrackError):
    """A value in the store does not have the format that the platform's documentation describes."""


class _Stage(msgspec.Struct):
    """A stage of a route; ``length`` is the approximate size of a result in bytes."""

    service: str
    after: tuple[int, ...] = ()
    length: float = 0


class _WeightedService(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="camel"):
    """A route of requests to upstreams; either ``service`` or ``traffic_split`` is set."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0
    priority: int = 0
    service: str = ""
    traffic_split: tuple[_WeightedService, ...] = ()
    max_attempts: int = 1
    stages: tuple[_Stage, ...] = ()
    anonymous: bool = False
    session_affinity: bool = False
    stream_resume: bool = False
    target_gap_ms: float = 0


class _Batching(msgspec.Struct, rename="camel"):
    """Batching of a stage service.

    ``queue`` is the number of calls that may wait, ``headroom_mb`` the space for results, and
    ``handle_s`` the lifetime of a result.
    """

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
    segments: _Batching | None = None
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


class _Registration(msgspec.Struct, rename="camel"):
    """Registration of an upstream; unknown fields are ignored, such as ``sequence``.

    ``version`` is the version of the upstream's software, and ``born`` is its start time in
    milliseconds.
    """

    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    version: str = ""
    cold_remaining_ms: float = 0
    born: int = 0


_configuration_decoder = msgspec.json.Decoder(_Configuration)
_registration_decoder = msgspec.json.Decoder(_Registration)


def decode_configuration(value: bytes) -> ServingConfiguration:
    """Decode the value of ``op/config``. Raises UnreadableValue."""
    try:
        document = _configuration_decoder.decode(value)
        routes = tuple(_route(route) for route in document.routes)
    except (msgspec.DecodeError, KeyError) as error:
        raise UnreadableValue(f"{CONFIGURATION_KEY} is malformed: {error}") from None
    tenants = document.tenants or ()
    return ServingConfiguration(
        version=document.version,
        routes=routes,
        services={ServiceId(service.name): _service(service) for service in document.services},
        limits=CallerLimits(
            max_headers=document.limits.max_header_bytes,
            max_body=document.limits.max_body_bytes,
            header_timeout=_milliseconds(document.limits.header_timeout_ms),
            idle_timeout=_milliseconds(document.limits.idle_timeout_ms),
        ),
        keys={key: OrganisationId(tenant.name) for tenant in tenants for key in tenant.api_keys},
        priorities={
            OrganisationId(tenant.name): tenant.priority
            for tenant in tenants
            if tenant.priority is not None
        },
        has_organisations=document.tenants is not None,
    )


def decode_upstream(key: str, value: bytes) -> UpstreamEntry:
    """Decode the value of ``key``, which is ``servers/ID``. Raises UnreadableValue."""
    try:
        registration = _registration_decoder.decode(value)
        state = UpstreamState(registration.state)
    except (msgspec.DecodeError, ValueError) as error:
        raise UnreadableValue(f"{key} is malformed: {error}") from None
    host, _, port = registration.address.rpartition(":")
    if not host or not port.isdigit() or not registration.service:
        raise UnreadableValue(f"{key}: expected an address HOST:PORT and a service name")
    return UpstreamEntry(
        id=UpstreamId(key.removeprefix(UPSTREAM_PREFIX)),
        service=ServiceId(registration.service),
        address=registration.address,
        zone=ZoneId(registration.zone),
        state=state,
        slots=registration.slots,
        version=registration.version,
        cold_remaining=_milliseconds(registration.cold_remaining_ms),
        started_at_ms=registration.born,
    )


def _route(route: _Route) -> Route:
    split = tuple((ServiceId(target.service), target.weight) for target in route.traffic_split)
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=_REQUEST_KINDS[route.kind],
        timeout=_milliseconds(route.timeout_ms),
        target_latency=_milliseconds(route.target_latency_ms),
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
        max_gap=_milliseconds(route.target_gap_ms) if route.target_gap_ms else None,
    )


def _service(service: _Service) -> ServiceSpec:
    batching, engine = service.segments, service.engine
    return ServiceSpec(
        id=ServiceId(service.name),
        health_path=service.health_path,
        max_connections=service.max_connections,
        batching=None
        if batching is None
        else BatchSpec(
            slots=batching.slots,
            queue=batching.queue,
            batch=batching.batch,
            call_time=_milliseconds(batching.call_ms),
            item_time=_milliseconds(batching.item_ms),
            result_space=round(batching.headroom_mb * BYTES_PER_MEGABYTE),
            result_lifetime=timedelta(seconds=batching.handle_s),
        ),
        engine=None
        if engine is None
        else EngineSpec(slots=engine.slots, kv_tokens=engine.kv_capacity_tokens),
    )


def _milliseconds(value: float) -> timedelta:
    return timedelta(milliseconds=value)
