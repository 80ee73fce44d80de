"""Options of a node daemon."""

import secrets
from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.common.ids import Incarnation, NodeId, ZoneId
from chervilrack._internal.gateway.lookup import LOOKUP_LIFETIME
from chervilrack._internal.gateway.server import HttpServerSettings
from chervilrack._internal.membership.state import MembershipSettings
from chervilrack._internal.orders.state import OrderSettings
from chervilrack._internal.peering.keys import CurveKeys
from chervilrack._internal.upstreams.connections import TlsSettings


def new_incarnation() -> Incarnation:
    """Return a random id for one run of a process."""
    return Incarnation(secrets.token_hex(6))


@dataclass(frozen=True, slots=True)
class NodeOptions:
    """Options of one node. Advertised addresses default to the addresses it listens on."""

    node: NodeId
    zone: ZoneId
    http: HttpServerSettings
    peer_listen: str = "tcp://127.0.0.1:*"
    advertised_http: str | None = None
    advertised_peer: str | None = None
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    orders: OrderSettings = field(default_factory=OrderSettings)
    routing_policy: str = "chervilrack"
    limit_policy: str = "leased"
    operator_key_digests: tuple[str, ...] = ()
    curve: CurveKeys | None = None
    upstream_tls: TlsSettings | None = None
    incarnation: Incarnation = field(default_factory=new_incarnation)
    seed: int | None = None
    lookup_lifetime: timedelta = LOOKUP_LIFETIME
