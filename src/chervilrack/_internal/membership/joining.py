"""Schedule of the attempts of a node to join the view."""

import random
from datetime import timedelta

from chervilrack._internal.common.ids import NodeId
from chervilrack._internal.membership.state import MembershipSettings, Process, View
from chervilrack._internal.membership.witnesses import majority

REPLY_MAX_AGE = timedelta(seconds=2)


class JoinSchedule:
    """Join attempts with jittered backoff, flap damping and probes of the witnesses."""

    def __init__(self, node: NodeId, settings: MembershipSettings, rng: random.Random) -> None:
        self._node = node
        self._settings = settings
        self._rng = rng
        self._next_attempt: timedelta | None = None
        self._probe_deadline: timedelta | None = None
        self._attempts = 0
        self._last_replies: dict[Process, timedelta] = {}

    def start(self, view: View, now: timedelta) -> None:
        """Schedule the first attempt; recent failures of the node delay it."""
        if self._next_attempt is not None:
            return
        failures = next((d.failures for d in view.departed if d.node == self._node), 0)
        delay = timedelta(0)
        if failures:
            doubled = self._settings.flap_delay * 2 ** min(failures - 1, 16)
            delay = min(doubled, self._settings.flap_delay_max)
        delay += self._settings.join_retry * self._rng.random()
        self._next_attempt = now + delay
        self._probe_deadline = self._next_attempt + self._settings.join_probe_timeout
        self._attempts = 0

    def stop(self) -> None:
        """End the attempts, because the node is a member or is leaving."""
        self._next_attempt = self._probe_deadline = None
        self._last_replies.clear()

    def record_reply(self, witness: Process, now: timedelta) -> None:
        """Record that ``witness`` replied to a heartbeat of this node."""
        self._last_replies[witness] = now

    def is_due(self, view: View, now: timedelta) -> bool:
        """Whether to attempt a join now.

        After its scheduled time, an attempt also needs recent replies from a majority of witnesses
        or the end of the probe timeout.
        """
        if self._next_attempt is None or self._probe_deadline is None or now < self._next_attempt:
            return False
        responsive = [
            witness
            for witness in view.witnesses
            if witness in self._last_replies and now - self._last_replies[witness] <= REPLY_MAX_AGE
        ]
        return len(responsive) >= majority(len(view.witnesses)) or now >= self._probe_deadline

    def record_attempt(self, now: timedelta) -> None:
        """Schedule the attempt that follows a failed one; the mean delay doubles each time."""
        mean_delay = min(
            self._settings.join_retry * 2 ** min(self._attempts, 16), self._settings.join_retry_max
        )
        self._attempts += 1
        self._next_attempt = now + mean_delay * (0.5 + self._rng.random())
