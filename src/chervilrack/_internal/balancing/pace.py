"""Pace of upstreams: how long their work takes now, relative to the expected time.

A pace of 2 means twice as slow as expected. Two sources tell it: the times that this node has
measured, and the slowdown of its VM that an upstream may state in its answers. Both are a little
old when they are used, and either may be wrong.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from chervilrack._internal.common.ids import UpstreamId

_ZERO = timedelta(0)
USUAL = 1.0
MIN_RATIO = 0.2
MAX_RATIO = 20.0


@dataclass(frozen=True, slots=True)
class PaceSettings:
    """How long observations of the pace count, and how far statements are trusted."""

    # Weight of one measured time in the moving average of an upstream's pace.
    measured_weight: float = 0.3
    # Half-life of the deviation from the usual pace without new measured times.
    measured_half_life: timedelta = timedelta(seconds=4)
    # Half-life of the deviation that an upstream states. The load of a shared VM changes many
    # times per second.
    stated_half_life: timedelta = timedelta(milliseconds=250)
    # Trust in the statements of an upstream before they were compared with measured times.
    initial_trust: float = 0.5
    # Weight of one comparison in the trust.
    trust_weight: float = 0.2
    # Measured and stated slowdowns that both differ by less than this factor from the usual pace
    # show nothing of the trust.
    least_contrast: float = 1.15
    # Upstreams with statements that are remembered.
    max_upstreams: int = 4096


class PaceSource(Enum):
    """What a belief about a pace rests on."""

    NOTHING = "nothing"
    MEASURED = "measured"
    STATED = "stated"


@dataclass(frozen=True, slots=True)
class PaceBelief:
    """What this node believes of an upstream's pace.

    ``age`` is that of the youngest evidence of ``source``; None without any.
    """

    pace: float
    source: PaceSource
    age: timedelta | None = None


@dataclass(slots=True)
class UpstreamPace:
    """Moving average of the ratio of measured to expected times at one upstream."""

    ratio: float = USUAL
    at: timedelta = _ZERO


@dataclass(slots=True)
class _Statement:
    """The last slowdown that an upstream has stated, and how far it is trusted."""

    slowdown: float
    at: timedelta
    trust: float


class PaceBook:
    """Measured and stated paces of upstreams at one node.

    Without new evidence, a measured pace returns to the usual one, and a stated one gives way to
    the measured one. A statement counts less the less it has agreed with the times measured since.
    """

    def __init__(self, settings: PaceSettings | None = None) -> None:
        self.settings = settings or PaceSettings()
        self._measured: dict[UpstreamId, UpstreamPace] = {}
        self._statements: OrderedDict[UpstreamId, _Statement] = OrderedDict()

    @property
    def has_statements(self) -> bool:
        """Whether an upstream has stated the slowdown of its VM to this node."""
        return bool(self._statements)

    def record_time(
        self, upstream: UpstreamId, expected: timedelta, took: timedelta, now: timedelta
    ) -> None:
        """Record how long work has taken at an upstream; times without expectation are ignored."""
        if expected <= _ZERO:
            return
        settings = self.settings
        ratio = min(MAX_RATIO, max(MIN_RATIO, took / expected))
        self._compare(upstream, ratio, now)
        average = self.measured(upstream, now)
        weight = settings.measured_weight
        self._measured[upstream] = UpstreamPace((1 - weight) * average + weight * ratio, now)

    def record_statement(self, upstream: UpstreamId, slowdown: float, now: timedelta) -> None:
        """Record the slowdown of its VM that an upstream states."""
        known = self._statements.get(upstream)
        trust = known.trust if known is not None else self.settings.initial_trust
        stated = min(MAX_RATIO, max(MIN_RATIO, slowdown))
        self._statements[upstream] = _Statement(stated, now, trust)
        self._statements.move_to_end(upstream)
        if len(self._statements) > self.settings.max_upstreams:
            self._statements.popitem(last=False)

    def measured(self, upstream: UpstreamId, now: timedelta) -> float:
        """Return the measured pace of an upstream, decayed towards the usual pace."""
        pace = self._measured.get(upstream)
        if pace is None:
            return USUAL
        decay = _decay(now - pace.at, self.settings.measured_half_life)
        return USUAL + (pace.ratio - USUAL) * decay

    def believed(self, upstream: UpstreamId, now: timedelta) -> PaceBelief:
        """Return what to believe of an upstream's pace.

        A stated slowdown moves the measured pace by its trust and its youth. Without statements
        the belief is the measured pace.
        """
        measured = self.measured(upstream, now)
        statement = self._statements.get(upstream)
        if statement is not None:
            age = max(_ZERO, now - statement.at)
            weight = statement.trust * _decay(age, self.settings.stated_half_life)
            if weight >= 0.05:
                logarithm = (1 - weight) * math.log(measured)
                logarithm += weight * math.log(statement.slowdown)
                return PaceBelief(math.exp(logarithm), PaceSource.STATED, age)
        pace = self._measured.get(upstream)
        if pace is None:
            return PaceBelief(USUAL, PaceSource.NOTHING)
        return PaceBelief(measured, PaceSource.MEASURED, max(_ZERO, now - pace.at))

    def stated_factor(self, upstream: UpstreamId, now: timedelta) -> float:
        """Return by how much statements change the measured pace; 1 without any."""
        return self.believed(upstream, now).pace / self.measured(upstream, now)

    def trust(self, upstream: UpstreamId) -> float | None:
        """Return the trust in an upstream's statements, None if it has made none."""
        statement = self._statements.get(upstream)
        return statement.trust if statement is not None else None

    def forget(self, upstream: UpstreamId) -> None:
        """Drop what is known of an upstream that is gone."""
        self._measured.pop(upstream, None)
        self._statements.pop(upstream, None)

    def _compare(self, upstream: UpstreamId, ratio: float, now: timedelta) -> None:
        """Update the trust in a young statement by whether it is nearer to the measured ratio.

        A statement that says that all is usual proves itself only at a usual time.
        """
        statement = self._statements.get(upstream)
        if statement is None or now - statement.at > 4 * self.settings.stated_half_life:
            return
        contrast = math.log(self.settings.least_contrast)
        measured, stated = math.log(ratio), math.log(statement.slowdown)
        if abs(measured) < contrast and abs(stated) < contrast:
            return
        agrees = abs(measured - stated) < max(abs(measured), abs(stated)) / 2
        statement.trust += ((1.0 if agrees else 0.0) - statement.trust) * self.settings.trust_weight


def _decay(age: timedelta, half_life: timedelta) -> float:
    return float(0.5 ** (max(_ZERO, age) / half_life))
