"""Max-min fair sharing of a pool in whole permits."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Claim:
    """Demand of one node: permits it could use and the amount one attempt needs at once."""

    demand: int
    chunk: int = 1


def fair_shares(capacity: int, claims: Sequence[Claim]) -> list[int]:
    """Return the share of each claim; the sum is at most ``capacity``.

    Claims are ordered by priority. As many as possible, in this order, first get one chunk, since
    less than a chunk serves nobody. The rest is shared max-min fairly. The order decides only
    where the capacity does not suffice for one chunk each, and who gets the last permits of an
    uneven division. Source of max-min fairness: Bertsekas and Gallager, "Data Networks", 6.5.2.
    """
    shares = [0] * len(claims)
    left = capacity
    served = list(claims)
    for index, claim in enumerate(claims):
        first = min(claim.demand, max(1, claim.chunk))
        if first <= left:
            shares[index] = first
            left -= first
        else:
            served[index] = Claim(0)
    claims = served
    if left <= 0:
        return shares
    if sum(claim.demand for claim in claims) <= capacity:
        return [claim.demand for claim in claims]
    level = _level(capacity, claims, shares)
    raised = [
        max(share, min(claim.demand, level)) for claim, share in zip(claims, shares, strict=True)
    ]
    left = capacity - sum(raised)
    for index, claim in enumerate(claims):
        if left > 0 and shares[index] <= level == raised[index] < claim.demand:
            raised[index] += 1
            left -= 1
    return raised


def _level(capacity: int, claims: Sequence[Claim], floors: Sequence[int]) -> int:
    """Return the highest common level that ``capacity`` can pay for."""
    low, high = 0, max(claim.demand for claim in claims)
    while low < high:
        middle = (low + high + 1) // 2
        cost = sum(
            max(floor, min(claim.demand, middle))
            for claim, floor in zip(claims, floors, strict=True)
        )
        if cost <= capacity:
            low = middle
        else:
            high = middle - 1
    return low
