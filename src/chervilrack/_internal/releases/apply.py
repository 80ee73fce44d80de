"""Applies a release note to a configuration."""

from typing import Any

import msgspec

from chervilrack._internal.common.ids import ReleaseRevision
from chervilrack._internal.releases.note import ITEM_KINDS, ReleaseNote, changed_fields
from chervilrack._internal.releases.state import Configuration


def apply_note(configuration: Configuration, note: ReleaseNote) -> Configuration:
    """Return a configuration at the next revision, with the note applied.

    A note that does not fit the configuration raises no error: a change or withdrawal of an absent
    item is ignored, so that all nodes reach the same configuration from the same notes.
    ``check_note`` finds such notes before they are accepted. The mappings of kinds that the note
    does not contain are shared with the given configuration.
    """
    new_mappings: dict[str, Any] = {}
    for kind in ITEM_KINDS:
        added = getattr(note.added, kind)
        changed = getattr(note.changed, kind)
        withdrawn = getattr(note.withdrawn, kind)
        if not (added or changed or withdrawn):
            continue
        items = dict(getattr(configuration, kind))
        for item_id in withdrawn:
            items.pop(item_id, None)
        for change in changed:
            if change.id in items:
                items[change.id] = msgspec.structs.replace(
                    items[change.id], **changed_fields(change)
                )
        items.update((item.id, item) for item in added)
        new_mappings[kind] = items
    return msgspec.structs.replace(
        configuration,
        revision=ReleaseRevision(configuration.revision + 1),
        note_id=note.id,
        **new_mappings,
    )
