"""Rendezvous (highest random weight) hashing over ``xxhash``.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
When a member joins or leaves, only the items that it gains or loses move.
"""

from collections.abc import Iterable

import xxhash


def rendezvous_order(item: str, members: Iterable[str]) -> list[str]:
    """Return ``members`` ordered by their weight for ``item``, highest first."""
    return sorted(members, key=lambda member: (-_weight(item, member), member))


def rendezvous_owner(item: str, members: Iterable[str]) -> str | None:
    """Return the member with the highest weight for ``item``, or None if there are no members."""
    return min(members, key=lambda member: (-_weight(item, member), member), default=None)


def _weight(item: str, member: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{item}\0{member}".encode())
