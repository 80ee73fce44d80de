"""Profiles of requests of each kind: what they may have in common when upstreams crash."""

from collections.abc import Iterable

import xxhash

from chervilrack._internal.common.ids import OrganisationId, ServiceId
from chervilrack._internal.quarantine.messages import MAX_TRAIT_LENGTH, MAX_TRAITS
from chervilrack._internal.quarantine.state import RequestProfile, Trait


def prompt_profile(
    service: ServiceId, shared_parts: Iterable[str], organisation: OrganisationId | None
) -> RequestProfile:
    """Return the profile of a request with a prompt, by the parts that others may have."""
    traits = [_trait("part", part) for part in shared_parts]
    return RequestProfile(service, tuple(traits[:MAX_TRAITS]), _sender(organisation))


def plain_profile(
    service: ServiceId,
    method: str,
    path: str,
    body: bytes,
    organisation: OrganisationId | None,
) -> RequestProfile:
    """Return the profile of a request without a prompt, by its path and its body."""
    path_trait = _trait("path", f"{method} {path}")
    body_trait = _trait("body", xxhash.xxh3_64_hexdigest(body))
    traits = (path_trait, body_trait) if body else (path_trait,)
    return RequestProfile(service, traits, _sender(organisation), frozenset((body_trait,)))


def piece_profile(service: ServiceId, key: str) -> RequestProfile:
    """Return the profile of the pieces of a request at a stage without inputs, by their key.

    The node that calls the upstream does not know who sent the request.
    """
    trait = _trait("pieces", key)
    return RequestProfile(service, (trait,), _trait("sender", "any"), frozenset((trait,)))


def _sender(organisation: OrganisationId | None) -> Trait:
    return _trait("organisation", organisation or "")


def _trait(kind: str, value: str) -> Trait:
    return Trait(f"{kind} {value}"[:MAX_TRAIT_LENGTH])
