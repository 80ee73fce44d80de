"""Profiles: the sites that experiments emulate, as data in ``profiles/*.yaml``."""

import hashlib
from importlib import resources

import msgspec

from chervilrack._internal.common.ids import (
    LimitId,
    OrganisationId,
    PipelineId,
    ServiceId,
    TeamId,
    UpstreamId,
    ZoneId,
)
from chervilrack._internal.exceptions import UnknownVariantError
from chervilrack._internal.releases.state import (
    LimitKind,
    Limits,
    Operation,
    UpstreamKind,
    limit_id,
)

STAGE_KINDS = (
    UpstreamKind.ENCODER,
    UpstreamKind.RETRIEVER,
    UpstreamKind.RERANKER,
    UpstreamKind.ENGINE,
)


class _Data(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    pass


class Pool(_Data, frozen=True, forbid_unknown_fields=True):
    """Equal upstreams of one stage or service.

    The mean service time of work that is alone at an upstream is ``base_ms``, plus ``prompt_ms``
    per 1,000 prompt tokens and ``token_ms`` per output token, in milliseconds. Each further
    concurrent request lengthens ``base_ms`` and ``token_ms`` by the share ``slowdown``.
    """

    id: str
    team: TeamId
    kind: UpstreamKind
    count: int
    concurrency: int
    base_ms: float = 0.0
    prompt_ms: float = 0.0
    token_ms: float = 0.0
    slowdown: float = 0.05
    reports_load: bool = False

    @property
    def upstreams(self) -> tuple[UpstreamId, ...]:
        """Ids of the pool's upstreams, such as ``encode-1``."""
        return tuple(UpstreamId(f"{self.id}-{number}") for number in range(1, self.count + 1))

    def full_service_s(self, prompt_tokens: float, output_tokens: float) -> float:
        """Return the mean service time in seconds at an upstream whose limit is fully used."""
        crowd = 1.0 + self.slowdown * (self.concurrency - 1)
        prefill = self.prompt_ms * prompt_tokens / 1000
        return (prefill + crowd * (self.base_ms + self.token_ms * output_tokens)) / 1000


class TeamData(_Data, frozen=True, forbid_unknown_fields=True):
    """Team and its limits."""

    id: TeamId
    limits: Limits


class OperationData(_Data, frozen=True, forbid_unknown_fields=True):
    """Operation of a plain service."""

    service: ServiceId
    name: str
    idempotent: bool = True


class OrganisationData(_Data, frozen=True, forbid_unknown_fields=True):
    """Organisation, its share of the requests and its fair-share weight."""

    id: OrganisationId
    share: float
    weight: float = 1.0

    @property
    def key(self) -> str:
        """Key that the callers of experiments use. It is public and for stand-ins only."""
        return f"experiment-key-of-{self.id}"

    @property
    def key_sha256(self) -> str:
        """SHA-256 of the key in hexadecimal, as release notes hold it."""
        return hashlib.sha256(self.key.encode()).hexdigest()


class RequestKind(_Data, frozen=True, forbid_unknown_fields=True):
    """Kind of request: its share and the ranges of its sizes (uniform, both ends included)."""

    name: str
    share: float
    prompt_tokens: tuple[int, int] = (0, 0)
    output_tokens: tuple[int, int] = (0, 0)
    stream: bool = True
    service: ServiceId | None = None
    operation: str | None = None


class Profile(_Data, frozen=True, forbid_unknown_fields=True):
    """One site: zones, latencies (one way), upstreams, limits, organisations and requests."""

    name: str
    title: str
    zones: tuple[ZoneId, ...]
    between_zones_ms: float
    to_clients_ms: float
    nodes: int
    pipeline: PipelineId
    deadline_s: float
    cost_weight: float
    pools: tuple[Pool, ...]
    teams: tuple[TeamData, ...]
    operations: tuple[OperationData, ...]
    organisations: tuple[OrganisationData, ...]
    requests: tuple[RequestKind, ...]

    def pool(self, name: str) -> Pool:
        """Return the pool called ``name``."""
        return next(pool for pool in self.pools if pool.id == name)

    def pool_of(self, upstream: str) -> Pool:
        """Return the pool of an upstream."""
        return self.pool(upstream.rsplit("-", 1)[0])

    def zone_of(self, number: int) -> ZoneId:
        """Return the zone of the ``number``-th (from 0) node or upstream of a pool."""
        return self.zones[number % len(self.zones)]

    @property
    def stages(self) -> tuple[Pool, ...]:
        """Pools of the pipeline's stages, in their order."""
        return tuple(pool for kind in STAGE_KINDS for pool in self.pools if pool.kind is kind)

    def organisation(self, name: str) -> OrganisationData:
        """Return the organisation called ``name``."""
        return next(organisation for organisation in self.organisations if organisation.id == name)

    def is_order(self, kind: RequestKind) -> bool:
        """Return whether a kind of request calls an operation that is not idempotent."""
        return any(
            not operation.idempotent
            for operation in self.operations
            if (operation.service, operation.name) == (kind.service, kind.operation)
        )

    def service_operations(self) -> dict[ServiceId, tuple[Operation, ...]]:
        """Return the operations of each service."""
        services: dict[ServiceId, tuple[Operation, ...]] = {}
        for data in self.operations:
            operation = Operation(data.name, data.idempotent)
            services[data.service] = (*services.get(data.service, ()), operation)
        return services

    def limit_capacities(self) -> dict[LimitId, int]:
        """Return the capacity of each limit of teams and upstreams."""
        capacities = {
            limit_id("team", team.id, kind): capacity
            for team in self.teams
            for kind, capacity in team.limits.items()
        }
        for pool in self.pools:
            for upstream in pool.upstreams:
                limit = limit_id("upstream", upstream, LimitKind.CONCURRENCY)
                capacities[limit] = pool.concurrency
        return capacities

    def capacity_rps(self) -> float:
        """Return the requests/s of the nominal mix at which the first limit is fully used.

        Derived from mean sizes and service times by the utilisation law (Denning and Buzen, "The
        operational analysis of queueing network models", 1978).
        """
        return min(limit / demand for limit, demand in self._demands() if demand > 0)

    def bottleneck(self) -> str:
        """Return the pool or team whose limit is fully used first, such as ``team models``."""
        return min(
            (limit / demand, name)
            for (limit, demand), name in zip(self._demands(), self._demand_names(), strict=True)
            if demand > 0
        )[1]

    def _demand_names(self) -> list[str]:
        names = [f"pool {pool.id}" for pool in self.pools]
        return names + [
            f"team {team.id} {kind.value}" for team in self.teams for kind, _ in team.limits.items()
        ]

    def _demands(self) -> list[tuple[float, float]]:
        """Return each limit with the mean use of it by one request of the nominal mix."""
        busy = {pool.id: 0.0 for pool in self.pools}
        calls = dict.fromkeys(busy, 0.0)
        tokens = dict.fromkeys(busy, 0.0)
        total = sum(kind.share for kind in self.requests)
        for kind in self.requests:
            pools = self.stages if kind.service is None else (self.pool(kind.service),)
            share = kind.share / total
            prompt = sum(kind.prompt_tokens) / 2
            output = sum(kind.output_tokens) / 2
            for pool in pools:
                busy[pool.id] += share * pool.full_service_s(prompt, output)
                calls[pool.id] += share
                if pool.kind is UpstreamKind.ENGINE:
                    tokens[pool.id] += share * (prompt + output)
        uses = {
            LimitKind.CONCURRENCY: busy,
            LimitKind.REQUESTS_PER_S: calls,
            LimitKind.TOKENS_PER_S: tokens,
        }
        demands = [(float(pool.count * pool.concurrency), busy[pool.id]) for pool in self.pools]
        for team in self.teams:
            owned = [pool.id for pool in self.pools if pool.team == team.id]
            demands += [
                (float(capacity), sum(uses[kind][pool] for pool in owned))
                for kind, capacity in team.limits.items()
            ]
        return demands


def profile_names() -> list[str]:
    """Return the names of all profiles."""
    folder = resources.files(__package__) / "profiles"
    return sorted(
        entry.name.removesuffix(".yaml")
        for entry in folder.iterdir()
        if entry.name.endswith(".yaml")
    )


def load_profile(name: str) -> Profile:
    """Load a profile; raises UnknownVariantError that lists the known ones."""
    if name not in profile_names():
        raise UnknownVariantError("profile", name, profile_names())
    content = (resources.files(__package__) / "profiles" / f"{name}.yaml").read_bytes()
    return msgspec.yaml.decode(content, type=Profile)
