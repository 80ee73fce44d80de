"""Patches of the membership core; each of them removes one guard of the protocol."""

from contextlib import contextmanager
from unittest.mock import patch

from chervilrack._internal.membership import confirmation, exchange, sealing, suspicion, vms
from chervilrack._internal.membership.confirmation import Confirmation
from chervilrack._internal.membership.exchange import HeartbeatExchange
from chervilrack._internal.membership.state import View
from chervilrack._internal.membership.writing import ViewWriter


def _validity_from_receipt():
    original = HeartbeatExchange.receive_reply

    def receive_reply(self, sender, reply, view, now):
        if reply.sent in self.confirmation._send_times:
            self.confirmation._send_times[reply.sent] = now
        original(self, sender, reply, view, now)

    return patch.object(HeartbeatExchange, "receive_reply", receive_reply)


def _without_epoch_check():
    """Remove the epoch checks of the witness and of the node, since one of them alone suffices."""

    def vote(self, witness, epoch, sent):
        original(self, witness, self._epoch, sent)

    original = Confirmation.vote
    return _apply_both(
        patch.object(confirmation, "same_epoch", lambda view, heartbeat: True),
        patch.object(Confirmation, "vote", vote),
    )


def _without_node_incarnation_check():
    """Compare only node ids of members, both at the witness and at the node."""
    return patch.object(View, "has", lambda self, process: self.member(process.node) is not None)


def _without_witness_incarnation_check():
    def confirms(view, witness, release, sender, heartbeat):
        return (
            any(other.node == witness.node for other in view.witnesses)
            and heartbeat.epoch == view.epoch
            and view.has(sender)
            and heartbeat.release >= max(release, view.release)
        )

    def vote(self, witness, epoch, sent):
        same = [other for other in self._witnesses if other.node == witness.node]
        original(self, same[0] if same else witness, epoch, sent)

    original = Confirmation.vote
    return _apply_both(
        patch.object(exchange, "confirms", confirms), patch.object(Confirmation, "vote", vote)
    )


@contextmanager
def _apply_both(first, second):
    with first, second:
        yield


def _without_read_back():
    original = ViewWriter.finished

    def finished(self, outcome, now):
        view = original(self, outcome, now)
        self._read_needed = False
        return view

    return patch.object(ViewWriter, "finished", finished)


def _relays_return_full_validity():
    ttl = confirmation.timedelta(seconds=2)
    return patch.object(Confirmation, "remaining", lambda self, now: ttl)


def _without_release_floor():
    def confirms(view, witness, release, sender, heartbeat):
        return (
            witness in view.witnesses
            and heartbeat.epoch == view.epoch
            and view.has(sender)
            and heartbeat.release >= release
        )

    return patch.object(exchange, "confirms", confirms)


# Names of guards and the patches that remove them. The feature lists the situation that fails
# without the guard.
GUARDS = {
    "epoch check": _without_epoch_check,
    "release check": lambda: patch.object(
        confirmation, "has_release", lambda release, heartbeat: True
    ),
    "release floor of the view": _without_release_floor,
    "majority of confirmations": lambda: patch.object(confirmation, "majority", lambda count: 1),
    "incarnation check of the node": _without_node_incarnation_check,
    "incarnation check of the witness": _without_witness_incarnation_check,
    "validity from the send time": _validity_from_receipt,
    "sealing by a majority": lambda: patch.object(
        sealing, "enough_to_seal", lambda passed, witnesses: passed >= 1
    ),
    "activation wait": lambda: patch.object(sealing, "wait_passed", lambda since, now, wait: True),
    "removal by a majority": lambda: patch.object(
        suspicion, "enough_to_remove", lambda votes, needed: votes >= 1
    ),
    "lag of the VM list": lambda: patch.object(
        vms, "entry_is_current", lambda first_seen, now, lag: True
    ),
    "read-back of a view write": _without_read_back,
    "remaining validity of a relay": _relays_return_full_validity,
}
