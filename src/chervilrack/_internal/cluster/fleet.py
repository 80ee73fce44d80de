"""Emulated upstreams of a profile."""

from collections.abc import Callable, Iterable, Mapping
from contextlib import ExitStack
from types import TracebackType
from typing import Any, Self

from chervilrack._internal.common.ids import UpstreamId
from chervilrack._internal.experiments.profile import Pool, Profile
from chervilrack._internal.releases.state import Limits, UpstreamKind
from chervilrack._internal.standins.upstreams.engine import EngineTiming, ModelEngine
from chervilrack._internal.standins.upstreams.server import StandinServer
from chervilrack._internal.standins.upstreams.simple import (
    Encoder,
    PlainService,
    Reranker,
    Retriever,
)
from chervilrack._internal.standins.upstreams.upstream import EmulatedUpstream

MODEL = "m1"
# Slots in an engine's batch above its concurrency limit; a team sets the limit below the capacity.
SPARE_SLOTS = 2


class UpstreamFleet:
    """Emulated upstreams of a profile on one server; a context manager.

    ``names`` selects some of the upstreams, so that several processes can share the work.
    ``report_lag_s`` is the age of the upstreams' load reports and cache events.
    """

    def __init__(
        self,
        profile: Profile,
        names: Iterable[UpstreamId] | None = None,
        report_lag_s: float = 0.0,
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        self._listen_address = (host, port)
        self._profile = profile
        self._report_lag_s = report_lag_s
        all_names = [name for pool in profile.pools for name in pool.upstreams]
        self._names = list(names) if names is not None else all_names
        self._stack = ExitStack()
        self._upstreams: dict[UpstreamId, EmulatedUpstream] = {}

    @property
    def upstreams(self) -> Mapping[UpstreamId, EmulatedUpstream]:
        """Running upstreams by id."""
        return self._upstreams

    @property
    def addresses(self) -> dict[UpstreamId, str]:
        """URLs of the running upstreams."""
        return {name: upstream.address for name, upstream in self._upstreams.items()}

    def __enter__(self) -> Self:
        with ExitStack() as stack:
            server = stack.enter_context(StandinServer(*self._listen_address))
            for name in self._names:
                upstream = _create_upstream(self._profile, name, server, self._report_lag_s)
                self._upstreams[name] = stack.enter_context(upstream)
            self._stack = stack.pop_all()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stack.close()


def _create_upstream(
    profile: Profile, name: UpstreamId, server: StandinServer, report_lag_s: float
) -> EmulatedUpstream:
    pool = profile.pool_of(name)
    options: dict[str, Any] = {
        "server": server,
        "limits": Limits(concurrency=pool.concurrency),
        "load_lag": report_lag_s,
    }
    if pool.kind is UpstreamKind.ENGINE:
        options["event_lag"] = report_lag_s
    return _FACTORIES[pool.kind](profile, pool, name, options)


def _create_engine(
    profile: Profile, pool: Pool, name: UpstreamId, options: dict[str, Any]
) -> EmulatedUpstream:
    timing = EngineTiming(
        prefill_token=pool.prompt_ms / 1000 / 1000,
        decode_token=pool.token_ms / 1000,
        batch_slope=pool.slowdown,
    )
    slots = pool.concurrency + SPARE_SLOTS
    return ModelEngine(name, models=(MODEL,), slots=slots, timing=timing, **options)


def _create_service(
    profile: Profile, pool: Pool, name: UpstreamId, options: dict[str, Any]
) -> EmulatedUpstream:
    operations = {
        operation.name: operation.idempotent
        for operation in profile.operations
        if operation.service == pool.id
    }
    timing = {"service_time": pool.base_ms / 1000, "slowdown": pool.slowdown}
    return PlainService(name, operations, **timing, **options)


def _stage_factory(upstream_type: Any) -> Callable[..., EmulatedUpstream]:
    def create(
        profile: Profile, pool: Pool, name: UpstreamId, options: dict[str, Any]
    ) -> EmulatedUpstream:
        upstream: EmulatedUpstream = upstream_type(
            name, service_time=pool.base_ms / 1000, slowdown=pool.slowdown, **options
        )
        return upstream

    return create


_FACTORIES: Mapping[UpstreamKind, Callable[..., EmulatedUpstream]] = {
    UpstreamKind.ENGINE: _create_engine,
    UpstreamKind.SERVICE: _create_service,
    UpstreamKind.ENCODER: _stage_factory(Encoder),
    UpstreamKind.RETRIEVER: _stage_factory(Retriever),
    UpstreamKind.RERANKER: _stage_factory(Reranker),
}
