"""Patches that each remove one guard of what nodes know of the store; drawn orders find each."""

from contextlib import ExitStack, contextmanager
from datetime import timedelta
from unittest.mock import patch

from chervilrack._internal.catalogue import core, evacuation, returns
from chervilrack._internal.catalogue.core import Catalogue, ConfigurationApplied
from chervilrack._internal.changefeed.core import ChangeFeed
from chervilrack._internal.common.positions import StorePosition
from chervilrack._internal.quarantine.archive import BlockArchive
from chervilrack._internal.serving.directory import StoreDirectory


def _by_revision_alone():
    names = {"__lt__": int.__lt__, "__le__": int.__le__, "__gt__": int.__gt__, "__ge__": int.__ge__}
    return _apply_all(
        *(
            patch.object(
                StorePosition, name, lambda a, b, compare=compare: compare(a.revision, b.revision)
            )
            for name, compare in names.items()
        )
    )


def _older_listings():
    return patch.object(StoreDirectory, "_is_overtaken", lambda self, position: False)


def _configurations_by_revision():
    def apply(self, item):
        stored = self._stored_items.get(item.key)
        if stored is not None and stored.mod_revision >= item.mod_revision:
            return
        configuration = self._schema.decode_configuration(item.value)
        self._stored_items[item.key] = item
        self._perform(self._state.catalogue.apply_configuration(configuration))

    return patch.object(StoreDirectory, "_apply_configuration", apply)


def _any_configuration():
    def apply(self, item):
        configuration = self._schema.decode_configuration(item.value)
        self._stored_items[item.key] = item
        self._perform(self._state.catalogue.apply_configuration(configuration))

    def put_into_force(self, configuration):
        self._configuration = configuration
        return [ConfigurationApplied(configuration, 0)]

    return _apply_all(
        patch.object(StoreDirectory, "_apply_configuration", apply),
        patch.object(Catalogue, "apply_configuration", put_into_force),
    )


def _any_outage():
    def has_missed_outage(self, sender, progress, own_answer_at, now):
        return progress.regained

    return _apply_all(
        patch.object(ChangeFeed, "has_missed_outage", has_missed_outage),
        patch.object(core, "SHORTEST_LAPSE", timedelta(0)),
    )


def _blocks_of_others():
    def learn(self, record):
        self._state.crash_watch.restore_block(record)

    return patch.object(StoreDirectory, "_learn_block", learn)


def _ready_again():
    return patch.object(core, "is_superseded", lambda entry, known: False)


def _no_doubt():
    return patch.object(
        returns.EndedUpstreams, "withhold", lambda self, entry, revision, era, is_listed: False
    )


def _no_grace():
    original = Catalogue.begin_era
    return patch.object(
        Catalogue, "begin_era", lambda self, era, returned_at=None: original(self, era)
    )


def _no_kept_evacuations():
    return patch.object(evacuation.Evacuations, "keep", lambda self, now: None)


def _records_of_older_eras():
    def begin_era(self, era):
        self._era = era

    return _apply_all(
        patch.object(BlockArchive, "begin_era", begin_era),
        patch.object(BlockArchive, "keep_only", lambda self, names: None),
    )


@contextmanager
def _apply_all(*patches):
    with ExitStack() as stack:
        for each in patches:
            stack.enter_context(each)
        yield


# Patches by the guard that they remove.
GUARDS = {
    "order by era": _by_revision_alone,
    "order of listings": _older_listings,
    "order of configurations": _configurations_by_revision,
    "versions of configurations": _any_configuration,
    "outages that others had": _any_outage,
    "evidence of one's own": _blocks_of_others,
    "draining upstreams": _ready_again,
    "doubt of ended upstreams": _no_doubt,
    "grace after a return": _no_grace,
    "kept evacuations": _no_kept_evacuations,
    "records of an era": _records_of_older_eras,
}
