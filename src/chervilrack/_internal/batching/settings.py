"""Settings of the queues of stage services."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class BatchingSettings:
    """Tuning of the queues."""

    # Calls of one piece before it counts as failed.
    max_attempts: int = 3
    # A call that takes this many times its expected time, and this much longer, is repeated
    # elsewhere. Upstreams of one service differ by a factor of about 1.3.
    straggler_ratio: float = 1.8
    straggler_slack: timedelta = timedelta(milliseconds=150)
    # Pace from which an upstream is used only when the others cannot take the queue.
    slow_pace: float = 2.0
    # A call is given up after this many times its expected time, and this much longer.
    timeout_ratio: float = 4.0
    timeout_slack: timedelta = timedelta(seconds=1)
    # A piece that misses its target has to be done after this part of the time that is left then.
    # The rest covers queues that are longer than predicted.
    late_share: float = 0.6
    # Inputs are read at the latest this long before they would be dropped: they are up to one
    # call older than the order, and the call has to get its turn.
    lifetime_margin: timedelta = timedelta(milliseconds=1500)
    # Part of the capacity of full calls that counts when orders are checked against their targets.
    target_fill: float = 0.9
    # Calls that wait take this many times their own time, because upstreams stand idle in between.
    target_slowdown: float = 1.2
    # An order of the next lower rank gives way to one of this many times its pieces.
    rank_weight: float = 1.5
    # A call with less than this part of its pieces takes a part of one more order.
    least_fill: float = 0.9
    # From this many bytes on a piece may wait for an upstream of its zone.
    min_move_bytes: int = 100_000
    # It waits only if its target is still met with this margin for the queues after it.
    zone_margin: timedelta = timedelta(milliseconds=250)
    # An upstream reads the inputs of a call when its turn comes; this long after the call was sent,
    # and after the time that the inputs take on its link, it has them.
    read_time: timedelta = timedelta(milliseconds=40)
    # Links of stage upstreams carry 10 Gbit/s, as the users' sheets say.
    read_bytes_per_s: float = 1.25e9
    # For this time after a failure, a straggler or a change of owners a call may start late, and
    # inputs are kept until its end.
    disruption_period: timedelta = timedelta(seconds=3)
    # Pace from which calls seem to wait behind those of another owner.
    usual_pace: float = 1.25
    # An upstream without room is tried again after this time.
    room_pause: timedelta = timedelta(milliseconds=40)
    # Time for which space found taken by results of another owner counts as taken.
    foreign_time: timedelta = timedelta(milliseconds=800)
    # Part of the capacity of full calls that a prediction counts on.
    predicted_fill: float = 0.8
    # Handles of freed results that are remembered; a queue frees some hundred in their lifetime.
    remembered_frees: int = 4096
