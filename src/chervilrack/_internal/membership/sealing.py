"""Sealing of earlier epochs, activation of the current one, and doubts about outage grants."""

from collections.abc import Iterable
from datetime import timedelta

from chervilrack._internal.common.ids import Epoch
from chervilrack._internal.membership.state import (
    DoubtfulEpoch,
    Holder,
    MembershipSettings,
    Process,
    UnsealedEpoch,
    View,
)
from chervilrack._internal.membership.witnesses import majority

CLOSED_KEPT = 1000  # far more views than can be written within the retry horizon by stale nodes
Witnesses = tuple[Process, ...]


class Sealing:
    """Evidence that no node can be confirmed at earlier epochs any more."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._epoch = Epoch(0)
        self._unsealed: dict[Epoch, Witnesses] = {}
        self._sealed_since = timedelta(0)
        self._adopted: dict[Process, Epoch] = {}
        self._gone: set[Process] = set()
        self._held: dict[Process, tuple[Holder, ...]] = {}
        self._lost: dict[Epoch, Witnesses] = {}
        self._doubtful_epochs: dict[Epoch, tuple[DoubtfulEpoch, timedelta]] = {}
        self._written: dict[Process, int] = {}
        # Without this a doubt would start again with every view that still repeats it.
        self._closed: set[Epoch] = set()
        self._doubted: set[Process] = set()

    @property
    def sealed_through(self) -> Epoch:
        """Highest epoch that is sealed together with all epochs before it."""
        return Epoch(min(self._unsealed, default=self._epoch) - 1)

    @property
    def unsealed(self) -> tuple[UnsealedEpoch, ...]:
        """Earlier epochs that are not known to be sealed."""
        return tuple(UnsealedEpoch(epoch, who) for epoch, who in sorted(self._unsealed.items()))

    @property
    def doubtful_epochs(self) -> tuple[DoubtfulEpoch, ...]:
        """Doubts about sealed epochs whose retry horizon has not passed at this node."""
        return tuple(doubt for _, (doubt, _) in sorted(self._doubtful_epochs.items()))

    @property
    def sealing_witnesses(self) -> frozenset[Process]:
        """Witnesses whose adoption of a later epoch is still of interest."""
        return frozenset(process for who in self._unsealed.values() for process in who)

    def adopt(self, view: View, now: timedelta) -> None:
        """Follow a later view. Epochs that it does not list as unsealed are sealed."""
        known = self.sealed_through
        self._epoch = view.epoch
        self._unsealed = {
            item.epoch: item.witnesses for item in view.unsealed if item.epoch > known
        }
        self._sealed_since = now
        for doubt in view.doubtful:
            self._add_doubtful_epoch(doubt, now)
        for process in self.sealing_witnesses:
            member = view.member(process.node)
            if member is not None and member.incarnation != process.incarnation:
                self._gone.add(process)
        self.evaluate(now)

    def heard(self, process: Process, epoch: Epoch, held: Iterable[Holder], now: timedelta) -> None:
        """Note the epoch that a process has adopted and the grants it holds as a witness."""
        if epoch < self._adopted.get(process, Epoch(0)):
            return
        self._adopted[process] = epoch
        self._held[process] = tuple(held)
        self.evaluate(now)

    def learn(
        self, sealed: Epoch, doubtful_epochs: Iterable[DoubtfulEpoch], now: timedelta
    ) -> None:
        """Take over another node's knowledge; that an epoch is sealed stays true for ever."""
        for epoch in [epoch for epoch in self._unsealed if epoch <= sealed]:
            del self._unsealed[epoch]
            self._sealed_since = now
        for doubt in doubtful_epochs:
            self._add_doubtful_epoch(doubt, now)

    def vms_gone(self, processes: Iterable[Process], now: timedelta) -> None:
        """Note processes whose VM has stopped."""
        self._gone.update(processes)
        self.evaluate(now)

    def tickets_written(self, process: Process, sent: int) -> None:
        """Clear doubts about grants given to ``process`` for heartbeats sent before ``sent``."""
        self._written[process] = max(sent, self._written.get(process, sent))
        for epoch, (doubt, since) in list(self._doubtful_epochs.items()):
            holders = tuple(item for item in doubt.holders if not self._is_written(item))
            if holders or doubt.lost:
                self._doubtful_epochs[epoch] = (DoubtfulEpoch(epoch, holders, doubt.lost), since)
            else:
                del self._doubtful_epochs[epoch]

    def forget(self, view: View, now: timedelta) -> None:
        """Drop doubts past the retry horizon and evidence that can no longer be used."""
        horizon = self._settings.retry_horizon * (1 + self._settings.clock_margin)
        for epoch, (_, since) in list(self._doubtful_epochs.items()):
            if now - since > horizon:
                del self._doubtful_epochs[epoch]
                self._lost.pop(epoch, None)
                self._closed.add(epoch)
        self._closed = {epoch for epoch in self._closed if epoch > self._epoch - CLOSED_KEPT}
        needed = self.sealing_witnesses | {p for who in self._lost.values() for p in who}
        needed |= self._doubted
        for table in (self._adopted, self._held, self._written):
            for process in [p for p in table if not view.has(p) and p not in needed]:
                del table[process]

    def active(self, now: timedelta) -> bool:
        """Whether every earlier epoch is sealed and its confirmations have expired."""
        if not self._epoch or self._unsealed:
            return False
        return self._epoch == 1 or wait_passed(
            self._sealed_since, now, self._settings.activation_wait
        )

    def evaluate(self, now: timedelta) -> None:
        """Seal epochs for which the evidence is sufficient."""
        for epoch, who in sorted(self._unsealed.items()):
            if enough_to_seal(self._passed(epoch, who), who):
                del self._unsealed[epoch]
                self._sealed_since = now
                self._lost[epoch] = who
        for epoch, who in list(self._lost.items()):
            self._judge_grants(epoch, who, now)

    def _passed(self, epoch: Epoch, who: Witnesses) -> int:
        return sum(
            process in self._gone or self._adopted.get(process, epoch) > epoch for process in who
        )

    def _judge_grants(self, epoch: Epoch, who: Witnesses, now: timedelta) -> None:
        reporters = [p for p in who if self._adopted.get(p, epoch) > epoch and p in self._held]
        # Every majority that could have granted must contain a reporter.
        lost = len(reporters) <= len(who) - majority(len(who))
        holders = {
            item.process: item
            for reporter in reporters
            for item in self._held[reporter]
            if not self._is_written(item)
        }
        since = self._doubtful_epochs.pop(epoch, (None, now))[1]
        if holders or lost:
            self._doubtful_epochs[epoch] = (
                DoubtfulEpoch(epoch, tuple(holders.values()), lost),
                since,
            )
            self._doubted.update(holders)
        if not lost:
            del self._lost[epoch]
            self._closed.add(epoch)

    def _add_doubtful_epoch(self, doubt: DoubtfulEpoch, now: timedelta) -> None:
        holders = tuple(item for item in doubt.holders if not self._is_written(item))
        known = doubt.epoch in self._doubtful_epochs or doubt.epoch in self._closed
        if not known and (holders or doubt.lost):
            self._doubtful_epochs[doubt.epoch] = (
                DoubtfulEpoch(doubt.epoch, holders, doubt.lost),
                now,
            )
            self._doubted.update(item.process for item in holders)

    def _is_written(self, holder: Holder) -> bool:
        return self._written.get(holder.process, -1) > holder.sent


def enough_to_seal(passed: int, who: Witnesses) -> bool:
    """Whether a majority of an epoch's witnesses has passed on or stopped."""
    return passed >= majority(len(who))


def wait_passed(since: timedelta, now: timedelta, wait: timedelta) -> bool:
    """Whether the last confirmations of the sealed epochs have expired."""
    return now - since >= wait
