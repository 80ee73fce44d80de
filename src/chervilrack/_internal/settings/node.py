"""Typed settings of a node, read from YAML."""

import os
import re
from collections.abc import Collection, Iterator, Mapping
from datetime import timedelta
from ipaddress import ip_address
from typing import Annotated, Literal
from urllib.parse import urlsplit

import msgspec

from chervilrack._internal.common.documents import Document, Mistake, Path, read_document
from chervilrack._internal.common.ids import NodeId, ZoneId
from chervilrack._internal.common.units import ByteSize
from chervilrack._internal.kvstore.registry import PlatformSettings, platform_adapters
from chervilrack._internal.observability.logs import LogFormat

_ZERO = timedelta(0)
_SHA256 = re.compile(r"[0-9a-f]{64}")

Count = Annotated[int, msgspec.Meta(ge=1)]


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    pass


class HttpSection(_Section, frozen=True, forbid_unknown_fields=True):
    """HTTP interface for callers and operators. An address is an IP address with a port."""

    listen: str
    advertised: str
    tls_certificate: str | None = None
    tls_key: str | None = None


class PeerSection(_Section, frozen=True, forbid_unknown_fields=True):
    """Transport between nodes. CURVE keys are files in the format of ``zmq.auth``."""

    listen: str
    advertised: str
    seeds: tuple[str, ...] = ()
    curve_secret_key: str | None = None
    curve_public_keys: str | None = None


class PlatformSection(_Section, frozen=True, forbid_unknown_fields=True):
    """Connection to the platform service.

    ``password_file`` and ``token_file`` name files, so that settings contain no secrets.
    """

    adapter: str = "etcd"
    endpoints: tuple[str, ...] = ()
    username: str | None = None
    password_file: str | None = None
    token_file: str | None = None
    verify_tls: bool = True
    ca_file: str | None = None
    connect_timeout: timedelta = timedelta(milliseconds=500)
    request_timeout: timedelta = timedelta(seconds=2)
    watch_silence: timedelta = timedelta(seconds=5)
    watch_reconnect: timedelta = timedelta(seconds=2)


class OperatorSection(_Section, frozen=True, forbid_unknown_fields=True):
    """SHA-256 hashes of the keys that operators may use, in hexadecimal."""

    key_hashes: tuple[str, ...] = ()


class LimitsSection(_Section, frozen=True, forbid_unknown_fields=True):
    """Limits on request size, the number of connections and their idle time."""

    body: ByteSize = 1_048_576
    headers: ByteSize = 16_384
    connections: Count = 1_000
    idle_time: timedelta = timedelta(seconds=10)


class MembershipSection(_Section, frozen=True, forbid_unknown_fields=True):
    """Timings of membership. All nodes of a system need the same values."""

    heartbeat: timedelta = timedelta(milliseconds=500)
    heartbeat_large: timedelta = timedelta(seconds=1)
    confirmation_ttl: timedelta = timedelta(seconds=2)
    suspicion_timeout: timedelta = timedelta(seconds=3)
    rank_delay: timedelta = timedelta(milliseconds=500)
    lookup_lifetime: timedelta = timedelta(seconds=5)


class LogSection(_Section, frozen=True, forbid_unknown_fields=True):
    """Format and lowest level of log lines."""

    format: LogFormat = LogFormat.TEXT
    level: Literal["debug", "info", "warning", "error"] = "info"


class NodeSettings(_Section, frozen=True, forbid_unknown_fields=True):
    """Settings of one node. ``node`` is also the name of its VM at the platform service."""

    node: NodeId
    zone: ZoneId
    http: HttpSection
    peer: PeerSection
    platform: PlatformSection
    operators: OperatorSection = OperatorSection()
    limits: LimitsSection = LimitsSection()
    membership: MembershipSection = MembershipSection()
    routing_policy: str = "chervilrack"
    limit_policy: str = "leased"
    log: LogSection = LogSection()


def read_node_settings(
    text: str,
    file: str,
    policies: Mapping[str, Collection[str]] | None = None,
    *,
    check_files: bool = False,
) -> NodeSettings:
    """Return the settings in a YAML text. Raises InvalidDocumentError with all mistakes.

    ``file`` is the file name that the messages show. ``policies`` maps the keys ``routing_policy``
    and ``limit_policy`` to their registered names. The caller passes the names, so that this
    module does not depend on the policy registries. ``check_files`` also reports files that cannot
    be read.
    """
    document: Document[NodeSettings] = read_document(
        text, file, NodeSettings, placeholders=_PLACEHOLDERS
    )
    if document.value is not None:
        # A key that could not be read has a default or placeholder as its value. Mistakes in
        # that value are not reported, because the file does not contain it.
        unreadable_paths = {mistake.path for mistake in document.mistakes}
        document.add_mistakes(
            mistake
            for mistake in (
                *check_node_settings(document.value, policies),
                *(_file_mistakes(document.value) if check_files else ()),
            )
            if not any(mistake.path[: len(path)] == path for path in unreadable_paths)
        )
    return document.value_or_raise()


def load_node_settings(
    file: str,
    policies: Mapping[str, Collection[str]] | None = None,
    *,
    check_files: bool = False,
) -> NodeSettings:
    """Return the settings in a YAML file. Raises OSError and InvalidDocumentError."""
    with open(file, encoding="utf-8") as stream:
        return read_node_settings(stream.read(), file, policies, check_files=check_files)


def platform_settings(section: PlatformSection) -> PlatformSettings:
    """Return the settings of the platform adapter, with secrets from files. Raises OSError."""
    return PlatformSettings(
        adapter=section.adapter,
        endpoints=section.endpoints,
        username=section.username,
        password=_read_secret(section.password_file),
        token=_read_secret(section.token_file),
        verify_tls=section.verify_tls,
        ca_file=section.ca_file,
        connect_timeout=section.connect_timeout,
        request_timeout=section.request_timeout,
        watch_silence=section.watch_silence,
        watch_reconnect=section.watch_reconnect,
    )


def check_node_settings(
    settings: NodeSettings, policies: Mapping[str, Collection[str]] | None = None
) -> list[Mistake]:
    """Return a mistake for each value out of range and each contradiction between keys."""
    return [
        *_address_mistakes(settings),
        *_platform_mistakes(settings.platform),
        *_missing_counterparts(settings),
        *_duration_mistakes(settings),
        *_membership_mistakes(settings.membership),
        *_size_mistakes(settings.limits),
        *(
            Mistake(
                (key,),
                f"expected one of {', '.join(sorted(names))}, found '{getattr(settings, key)}'",
            )
            for key, names in (policies or {}).items()
            if getattr(settings, key) not in names
        ),
        *(
            Mistake(("operators", "key_hashes", index), "expected 64 lower-case hexadecimal digits")
            for index, value in enumerate(settings.operators.key_hashes)
            if not _SHA256.fullmatch(value)
        ),
    ]


def _read_secret(file: str | None) -> str | None:
    if file is None:
        return None
    with open(file, encoding="utf-8") as stream:
        return stream.read().strip()


def _address_mistakes(settings: NodeSettings) -> Iterator[Mistake]:
    node_addresses: dict[Path, str] = {
        ("http", "listen"): settings.http.listen,
        ("http", "advertised"): settings.http.advertised,
        ("peer", "listen"): settings.peer.listen,
        ("peer", "advertised"): settings.peer.advertised,
    }
    seeds: dict[Path, str] = {
        ("peer", "seeds", index): seed for index, seed in enumerate(settings.peer.seeds)
    }
    for path, address in {**node_addresses, **seeds}.items():
        allow_unspecified = path[-1] == "listen"
        if not _is_address(address, allow_unspecified):
            expected = (
                "an address" if allow_unspecified else "an address that other hosts can reach"
            )
            yield Mistake(path, f"expected {expected}, such as 10.0.0.5:8080, found '{address}'")
    if settings.http.listen == settings.peer.listen and not settings.http.listen.endswith(":0"):
        yield Mistake(("peer", "listen"), "expected an address other than http.listen")
    if settings.http.advertised == settings.peer.advertised:
        yield Mistake(("peer", "advertised"), "expected an address other than http.advertised")


def _is_address(address: str, allow_unspecified: bool) -> bool:
    """Return whether ``address`` is an IP address with a port.

    The unspecified IP address and port 0 count only if ``allow_unspecified`` is set.
    """
    host, _, port = address.rpartition(":")
    try:
        ip = ip_address(host[1:-1] if host.startswith("[") else host)
    except ValueError:
        return False
    if ip.version == 6 and not (host.startswith("[") and host.endswith("]")):
        return False
    if not (port.isascii() and port.isdigit() and int(port) <= 65535):
        return False
    return allow_unspecified or not (ip.is_unspecified or int(port) == 0)


def _platform_mistakes(section: PlatformSection) -> Iterator[Mistake]:
    adapters = platform_adapters().names
    if section.adapter not in adapters:
        yield Mistake(
            ("platform", "adapter"),
            f"expected one of {', '.join(adapters)}, found '{section.adapter}'",
        )
    if section.adapter == "etcd" and not section.endpoints:
        yield Mistake(("platform", "endpoints"), "expected at least one URL for adapter etcd")
    for index, endpoint in enumerate(section.endpoints):
        path: Path = ("platform", "endpoints", index)
        try:
            parts = urlsplit(endpoint)
            valid = parts.scheme in ("http", "https") and parts.hostname and parts.port
        except ValueError:
            valid = None
        if not valid:
            yield Mistake(path, f"expected a URL such as http://10.0.0.2:2379, found '{endpoint}'")
        elif parts.username or parts.password:
            yield Mistake(
                path, "expected no credentials in the URL; use password_file or token_file"
            )
    if section.token_file is not None and section.username is not None:
        yield Mistake(("platform", "token_file"), "expected either token_file or username")
    if section.ca_file is not None and not section.verify_tls:
        yield Mistake(("platform", "ca_file"), "expected no ca_file while verify_tls is false")
    if section.connect_timeout > section.request_timeout:
        yield Mistake(("platform", "connect_timeout"), "expected at most platform.request_timeout")


def _missing_counterparts(settings: NodeSettings) -> Iterator[Mistake]:
    """Yield a mistake for each key that is set without its counterpart."""
    pairs = (
        ("http", settings.http, "tls_certificate", "tls_key"),
        ("peer", settings.peer, "curve_secret_key", "curve_public_keys"),
        ("platform", settings.platform, "username", "password_file"),
    )
    for section, values, first, second in pairs:
        for present, required in ((first, second), (second, first)):
            if getattr(values, present) is not None and getattr(values, required) is None:
                yield Mistake((section, present), f"expected {section}.{required} as well")


def _file_mistakes(settings: NodeSettings) -> Iterator[Mistake]:
    """Yield a mistake for each key that names a file or folder which cannot be read.

    Relative names are resolved against the working directory of the process.
    """
    keys = (
        ("http", "tls_certificate"),
        ("http", "tls_key"),
        ("peer", "curve_secret_key"),
        ("peer", "curve_public_keys"),
        ("platform", "password_file"),
        ("platform", "token_file"),
        ("platform", "ca_file"),
    )
    for section, key in keys:
        name = getattr(getattr(settings, section), key)
        if name is None:
            continue
        is_folder = key == "curve_public_keys"
        kind = "folder" if is_folder else "file"
        exists = os.path.isdir(name) if is_folder else os.path.isfile(name)
        if not (exists and os.access(name, os.R_OK)):
            yield Mistake((section, key), f"expected a readable {kind}, found '{name}'")


def _duration_mistakes(settings: NodeSettings) -> Iterator[Mistake]:
    for name in ("platform", "limits", "membership"):
        section = getattr(settings, name)
        for key in section.__struct_fields__:
            if isinstance(getattr(section, key), timedelta) and getattr(section, key) <= _ZERO:
                yield Mistake((name, key), "expected a duration above 0s")


def _membership_mistakes(section: MembershipSection) -> Iterator[Mistake]:
    longest_heartbeat = max(section.heartbeat, section.heartbeat_large)
    if section.heartbeat_large < section.heartbeat:
        yield Mistake(("membership", "heartbeat_large"), "expected at least membership.heartbeat")
    # A confirmation must stay valid when one heartbeat is lost. Otherwise a single lost message
    # makes a healthy node stop its work.
    if section.confirmation_ttl < 2 * longest_heartbeat:
        yield Mistake(
            ("membership", "confirmation_ttl"), "expected at least twice the longest heartbeat"
        )
    # A node must lose its confirmation, and so stop its work, before the other nodes remove it.
    if section.suspicion_timeout <= section.confirmation_ttl:
        yield Mistake(
            ("membership", "suspicion_timeout"), "expected more than membership.confirmation_ttl"
        )


def _size_mistakes(section: LimitsSection) -> Iterator[Mistake]:
    for key in ("body", "headers"):
        if getattr(section, key) < 1:
            yield Mistake(("limits", key), "expected a size above 0B")


# Valid values for required keys that cannot be read. With them all other keys can be checked.
_PLACEHOLDERS = {
    "node": NodeId("unknown"),
    "zone": ZoneId("unknown"),
    "http": HttpSection(listen="127.0.0.1:1", advertised="127.0.0.1:1"),
    "peer": PeerSection(listen="127.0.0.1:2", advertised="127.0.0.1:2"),
    "platform": PlatformSection(adapter="memory"),
}
