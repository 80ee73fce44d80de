"""Policies of the choice of an upstream, and the expected wait that they compare."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.balancing.core import Balancer, Candidate, balancing_policies
from chervilrack._internal.balancing.state import RequestLoad, UpstreamChoice, UpstreamStatus
from chervilrack._internal.common.hashing import rendezvous_owner
from chervilrack._internal.common.ids import UpstreamId

_ZERO = timedelta(0)
# Time of a round of requests without token counts through the slots, and of a round that queues
# beyond the slots.
ASSUMED_SLOT_ROUND = timedelta(milliseconds=50)
ASSUMED_QUEUE_ROUND = timedelta(milliseconds=250)


@dataclass(frozen=True, slots=True)
class LoadView:
    """What a policy believes of the load and the pace of one upstream.

    ``slot_round`` is the time of a round of requests without token counts through the slots,
    ``queue_round`` that of a round of requests beyond the slots.
    """

    in_flight: float
    waiting_tokens: float
    pace: float
    slot_round: timedelta
    queue_round: timedelta


@balancing_policies.register("expected-wait")
def choose_by_expected_wait(
    balancer: Balancer, candidates: Sequence[Candidate], load: RequestLoad, now: timedelta
) -> UpstreamChoice:
    """Choose the least expected time until the first byte among a few candidates.

    A session has a home, its owner by rendezvous hashing. The home counts as having all shared
    prompt parts cached, which keeps the requests of a session together.
    """
    home = session_home(load, candidates)
    scored = []
    for candidate in balancer.sample(candidates, home):
        view = _summed_view(balancer, candidate, now)
        is_home = candidate.entry.id == home
        cost = expected_wait(balancer, candidate, load, view, now, is_home=is_home)
        scored.append((cost, balancer.rng.random(), candidate, view))
    cost, _, best, view = min(scored, key=lambda entry: entry[:2])
    reason = f"in flight {best.in_flight}, pace {balancer.pace(best.entry.id, now):.1f}"
    if home is not None:
        reason += ", home" if best.entry.id == home else f", home {home} costs more"
    wait = timedelta(seconds=cost)
    return UpstreamChoice(best.entry.id, reason, wait, wait / view.pace, len(candidates))


def _summed_view(balancer: Balancer, candidate: Candidate, now: timedelta) -> LoadView:
    """Return the load by the peers' last reports, whatever their age is."""
    return LoadView(
        in_flight=candidate.in_flight,
        waiting_tokens=candidate.status.waiting_tokens + candidate.peers.waiting_tokens,
        pace=max(balancer.pace(candidate.entry.id, now), candidate.peers.pace),
        slot_round=ASSUMED_SLOT_ROUND,
        queue_round=ASSUMED_QUEUE_ROUND,
    )


def session_home(load: RequestLoad, candidates: Sequence[Candidate]) -> UpstreamId | None:
    """Return the upstream that has most likely cached the shared prompt parts of a session."""
    if load.session is None:
        return None
    owner = rendezvous_owner(load.session, [c.entry.id for c in candidates])
    return UpstreamId(owner) if owner is not None else None


@balancing_policies.register("least-outstanding")
def choose_least_outstanding(
    balancer: Balancer, candidates: Sequence[Candidate], load: RequestLoad, now: timedelta
) -> UpstreamChoice:
    """Choose the fewest requests of this node in flight; a baseline for comparisons."""
    del load, now
    best = min(candidates, key=lambda c: (c.status.in_flight, balancer.rng.random()))
    reason = f"{best.status.in_flight} in flight"
    return UpstreamChoice(best.entry.id, reason, _ZERO, _ZERO, len(candidates))


@balancing_policies.register("random")
def choose_at_random(
    balancer: Balancer, candidates: Sequence[Candidate], load: RequestLoad, now: timedelta
) -> UpstreamChoice:
    """Choose a random candidate; a baseline for comparisons."""
    del load, now
    chosen = balancer.rng.choice(list(candidates))
    return UpstreamChoice(chosen.entry.id, "at random", _ZERO, _ZERO, len(candidates))


def expected_wait(
    balancer: Balancer,
    candidate: Candidate,
    load: RequestLoad,
    view: LoadView,
    now: timedelta,
    *,
    is_home: bool,
) -> float:
    """Return the expected time in seconds until the first byte, with costs added to it.

    The costs are those of errors, of another zone and of inputs that cross zones.
    """
    settings = balancer.settings
    entry, status = candidate.entry, candidate.status
    seconds = 0.0
    if load.prompt_tokens:
        reread_tokens = load.shared_tokens - _cached_tokens(status, load, is_home)
        own_tokens = (
            load.prompt_tokens - load.shared_tokens + settings.reread_weight * reread_tokens
        )
        seconds += (view.waiting_tokens + own_tokens) / settings.prefill_tokens_per_s
        seconds += view.in_flight * settings.running_request_cost.total_seconds()
    else:
        rounds = (view.in_flight + 1) / max(1, entry.slots)
        seconds += rounds * view.slot_round.total_seconds()
    slots = max(0, entry.slots)
    if view.in_flight >= slots:
        # Requests beyond the slots queue at the upstream.
        rounds = 1 + (view.in_flight - slots) / max(1, slots)
        seconds += rounds * view.queue_round.total_seconds()
    seconds *= view.pace
    seconds += balancer.rest_of_silence(candidate, now).total_seconds()
    error_share = max(balancer.error_share(status, now), candidate.peers.error_share)
    seconds += max(0.0, error_share - settings.tolerated_error_share) * settings.error_cost_s
    if entry.zone != balancer.zone:
        seconds += settings.cross_zone_cost.total_seconds()
    return seconds + balancer.move_cost(load.moved_bytes(entry.zone))


def _cached_tokens(status: UpstreamStatus, load: RequestLoad, is_home: bool) -> int:
    """Return the tokens of the leading shared parts that the upstream probably has cached.

    The home of the session is assumed to have all of them.
    """
    if is_home:
        return load.shared_tokens
    cached_tokens = 0
    for part, tokens in load.shared_parts:
        if part not in status.cached_parts:
            break
        cached_tokens += tokens
    return cached_tokens
