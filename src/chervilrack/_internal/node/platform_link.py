"""Access of the cores to the platform service: view writes, watches, releases, VM list."""

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
from chervilrack._internal.membership import messages as member_messages
from chervilrack._internal.membership.state import VIEW_KEY, decode_view, encode_view
from chervilrack._internal.node.cores import NodeCores
from chervilrack._internal.node.platform_worker import PlatformWorker
from chervilrack._internal.releases import core as release_core
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
        for effect_type, handler in (
            (member_messages.WriteView, self._write_view),
            (member_messages.ReadView, lambda effect: self._read_view()),
            (release_core.LoadFromPlatform, lambda effect: self.load_release()),
        ):
            cores.reactor.set_handler(effect_type, handler)

    def start(self) -> None:
        """Start the watches and the polling of the VM list.

        Only witnesses and nodes that are not members keep watches open. The other members get
        views and releases from peers, so that the number of watches does not grow with the fleet.
        """
        self._worker.maintain_watch(
            VIEW_KEY, self._list_view, self._handle_view_changes, self._needs_watches
        )
        self._worker.maintain_watch(
            RELEASE_PREFIX, self._list_release, self._handle_release_changes, self._needs_watches
        )
        self._worker.poll_vms(self._submit_vm_list, self._needs_vm_list)

    def load_release(self) -> None:
        """Read the release from the platform in the background."""
        self._worker.run(lambda _: self._store.load(), self._submit_release, lambda error: None)

    def view_revision(self) -> int | None:
        """Read the platform revision of the view; None if the platform cannot be reached."""
        try:
            item = self._worker.call(lambda service: service.get(VIEW_KEY))
        except PlatformError:
            return None
        return 0 if item is None else item.mod_revision

    def _needs_watches(self) -> bool:
        membership = self._cores.membership
        return membership.is_witness or not membership.is_member

    def _needs_vm_list(self) -> bool:
        """Whether this node reads the VM list.

        Witnesses remove members whose VM is gone; other nodes read the list only while they may
        not act.
        """
        return self._cores.membership.is_witness or not self._cores.may_act()

    def _submit_to_membership(self, event: member_messages.MembershipEvent) -> None:
        self._cores.submit(self._cores.membership, event)

    # View

    def _write_view(self, effect: member_messages.WriteView) -> None:
        compares = [Compare(VIEW_KEY, effect.expected_mod_revision)]
        if effect.head_mod_revision is not None:
            compares.append(Compare(HEAD_KEY, effect.head_mod_revision))
        put = Put(VIEW_KEY, encode_view(effect.view))

        def on_result(result: TxnResult) -> None:
            outcomes = member_messages.WriteOutcome
            outcome = outcomes.APPLIED if result.succeeded else outcomes.CONFLICT
            self._submit_to_membership(member_messages.ViewWriteFinished(outcome, result.revision))

        def on_error(error: PlatformError) -> None:
            is_unknown = isinstance(error, PlatformOutcomeUnknown)
            outcomes = member_messages.WriteOutcome
            outcome = outcomes.UNKNOWN if is_unknown else outcomes.NOT_APPLIED
            self._submit_to_membership(member_messages.ViewWriteFinished(outcome))

        self._worker.run(lambda service: service.txn(compares, [put]), on_result, on_error)

    def _read_view(self) -> None:
        self._worker.run(
            lambda service: service.get(VIEW_KEY), self._submit_view, lambda error: None
        )

    def _submit_view(self, item: KeyValue | None) -> None:
        if item is None:
            self._submit_to_membership(member_messages.ViewAbsent())
        else:
            self._submit_to_membership(
                member_messages.ViewLearned(decode_view(item.value), item.mod_revision)
            )

    def _list_view(self, service: PlatformService) -> int:
        """Read the view; return the revision from which to watch it."""
        listed = service.range(VIEW_KEY)
        for item in listed.items:
            self._submit_view(item)
        return listed.revision + 1

    def _handle_view_changes(self, changes: Sequence[Change]) -> None:
        for change in changes:
            if change.kind is ChangeKind.PUT:
                self._submit_view(change.item)

    # Releases

    def _list_release(self, service: PlatformService) -> int:
        """Read the release; return the revision from which to watch it."""
        loaded = self._store.load()
        self._submit_release(loaded)
        return loaded.watch_from

    def _submit_release(self, loaded: LoadedRelease) -> None:
        release_log = self._cores.releases
        self._cores.record_head_revision(loaded.configuration.revision, loaded.head_mod_revision)
        self._cores.submit(release_log, release_core.SnapshotLearned(loaded.snapshot))
        self._cores.submit(release_log, release_core.RecordsLearned(loaded.records))
        self._cores.submit(release_log, release_core.HeadLearned(loaded.configuration.revision))

    def _handle_release_changes(self, changes: Sequence[Change]) -> None:
        events = [(change, event_from_change(change)) for change in changes]
        for change, event in events:
            if isinstance(event, release_core.HeadLearned):
                self._cores.record_head_revision(event.revision, change.item.mod_revision)
        for _, event in events:
            if event is not None:
                self._cores.submit(self._cores.releases, event)

    # VM list

    def _submit_vm_list(self, gone: frozenset[str]) -> None:
        self._submit_to_membership(member_messages.VmListLearned(frozenset(map(NodeId, gone))))
