"""The platform's settings file, as settings of a serving node."""

from datetime import timedelta
from pathlib import Path
from typing import Any, Final

import msgspec
import yaml

from chervilrack._internal.common.ids import NodeId, ZoneId
from chervilrack._internal.exceptions import InvalidDocumentError
from chervilrack._internal.limits.retry_budget import RetryBudgetSettings
from chervilrack._internal.serving.settings import Address, ServingSettings

SETTINGS_VARIABLE: Final = "CHERVILRACK_NODE_FILE"
# Named under ``metrics`` in deploy/system.toml.
METRICS_PORT: Final = 9464
# Callers keep an answer for up to three times its lifetime, and a stopping node has graceS (8).
LOOKUP_LIFETIME: Final = timedelta(seconds=2)


class _Listen(msgspec.Struct):
    """Addresses as IP:PORT; ``directory`` is the endpoint look-up."""

    frontend: str
    readiness: str
    directory: str
    control: str = ""


class _Bounds(msgspec.Struct, rename="camel"):
    grace_s: float = 8.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    retry_slack: float = 50.0
    ttl_max_s: float = msgspec.field(default=5.0, name="ttl_max_s")


class _Platform(msgspec.Struct):
    address: str


class _File(msgspec.Struct, rename="camel"):
    """The fields that are used; others are ignored. ``seeds`` are control addresses."""

    node_name: str
    ip: str
    zone: str
    listen: _Listen
    internal_ports: tuple[int, int]
    platform: _Platform
    seeds: tuple[str, ...] = ()
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def load_settings(file: Path) -> ServingSettings:
    """Read the settings file. Raises OSError and InvalidDocumentError."""
    try:
        raw: Any = yaml.load(
            file.read_text(encoding="utf-8"), getattr(yaml, "CSafeLoader", yaml.SafeLoader)
        )
    except yaml.YAMLError as error:
        raise InvalidDocumentError([f"{file}: {error}"]) from None
    mistakes: list[str] = []
    found = _convert(raw, mistakes, str(file))
    if found is None:
        raise InvalidDocumentError(mistakes)
    first_port = found.internal_ports[0]
    return ServingSettings(
        node=NodeId(found.node_name),
        zone=ZoneId(found.zone),
        callers=_address(found.listen.frontend),
        readiness=_address(found.listen.readiness),
        lookup=_address(found.listen.directory),
        peer=Address(found.ip, first_port),
        seeds=tuple(
            Address(_address(seed).host, first_port)
            for seed in found.seeds
            if _address(seed).host != found.ip
        ),
        store=_address(found.platform.address),
        metrics=Address(found.ip, METRICS_PORT),
        lookup_lifetime=min(LOOKUP_LIFETIME, timedelta(seconds=found.bounds.ttl_max_s)),
        stop_grace=timedelta(seconds=found.bounds.grace_s),
        retry_budget=RetryBudgetSettings(
            ratio=found.bounds.retry_budget_ratio,
            window=timedelta(seconds=found.bounds.budget_window_s),
            slack=found.bounds.retry_slack,
        ),
    )


def _convert(raw: Any, mistakes: list[str], file: str) -> _File | None:
    """Convert field by field, so that all mistakes are reported at once."""
    if not isinstance(raw, dict):
        mistakes.append(f"{file}: expected a mapping")
        return None
    values: dict[str, Any] = {}
    for item in msgspec.structs.fields(_File):
        if item.encode_name not in raw:
            if item.required:
                mistakes.append(f"{file}: {item.encode_name}: the key is missing")
            continue
        try:
            values[item.name] = msgspec.convert(raw[item.encode_name], item.type)
        except msgspec.ValidationError as error:
            mistakes.append(f"{file}: {item.encode_name}: {error}")
    for name in ("frontend", "readiness", "directory"):
        listen = values.get("listen")
        if listen is not None and not _is_address(getattr(listen, name)):
            mistakes.append(f"{file}: listen.{name}: expected IP:PORT")
    if "platform" in values and not _is_address(values["platform"].address):
        mistakes.append(f"{file}: platform.address: expected IP:PORT")
    return None if mistakes else _File(**values)


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit()


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
