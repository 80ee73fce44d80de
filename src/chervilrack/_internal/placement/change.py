"""One change of an engine: drain, then a fenced command."""

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

# The longest attempt (6 s), its cancellation (1 s) and the spread of the drain to all nodes.
DRAIN_TIMEOUT = timedelta(seconds=20)
# A load of 100 GB at 1 GB/s; the engine answers when the load has ended.
COMMAND_TIMEOUT = timedelta(seconds=120)
COMMAND_TRIES = 3
# Commands of one epoch; a node issues far fewer.
COUNTER_BITS = 20


class FencingNumbersExhaustedError(ChervilrackError):
    """More commands were issued in one epoch than fencing numbers exist."""


class FencingNumbers:
    """Numbers that increase with (epoch, counter)."""

    def __init__(self) -> None:
        self._epoch = Epoch(0)
        self._counter = 0

    def start_epoch(self, epoch: Epoch) -> None:
        """Begin the numbers of a later epoch."""
        if epoch > self._epoch:
            self._epoch = epoch
            self._counter = 0

    def next(self) -> int:
        """Return a number above all earlier ones."""
        self._counter += 1
        if self._counter >> COUNTER_BITS:
            raise FencingNumbersExhaustedError(f"epoch {self._epoch} has no numbers left")
        return (self._epoch << COUNTER_BITS) | self._counter


class ChangeState(Enum):
    """States of a change."""

    PLANNED = "planned"
    DRAINING = "draining"
    COMMANDED = "commanded"
    CONFIRMED = "confirmed"
    FAILED = "failed"


class EngineChange:
    """State machine of one change. ``not_before`` is the earliest time of its command."""

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
        self._until = timedelta(0)
        self._tries = 0
        self._drained = False

    @property
    def state(self) -> ChangeState:
        """Current state."""
        return self._state

    @property
    def upstream(self) -> UpstreamId:
        """Engine that changes."""
        return self._upstream

    @property
    def fencing_number(self) -> int:
        """Number that the command carries."""
        return self._fencing_number

    @property
    def ended(self) -> bool:
        """Whether nothing more will happen."""
        return self._state in (ChangeState.CONFIRMED, ChangeState.FAILED)

    def start(self, now: timedelta) -> list[PlacementEffect]:
        """Begin the drain."""
        if self._state is not ChangeState.PLANNED:
            return []
        self._state = ChangeState.DRAINING
        self._until = max(now, self._not_before) + DRAIN_TIMEOUT
        return [DrainThenCommand(self._upstream, self._command, self._fencing_number)]

    def drain_progress(self, progress: DrainProgress) -> None:
        """Note how far the drain is; work that starts again undoes it."""
        self._drained = self._is_drained(progress)

    def advance(self, now: timedelta) -> list[PlacementEffect]:
        """Send the command once the drain is complete; give up after the time-outs."""
        if self._state is ChangeState.DRAINING:
            if self._drained and now >= self._not_before:
                return self._send(now)
            if now >= self._until:
                return self._fail("the drain did not end in time")
        elif self._state is ChangeState.COMMANDED and now >= self._until:
            if self._tries < COMMAND_TRIES and self._drained:
                return self._send(now)
            return self._fail("the engine did not answer")
        return []

    def answered(self, answer: CommandAnswered) -> list[PlacementEffect]:
        """Take the engine's answer; answers to other commands are ignored."""
        if (
            self._state is not ChangeState.COMMANDED
            or answer.fencing_number != self._fencing_number
        ):
            return []
        if not answer.succeeded:
            return self._fail(answer.detail or "the engine refused the command")
        self._state = ChangeState.CONFIRMED
        done = ActionTaken("placement", "change", self._upstream, repr(self._command))
        return [EndDrain(self._upstream), done]

    def abandon(self, reason: str) -> list[PlacementEffect]:
        """Give up, for example because another node owns the engine now."""
        return [] if self.ended else self._fail(reason)

    @staticmethod
    def _is_drained(progress: DrainProgress) -> bool:
        return progress.withdrawn and progress.in_flight == 0

    def _send(self, now: timedelta) -> list[PlacementEffect]:
        self._state = ChangeState.COMMANDED
        self._tries += 1
        self._until = now + COMMAND_TIMEOUT
        return [SendCommand(self._upstream, self._command, self._fencing_number, COMMAND_TIMEOUT)]

    def _fail(self, reason: str) -> list[PlacementEffect]:
        self._state = ChangeState.FAILED
        return [
            EndDrain(self._upstream),
            ActionTaken("placement", "change failed", self._upstream, reason),
        ]
