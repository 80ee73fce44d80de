"""Endpoint look-up: the nodes a caller can connect to, and how long the answer is valid."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from chervilrack._internal.common.ids import NodeId, ZoneId

# Validity of an answer. A leaving node keeps its listener open for this long after look-ups
# omit it.
LOOKUP_LIFETIME = timedelta(seconds=5)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Address of a node that accepts callers' connections."""

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
    """Return the addresses of all nodes that are not leaving, those in ``zone`` first.

    The order is random within ``zone`` and among the others, so that callers spread over the nodes.
    """
    available = [endpoint for endpoint in endpoints if not endpoint.leaving]
    rng.shuffle(available)
    available.sort(key=lambda endpoint: endpoint.zone != zone)
    return EndpointAnswer(
        tuple(endpoint.address for endpoint in available), lifetime.total_seconds()
    )
