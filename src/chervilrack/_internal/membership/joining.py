"""When a node that is not a member tries to add itself."""

import random
from datetime import timedelta

from chervilrack._internal.common.ids import NodeId
from chervilrack._internal.membership.state import MembershipSettings, Process, View
from chervilrack._internal.membership.witnesses import majority

PROBE_KEPT = timedelta(seconds=2)


class Joining:
    """Jittered retries, flap damping and probing of the witnesses before a join."""

    def __init__(self, node: NodeId, settings: MembershipSettings, rng: random.Random) -> None:
        self._node = node
        self._settings = settings
        self._rng = rng
        self._due: timedelta | None = None
        self._patience: timedelta | None = None
        self._tries = 0
        self._answers: dict[Process, timedelta] = {}

    def start(self, view: View, now: timedelta) -> None:
        """Plan the first attempt; a node that failed lately waits longer."""
        if self._due is not None:
            return
        failures = next((d.failures for d in view.departed if d.node == self._node), 0)
        delay = timedelta(0)
        if failures:
            doubled = self._settings.flap_delay * 2 ** min(failures - 1, 16)
            delay = min(doubled, self._settings.flap_delay_max)
        delay += self._settings.join_retry * self._rng.random()
        self._due = now + delay
        self._patience = self._due + self._settings.join_patience
        self._tries = 0

    def stop(self) -> None:
        """End the attempts: the node is a member or leaves."""
        self._due = self._patience = None
        self._answers.clear()

    def answered(self, witness: Process, now: timedelta) -> None:
        """Note that a witness answers this node's heartbeats."""
        self._answers[witness] = now

    def due(self, view: View, now: timedelta) -> bool:
        """Whether to write now: in time, and reachable by witnesses or out of patience."""
        if self._due is None or self._patience is None or now < self._due:
            return False
        fresh = [
            witness
            for witness in view.witnesses
            if witness in self._answers and now - self._answers[witness] <= PROBE_KEPT
        ]
        return len(fresh) >= majority(len(view.witnesses)) or now >= self._patience

    def wrote(self, now: timedelta) -> None:
        """Plan the next attempt in case this one fails; the mean delay doubles each time."""
        longest = min(
            self._settings.join_retry * 2 ** min(self._tries, 16), self._settings.join_retry_max
        )
        self._tries += 1
        self._due = now + longest * (0.5 + self._rng.random())
