"""Open-loop arrivals: when which organisation sends which request, from one seed.

Arrivals are a Poisson process whose rate and mix change at fixed times (phases). They do not
depend on the answers, so that a slow system does not reduce its own load.
"""

import math
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec

from chervilrack._internal.common.ids import (
    IdempotencyKey,
    OrganisationId,
    PipelineId,
    RequestId,
    ServiceId,
    ZoneId,
)
from chervilrack._internal.experiments.profile import Profile, RequestKind

T = TypeVar("T")


class Arrival(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One intended request. ``at`` is in seconds from the start of the run."""

    at: float
    request: RequestId
    organisation: OrganisationId
    kind: str
    zone: ZoneId
    seed: int
    prompt_tokens: int = 0
    output_tokens: int = 0
    stream: bool = False
    pipeline: PipelineId | None = None
    service: ServiceId | None = None
    operation: str | None = None
    idempotency_key: IdempotencyKey | None = None
    # Set if all callers look up and use the address of one node (scenario skewed-callers).
    pinned: bool = False

    @property
    def target(self) -> str:
        """Pipeline or service that the request is for."""
        return str(self.pipeline if self.pipeline is not None else self.service)


@dataclass(frozen=True, slots=True)
class Phase:
    """Part of a run from ``start`` to ``end`` (fractions of the run's duration).

    ``load`` is the rate as a fraction of the profile's capacity. ``organisations`` and ``kinds``
    multiply shares of the profile (the rate stays); if ``only_kind`` or ``only_organisation`` is
    set, all requests are of it. ``pinned`` is the share of callers that stay with one node.
    """

    start: float = 0.0
    end: float = 1.0
    load: float = 0.6
    organisations: Mapping[str, float] = field(default_factory=dict)
    kinds: Mapping[str, float] = field(default_factory=dict)
    only_kind: str | None = None
    only_organisation: str | None = None
    pinned: float = 0.0


@dataclass(frozen=True, slots=True)
class Workload:
    """Phases of a run; they may overlap, their rates then add up."""

    phases: tuple[Phase, ...] = (Phase(),)


def generate_arrivals(
    profile: Profile, workload: Workload, seed: int, duration_s: float
) -> list[Arrival]:
    """Return the arrivals of a run, ordered by time. The same seed gives the same arrivals."""
    arrivals: list[Arrival] = []
    for number, phase in enumerate(workload.phases):
        random_numbers = random.Random(f"{seed}/{number}")
        arrivals += _phase_arrivals(profile, phase, number, random_numbers, duration_s)
    arrivals.sort(key=lambda arrival: (arrival.at, arrival.request))
    return arrivals


def _phase_arrivals(
    profile: Profile, phase: Phase, number: int, random_numbers: random.Random, duration_s: float
) -> list[Arrival]:
    organisations = [
        (entry, entry.share * phase.organisations.get(entry.id, 1.0))
        for entry in profile.organisations
        if phase.only_organisation in (None, entry.id)
    ]
    kinds = [
        (kind, kind.share * phase.kinds.get(kind.name, 1.0))
        for kind in profile.requests
        if phase.only_kind in (None, kind.name)
    ]
    rate = profile.capacity_rps() * phase.load
    at = phase.start * duration_s
    found: list[Arrival] = []
    while rate > 0:
        at += -math.log(1.0 - random_numbers.random()) / rate
        if at >= phase.end * duration_s:
            break
        organisation = _choose(random_numbers, organisations)
        kind = _choose(random_numbers, kinds)
        name = RequestId(f"q{number}-{len(found)}")
        pinned = random_numbers.random() < phase.pinned
        found.append(
            _arrival(profile, kind, organisation.id, at, name, random_numbers, pinned=pinned)
        )
    return found


def _choose(random_numbers: random.Random, weighted: Sequence[tuple[T, float]]) -> T:
    choices, weights = zip(*weighted, strict=True)
    chosen: T = random_numbers.choices(choices, weights)[0]
    return chosen


def _arrival(
    profile: Profile,
    kind: RequestKind,
    organisation: OrganisationId,
    at: float,
    name: RequestId,
    random_numbers: random.Random,
    *,
    pinned: bool,
) -> Arrival:
    seed = random_numbers.getrandbits(31)
    zone = random_numbers.choice(profile.zones)
    if kind.service is not None:
        key = IdempotencyKey(f"order-{name}-{seed:08x}") if profile.is_order(kind) else None
        return Arrival(
            at=at,
            request=name,
            organisation=organisation,
            kind=kind.name,
            zone=zone,
            seed=seed,
            service=kind.service,
            operation=kind.operation,
            idempotency_key=key,
            pinned=pinned,
        )
    return Arrival(
        at=at,
        request=name,
        organisation=organisation,
        kind=kind.name,
        zone=zone,
        seed=seed,
        prompt_tokens=random_numbers.randint(*kind.prompt_tokens),
        output_tokens=random_numbers.randint(*kind.output_tokens),
        stream=kind.stream,
        pipeline=profile.pipeline,
        pinned=pinned,
    )
