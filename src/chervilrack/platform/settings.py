"""Reader of the platform's settings file for a serving node."""

from collections.abc import Mapping
from datetime import timedelta
from pathlib import Path
from typing import Annotated, Any, Final

import msgspec
import yaml

from chervilrack._internal.balancing.cold import ColdLimits
from chervilrack._internal.balancing.core import DEFAULT_POLICY, balancing_policies
from chervilrack._internal.changefeed.limits import ApplyLimits
from chervilrack._internal.common.addresses import is_address, parse_address
from chervilrack._internal.common.decoding import UnreadableValue, decode_value
from chervilrack._internal.common.ids import NodeId, RegionId, ZoneId
from chervilrack._internal.exceptions import InvalidDocumentError, UnreadableDocumentError
from chervilrack._internal.fleet.lookup import LookupBounds
from chervilrack._internal.limits.retry_budget import RetryBudgetSettings
from chervilrack._internal.serving.settings import Address, ServingSettings

SETTINGS_VARIABLE: Final = "CHERVILRACK_NODE_FILE"
# The ``metrics`` entry of deploy/system.toml names the same port.
METRICS_PORT: Final = 9464
# Callers may use a look-up response for up to three times its lifetime. A stopping node has to
# serve them meanwhile, and its stop may take 8 s (the default of ``graceS``).
LOOKUP_LIFETIME: Final = timedelta(seconds=2)
# Look-up answers may name a VM that has stopped for ``contactMs`` and this time.
LOOKUP_GRACE: Final = timedelta(seconds=3)
MAX_NAME_LENGTH: Final = 200

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
_Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
# Up to a week.
_Seconds = Annotated[float, msgspec.Meta(ge=0, le=604_800)]
# From a tenth of a second, below which the calls to the store would be too many, to a minute.
_BoundMs = Annotated[float, msgspec.Meta(ge=100, le=60_000)]
_Amount = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class _Listen(msgspec.Struct):
    """Addresses to listen on, as IP:PORT; ``directory`` is that of the endpoint look-up."""

    frontend: str
    readiness: str
    directory: str
    control: str = ""


class _Bounds(msgspec.Struct, rename="camel"):
    grace_s: _Seconds = 8.0
    retry_budget_ratio: _Amount = 0.2
    budget_window_s: _Seconds = 10.0
    retry_slack: _Amount = 50.0
    config_apply_ms: _BoundMs = 2000.0
    drain_ms: _BoundMs = 2000.0
    contact_ms: _BoundMs | None = None
    evacuate_ms: _BoundMs | None = None
    cold_overage: _Amount | None = None
    cold_slack: _Amount | None = None
    ttl_max_s: _Seconds = msgspec.field(default=5.0, name="ttl_max_s")


class _Platform(msgspec.Struct):
    address: str


class _Limits(msgspec.Struct, rename="camel"):
    """Resources of the VM: a share of a core that is ``cores`` times as fast as a usual one.

    A process with more memory than ``memory_mb`` is killed.
    """

    cpu_share: _Amount = 1.0
    cores: _Amount = 1.0
    memory_mb: _Amount = 300.0


class _Balancing(msgspec.Struct):
    """Choice of upstreams; ``policy`` is a registered balancing policy."""

    policy: str = DEFAULT_POLICY


class _SettingsFile(msgspec.Struct, rename="camel"):
    """The settings file; unknown fields are ignored. ``seeds`` are control addresses of nodes."""

    node_name: _Name
    ip: str
    zone: _Name
    listen: _Listen
    internal_ports: tuple[_Port, _Port]
    platform: _Platform
    seeds: tuple[str, ...] = ()
    region: str | None = None
    zones: dict[str, str] | None = None
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    balancing: _Balancing = msgspec.field(default_factory=_Balancing)


def load_settings(file: Path) -> ServingSettings:
    """Read the settings file. Raises OSError, InvalidDocumentError and UnreadableDocumentError.

    Times are from 0 s to a week, those for changes of the store from 0.1 s to a minute, shares and
    numbers of cores from 0 to 1e9, names from 1 to MAX_NAME_LENGTH characters long. ``zones`` holds
    the region of each zone, and ``region`` that of the VM's own; where both name it, they agree.
    """
    try:
        raw = decode_value(str(file), file.read_bytes(), _load_yaml)
    except UnreadableValue as error:
        raise UnreadableDocumentError([f"{file}: {error.detail}"]) from None
    mistakes: list[str] = []
    content = _convert(raw, mistakes, str(file))
    if content is None:
        raise InvalidDocumentError(mistakes)
    first_port = content.internal_ports[0]
    return ServingSettings(
        node=NodeId(content.node_name),
        zone=ZoneId(content.zone),
        callers=_parse_address(content.listen.frontend),
        readiness=_parse_address(content.listen.readiness),
        lookup=_parse_address(content.listen.directory),
        peer=Address(content.ip, first_port),
        seeds=tuple(
            Address(_parse_address(seed).host, first_port)
            for seed in content.seeds
            if _parse_address(seed).host != content.ip
        ),
        store=_parse_address(content.platform.address),
        metrics=Address(content.ip, METRICS_PORT),
        lookup_bounds=_lookup_bounds(content.bounds),
        lookup_lifetime=min(LOOKUP_LIFETIME, timedelta(seconds=content.bounds.ttl_max_s)),
        stop_grace=timedelta(seconds=content.bounds.grace_s),
        retry_budget=RetryBudgetSettings(
            ratio=content.bounds.retry_budget_ratio,
            window=timedelta(seconds=content.bounds.budget_window_s),
            slack=content.bounds.retry_slack,
        ),
        balancing_policy=content.balancing.policy,
        cpu_cores=content.limits.cpu_share * content.limits.cores,
        memory_bytes=round(content.limits.memory_mb * 1e6),
        apply_limits=_apply_limits(content.bounds),
        cold_limits=_cold_limits(content.bounds),
        regions=_regions(content),
    )


def _regions(content: _SettingsFile) -> dict[ZoneId, RegionId]:
    regions = {ZoneId(z): RegionId(region) for z, region in (content.zones or {}).items()}
    if content.region:
        regions[ZoneId(content.zone)] = RegionId(content.region)
    return regions


def _lookup_bounds(bounds: _Bounds) -> LookupBounds | None:
    if bounds.contact_ms is None:
        return None
    contact = timedelta(milliseconds=bounds.contact_ms)
    return LookupBounds(after_loss=contact + LOOKUP_GRACE, after_pause=contact)


def _apply_limits(bounds: _Bounds) -> ApplyLimits:
    """Return the limits for the shortest bound on the effect of a change of the store."""
    shortest = min(bounds.config_apply_ms, bounds.drain_ms)
    if bounds.evacuate_ms is not None:
        shortest = min(shortest, bounds.evacuate_ms)
    return ApplyLimits(timedelta(milliseconds=shortest))


def _cold_limits(bounds: _Bounds) -> ColdLimits | None:
    """Return the bound on requests to cold upstreams, None if the platform sets none."""
    if bounds.cold_overage is None and bounds.cold_slack is None:
        return None
    overage = 1.0 if bounds.cold_overage is None else bounds.cold_overage
    return ColdLimits(overage, bounds.cold_slack or 0.0)


def _load_yaml(content: bytes) -> Any:
    return yaml.load(content.decode(), getattr(yaml, "CSafeLoader", yaml.SafeLoader))


def _convert(raw: Any, mistakes: list[str], file: str) -> _SettingsFile | None:
    """Return the validated settings, or None after adding to ``mistakes``.

    The fields are converted one by one, so that all mistakes are reported at once.
    """
    if not isinstance(raw, dict):
        mistakes.append(f"{file}: expected a mapping")
        return None
    values: dict[str, Any] = {}
    for field in msgspec.structs.fields(_SettingsFile):
        if field.encode_name not in raw:
            if field.required:
                mistakes.append(f"{file}: {field.encode_name}: required key is missing")
            continue
        try:
            values[field.name] = msgspec.convert(raw[field.encode_name], field.type)
        except msgspec.ValidationError as error:
            mistakes.append(f"{file}: {field.encode_name}: {error}")
    _check(values, mistakes, file)
    return None if mistakes else _SettingsFile(**values)


def _check(values: Mapping[str, Any], mistakes: list[str], file: str) -> None:
    """Add to ``mistakes`` what is wrong with the values of fields that could be converted."""
    for listener in ("frontend", "readiness", "directory"):
        listen = values.get("listen")
        if listen is not None and not is_address(getattr(listen, listener), is_listener=True):
            mistakes.append(f"{file}: listen.{listener}: expected IP:PORT")
    for seed in values.get("seeds", ()):
        if not is_address(seed):
            mistakes.append(f"{file}: seeds: expected IP:PORT, not '{seed[:MAX_NAME_LENGTH]}'")
    policy = values["balancing"].policy if "balancing" in values else DEFAULT_POLICY
    if policy not in balancing_policies.names:
        names = ", ".join(balancing_policies.names)
        found = policy[:MAX_NAME_LENGTH]
        mistakes.append(f"{file}: balancing.policy: expected one of {names}, not '{found}'")
    if "platform" in values and not is_address(values["platform"].address):
        mistakes.append(f"{file}: platform.address: expected IP:PORT")
    if "ip" in values and not is_address(f"{values['ip']}:1"):
        mistakes.append(f"{file}: ip: expected an IP address")
    region, zones = values.get("region"), values.get("zones") or {}
    if region and zones.get(values.get("zone"), region) != region:
        mistakes.append(f"{file}: zones: the VM's own zone is in another region than '{region}'")


def _parse_address(text: str) -> Address:
    host, port = parse_address(text, is_listener=True)
    return Address(host, port)
