"""Confirmation of a node: the right to act, from votes of witnesses or from relays."""

from datetime import timedelta

from chervilrack._internal.common.ids import Epoch
from chervilrack._internal.membership.messages import Heartbeat
from chervilrack._internal.membership.state import MembershipSettings, Process, View
from chervilrack._internal.membership.witnesses import majority

MICROSECOND = timedelta(microseconds=1)
# Number of heartbeats whose send times are kept. A reply to an older heartbeat arrives after the
# end of the validity that it could give.
MAX_PENDING_HEARTBEATS = 32


class Confirmation:
    """Validity of this node's right to act.

    After a new view is adopted, a confirmation of the previous epoch stays valid until it expires.
    This is safe because an epoch becomes active only after all confirmations of earlier epochs
    have expired.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._epoch = Epoch(0)
        self._witnesses: tuple[Process, ...] = ()
        self._votes: dict[Process, timedelta] = {}
        self._send_times: dict[int, timedelta] = {}
        self._valid_until: timedelta | None = None
        self._confirmed_epoch = Epoch(0)

    @property
    def valid_until(self) -> timedelta | None:
        """End of the right to act; None if the node never had the right or has lost it."""
        return self._valid_until

    @property
    def epoch(self) -> Epoch:
        """Epoch at which the right to act was last extended."""
        return self._confirmed_epoch

    def start_epoch(self, view: View, member: bool) -> None:
        """Count votes for ``view`` from now on; a non-member loses its right to act."""
        self._epoch = view.epoch
        self._witnesses = view.witnesses
        self._votes.clear()
        self._send_times.clear()
        if not member:
            self._valid_until = None

    def record_heartbeat(self, now: timedelta) -> int:
        """Record that a heartbeat is sent at ``now`` and return its send time in microseconds."""
        sent = now // MICROSECOND
        self._send_times[sent] = now
        while len(self._send_times) > MAX_PENDING_HEARTBEATS:
            del self._send_times[next(iter(self._send_times))]
        return sent

    def vote(self, witness: Process, epoch: Epoch, sent: int) -> None:
        """Count the confirmation by ``witness`` of the heartbeat that was sent at ``sent``."""
        sent_at = self._send_times.get(sent)
        if epoch != self._epoch or sent_at is None or witness not in self._witnesses:
            return
        self._votes[witness] = max(sent_at, self._votes.get(witness, sent_at))
        needed = majority(len(self._witnesses))
        if len(self._votes) >= needed:
            oldest = sorted(self._votes.values(), reverse=True)[needed - 1]
            self._extend(oldest + self._settings.validity)

    def record_relayed_validity(self, epoch: Epoch, sent: int, remaining: timedelta) -> None:
        """Apply the remaining validity that a relay returned for the heartbeat sent at ``sent``."""
        sent_at = self._send_times.get(sent)
        if epoch != self._epoch or sent_at is None:
            return
        self._extend(sent_at + remaining * (1 - self._settings.clock_margin))

    def remaining(self, now: timedelta) -> timedelta:
        """Return the validity that this node may pass on as a relay at its epoch; zero if none."""
        if self._valid_until is None or self._confirmed_epoch != self._epoch:
            return timedelta(0)
        return max(timedelta(0), self._valid_until - now)

    def _extend(self, until: timedelta) -> None:
        if (
            self._valid_until is None
            or until > self._valid_until
            or self._confirmed_epoch != self._epoch
        ):
            self._valid_until = (
                until if self._valid_until is None else max(until, self._valid_until)
            )
            self._confirmed_epoch = self._epoch


def confirms(
    view: View, witness: Process, release: int, sender: Process, heartbeat: Heartbeat
) -> bool:
    """Whether ``witness`` confirms a heartbeat of ``sender``; section 2.3 of the design page."""
    return (
        witness in view.witnesses
        and same_epoch(view, heartbeat)
        and is_current_process(view, sender)
        and has_release(max(release, view.release), heartbeat)
    )


def same_epoch(view: View, heartbeat: Heartbeat) -> bool:
    """Whether the sender follows the same view as the witness."""
    return heartbeat.epoch == view.epoch


def is_current_process(view: View, sender: Process) -> bool:
    """Whether ``sender`` is the incarnation that ``view`` lists."""
    return view.has(sender)


def has_release(release: int, heartbeat: Heartbeat) -> bool:
    """Whether the sender has applied ``release`` or a newer release."""
    return heartbeat.release >= release
