"""Choice of an upstream by reports that count less the older they are.

Peers' reports are as old as their last heartbeats, and all nodes have the same ones. If the smaller
of two reported loads always won, however old it is, all nodes would prefer the same upstreams until
the next report. This policy computes how likely a reported load still is, and draws the loads that
it compares from that distribution.
"""

import math
from collections.abc import Mapping, Sequence
from datetime import timedelta

from chervilrack._internal.balancing.core import Balancer, Candidate, balancing_policies
from chervilrack._internal.balancing.peer_reports import AgedLoad
from chervilrack._internal.balancing.policies import LoadView, expected_wait, session_home
from chervilrack._internal.balancing.service_times import ServiceTimes
from chervilrack._internal.balancing.state import RequestLoad, UpstreamChoice
from chervilrack._internal.common.ids import UpstreamId

# Reports older than this many mean stays of a request say nothing of the present: less than 5 % of
# the requests that they counted are still there.
MAX_STAYS = 3.0


@balancing_policies.register("stale-aware")
def choose_by_aged_reports(
    balancer: Balancer, candidates: Sequence[Candidate], load: RequestLoad, now: timedelta
) -> UpstreamChoice:
    """Choose the least expected time until the first byte, by loads as expected by now.

    Candidates are sampled in proportion to their slots and their reported speed. This node's
    requests count as they are, those of peers by their age. When the reports are too old, only this
    node's requests and the paces tell upstreams apart. The home of a session is compared with the
    best of the sample by expected loads, so that chance does not take requests from it.
    """
    times = balancer.times.of(candidates[0].entry.service)
    ids = [candidate.entry.id for candidate in candidates]
    reports = balancer.peer_reports
    aged = reports.aged(ids, times.stay, times.first_byte, now)
    paces = {id: reports.pace(id, balancer.pace(id, now)) for id in ids}
    home = session_home(load, candidates)
    costs = _Costs(balancer, load, times, aged, paces, home, now)
    best = min(
        _sample(balancer, candidates, paces), key=lambda c: (costs.drawn(c), balancer.rng.random())
    )
    at_home = next((candidate for candidate in candidates if candidate.entry.id == home), None)
    if at_home is not None and costs.expected(at_home) <= costs.expected(best):
        best = at_home
    wait = timedelta(seconds=costs.expected(best))
    pace = paces[best.entry.id]
    in_flight = best.status.in_flight + aged[best.entry.id].in_flight
    age = reports.mean_age(now)
    reason = f"in flight about {in_flight:.1f}, pace {pace:.1f}"
    if age is not None:
        reason += f", reports {age.total_seconds():.2f} s old"
        reason += ", too old" if age > times.stay * MAX_STAYS else ""
    if home is not None:
        reason += ", home" if best.entry.id == home else f", home {home} costs more"
    return UpstreamChoice(best.entry.id, reason, wait, wait / pace, len(candidates), age)


class _Costs:
    """Costs of the candidates for one request."""

    def __init__(
        self,
        balancer: Balancer,
        load: RequestLoad,
        times: ServiceTimes,
        aged: Mapping[UpstreamId, AgedLoad],
        paces: Mapping[UpstreamId, float],
        home: UpstreamId | None,
        now: timedelta,
    ) -> None:
        self._balancer = balancer
        self._load = load
        self._times = times
        self._aged = aged
        self._paces = paces
        self._home = home
        self._now = now

    def expected(self, candidate: Candidate) -> float:
        """Return the expected wait in seconds at the expected load."""
        peers = self._aged[candidate.entry.id]
        pace = self._paces[candidate.entry.id]
        return self._cost(candidate, peers.in_flight, peers.waiting_tokens, pace)

    def drawn(self, candidate: Candidate) -> float:
        """Return the wait at a load drawn from the distribution of what the load may be by now.

        The sample has taken the pace into account.
        """
        peers = self._aged[candidate.entry.id]
        gauss = self._balancer.rng.gauss
        in_flight = gauss(peers.in_flight, math.sqrt(peers.in_flight_variance))
        # The unread tokens come in prompts, which are taken to be as long as this one.
        deviation = math.sqrt(peers.waiting_variance * self._load.prompt_tokens)
        tokens = gauss(peers.waiting_tokens, deviation)
        return self._cost(candidate, max(0.0, in_flight), max(0.0, tokens), 1.0)

    def _cost(
        self, candidate: Candidate, peers_in_flight: float, peers_tokens: float, pace: float
    ) -> float:
        view = LoadView(
            in_flight=candidate.status.in_flight + peers_in_flight,
            waiting_tokens=candidate.status.waiting_tokens + peers_tokens,
            pace=pace,
            slot_round=self._times.first_byte,
            queue_round=self._times.stay,
        )
        is_home = candidate.entry.id == self._home
        return expected_wait(
            self._balancer, candidate, self._load, view, self._now, is_home=is_home
        )


def _sample(
    balancer: Balancer, candidates: Sequence[Candidate], paces: Mapping[UpstreamId, float]
) -> list[Candidate]:
    """Return a few candidates, drawn in proportion to their slots and their speed."""
    count = balancer.settings.sampled_candidates
    if not balancer.peer_reports or len(candidates) <= count:
        return list(candidates)
    weights = [max(1, c.entry.slots) / paces[c.entry.id] for c in candidates]
    return balancer.rng.choices(candidates, weights, k=count)
