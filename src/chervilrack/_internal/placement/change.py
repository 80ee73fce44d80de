"""State machine that drains one engine and then sends it a command with a fencing number."""

from datetime import timedelta
from enum import Enum

from chervilrack._internal.common.effects import ActionTaken
from chervilrack._internal.common.ids import Epoch, UpstreamId
from chervilrack._internal.exceptions import ChervilrackError
from chervilrack._internal.placement.messages import (
    CommandAnswered,
    DrainProgress,
    DrainThenCommand,
    EndDrain,
    EngineCommand,
    PlacementEffect,
    SendCommand,
)

# The longest attempt takes 6 s and its cancellation 1 s. The rest covers the time until every
# node knows of the drain.
DRAIN_TIMEOUT = timedelta(seconds=20)
# An engine answers once a load has ended. Loading 100 GB at 1 GB/s takes 100 s.
COMMAND_TIMEOUT = timedelta(seconds=120)
MAX_COMMAND_ATTEMPTS = 3
# Allows about a million commands of one node in one epoch, far more than a node issues.
COUNTER_BITS = 20


class FencingNumbersExhaustedError(ChervilrackError):
    """All fencing numbers of an epoch are used."""


class FencingNumbers:
    """Generator of fencing numbers that increase by epoch, then by a counter within the epoch."""

    def __init__(self) -> None:
        self._epoch = Epoch(0)
        self._counter = 0

    def start_epoch(self, epoch: Epoch) -> None:
        """Restart the counter for ``epoch``; an epoch that is not later has no effect."""
        if epoch > self._epoch:
            self._epoch = epoch
            self._counter = 0

    def next(self) -> int:
        """Return a number greater than all earlier ones.

        Raises FencingNumbersExhaustedError if the epoch has no number left.
        """
        self._counter += 1
        if self._counter >> COUNTER_BITS:
            raise FencingNumbersExhaustedError(f"epoch {self._epoch} has no fencing numbers left")
        return (self._epoch << COUNTER_BITS) | self._counter


class ChangeState(Enum):
    """States of an engine change; CONFIRMED and FAILED are final."""

    PLANNED = "planned"
    DRAINING = "draining"
    COMMANDED = "commanded"
    CONFIRMED = "confirmed"
    FAILED = "failed"


class EngineChange:
    """State machine of one engine's change.

    The command is not sent earlier than ``not_before``.
    """

    def __init__(
        self,
        upstream: UpstreamId,
        command: EngineCommand,
        fencing_number: int,
        not_before: timedelta,
    ) -> None:
        self._upstream = upstream
        self._command = command
        self._fencing_number = fencing_number
        self._not_before = not_before
        self._state = ChangeState.PLANNED
        self._deadline = timedelta(0)
        self._command_attempts = 0
        self._drained = False

    @property
    def state(self) -> ChangeState:
        """Current state of the change."""
        return self._state

    @property
    def upstream(self) -> UpstreamId:
        """Engine that the change applies to."""
        return self._upstream

    @property
    def fencing_number(self) -> int:
        """Fencing number of the change's command."""
        return self._fencing_number

    @property
    def ended(self) -> bool:
        """Whether the change is confirmed or has failed."""
        return self._state in (ChangeState.CONFIRMED, ChangeState.FAILED)

    def start(self, now: timedelta) -> list[PlacementEffect]:
        """Return the effect that begins the drain, or nothing if the change has begun already."""
        if self._state is not ChangeState.PLANNED:
            return []
        self._state = ChangeState.DRAINING
        self._deadline = max(now, self._not_before) + DRAIN_TIMEOUT
        return [DrainThenCommand(self._upstream, self._command, self._fencing_number)]

    def update_drain(self, progress: DrainProgress) -> None:
        """Record the progress of the drain; new work makes the drain incomplete again."""
        self._drained = self._is_drained(progress)

    def advance(self, now: timedelta) -> list[PlacementEffect]:
        """Return the effects that are due: sending the command, or failing after a time-out.

        The command is sent once the drain is complete. While it has no answer and the engine is
        still drained, it is sent again, at most MAX_COMMAND_ATTEMPTS times in all.
        """
        if self._state is ChangeState.DRAINING:
            if self._drained and now >= self._not_before:
                return self._send(now)
            if now >= self._deadline:
                return self._fail("the drain did not end in time")
        elif self._state is ChangeState.COMMANDED and now >= self._deadline:
            if self._command_attempts < MAX_COMMAND_ATTEMPTS and self._drained:
                return self._send(now)
            return self._fail("the engine did not answer")
        return []

    def handle_answer(self, answer: CommandAnswered) -> list[PlacementEffect]:
        """Return the effects of the engine's answer; answers to other commands are ignored."""
        if (
            self._state is not ChangeState.COMMANDED
            or answer.fencing_number != self._fencing_number
        ):
            return []
        if not answer.succeeded:
            return self._fail(answer.detail or "the engine refused the command")
        self._state = ChangeState.CONFIRMED
        action = ActionTaken("placement", "change", self._upstream, repr(self._command))
        return [EndDrain(self._upstream), action]

    def abandon(self, reason: str) -> list[PlacementEffect]:
        """Fail an unfinished change, for example because another node may own the engine now."""
        return [] if self.ended else self._fail(reason)

    @staticmethod
    def _is_drained(progress: DrainProgress) -> bool:
        return progress.withdrawn and progress.in_flight == 0

    def _send(self, now: timedelta) -> list[PlacementEffect]:
        self._state = ChangeState.COMMANDED
        self._command_attempts += 1
        self._deadline = now + COMMAND_TIMEOUT
        return [SendCommand(self._upstream, self._command, self._fencing_number, COMMAND_TIMEOUT)]

    def _fail(self, reason: str) -> list[PlacementEffect]:
        self._state = ChangeState.FAILED
        return [
            EndDrain(self._upstream),
            ActionTaken("placement", "change failed", self._upstream, reason),
        ]
