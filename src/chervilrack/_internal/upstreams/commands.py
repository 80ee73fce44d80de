"""Commands to upstreams (models, roles, draining) and reports from them (load, caches)."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Any, TypeVar

import msgspec
import urllib3
from result import Err, Ok, Result

from chervilrack._internal.common.decoding import UnreadableValue, decode_json
from chervilrack._internal.common.http_responses import read_limited
from chervilrack._internal.common.ids import ModelId
from chervilrack._internal.common.results import Executed
from chervilrack._internal.upstreams.connections import (
    ConnectionPools,
    NotPermittedError,
    Transmission,
)
from chervilrack._internal.upstreams.http_client import classify_failure
from chervilrack._internal.upstreams.port import CallFailure, FailureKind

T = TypeVar("T")
# Reports have a few kilobytes, a list of cache events up to some megabytes.
MAX_REPORT_BYTES = 8 * 1024 * 1024


class Role(Enum):
    """Kind of work that a model engine accepts."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


class DrainStatus(msgspec.Struct, frozen=True):
    """Whether an upstream is draining, and the number of requests that are still running."""

    draining: bool
    running: int


class CacheEvent(msgspec.Struct, frozen=True):
    """One change of an engine's prefix cache.

    A gap between the ``sequence`` numbers of two events means that events were lost.
    """

    sequence: int
    stored: bool
    prefix_hash: int
    tokens: int


class _CacheEvents(msgspec.Struct):
    events: tuple[CacheEvent, ...]


@dataclass(frozen=True, slots=True)
class Target:
    """Upstream that receives a command, and the fencing number of the sender."""

    base_url: str
    fencing_number: int


class UpstreamCommands:
    """Sends commands to upstreams and reads reports from them.

    An upstream that checks fencing numbers refuses a command whose fencing number is lower than
    one it has seen, and the command fails as REFUSED. An upstream without this check executes such
    a command. All commands are idempotent.
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
        return self._send_command(target, "load-model", {"model": model, "version": version})

    def unload_model(self, target: Target, model: ModelId) -> Result[None, CallFailure]:
        """Unload a model once its running requests have ended."""
        return self._send_command(target, "unload-model", {"model": model})

    def load_adapter(
        self, target: Target, model: ModelId, adapter: str
    ) -> Result[None, CallFailure]:
        """Start loading an adapter for a loaded model."""
        return self._send_command(target, "load-adapter", {"model": model, "adapter": adapter})

    def set_version(
        self, target: Target, model: ModelId, version: str
    ) -> Result[None, CallFailure]:
        """Make one of a model's loaded versions serve new requests."""
        return self._send_command(target, "set-version", {"model": model, "version": version})

    def set_role(self, target: Target, role: Role) -> Result[None, CallFailure]:
        """Change the kind of work that the upstream accepts."""
        return self._send_command(target, "set-role", {"role": role.value})

    def drain(self, target: Target) -> Result[None, CallFailure]:
        """Make the upstream reject new requests and finish the running ones."""
        return self._send_command(target, "drain", {})

    def resume(self, target: Target) -> Result[None, CallFailure]:
        """Make the upstream accept new requests again after ``drain``."""
        return self._send_command(target, "resume", {})

    def drain_status(self, base_url: str) -> Result[DrainStatus, CallFailure]:
        """Return whether the upstream is draining and how many requests are running."""
        return self._read_report(base_url, "/drain-status", DrainStatus)

    def load(self, base_url: str) -> Result[dict[str, float], CallFailure]:
        """Return the upstream's latest load report, which may be out of date."""
        return self._read_report(base_url, "/load", dict[str, float])

    def models(self, base_url: str) -> Result[dict[str, Any], CallFailure]:
        """Return the upstream's role and its loaded models with their versions and adapters."""
        return self._read_report(base_url, "/models", dict[str, Any])

    def cache_events(
        self, base_url: str, after: int
    ) -> Result[tuple[CacheEvent, ...], CallFailure]:
        """Return the upstream's recorded cache events with a sequence number above ``after``."""
        outcome = self._read_report(base_url, f"/cache-events?after={after}", _CacheEvents)
        return outcome.map(lambda report: report.events)

    def _send_command(
        self, target: Target, command: str, body: Mapping[str, Any]
    ) -> Result[None, CallFailure]:
        headers = {
            "Content-Type": "application/json",
            "X-Fencing-Number": str(target.fencing_number),
        }
        content = msgspec.json.encode(body)
        outcome = self._exchange(target.base_url, f"/commands/{command}", headers, content)
        return outcome.map(lambda _content: None)

    def _read_report(
        self, base_url: str, path: str, report_type: type[T]
    ) -> Result[T, CallFailure]:
        outcome = self._exchange(base_url, path, {}, None)
        if isinstance(outcome, Err):
            return outcome
        try:
            decode = msgspec.json.Decoder(report_type).decode
            return Ok(decode_json("report", outcome.ok_value, decode))
        except UnreadableValue as error:
            detail = f"bad report: {error.detail}"
            return Err(CallFailure(FailureKind.FAILED, Executed.UNKNOWN, detail))

    def _exchange(
        self, base_url: str, path: str, headers: dict[str, str], body: bytes | None
    ) -> Result[bytes, CallFailure]:
        may_send = self._may_send if body is not None else _always_permitted
        transmission = Transmission(time.monotonic() + self._timeout.total_seconds(), may_send)
        try:
            response = self._pools.send(transmission, base_url, path, headers, body)
            content = read_limited(response, MAX_REPORT_BYTES, self._timeout.total_seconds())
        except (urllib3.exceptions.HTTPError, OSError, ValueError, NotPermittedError) as error:
            return Err(classify_failure(transmission, error))
        finally:
            transmission.detach()
        if response.status == 409:
            detail = "the fencing number is not the highest"
            return Err(CallFailure(FailureKind.REFUSED, Executed.NO, detail))
        if not 200 <= response.status < 300:
            detail = f"the upstream answered with status {response.status}"
            return Err(CallFailure(FailureKind.FAILED, Executed.UNKNOWN, detail))
        return Ok(content)


def _always_permitted() -> bool:
    return True
