"""Registry of the protocols that upstreams speak."""

import importlib
from collections.abc import Callable
from typing import TYPE_CHECKING

from chervilrack._internal.common.registry import Registry
from chervilrack._internal.upstreams.connections import ConnectionPools
from chervilrack._internal.upstreams.port import UpstreamClient

if TYPE_CHECKING:
    from chervilrack._internal.upstreams.http_client import HttpClient

protocols: "Registry[type[HttpClient]]" = Registry("upstream protocol")

_MODULES = ("json_calls", "completions")


def create_clients(
    pools: ConnectionPools, may_send: Callable[[], bool] = lambda: True
) -> dict[str, UpstreamClient]:
    """Return one client for every registered protocol, by its name.

    ``may_send`` is asked on the open connection before the first byte of each request.
    """
    for module in _MODULES:
        importlib.import_module(f"chervilrack._internal.upstreams.{module}")
    return {name: protocols.get(name)(pools, may_send) for name in protocols}
