"""Types of the agreed configuration, whose items release notes add, change and withdraw."""

from collections.abc import Iterator, Mapping
from datetime import datetime, timedelta
from enum import Enum

import msgspec

from chervilrack._internal.common.ids import (
    LimitId,
    ModelId,
    NoteId,
    OrganisationId,
    PipelineId,
    ReleaseRevision,
    ServiceId,
    StageId,
    TeamId,
    UpstreamId,
    ZoneId,
)
from chervilrack._internal.common.units import ByteSize


class UpstreamKind(Enum):
    """Kind of an upstream. SERVICE is a plain service; upstreams of the other kinds run models."""

    ENGINE = "engine"
    ENCODER = "encoder"
    RETRIEVER = "retriever"
    RERANKER = "reranker"
    SERVICE = "service"


class LimitKind(Enum):
    """Kind of a limit. Rates are counted over a sliding window of one second."""

    CONCURRENCY = "concurrency"
    REQUESTS_PER_S = "requests_per_s"
    TOKENS_PER_S = "tokens_per_s"


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of an upstream or team; None means that there is no limit of the kind."""

    concurrency: int | None = None
    requests_per_s: int | None = None
    tokens_per_s: int | None = None

    def items(self) -> Iterator[tuple[LimitKind, int]]:
        """Yield the kind and value of each limit that is set."""
        for kind in LimitKind:
            value: int | None = getattr(self, kind.value)
            if value is not None:
                yield kind, value


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Team that owns upstreams. The team's limits apply to the sum over all its upstreams."""

    id: TeamId
    limits: Limits = Limits()


class Upstream(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One upstream. Plain services have ``service`` set, the other kinds ``models``."""

    id: UpstreamId
    team: TeamId
    kind: UpstreamKind
    url: str
    zone: ZoneId
    limits: Limits = Limits()
    models: tuple[ModelId, ...] = ()
    adapters: tuple[str, ...] = ()
    service: ServiceId | None = None
    protocol: str = "json"
    checks_fencing: bool = False
    reports_load: bool = False


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One version of a model that engines can load; ``size`` is in bytes."""

    id: ModelId
    version: str = "1"
    size: ByteSize = 0


class Stage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One stage of a pipeline. Only idempotent stages are retried or hedged."""

    id: StageId
    kind: UpstreamKind
    model: ModelId | None = None
    adapter: str | None = None
    idempotent: bool = True
    max_tokens: int = 0


class Pipeline(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Stages that run one after another under a common deadline."""

    id: PipelineId
    stages: tuple[Stage, ...]
    deadline: timedelta = timedelta(seconds=6)


class Operation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Operation of a plain service. An operation that is not idempotent runs as an order."""

    name: str
    idempotent: bool = True


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Plain service and its operations."""

    id: ServiceId
    operations: tuple[Operation, ...]
    deadline: timedelta = timedelta(seconds=6)


class OrganisationKey(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """SHA-256 of an organisation's key in hexadecimal, and the time at which the key expires."""

    sha256: str
    expires: datetime | None = None


class Organisation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Organisation with its keys, fair-share weight and priority class."""

    id: OrganisationId
    keys: tuple[OrganisationKey, ...]
    weight: float = 1.0
    priority_class: str = "standard"


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Agreed configuration at one revision; revision 0 is empty.

    The mappings are never modified in place. Applying a note creates new mappings.
    """

    revision: ReleaseRevision = ReleaseRevision(0)
    note_id: NoteId | None = None
    teams: Mapping[TeamId, Team] = {}
    upstreams: Mapping[UpstreamId, Upstream] = {}
    models: Mapping[ModelId, Model] = {}
    pipelines: Mapping[PipelineId, Pipeline] = {}
    services: Mapping[ServiceId, Service] = {}
    organisations: Mapping[OrganisationId, Organisation] = {}

    def limit_capacities(self) -> dict[LimitId, int]:
        """Return the capacity of every permit pool, by the id of its limit."""
        return {
            limit_id(scope, name, kind): capacity
            for scope, name, limits in self._limits_by_scope()
            for kind, capacity in limits.items()
        }

    def _limits_by_scope(self) -> Iterator[tuple[str, str, Limits]]:
        for team in self.teams.values():
            yield "team", team.id, team.limits
        for upstream in self.upstreams.values():
            yield "upstream", upstream.id, upstream.limits


def limit_id(scope: str, name: str, kind: LimitKind) -> LimitId:
    """Return the id of a limit and its permit pool, such as ``team/forge/concurrency``."""
    return LimitId(f"{scope}/{name}/{kind.value}")


def limit_kind(limit: LimitId) -> LimitKind:
    """Return the kind of the limit with the given id."""
    return LimitKind(limit.rsplit("/", 1)[1])
