"""Forecasts how long the rest of a request takes, from the times of earlier requests.

Two questions are answered. How long does work take if it goes well: a request that does not fit
even then is refused. And how long does it take with high probability: a node that stops takes only
what fits. Without evidence, the first answer is zero and the second the request's own bound. Times
are monotonic.
"""

from collections import deque
from collections.abc import Collection, Hashable, Iterable
from datetime import timedelta

from chervilrack._internal.forecast.quantiles import DurationQuantiles
from chervilrack._internal.forecast.state import (
    MAX_TIME,
    Basis,
    Evidence,
    Misfit,
    PartForecast,
    Rest,
    StreamSize,
    Subject,
    Work,
)

# Share of the earlier requests that end within the time that a new request is expected to take. A
# request that exceeds it gets an error response in the end. A stream that has begun can get none,
# and many nodes that stop make the others slower, so that the time for streams has a margin.
REQUEST_QUANTILE = 0.95
STREAM_QUANTILE = 0.99
STREAM_MARGIN = 1.5
# A request that has been taken is continued if it is more likely to end in time than not.
ATTEMPT_QUANTILE = 0.5
# Share of the earlier requests that took less than a request takes if it goes well.
FAVOURABLE_QUANTILE = 0.1
# After this time an observation counts half as much for the favourable times.
FAVOURABLE_HALF_LIFE = timedelta(seconds=5)
# Weight of the observations, by age, below which nothing counts as known.
MIN_OBSERVATIONS = 5.0
# The latest observations, none of which is shorter than the favourable time: upstreams that have
# become faster are noticed with the first of them.
LATEST_OBSERVATIONS = 8
# Without an observation for this long, what is known may have changed, and requests are tried.
MAX_AGE = timedelta(seconds=3)
# Tokens for which the time of a stream is recorded, so that short times per token keep their
# precision.
TOKEN_UNIT = 1000
# Largest stated number of tokens that counts.
MAX_TOKENS = 10**9


class FavourableTimes:
    """Times of one kind of work, and the sizes for which they were observed."""

    def __init__(self) -> None:
        self._quantiles = DurationQuantiles(FAVOURABLE_HALF_LIFE)
        self._latest: deque[tuple[timedelta, int]] = deque(maxlen=LATEST_OBSERVATIONS)
        self._latest_at = timedelta(0)

    def record(self, duration: timedelta, size: int, now: timedelta) -> None:
        """Add the duration of work of a size."""
        duration = max(timedelta(0), min(duration, MAX_TIME))
        self._quantiles.record(duration, now)
        self._latest.append((duration, size))
        self._latest_at = max(now, self._latest_at)

    def evidence(self, now: timedelta) -> Evidence | None:
        """Return the evidence; None if there are too few observations, or none of late."""
        age = max(timedelta(0), now - self._latest_at)
        count = self._quantiles.count(now)
        if len(self._latest) < LATEST_OBSERVATIONS or count < MIN_OBSERVATIONS or age > MAX_AGE:
            return None
        return Evidence(count, age)

    @property
    def time(self) -> timedelta:
        """Time that work takes if it goes well."""
        fastest = min(duration for duration, _ in self._latest)
        return min(self._quantiles.lower_quantile(FAVOURABLE_QUANTILE), fastest)

    @property
    def sizes(self) -> tuple[int, int]:
        """Smallest and largest size of the latest observations."""
        sizes = [size for _, size in self._latest]
        return min(sizes), max(sizes)


class Forecaster:
    """Times of requests by route and service, and the forecasts from them; not thread-safe."""

    def __init__(self) -> None:
        self._durations: dict[tuple[Hashable, Work], DurationQuantiles] = {}
        self._stages: dict[tuple[Subject, tuple[bool, ...]], FavourableTimes] = {}
        self._first_events: dict[Subject, FavourableTimes] = {}
        self._paces: dict[Subject, FavourableTimes] = {}

    # Observations

    def record(self, route: Hashable, work: Work, duration: timedelta, now: timedelta) -> None:
        """Record how long work of a route took, whatever its size."""
        self._durations.setdefault((route, work), DurationQuantiles()).record(duration, now)

    def record_stages(
        self, subject: Subject, pieces: Collection[int], took: timedelta, now: timedelta
    ) -> None:
        """Record how long all stages of a request with these numbers of pieces took."""
        key = (subject, _stages_of(pieces))
        self._stages.setdefault(key, FavourableTimes()).record(took, sum(pieces), now)

    def record_first_event(
        self, subject: Subject, size: StreamSize, took: timedelta, now: timedelta
    ) -> None:
        """Record the time from the start of an attempt to the first event of its stream."""
        times = self._first_events.setdefault(subject, FavourableTimes())
        times.record(took, size.prompt_tokens, now)

    def record_stream(
        self, subject: Subject, size: StreamSize, took: timedelta, now: timedelta
    ) -> None:
        """Record the time from the first event to the end of a stream.

        Of a stream that was cut off at its deadline, that is the time that it takes at least.
        """
        tokens = min(size.output_tokens, MAX_TOKENS)
        if size.resumed or tokens <= 0:
            return
        took = max(timedelta(0), min(took, MAX_TIME))
        times = self._paces.setdefault(subject, FavourableTimes())
        times.record(took * TOKEN_UNIT / tokens, tokens, now)

    def retain(self, subjects: frozenset[Subject]) -> None:
        """Forget the times of all other routes."""
        self._durations = {k: v for k, v in self._durations.items() if k[0] in subjects}
        self._stages = {k: v for k, v in self._stages.items() if k[0] in subjects}
        self._first_events = {k: v for k, v in self._first_events.items() if k in subjects}
        self._paces = {k: v for k, v in self._paces.items() if k in subjects}

    # Forecasts

    def stages(self, subject: Subject, pieces: Collection[int], now: timedelta) -> PartForecast:
        """Return the time that the stages of a request take if they go well."""
        times = self._stages.get((subject, _stages_of(pieces)))
        evidence = times.evidence(now) if times is not None else None
        if times is None or evidence is None or sum(pieces) < times.sizes[0]:
            return PartForecast()
        return PartForecast(times.time, evidence)

    def attempt(self, subject: Subject, size: StreamSize, now: timedelta) -> Rest:
        """Return the rest of a stream whose next attempt begins now, without its stages.

        The time of more output tokens than were observed of late is that of as many as were
        observed. A prompt that is shorter than the latest ones tells nothing of its first event.
        """
        if size.resumed:
            return Rest()
        return Rest(
            first_event=self._first_event(subject, size, now),
            stream=self._stream(subject, size, now),
        )

    def misfit(self, rest: Rest, left: timedelta) -> Misfit | None:
        """Return why the rest of a request does not fit into the time left; None if it may."""
        return Misfit(rest, left) if rest.is_known and rest.total > left else None

    def cautious_time(
        self, route: Hashable, work: Work, bound: timedelta, now: timedelta, *, is_stream: bool
    ) -> tuple[timedelta, Basis]:
        """Return the time that work takes with high probability, and what determines it.

        ``bound`` is the time until the request's own deadline. The time of a new request lies
        between the usual time and the bound, nearer to the usual time the more observations there
        are. Attempts of a request that has been taken are expected to take the usual time.
        """
        durations = self._durations.get((route, work))
        if durations is None:
            return (timedelta(0) if work is Work.ATTEMPT else bound), Basis.OWN_BOUND
        if work is Work.ATTEMPT:
            usual = durations.quantile(ATTEMPT_QUANTILE)
        elif is_stream:
            usual = durations.quantile(STREAM_QUANTILE) * STREAM_MARGIN
        else:
            usual = durations.quantile(REQUEST_QUANTILE)
        if usual >= bound:
            return bound, Basis.OWN_BOUND
        if work is Work.ATTEMPT:
            return usual, Basis.USUAL_TIME
        # Probability that the next of n + 1 exchangeable durations is the longest.
        exceeds_all = 1.0 / (durations.count(now) + 1.0)
        return usual + (bound - usual) * exceeds_all, Basis.USUAL_TIME

    def _first_event(self, subject: Subject, size: StreamSize, now: timedelta) -> PartForecast:
        times = self._first_events.get(subject)
        evidence = times.evidence(now) if times is not None else None
        if times is None or evidence is None or size.prompt_tokens < times.sizes[0]:
            return PartForecast()
        return PartForecast(times.time, evidence)

    def _stream(self, subject: Subject, size: StreamSize, now: timedelta) -> PartForecast:
        times = self._paces.get(subject)
        evidence = times.evidence(now) if times is not None else None
        if times is None or evidence is None:
            return PartForecast()
        tokens = max(0, min(size.output_tokens, times.sizes[1]))
        return PartForecast(min(MAX_TIME, times.time * (tokens / TOKEN_UNIT)), evidence)


def _stages_of(pieces: Iterable[int]) -> tuple[bool, ...]:
    """Return which stages a request has, from its numbers of pieces."""
    return tuple(count > 0 for count in pieces)
