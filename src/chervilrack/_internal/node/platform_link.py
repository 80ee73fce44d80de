"""Connects the cores with the platform's service: view writes, watches, releases, VM list."""

from collections.abc import Sequence

from chervilrack._internal.common.ids import NodeId
from chervilrack._internal.exceptions import PlatformError, PlatformOutcomeUnknown
from chervilrack._internal.kvstore.port import (
    Change,
    ChangeKind,
    Compare,
    KeyValue,
    PlatformService,
    Put,
    TxnResult,
)
from chervilrack._internal.membership import messages as membership
from chervilrack._internal.membership.state import VIEW_KEY, decode_view, encode_view
from chervilrack._internal.node.cores import NodeCores
from chervilrack._internal.node.platform_worker import PlatformWorker
from chervilrack._internal.releases import core as releases
from chervilrack._internal.releases.accept import (
    HEAD_KEY,
    RELEASE_PREFIX,
    LoadedRelease,
    ReleaseStore,
    event_from_change,
)


class PlatformLink:
    """Carries out the platform effects of membership and releases."""

    def __init__(self, cores: NodeCores, worker: PlatformWorker, store: ReleaseStore) -> None:
        self._cores = cores
        self._worker = worker
        self._store = store
        for effect, handler in (
            (membership.WriteView, self._write_view),
            (membership.ReadView, lambda effect: self._read_view()),
            (releases.LoadFromPlatform, lambda effect: self.load_release()),
        ):
            cores.reactor.on(effect, handler)

    def start(self) -> None:
        """Open the watches and poll the VM list.

        Only witnesses and nodes that are not members watch; the others learn from peers, so that
        the number of watches does not grow with the fleet.
        """
        self._worker.follow(VIEW_KEY, self._list_view, self._view_changed, self._watches)
        self._worker.follow(
            RELEASE_PREFIX, self._list_release, self._release_changed, self._watches
        )
        self._worker.poll_vms(self._learn_vms, self._needs_vms)

    def load_release(self) -> None:
        """Read the release from the platform in the background."""
        self._worker.run(lambda _: self._store.load(), self._learn_release, lambda error: None)

    def view_revision(self) -> int | None:
        """Read the platform revision of the view; None if the platform cannot be reached."""
        try:
            item = self._worker.call(lambda service: service.get(VIEW_KEY))
        except PlatformError:
            return None
        return 0 if item is None else item.mod_revision

    def _watches(self) -> bool:
        members = self._cores.membership
        return members.is_witness or not members.is_member

    def _needs_vms(self) -> bool:
        """Witnesses remove members; other nodes read the list only if they may not act."""
        return self._cores.membership.is_witness or not self._cores.may_act()

    def _submit(self, event: membership.MembershipEvent) -> None:
        self._cores.submit(self._cores.membership, event)

    # View

    def _write_view(self, effect: membership.WriteView) -> None:
        compares = [Compare(VIEW_KEY, effect.expected_mod_revision)]
        if effect.head_mod_revision is not None:
            compares.append(Compare(HEAD_KEY, effect.head_mod_revision))
        put = Put(VIEW_KEY, encode_view(effect.view))

        def done(result: TxnResult) -> None:
            outcome = membership.WriteOutcome
            state = outcome.APPLIED if result.succeeded else outcome.CONFLICT
            self._submit(membership.ViewWriteFinished(state, result.revision))

        def failed(error: PlatformError) -> None:
            unknown = isinstance(error, PlatformOutcomeUnknown)
            outcome = membership.WriteOutcome
            state = outcome.UNKNOWN if unknown else outcome.NOT_APPLIED
            self._submit(membership.ViewWriteFinished(state))

        self._worker.run(lambda service: service.txn(compares, [put]), done, failed)

    def _read_view(self) -> None:
        self._worker.run(
            lambda service: service.get(VIEW_KEY), self._learn_view, lambda error: None
        )

    def _learn_view(self, item: KeyValue | None) -> None:
        if item is None:
            self._submit(membership.ViewAbsent())
        else:
            self._submit(membership.ViewLearned(decode_view(item.value), item.mod_revision))

    def _list_view(self, service: PlatformService) -> int:
        listed = service.range(VIEW_KEY)
        for item in listed.items:
            self._learn_view(item)
        return listed.revision + 1

    def _view_changed(self, changes: Sequence[Change]) -> None:
        for change in changes:
            if change.kind is ChangeKind.PUT:
                self._learn_view(change.item)

    # Releases

    def _list_release(self, service: PlatformService) -> int:
        loaded = self._store.load()
        self._learn_release(loaded)
        return loaded.watch_from

    def _learn_release(self, loaded: LoadedRelease) -> None:
        log = self._cores.releases
        self._cores.note_head(loaded.configuration.revision, loaded.head_mod_revision)
        self._cores.submit(log, releases.SnapshotLearned(loaded.snapshot))
        self._cores.submit(log, releases.RecordsLearned(loaded.records))
        self._cores.submit(log, releases.HeadLearned(loaded.configuration.revision))

    def _release_changed(self, changes: Sequence[Change]) -> None:
        events = [(change, event_from_change(change)) for change in changes]
        for change, event in events:
            if isinstance(event, releases.HeadLearned):
                self._cores.note_head(event.revision, change.item.mod_revision)
        for _, event in events:
            if event is not None:
                self._cores.submit(self._cores.releases, event)

    # VM list

    def _learn_vms(self, gone: frozenset[str]) -> None:
        self._submit(membership.VmListLearned(frozenset(map(NodeId, gone))))
