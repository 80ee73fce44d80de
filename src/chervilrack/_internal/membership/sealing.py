"""Sealing of earlier epochs, activation of the current epoch, and epochs with doubtful orders."""

from collections.abc import Iterable
from datetime import timedelta

from chervilrack._internal.common.ids import Epoch
from chervilrack._internal.membership.state import (
    DoubtfulEpoch,
    MembershipSettings,
    OutageGrant,
    Process,
    UnsealedEpoch,
    View,
)
from chervilrack._internal.membership.witnesses import majority

# Far more epochs than nodes with an outdated view can add within the retry horizon.
MAX_SETTLED_EPOCHS = 1000
Witnesses = tuple[Process, ...]


class Sealing:
    """Evidence that no node can be confirmed at earlier epochs any more.

    The evidence includes the outage grants that the witnesses of a sealed epoch have reported.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._epoch = Epoch(0)
        self._unsealed: dict[Epoch, Witnesses] = {}
        self._sealed_since = timedelta(0)
        self._adopted_epochs: dict[Process, Epoch] = {}
        self._stopped: set[Process] = set()
        self._reported_grants: dict[Process, tuple[OutageGrant, ...]] = {}
        self._awaiting_reports: dict[Epoch, Witnesses] = {}
        self._doubtful_epochs: dict[Epoch, tuple[DoubtfulEpoch, timedelta]] = {}
        self._written_before: dict[Process, int] = {}
        # Epochs whose grants are all known or whose retry horizon has passed. Without this set, a
        # view that still lists such an epoch as doubtful would add it again.
        self._settled: set[Epoch] = set()
        self._doubtful_holders: set[Process] = set()

    @property
    def sealed_through(self) -> Epoch:
        """Highest epoch that is sealed together with all earlier epochs."""
        return Epoch(min(self._unsealed, default=self._epoch) - 1)

    @property
    def unsealed(self) -> tuple[UnsealedEpoch, ...]:
        """Earlier epochs that are not known to be sealed."""
        return tuple(
            UnsealedEpoch(epoch, witnesses) for epoch, witnesses in sorted(self._unsealed.items())
        )

    @property
    def doubtful_epochs(self) -> tuple[DoubtfulEpoch, ...]:
        """Doubtful sealed epochs whose retry horizon has not passed at this node."""
        return tuple(
            doubtful_epoch for _, (doubtful_epoch, _) in sorted(self._doubtful_epochs.items())
        )

    @property
    def sealing_witnesses(self) -> frozenset[Process]:
        """Witnesses of unsealed epochs; their adoption of a later epoch helps to seal these."""
        return frozenset(process for witnesses in self._unsealed.values() for process in witnesses)

    def adopt(self, view: View, now: timedelta) -> None:
        """Adopt a later view. Epochs that ``view`` does not list as unsealed are sealed."""
        sealed_through = self.sealed_through
        self._epoch = view.epoch
        self._unsealed = {
            item.epoch: item.witnesses for item in view.unsealed if item.epoch > sealed_through
        }
        self._sealed_since = now
        for doubtful_epoch in view.doubtful:
            self._add_doubtful_epoch(doubtful_epoch, now)
        for process in self.sealing_witnesses:
            member = view.member(process.node)
            if member is not None and member.incarnation != process.incarnation:
                self._stopped.add(process)
        self._seal_epochs(now)

    def record_epoch(
        self, process: Process, epoch: Epoch, grants: Iterable[OutageGrant], now: timedelta
    ) -> None:
        """Record the epoch that ``process`` has adopted and the grants that it has given."""
        if epoch < self._adopted_epochs.get(process, Epoch(0)):
            return
        self._adopted_epochs[process] = epoch
        self._reported_grants[process] = tuple(grants)
        self._seal_epochs(now)

    def apply_peer_knowledge(
        self, sealed: Epoch, doubtful_epochs: Iterable[DoubtfulEpoch], now: timedelta
    ) -> None:
        """Apply the knowledge of a peer, which never expires because sealed epochs stay sealed."""
        for epoch in [epoch for epoch in self._unsealed if epoch <= sealed]:
            del self._unsealed[epoch]
            self._sealed_since = now
        for doubtful_epoch in doubtful_epochs:
            self._add_doubtful_epoch(doubtful_epoch, now)

    def record_stopped(self, processes: Iterable[Process], now: timedelta) -> None:
        """Record processes whose VM has stopped."""
        self._stopped.update(processes)
        self._seal_epochs(now)

    def record_tickets_written(self, process: Process, sent: int) -> None:
        """Record that ``process`` has written all tickets of grants requested before ``sent``."""
        self._written_before[process] = max(sent, self._written_before.get(process, sent))
        for epoch, (doubtful_epoch, since) in list(self._doubtful_epochs.items()):
            holders = tuple(item for item in doubtful_epoch.holders if not self._is_written(item))
            if holders or doubtful_epoch.lost:
                self._doubtful_epochs[epoch] = (
                    DoubtfulEpoch(epoch, holders, doubtful_epoch.lost),
                    since,
                )
            else:
                del self._doubtful_epochs[epoch]

    def expire(self, view: View, now: timedelta) -> None:
        """Drop doubtful epochs past the retry horizon, and evidence that is no longer needed."""
        horizon = self._settings.retry_horizon * (1 + self._settings.clock_margin)
        for epoch, (_, since) in list(self._doubtful_epochs.items()):
            if now - since > horizon:
                del self._doubtful_epochs[epoch]
                self._awaiting_reports.pop(epoch, None)
                self._settled.add(epoch)
        self._settled = {
            epoch for epoch in self._settled if epoch > self._epoch - MAX_SETTLED_EPOCHS
        }
        needed = self.sealing_witnesses | {
            p for witnesses in self._awaiting_reports.values() for p in witnesses
        }
        needed |= self._doubtful_holders
        for table in (self._adopted_epochs, self._reported_grants, self._written_before):
            for process in [p for p in table if not view.has(p) and p not in needed]:
                del table[process]

    def is_active(self, now: timedelta) -> bool:
        """Whether all earlier epochs are sealed and their confirmations have expired."""
        if not self._epoch or self._unsealed:
            return False
        return self._epoch == 1 or wait_passed(
            self._sealed_since, now, self._settings.activation_wait
        )

    def _seal_epochs(self, now: timedelta) -> None:
        """Seal epochs with sufficient evidence and evaluate the grants of sealed epochs."""
        for epoch, witnesses in sorted(self._unsealed.items()):
            if enough_to_seal(self._count_passed(epoch, witnesses), witnesses):
                del self._unsealed[epoch]
                self._sealed_since = now
                self._awaiting_reports[epoch] = witnesses
        for epoch, witnesses in list(self._awaiting_reports.items()):
            self._evaluate_grants(epoch, witnesses, now)

    def _count_passed(self, epoch: Epoch, witnesses: Witnesses) -> int:
        return sum(
            process in self._stopped or self._adopted_epochs.get(process, epoch) > epoch
            for process in witnesses
        )

    def _evaluate_grants(self, epoch: Epoch, witnesses: Witnesses, now: timedelta) -> None:
        reporters = [
            p
            for p in witnesses
            if self._adopted_epochs.get(p, epoch) > epoch and p in self._reported_grants
        ]
        # Reports are lost unless every majority that could have given a grant contains a reporter.
        lost = len(reporters) <= len(witnesses) - majority(len(witnesses))
        holders = {
            grant.process: grant
            for reporter in reporters
            for grant in self._reported_grants[reporter]
            if not self._is_written(grant)
        }
        since = self._doubtful_epochs.pop(epoch, (None, now))[1]
        if holders or lost:
            self._doubtful_epochs[epoch] = (
                DoubtfulEpoch(epoch, tuple(holders.values()), lost),
                since,
            )
            self._doubtful_holders.update(holders)
        if not lost:
            del self._awaiting_reports[epoch]
            self._settled.add(epoch)

    def _add_doubtful_epoch(self, doubtful_epoch: DoubtfulEpoch, now: timedelta) -> None:
        holders = tuple(item for item in doubtful_epoch.holders if not self._is_written(item))
        already_recorded = (
            doubtful_epoch.epoch in self._doubtful_epochs or doubtful_epoch.epoch in self._settled
        )
        if not already_recorded and (holders or doubtful_epoch.lost):
            self._doubtful_epochs[doubtful_epoch.epoch] = (
                DoubtfulEpoch(doubtful_epoch.epoch, holders, doubtful_epoch.lost),
                now,
            )
            self._doubtful_holders.update(item.process for item in holders)

    def _is_written(self, grant: OutageGrant) -> bool:
        return self._written_before.get(grant.process, -1) > grant.sent


def enough_to_seal(passed: int, witnesses: Witnesses) -> bool:
    """Whether ``passed`` witnesses, which adopted a later epoch or stopped, are a majority."""
    return passed >= majority(len(witnesses))


def wait_passed(since: timedelta, now: timedelta, wait: timedelta) -> bool:
    """Whether ``wait`` has passed since ``since``, so that earlier confirmations have expired."""
    return now - since >= wait
