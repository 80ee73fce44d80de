"""End-to-end attainment: the share of requests answered whole within their deadline."""

import threading
from dataclasses import dataclass

ANSWERED = "answered"
OTHER = "other"

# A pair takes about 300 bytes. All 13,000 organisations times 7 pipelines would take 27 MB of the
# 32 MB that a node may use for control; 8,192 pairs take 2.5 MB.
MAX_PAIRS = 8192


@dataclass(frozen=True, slots=True)
class Attainment:
    """Requests that ended and those of them answered within their deadline."""

    requests: int
    answered: int

    @property
    def share(self) -> float | None:
        """Answered requests divided by all requests; None without requests."""
        return self.answered / self.requests if self.requests else None


class AttainmentRecorder:
    """Counts outcomes per organisation and target (pipeline or service). Thread-safe.

    Pairs beyond ``max_pairs`` are counted under the organisation ``other``.
    """

    def __init__(self, max_pairs: int = MAX_PAIRS) -> None:
        self._max_pairs = max_pairs
        self._counts: dict[tuple[str, str], list[int]] = {}
        self._lock = threading.Lock()

    def record(self, organisation: str, target: str, outcome: str) -> None:
        """Count one finished request."""
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
        return self._grouped(0)

    def by_target(self) -> dict[str, Attainment]:
        """Return the attainment of each pipeline and service over all organisations."""
        return self._grouped(1)

    def by_pair(self) -> dict[tuple[str, str], Attainment]:
        """Return the attainment of each organisation and target."""
        with self._lock:
            return {pair: Attainment(*counts) for pair, counts in self._counts.items()}

    def total(self) -> Attainment:
        """Return the attainment over everything."""
        pairs = self.by_pair().values()
        return Attainment(sum(p.requests for p in pairs), sum(p.answered for p in pairs))

    def _grouped(self, position: int) -> dict[str, Attainment]:
        groups: dict[str, Attainment] = {}
        for pair, counted in self.by_pair().items():
            before = groups.get(pair[position], Attainment(0, 0))
            groups[pair[position]] = Attainment(
                before.requests + counted.requests, before.answered + counted.answered
            )
        return groups
