"""Relays an event stream to a caller in whole events, over one or more attempts."""

import math
import time
from collections.abc import Callable, Sequence
from datetime import timedelta

from chervilrack._internal.forwarding.context import RequestContext
from chervilrack._internal.forwarding.messages import Responder
from chervilrack._internal.upstreams.event_stream import EventSplitter
from chervilrack._internal.upstreams.exchange import Exchange, ExchangeFailed

# An upstream that crashes on a request may still have sent one event of its answer.
BEGUN_EVENTS = 2
# Time after which it is asked again whether a stalled stream should be continued elsewhere.
_REVIEW_INTERVAL_S = 0.25


class StreamRelay:
    """Relays events as they arrive. The response head is sent with the first event.

    After ``gap`` without an event, ``should_move`` returns whether another upstream should continue
    the stream. ``on_bytes`` is called whenever bytes have arrived, and ``on_begun`` once the
    upstream has sent ``BEGUN_EVENTS`` events and has thus survived the start of its answer.
    """

    def __init__(
        self,
        context: RequestContext,
        responder: Responder,
        should_move: Callable[[], bool],
        gap: timedelta,
        on_bytes: Callable[[], None],
        on_begun: Callable[[], None] = lambda: None,
    ) -> None:
        self._context = context
        self._responder = responder
        self._should_move = should_move
        self._on_bytes = on_bytes
        self._on_begun = on_begun
        self._events = 0
        may_move = context.route.resumable and context.route.max_gap is not None
        self._gap_s = gap.total_seconds() if may_move else None
        # Monotonic time in seconds at which the next event is due.
        self._next_event_due = math.inf

    @property
    def has_events(self) -> bool:
        """Whether an event of this attempt has been relayed."""
        return self._events > 0

    def run(
        self,
        status: int,
        headers: Sequence[tuple[str, str]],
        exchange: Exchange,
        deadline: float,
    ) -> None:
        """Relay one upstream's stream; ``finish`` ends the response.

        Raises ExchangeFailed if the stream breaks.
        """
        sequence = self._context.events
        is_continuation = self._context.stream_begun
        splitter = EventSplitter()
        self._expect_event()
        try:
            sequence.begin_attempt(headers)
            for part in exchange.parts(deadline, self._progress_deadline):
                self._on_bytes()
                events = splitter.feed(part)
                exchange.reserve(len(splitter.rest))
                while events:
                    accepted = sequence.check(events, is_continuation=is_continuation)
                    self._begin(status, headers)
                    self._responder.write(b"".join(event.data for event in accepted))
                    self._count(sum(not event.is_comment for event in accepted))
                    if not all(event.is_comment for event in accepted):
                        self._context.last_event_at = timedelta(seconds=time.monotonic())
                        self._expect_event()
                    events = events[len(accepted) :]
        except ValueError as error:  # SequenceBroken, or an event without an end
            raise ExchangeFailed(str(error), sent=True) from None
        if splitter.rest.strip():
            raise ExchangeFailed("the stream ended within an event", sent=True)
        self._begin(status, headers)

    def finish(self) -> None:
        """End the response, and wait until the caller has read it."""
        self._responder.end()

    def _count(self, events: int) -> None:
        before, self._events = self._events, self._events + events
        if before < BEGUN_EVENTS <= self._events:
            self._on_begun()

    def _begin(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        if not self._context.stream_begun:
            self._context.stream_begun = True
            self._responder.begin(status, headers)

    def _expect_event(self) -> None:
        if self._gap_s is not None:
            self._next_event_due = time.monotonic() + self._gap_s

    def _progress_deadline(self) -> float:
        """Return the time at which the stream counts as broken unless an event arrives.

        A stream that no other upstream can continue sooner is not broken off: it may only be slow.
        """
        now = time.monotonic()
        if now >= self._next_event_due and not self._should_move():
            self._next_event_due = now + _REVIEW_INTERVAL_S
        return self._next_event_due
