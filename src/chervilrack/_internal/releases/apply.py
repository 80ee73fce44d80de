"""Applies a release note to a configuration."""

from typing import Any

import msgspec

from chervilrack._internal.common.ids import ReleaseRevision
from chervilrack._internal.releases.note import KINDS, ReleaseNote, changed_fields
from chervilrack._internal.releases.state import Configuration


def apply_note(configuration: Configuration, note: ReleaseNote) -> Configuration:
    """Return the configuration after a note, at the next revision.

    It does not fail for a note that does not match (an item to change that is absent is passed
    over), so that all nodes reach the same configuration from the same notes; ``check_note``
    finds such notes before they are accepted. Kinds that the note does not name are shared with
    the old configuration.
    """
    kinds: dict[str, Any] = {}
    for kind in KINDS:
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
        kinds[kind] = items
    return msgspec.structs.replace(
        configuration,
        revision=ReleaseRevision(configuration.revision + 1),
        note_id=note.id,
        **kinds,
    )
