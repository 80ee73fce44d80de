"""Relays an event stream to a caller in whole events, over one or more attempts."""

from collections.abc import Sequence

from chervilrack._internal.forwarding.context import RequestContext
from chervilrack._internal.forwarding.messages import Responder
from chervilrack._internal.upstreams.event_stream import EventSplitter
from chervilrack._internal.upstreams.exchange import Exchange, ExchangeFailed

# A resumable stream counts as broken after a pause of this multiple of the longest one that its
# route allows, but at the latest after LONGEST_GAP_S.
GAP_FACTOR = 3.0
LONGEST_GAP_S = 2.0


class StreamRelay:
    """Relays events as they arrive. The response head is sent with the first event."""

    def __init__(self, context: RequestContext, responder: Responder) -> None:
        self._context = context
        self._responder = responder

    def run(
        self,
        status: int,
        headers: Sequence[tuple[str, str]],
        exchange: Exchange,
        deadline: float,
    ) -> None:
        """Relay one upstream's stream to its end. Raises ExchangeFailed if the stream breaks."""
        context = self._context
        splitter = EventSplitter()
        try:
            for part in exchange.parts(deadline, self._longest_gap()):
                events = splitter.feed(part)
                if events:
                    self._begin(status, headers)
                    self._responder.write(b"".join(event.data for event in events))
                    ids = [event.id for event in events if event.id is not None]
                    if ids:
                        context.last_event = ids[-1]
        except ValueError as error:
            raise ExchangeFailed(str(error), sent=True) from None
        if splitter.rest.strip():
            raise ExchangeFailed("the stream ended within an event", sent=True)
        self._begin(status, headers)
        self._responder.end()

    def _begin(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        if not self._context.stream_begun:
            self._context.stream_begun = True
            self._responder.begin(status, headers)

    def _longest_gap(self) -> float | None:
        """Return the seconds without data after which the stream counts as broken."""
        gap = self._context.route.max_gap
        if gap is None or not self._context.route.resumable:
            return None
        return min(LONGEST_GAP_S, GAP_FACTOR * gap.total_seconds())
