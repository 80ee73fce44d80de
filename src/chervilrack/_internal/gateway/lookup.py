"""Endpoint look-up: which nodes a caller should connect to, and for how long to believe it."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from chervilrack._internal.common.ids import NodeId, ZoneId

# A leaving node keeps its listener open for this long after the look-up stopped naming it.
LOOKUP_LIFETIME = timedelta(seconds=5)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A node that takes callers' connections."""

    node: NodeId
    zone: ZoneId
    address: str
    leaving: bool


class EndpointAnswer(msgspec.Struct, frozen=True):
    """Addresses in the order in which to try them, and their lifetime in seconds."""

    addresses: tuple[str, ...]
    lifetime_s: float


def look_up(
    endpoints: Sequence[Endpoint],
    zone: ZoneId | None,
    rng: random.Random,
    lifetime: timedelta = LOOKUP_LIFETIME,
) -> EndpointAnswer:
    """Return the addresses of all nodes that stay, those of the caller's zone first.

    Within a zone the order is random, so that callers spread over the nodes.
    """
    staying = [endpoint for endpoint in endpoints if not endpoint.leaving]
    rng.shuffle(staying)
    staying.sort(key=lambda endpoint: endpoint.zone != zone)
    return EndpointAnswer(tuple(endpoint.address for endpoint in staying), lifetime.total_seconds())
