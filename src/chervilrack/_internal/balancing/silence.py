"""How long a sound upstream may say nothing, and what follows from a silence."""

from dataclasses import dataclass
from datetime import timedelta

_ZERO = timedelta(0)


@dataclass(frozen=True, slots=True)
class SilencePolicy:
    """Owner of the bounds on silences; all other modules derive theirs from it.

    Upstreams may say nothing for a second or so, for example while they collect garbage or while
    their machine is moved, and then go on as if nothing had happened. Such an upstream cannot be
    told from a failed one as long as the silence lasts, unless it refuses or resets connections.
    """

    # Longest silence of a sound upstream: "a second or so" in the users' contract, with half of it
    # in addition.
    longest_sound: timedelta = timedelta(milliseconds=1500)
    # Lateness of timers and packets that does not make a sound upstream look failed.
    margin: timedelta = timedelta(milliseconds=100)
    # A shorter wait for the first byte is no evidence: a plain answer may take as long.
    shortest_evidence: timedelta = timedelta(milliseconds=250)
    # Callers of a stream leave 2 s after its last event, or later.
    caller_patience: timedelta = timedelta(seconds=2)
    # Multiple of the longest pause that a stream's route allows after which the stream is stalled.
    stalled_gaps: float = 3.0

    @property
    def bound(self) -> timedelta:
        """Length from which on a silence is a failure."""
        return self.longest_sound + self.margin

    def expected_rest(self, silence: timedelta) -> timedelta:
        """Return how much longer a silence is expected to last if the upstream is sound.

        The end is taken as equally likely at any time until the longest sound silence.
        """
        return max(_ZERO, self.longest_sound - silence) / 2

    def longest_rest(self, silence: timedelta) -> timedelta:
        """Return how much longer a silence lasts at most if the upstream is sound."""
        return max(_ZERO, self.longest_sound - silence)

    def stream_gap(self, max_gap: timedelta | None) -> timedelta:
        """Return the time without an event after which a stream may be continued elsewhere.

        ``max_gap`` is the longest pause that the stream's route allows.
        """
        stalled = (max_gap or _ZERO) * self.stalled_gaps
        return min(max(stalled, self.bound), max(self.caller_patience, self.bound))

    def may_explain(self, excess: timedelta) -> bool:
        """Whether one silence may explain that an answer took ``excess`` longer than expected."""
        return self.shortest_evidence <= excess <= self.bound
