"""Decoders of the operator's configuration and of upstreams' registrations in the store."""

import re
from datetime import timedelta
from typing import Annotated, Final

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
    WarmUpSpec,
)
from chervilrack._internal.common.addresses import parse_address
from chervilrack._internal.common.decoding import UnreadableValue, decode_json
from chervilrack._internal.common.ids import (
    OrganisationId,
    RegionId,
    ServiceId,
    UpstreamId,
    ZoneId,
)

CONFIGURATION_KEY: Final = "op/config"
UPSTREAM_PREFIX: Final = "servers/"
EVACUATION_PREFIX: Final = "op/evacuate/"
BYTES_PER_MEGABYTE: Final = 1_000_000

_REQUEST_KINDS: Final = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAM,
}


# Longest time in a value. Waits in milliseconds stay within 32 bits.
MAX_TIME: Final = timedelta(days=7)
MAX_TEXT_LENGTH: Final = 200
MAX_UPSTREAM_SLOTS: Final = 1_000_000
MAX_STAGES: Final = 256

_MAX_TIME_S: Final = MAX_TIME.total_seconds()
# Larger integers are not exact in every program that reads them.
_MAX_EXACT: Final = 2**53 - 1
_UPSTREAM_ID: Final = re.compile(r"[!-~]{1,200}")
_ZONE: Final = re.compile(r"[!-.0-~]{1,200}")

_Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=_MAX_TIME_S * 1000)]
_Seconds = Annotated[float, msgspec.Meta(ge=0, le=_MAX_TIME_S)]
_Amount = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_EXACT)]
_PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=_MAX_EXACT)]
_Priority = Annotated[int, msgspec.Meta(ge=-(2**31), le=2**31 - 1)]
_Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_LENGTH)]
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_TEXT_LENGTH)]


class _Stage(msgspec.Struct):
    """A stage of a route; ``length`` is the approximate size of a result in bytes."""

    service: str
    after: Annotated[tuple[int, ...], msgspec.Meta(max_length=MAX_STAGES)] = ()
    length: _Amount = 0


class _WeightedService(msgspec.Struct):
    service: str
    weight: _Amount


class _Route(msgspec.Struct, rename="camel"):
    """A route of requests to upstreams; either ``service`` or ``traffic_split`` is set."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: _Milliseconds
    target_latency_ms: _Milliseconds = 0
    priority: _Priority = 0
    service: str = ""
    traffic_split: tuple[_WeightedService, ...] = ()
    max_attempts: _Count = 1
    stages: Annotated[tuple[_Stage, ...], msgspec.Meta(max_length=MAX_STAGES)] = ()
    anonymous: bool = False
    session_affinity: bool = False
    stream_resume: bool = False
    target_gap_ms: _Milliseconds = 0
    allowed_regions: tuple[_Name, ...] | None = None


class _Batching(msgspec.Struct, rename="camel"):
    """Batching of a stage service.

    ``queue`` is the number of calls that may wait, ``headroom_mb`` the space for results, and
    ``handle_s`` the lifetime of a result.
    """

    slots: _PositiveCount
    queue: _Count
    batch: _PositiveCount
    call_ms: _Milliseconds
    item_ms: _Milliseconds
    headroom_mb: _Amount
    handle_s: _Seconds


class _Engine(msgspec.Struct, rename="camel"):
    slots: _PositiveCount
    kv_capacity_tokens: _Count


class _Service(msgspec.Struct, rename="camel"):
    """A service; while cold, for ``cold_start_s``, its upstreams bear ``cold_per_s`` requests/s."""

    name: str
    health_path: str = "/health"
    max_connections: _Count = 0
    segments: _Batching | None = None
    engine: _Engine | None = None
    cold_start_s: _Seconds = 0
    cold_per_s: _Amount = 0


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: _Count = 16_384
    max_body_bytes: _Count = 4_194_304
    header_timeout_ms: _Milliseconds = 3_000
    idle_timeout_ms: _Milliseconds = 15_000


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: _Priority | None = None
    allowed_regions: tuple[_Name, ...] | None = None


class _Configuration(msgspec.Struct):
    version: _Count
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...] = ()
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: tuple[_Tenant, ...] | None = None


class _Registration(msgspec.Struct, rename="camel"):
    """Registration of an upstream; unknown fields are ignored.

    ``version`` is the version of the upstream's software, and ``born`` is its start time in
    milliseconds. ``sequence`` is not used, but an entry without it is not one of an upstream.
    """

    service: _Name
    address: str
    zone: _Text
    state: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_UPSTREAM_SLOTS)]
    version: _Text
    cold_remaining_ms: _Milliseconds
    sequence: int
    born: _Count = 0


_configuration_decoder = msgspec.json.Decoder(_Configuration)
_registration_decoder = msgspec.json.Decoder(_Registration)


def decode_configuration(value: bytes) -> ServingConfiguration:
    """Decode the value of ``op/config``. Raises UnreadableValue.

    A configuration is read as a whole or not at all. Times are from 0 to MAX_TIME and all other
    numbers finite and not negative, apart from priorities. Batches, and the slots of services,
    have at least 1. The weights of a traffic split have a positive sum. A route has up to
    MAX_STAGES stages, of which none follows itself.
    """
    return decode_json(CONFIGURATION_KEY, value, _configuration)


def decode_upstream(key: str, value: bytes) -> UpstreamEntry:
    """Decode the value of ``key``, which is ``servers/ID``. Raises UnreadableValue.

    An ID has up to 200 visible ASCII characters. The address is one that ``parse_address``
    accepts. ``slots`` is from 1 to MAX_UPSTREAM_SLOTS, ``born`` from 0 to 2**53 - 1 and
    ``coldRemainingMs`` from 0 to MAX_TIME. Service, zone and version have up to MAX_TEXT_LENGTH
    characters; the service has at least one. Only ``born`` may be missing.
    """
    return decode_json(key, value, lambda content: _upstream(key, content))


def decode_evacuation(key: str) -> ZoneId:
    """Return the zone that ``key``, which is ``op/evacuate/ZONE``, names. Raises UnreadableValue.

    A zone has up to 200 visible ASCII characters without slashes. The request is the key itself,
    whatever its value is.
    """
    zone = key.removeprefix(EVACUATION_PREFIX)
    if not _ZONE.fullmatch(zone):
        raise UnreadableValue(key, "expected a zone of up to 200 visible ASCII characters")
    return ZoneId(zone)


def _configuration(value: bytes) -> ServingConfiguration:
    document = _configuration_decoder.decode(value)
    tenants = document.tenants or ()
    return ServingConfiguration(
        version=document.version,
        routes=tuple(_route(route) for route in document.routes),
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
        homes={
            OrganisationId(tenant.name): homes
            for tenant in tenants
            if (homes := _homes(tenant.allowed_regions)) is not None
        },
    )


def _upstream(key: str, value: bytes) -> UpstreamEntry:
    registration = _registration_decoder.decode(value)
    upstream = key.removeprefix(UPSTREAM_PREFIX)
    if not _UPSTREAM_ID.fullmatch(upstream):
        raise ValueError("expected an ID of up to 200 visible ASCII characters")
    parse_address(registration.address)
    return UpstreamEntry(
        id=UpstreamId(upstream),
        service=ServiceId(registration.service),
        address=registration.address,
        zone=ZoneId(registration.zone),
        state=UpstreamState(registration.state),
        slots=registration.slots,
        version=registration.version,
        cold_remaining=_milliseconds(registration.cold_remaining_ms),
        started_at_ms=registration.born,
    )


def _route(route: _Route) -> Route:
    split = tuple((ServiceId(target.service), target.weight) for target in route.traffic_split)
    if split and not any(weight > 0 for _, weight in split):
        raise ValueError(f"route {route.name}: the weights of trafficSplit are all zero")
    kind = _REQUEST_KINDS.get(route.kind)
    if kind is None:
        raise ValueError(f"route {route.name}: unknown kind '{route.kind}'")
    _check_stages(route)
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=kind,
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
        homes=_homes(route.allowed_regions),
    )


def _homes(regions: tuple[str, ...] | None) -> frozenset[RegionId] | None:
    return frozenset(RegionId(region) for region in regions) if regions else None


def _check_stages(route: _Route) -> None:
    """Raise ValueError if a stage follows itself, or a stage that does not exist."""
    waiting = dict(enumerate(stage.after for stage in route.stages))
    if any(not 0 <= index < len(waiting) for after in waiting.values() for index in after):
        raise ValueError(f"route {route.name}: a stage follows one that does not exist")
    while waiting:
        ready = [stage for stage, after in waiting.items() if waiting.keys().isdisjoint(after)]
        if not ready:
            raise ValueError(f"route {route.name}: a stage follows itself")
        for stage in ready:
            del waiting[stage]


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
        warm_up=WarmUpSpec(timedelta(seconds=service.cold_start_s), service.cold_per_s)
        if service.cold_start_s and service.cold_per_s
        else None,
    )


def _milliseconds(value: float) -> timedelta:
    return timedelta(milliseconds=value)
