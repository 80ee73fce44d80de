"""End-to-end attainment: the share of requests answered in full within their deadline."""

import threading
from dataclasses import dataclass

ANSWERED = "answered"
OTHER = "other"

# Limit of pairs of an organisation and a target. A pair takes about 300 bytes: 13,000 organisations
# times 7 pipelines would take 27 MB of the 32 MB that a node may use for control, but 8,192 pairs
# take 2.5 MB.
MAX_PAIRS = 8192


@dataclass(frozen=True, slots=True)
class Attainment:
    """Number of finished requests, and how many of them were answered within their deadline."""

    requests: int
    answered: int

    @property
    def share(self) -> float | None:
        """Answered requests divided by finished requests; None if no request has finished."""
        return self.answered / self.requests if self.requests else None


class AttainmentRecorder:
    """Counts outcomes per pair of organisation and target (pipeline or service). Thread-safe.

    Once ``max_pairs`` pairs exist, further pairs are counted under the organisation ``other``.
    """

    def __init__(self, max_pairs: int = MAX_PAIRS) -> None:
        self._max_pairs = max_pairs
        self._counts: dict[tuple[str, str], list[int]] = {}
        self._lock = threading.Lock()

    def record(self, organisation: str, target: str, outcome: str) -> None:
        """Count one finished request and whether its outcome is ``answered``."""
        pair = (organisation, target)
        with self._lock:
            counts = self._counts.get(pair)
            if counts is None:
                if len(self._counts) >= self._max_pairs:
                    pair = (OTHER, target)
                counts = self._counts.setdefault(pair, [0, 0])
            counts[0] += 1
            counts[1] += outcome == ANSWERED

    def by_organisation(self) -> dict[str, Attainment]:
        """Return the attainment of each organisation over all targets."""
        return self._sum_by(0)

    def by_target(self) -> dict[str, Attainment]:
        """Return the attainment of each pipeline and service over all organisations."""
        return self._sum_by(1)

    def by_pair(self) -> dict[tuple[str, str], Attainment]:
        """Return the attainment of each pair of organisation and target."""
        with self._lock:
            return {pair: Attainment(*counts) for pair, counts in self._counts.items()}

    def total(self) -> Attainment:
        """Return the attainment over all organisations and targets."""
        pairs = self.by_pair().values()
        return Attainment(sum(p.requests for p in pairs), sum(p.answered for p in pairs))

    def _sum_by(self, pair_index: int) -> dict[str, Attainment]:
        sums: dict[str, Attainment] = {}
        for pair, attainment in self.by_pair().items():
            subtotal = sums.get(pair[pair_index], Attainment(0, 0))
            sums[pair[pair_index]] = Attainment(
                subtotal.requests + attainment.requests, subtotal.answered + attainment.answered
            )
        return sums
