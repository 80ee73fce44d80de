"""Registry of the adapters for the platform's service, and their settings."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.common.registry import Registry
from chervilrack._internal.kvstore.port import PlatformService


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """How to reach the platform's service.

    ``endpoints`` are URLs that are tried in turn. Either ``token``, which is sent as a bearer
    token, or ``username`` and ``password``, which etcd exchanges for a token, may be set.
    """

    adapter: str = "etcd"
    endpoints: tuple[str, ...] = ()
    username: str | None = None
    password: str | None = field(default=None, repr=False)
    token: str | None = field(default=None, repr=False)
    verify_tls: bool = True
    ca_file: str | None = None
    connect_timeout: timedelta = timedelta(milliseconds=500)
    request_timeout: timedelta = timedelta(seconds=2)
    # The connection of a watch without any data for this long may be half open and is replaced.
    watch_silence: timedelta = timedelta(seconds=5)
    # A watch that cannot reconnect within this time fails.
    watch_reconnect: timedelta = timedelta(seconds=2)


PLATFORM_ADAPTERS: Registry[Callable[[PlatformSettings], PlatformService]] = Registry(
    "platform adapter"
)


def platform_adapters() -> Registry[Callable[[PlatformSettings], PlatformService]]:
    """Return the registry with the adapters that are part of chervilrack."""
    # Imported here because both modules import this one to register their adapters.
    from chervilrack._internal.kvstore import etcd, memory  # noqa: F401

    return PLATFORM_ADAPTERS


def open_platform(settings: PlatformSettings) -> PlatformService:
    """Return a client of the adapter that ``settings.adapter`` names.

    Raises UnknownVariantError if there is no adapter of that name.
    """
    factory = platform_adapters().get(settings.adapter)
    return factory(settings)
