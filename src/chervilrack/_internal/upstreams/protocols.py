"""Registry of the protocols of upstreams."""

import importlib
from collections.abc import Callable
from typing import TYPE_CHECKING

from chervilrack._internal.common.registry import Registry
from chervilrack._internal.upstreams.connections import ConnectionPools
from chervilrack._internal.upstreams.port import UpstreamClient

if TYPE_CHECKING:
    from chervilrack._internal.upstreams.http_client import HttpClient

protocols: "Registry[type[HttpClient]]" = Registry("upstream protocol")

_PROTOCOL_MODULES = ("json_calls", "completions")


def create_clients(
    pools: ConnectionPools, may_send: Callable[[], bool] = lambda: True
) -> dict[str, UpstreamClient]:
    """Return one client for each registered protocol, keyed by the protocol's name.

    Before the first byte of each request is written, on the open connection, ``may_send`` is
    called. If it returns False, the request is not sent.
    """
    for module in _PROTOCOL_MODULES:
        importlib.import_module(f"chervilrack._internal.upstreams.{module}")
    return {name: protocols.get(name)(pools, may_send) for name in protocols}
