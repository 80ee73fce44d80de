"""Max-min fair sharing of a capacity in whole permits."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Claim:
    """Number of permits that one node could use, and the number that one attempt needs at once."""

    demand: int
    largest_attempt: int = 1


def fair_shares(capacity: int, claims: Sequence[Claim]) -> list[int]:
    """Return the share of each claim; the sum is at most ``capacity``.

    Claims are ordered by priority. In this order, each claim first gets the permits of one attempt
    if the remaining capacity suffices; otherwise the claim gets nothing, since a smaller share
    cannot serve any work. The rest is shared max-min fairly. The order matters only if the capacity
    does not suffice for one attempt of each claim, and for the last permits of an uneven division.
    Max-min fairness is described in Bertsekas and Gallager, "Data Networks", 6.5.2.
    """
    shares = [0] * len(claims)
    remaining = capacity
    eligible = list(claims)
    for index, claim in enumerate(claims):
        one_attempt = min(claim.demand, max(1, claim.largest_attempt))
        if one_attempt <= remaining:
            shares[index] = one_attempt
            remaining -= one_attempt
        else:
            eligible[index] = Claim(0)
    claims = eligible
    if remaining <= 0:
        return shares
    if sum(claim.demand for claim in claims) <= capacity:
        return [claim.demand for claim in claims]
    level = _fill_level(capacity, claims, shares)
    raised = [
        max(share, min(claim.demand, level)) for claim, share in zip(claims, shares, strict=True)
    ]
    remaining = capacity - sum(raised)
    for index, claim in enumerate(claims):
        if remaining > 0 and shares[index] <= level == raised[index] < claim.demand:
            raised[index] += 1
            remaining -= 1
    return raised


def _fill_level(capacity: int, claims: Sequence[Claim], floors: Sequence[int]) -> int:
    """Return the highest common share for which ``capacity`` suffices.

    Every claim gets the common share, but at most its demand and at least its floor.
    """
    low, high = 0, max(claim.demand for claim in claims)
    while low < high:
        middle = (low + high + 1) // 2
        required = sum(
            max(floor, min(claim.demand, middle))
            for claim, floor in zip(claims, floors, strict=True)
        )
        if required <= capacity:
            low = middle
        else:
            high = middle - 1
    return low
