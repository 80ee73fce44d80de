"""Commands to upstreams and their reports: models, roles, draining, load and cache events."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Any, TypeVar

import msgspec
import urllib3
from result import Err, Ok, Result

from chervilrack._internal.common.ids import ModelId
from chervilrack._internal.common.results import Executed
from chervilrack._internal.upstreams.connections import (
    ConnectionPools,
    NotPermittedError,
    Transmission,
)
from chervilrack._internal.upstreams.http_client import failure_of
from chervilrack._internal.upstreams.port import CallFailure, FailureKind

T = TypeVar("T")


class Role(Enum):
    """Work that an engine takes."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


class DrainStatus(msgspec.Struct, frozen=True):
    """Whether an upstream takes new work, and how much is still running."""

    draining: bool
    running: int


class CacheEvent(msgspec.Struct, frozen=True):
    """One change of an engine's prefix cache; gaps in ``sequence`` are lost events."""

    sequence: int
    stored: bool
    prefix_hash: int
    tokens: int


class _CacheEvents(msgspec.Struct):
    events: tuple[CacheEvent, ...]


@dataclass(frozen=True, slots=True)
class Target:
    """Upstream that a command is sent to, and the sender's right to do so."""

    base_url: str
    fencing_number: int


class UpstreamCommands:
    """Sends commands to upstreams and reads their reports.

    A command with a fencing number below one that the upstream has seen fails as REFUSED, if the
    upstream checks fencing numbers; others carry it out. All commands can be repeated.
    """

    def __init__(
        self,
        pools: ConnectionPools,
        may_send: Callable[[], bool] = lambda: True,
        timeout: timedelta = timedelta(seconds=2),
    ) -> None:
        self._pools = pools
        self._may_send = may_send
        self._timeout = timeout

    def load_model(self, target: Target, model: ModelId, version: str) -> Result[None, CallFailure]:
        """Start loading one version of a model from the weight store."""
        return self._command(target, "load-model", {"model": model, "version": version})

    def unload_model(self, target: Target, model: ModelId) -> Result[None, CallFailure]:
        """Remove a model; work in progress on it ends first."""
        return self._command(target, "unload-model", {"model": model})

    def load_adapter(
        self, target: Target, model: ModelId, adapter: str
    ) -> Result[None, CallFailure]:
        """Start loading an adapter of a loaded model."""
        return self._command(target, "load-adapter", {"model": model, "adapter": adapter})

    def set_version(
        self, target: Target, model: ModelId, version: str
    ) -> Result[None, CallFailure]:
        """Serve new requests of a model with one of its loaded versions."""
        return self._command(target, "set-version", {"model": model, "version": version})

    def set_role(self, target: Target, role: Role) -> Result[None, CallFailure]:
        """Change the kind of work that the upstream takes."""
        return self._command(target, "set-role", {"role": role.value})

    def drain(self, target: Target) -> Result[None, CallFailure]:
        """Stop taking new work and finish what is running."""
        return self._command(target, "drain", {})

    def resume(self, target: Target) -> Result[None, CallFailure]:
        """Take new work again after ``drain``."""
        return self._command(target, "resume", {})

    def drain_status(self, base_url: str) -> Result[DrainStatus, CallFailure]:
        """Return whether the upstream is draining and how many requests are running."""
        return self._get(base_url, "/drain-status", DrainStatus)

    def load(self, base_url: str) -> Result[dict[str, float], CallFailure]:
        """Return the upstream's latest load report, which lags behind its load."""
        return self._get(base_url, "/load", dict[str, float])

    def models(self, base_url: str) -> Result[dict[str, Any], CallFailure]:
        """Return the loaded models with their versions, adapters and the role."""
        return self._get(base_url, "/models", dict[str, Any])

    def cache_events(
        self, base_url: str, after: int
    ) -> Result[tuple[CacheEvent, ...], CallFailure]:
        """Return the known prefix cache events with a sequence number above ``after``."""
        outcome = self._get(base_url, f"/cache-events?after={after}", _CacheEvents)
        return outcome.map(lambda report: report.events)

    def _command(
        self, target: Target, command: str, body: Mapping[str, Any]
    ) -> Result[None, CallFailure]:
        headers = {
            "Content-Type": "application/json",
            "X-Fencing-Number": str(target.fencing_number),
        }
        content = msgspec.json.encode(body)
        outcome = self._exchange(target.base_url, f"/commands/{command}", headers, content)
        return outcome.map(lambda _content: None)

    def _get(self, base_url: str, path: str, kind: type[T]) -> Result[T, CallFailure]:
        outcome = self._exchange(base_url, path, {}, None)
        if isinstance(outcome, Err):
            return outcome
        try:
            return Ok(msgspec.json.decode(outcome.ok_value, type=kind))
        except (msgspec.DecodeError, UnicodeError) as error:
            return Err(CallFailure(FailureKind.FAILED, Executed.UNKNOWN, f"bad report: {error}"))

    def _exchange(
        self, base_url: str, path: str, headers: dict[str, str], body: bytes | None
    ) -> Result[bytes, CallFailure]:
        may_send = self._may_send if body is not None else _always
        transmission = Transmission(time.monotonic() + self._timeout.total_seconds(), may_send)
        try:
            response = self._pools.send(transmission, base_url, path, headers, body)
            content = response.read()
        except (urllib3.exceptions.HTTPError, OSError, ValueError, NotPermittedError) as error:
            return Err(failure_of(transmission, error))
        finally:
            transmission.detach()
        if response.status == 409:
            detail = "the fencing number is not the highest"
            return Err(CallFailure(FailureKind.REFUSED, Executed.NO, detail))
        if not 200 <= response.status < 300:
            detail = f"the upstream answered with status {response.status}"
            return Err(CallFailure(FailureKind.FAILED, Executed.UNKNOWN, detail))
        return Ok(content)


def _always() -> bool:
    return True
