"""Settings of the queues of stage services."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class BatchingSettings:
    """Parameters of a stage queue.

    The pace of an upstream is the ratio of the actual to the expected time of its calls.
    """

    # Number of calls after which a piece without a result has failed.
    max_attempts: int = 3
    # The pieces of a call are called again elsewhere after the call's expected time, multiplied by
    # this ratio, plus this slack. Upstreams of one service differ by a factor of about 1.3.
    straggler_ratio: float = 1.8
    straggler_slack: timedelta = timedelta(milliseconds=150)
    # Upstreams with this pace or more are used only when the others cannot work off the queue.
    slow_pace: float = 2.0
    # A call times out after its expected time, multiplied by this ratio, plus the bound on the
    # silence of a sound upstream (``SilencePolicy``).
    timeout_ratio: float = 4.0
    # An order that misses its target is due after this share of the time between its target and its
    # deadline. The rest of that time covers queues that turn out longer than predicted.
    late_due_share: float = 0.9
    # Late orders may wait whose work all usable upstreams do in this time; others are refused. With
    # 1.5 s, a third of the requests that arrive 4 s after a burst is still late; with 0.5 s, 6 in
    # 1,000 are refused in bursts that a queue works off by itself.
    late_backlog: timedelta = timedelta(milliseconds=750)
    # Share of the capacity of full calls that is assumed when orders are checked against their
    # targets.
    target_fill: float = 0.9
    # Time of a round of calls relative to the time of one full call, when orders are checked
    # against their targets. It exceeds 1 because upstreams are idle between calls.
    target_slowdown: float = 1.2
    # Factor by which the pieces of an order count more for each step of lower priority, when orders
    # are chosen that miss their targets.
    priority_weight: float = 1.5
    # A call filled to less than this share takes a part of one more order.
    min_fill: float = 0.9
    # An order may wait for an upstream in its zone if its pieces move at least this many bytes.
    min_move_bytes: int = 100_000
    # An order waits for its zone only if it then meets its target with this margin, which covers
    # the queues of the later stages.
    zone_margin: timedelta = timedelta(milliseconds=250)
    # An upstream reads the inputs of a call when the call gets its turn. The inputs have been read
    # this long after the call was sent, plus the time of their transfer.
    input_read_time: timedelta = timedelta(milliseconds=40)
    # Links of stage upstreams carry 10 Gbit/s.
    read_bytes_per_s: float = 1.25e9
    # For this time after a failure, a straggler or a change of owners, calls may start late, and
    # inputs are kept until the calls that read them have ended.
    disruption_period: timedelta = timedelta(seconds=3)
    # At this pace or more, calls to an upstream probably wait behind calls of another owner.
    contended_pace: float = 1.25
    # Change of the usual pace of a service with each call, and the bounds of the usual pace. The
    # upper bound keeps calls that wait behind calls of another owner from becoming usual.
    pace_step: float = 0.02
    min_usual_pace: float = 0.5
    max_usual_pace: float = 1.5
    # An upstream without room for a result gets no call for this time.
    no_room_delay: timedelta = timedelta(milliseconds=40)
    # Time for which space that results of other owners were found to occupy counts as occupied.
    other_owners_period: timedelta = timedelta(milliseconds=800)
    # Share of the capacity of full calls that is assumed when waiting times are predicted.
    predicted_fill: float = 0.8
    # Number of freed handles that a queue remembers. A queue frees some hundred results within the
    # lifetime of a result.
    max_remembered_frees: int = 4096
