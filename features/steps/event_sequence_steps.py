"""Steps for the sequence of events that several attempts of one stream form."""

from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st

from chervilrack._internal.forwarding.event_sequence import EventSequence, SequenceBroken
from chervilrack._internal.upstreams.event_stream import EventSplitter


def event(number):
    if number is None:
        return b"data: an error\n\n"
    return b": comment\n\n" if number == 0 else b"id: %d\ndata: piece %d\n\n" % (number, number)


def relay(attempts, block_size, types=()):
    """Return the bytes that a caller gets from some attempts, each a list of event ids."""
    sequence = EventSequence()
    relayed = b""
    for index, numbers in enumerate(attempts):
        is_continuation = bool(relayed)
        if is_continuation and not sequence.can_resume:
            break
        splitter = EventSplitter()
        content = b"".join(map(event, numbers))
        media_type = types[index] if index < len(types) else "text/event-stream"
        try:
            sequence.begin_attempt([("Content-Type", media_type)])
            for start in range(0, len(content), block_size):
                events = splitter.feed(content[start : start + block_size])
                while events:
                    accepted = sequence.check(events, is_continuation=is_continuation)
                    relayed += b"".join(item.data for item in accepted)
                    events = events[len(accepted) :]
        except SequenceBroken:
            continue
    return relayed


IDS = st.one_of(st.none(), st.integers(0, 8))


@then("attempts that repeat, skip, reorder or invent events never disturb a stream")
def check_faulty_attempts(context):
    @for_all(
        st.integers(1, 5),
        st.lists(st.lists(IDS, max_size=6), max_size=3),
        st.integers(1, 60),
        st.lists(st.sampled_from(["text/event-stream", "application/json"]), max_size=4),
    )
    def check(first, continuations, block_size, types):
        attempts = [list(range(1, first + 1)), *continuations]
        relayed = relay(attempts, block_size, ["text/event-stream", *types])
        events = relayed.replace(b": comment\n\n", b"")
        count = events.count(b"id: ")
        assert events == b"".join(event(number) for number in range(1, count + 1)), relayed

    check()


@then("a stream with ids of any steps passes whole")
def check_sound_stream(context):
    @for_all(st.sets(st.integers(1, 10_000), min_size=1, max_size=20), st.integers(1, 60))
    def check(numbers, block_size):
        ids = sorted(numbers)
        assert relay([ids], block_size) == b"".join(map(event, ids))

    check()
