"""How long look-up answers name a node after its last message."""

from dataclasses import dataclass
from datetime import timedelta

# Share of a bound that is kept for the way of an answer and for a message sent just before the end.
_MARGIN = 0.1


@dataclass(frozen=True, slots=True)
class LookupBounds:
    """How long look-up answers may name a node that has stopped.

    ``after_loss`` counts from its stop. ``after_pause`` counts from the end of a pause of the
    process that answers, which could hear of no stop meanwhile.
    """

    after_loss: timedelta
    after_pause: timedelta

    def may_name(self, heard_at: timedelta, resumed_at: timedelta | None, now: timedelta) -> bool:
        """Whether a node that was last heard at ``heard_at`` may be named.

        ``resumed_at`` is the end of the last pause of this process, None if there was none.
        """
        if now - heard_at <= self.after_loss * (1 - _MARGIN):
            return True
        return resumed_at is not None and now - resumed_at <= self.after_pause * (1 - _MARGIN)
