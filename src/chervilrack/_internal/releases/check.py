"""Checks a release note against the configuration that the note changes."""

import re
from collections import Counter
from collections.abc import Collection, Iterator, Mapping, Sequence
from datetime import timedelta
from typing import Any
from urllib.parse import urlsplit

from chervilrack._internal.common.documents import Document, Mistake, Path
from chervilrack._internal.releases.apply import apply_note
from chervilrack._internal.releases.note import (
    ITEM_KINDS,
    ItemKind,
    ReleaseNote,
    changed_fields,
    read_note,
)
from chervilrack._internal.releases.state import (
    Configuration,
    Limits,
    Pipeline,
    Service,
    Stage,
    Upstream,
    UpstreamKind,
)

# Ids become parts of platform keys, URLs and metric labels.
ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_SHA256 = re.compile(r"[0-9a-f]{64}")


def can_run(upstream: Upstream, stage: Stage) -> bool:
    """Return whether an upstream has a stage's kind and, if the stage names one, its model."""
    return upstream.kind is stage.kind and (stage.model is None or stage.model in upstream.models)


def read_checked_note(text: str, file: str, configuration: Configuration) -> ReleaseNote:
    """Read a note from YAML and check it against the configuration that the note changes.

    Raises InvalidDocumentError with all mistakes of syntax, schema and content.
    """
    document = read_note(text, file)
    if document.value is not None:
        unreadable = _unreadable_ids(document) if document.mistakes else None
        document.add_mistakes(check_note(document.value, configuration, unreadable))
    return document.value_or_raise()


def check_note(
    note: ReleaseNote,
    configuration: Configuration,
    unreadable: Mapping[ItemKind, Collection[str]] | None = None,
) -> list[Mistake]:
    """Return all mistakes of a note.

    ``unreadable`` is given if parts of the note could not be read, and holds the ids of the items
    concerned by kind. References to these items are not reported. If upstreams are among them,
    stages and services without an upstream are not reported either.
    """
    return list(_NoteChecker(note, configuration, unreadable).run())


def _unreadable_ids(document: Document[ReleaseNote]) -> dict[ItemKind, list[str]]:
    """Return the ids of items that could not be read, by kind; '' for an item without an id."""
    ids_by_kind: dict[ItemKind, list[str]] = {}
    for path, fields in document.unreadable_items.items():
        for kind in ITEM_KINDS:
            if len(path) >= 3 and path[1] == kind:
                # The path may lead to a struct inside a readable item; the extra entry is harmless.
                ids_by_kind.setdefault(kind, []).append(fields.get("id", ""))
    return ids_by_kind


class _NoteChecker:
    def __init__(
        self,
        note: ReleaseNote,
        configuration: Configuration,
        unreadable: Mapping[ItemKind, Collection[str]] | None,
    ) -> None:
        self._note = note
        self._before = configuration
        self._after = apply_note(configuration, note)
        self._is_complete = unreadable is None
        self._unreadable = unreadable or {}
        # Paths in the note of the items that it adds or changes, and of those that it withdraws.
        self._item_paths: dict[tuple[str, str], Path] = {}
        self._withdrawal_paths: dict[tuple[str, str], Path] = {}
        for kind in ITEM_KINDS:
            for section in ("added", "changed"):
                for index, item in enumerate(getattr(getattr(note, section), kind)):
                    self._item_paths.setdefault((kind, item.id), (section, kind, index))
            for index, item_id in enumerate(getattr(note.withdrawn, kind)):
                self._withdrawal_paths.setdefault((kind, item_id), ("withdrawn", kind, index))

    def run(self) -> Iterator[Mistake]:
        if not (self._note.id == "" or ID_PATTERN.fullmatch(self._note.id)):
            yield Mistake(("id",), f"expected an id that matches {ID_PATTERN.pattern}")
        yield from self._id_mistakes()
        for (kind, item_id), item_path in self._item_paths.items():
            item = getattr(self._after, kind).get(item_id)
            if item is not None:
                yield from getattr(self, f"_check_{kind}")(item, item_path)
        yield from self._dangling_references()
        if not self._unreadable.get("upstreams"):
            yield from self._unserved_items()
        yield from self._exceeded_token_limits()
        yield from self._repeated_keys()

    def _id_mistakes(self) -> Iterator[Mistake]:
        id_counts: Counter[tuple[str, str]] = Counter()
        for kind in ITEM_KINDS:
            existing = getattr(self._before, kind)
            for index, item in enumerate(getattr(self._note.added, kind)):
                path: Path = ("added", kind, index, "id")
                id_counts[kind, item.id] += 1
                if not ID_PATTERN.fullmatch(item.id):
                    yield Mistake(path, f"expected an id that matches {ID_PATTERN.pattern}")
                if item.id in existing:
                    yield Mistake(path, f"expected a new id, '{item.id}' exists; use 'changed'")
                yield from self._repeated_id(id_counts, kind, item.id, path)
            for index, item in enumerate(getattr(self._note.changed, kind)):
                path = ("changed", kind, index, "id")
                id_counts[kind, item.id] += 1
                if item.id not in existing:
                    yield Mistake(path, f"expected an existing id, there is no '{item.id}'")
                if not changed_fields(item):
                    yield Mistake(path, "expected at least one field that changes")
                yield from self._repeated_id(id_counts, kind, item.id, path)
            for index, item_id in enumerate(getattr(self._note.withdrawn, kind)):
                path = ("withdrawn", kind, index)
                id_counts[kind, item_id] += 1
                if item_id not in existing:
                    yield Mistake(path, f"expected an existing id, there is no '{item_id}'")
                yield from self._repeated_id(id_counts, kind, item_id, path)
        if not id_counts and self._is_complete:
            yield Mistake((), "expected at least one item that is added, changed or withdrawn")

    def _repeated_id(
        self, id_counts: Counter[tuple[str, str]], kind: str, item_id: str, path: Path
    ) -> Iterator[Mistake]:
        if id_counts[kind, item_id] == 2:
            yield Mistake(path, f"expected each id once, '{item_id}' is named before")

    def _check_teams(self, team: Any, item_path: Path) -> Iterator[Mistake]:
        yield from _limit_mistakes(team.limits, item_path)

    def _check_models(self, model: Any, item_path: Path) -> Iterator[Mistake]:
        if model.size < 0:
            yield Mistake((*item_path, "size"), "expected a size of at least 0B")

    def _check_upstreams(self, upstream: Upstream, item_path: Path) -> Iterator[Mistake]:
        yield from _limit_mistakes(upstream.limits, item_path)
        try:
            parts = urlsplit(upstream.url)
            valid = parts.scheme in ("http", "https") and parts.hostname and parts.port
        except ValueError:
            valid = None
        if not valid:
            yield Mistake(
                (*item_path, "url"),
                f"expected a URL such as http://10.0.0.5:8080, found '{upstream.url}'",
            )
        if upstream.kind is UpstreamKind.SERVICE:
            if upstream.service is None:
                yield Mistake((*item_path, "service"), "expected the id of a service, is missing")
            if upstream.models:
                yield Mistake((*item_path, "models"), "expected no models for kind service")
        elif upstream.service is not None:
            yield Mistake(
                (*item_path, "service"), f"expected no service for kind {upstream.kind.value}"
            )

    def _check_pipelines(self, pipeline: Pipeline, item_path: Path) -> Iterator[Mistake]:
        yield from _deadline_mistakes(pipeline.deadline, item_path)
        if not pipeline.stages:
            yield Mistake((*item_path, "stages"), "expected at least one stage")
        stage_ids: set[str] = set()
        for index, stage in enumerate(pipeline.stages):
            path = (*item_path, "stages", index)
            if stage.id in stage_ids:
                yield Mistake((*path, "id"), f"expected each stage once, '{stage.id}' is repeated")
            stage_ids.add(stage.id)
            if stage.max_tokens < 0:
                yield Mistake(
                    (*path, "max_tokens"),
                    f"expected an integer of at least 0, found {stage.max_tokens}",
                )
            if stage.kind is UpstreamKind.SERVICE:
                yield Mistake((*path, "kind"), "expected a kind other than service")

    def _check_services(self, service: Service, item_path: Path) -> Iterator[Mistake]:
        yield from _deadline_mistakes(service.deadline, item_path)
        if not service.operations:
            yield Mistake((*item_path, "operations"), "expected at least one operation")
        name_counts = Counter(operation.name for operation in service.operations)
        for name, count in name_counts.items():
            if count > 1:
                yield Mistake(
                    (*item_path, "operations"),
                    f"expected each operation once, '{name}' is repeated",
                )

    def _check_organisations(self, organisation: Any, item_path: Path) -> Iterator[Mistake]:
        if organisation.weight <= 0:
            yield Mistake(
                (*item_path, "weight"), f"expected a number above 0, found {organisation.weight}"
            )
        if not organisation.keys:
            yield Mistake((*item_path, "keys"), "expected at least one key")
        for index, key in enumerate(organisation.keys):
            if not _SHA256.fullmatch(key.sha256):
                yield Mistake(
                    (*item_path, "keys", index, "sha256"),
                    "expected 64 lower-case hexadecimal digits; clear text goes under 'key'",
                )

    def _dangling_references(self) -> Iterator[Mistake]:
        """Yield a mistake for each reference to an item that the new configuration lacks.

        The mistake is at the reference if the note contains it, otherwise at the withdrawal of the
        item, once for each withdrawn item.
        """
        reported: set[tuple[str, str]] = set()
        for referrer_kind, referrer_id, target_kind, target_id, path in self._references():
            if target_id in getattr(self._after, target_kind):
                continue
            if target_id in self._unreadable.get(target_kind, ()):
                continue
            item_path = self._item_paths.get((referrer_kind, referrer_id))
            if item_path is not None:
                yield Mistake(
                    (*item_path, *path),
                    f"expected the id of one of the {target_kind}, there is no '{target_id}'",
                )
            elif (target_kind, target_id) in self._withdrawal_paths and (
                target_kind,
                target_id,
            ) not in reported:
                reported.add((target_kind, target_id))
                yield Mistake(
                    self._withdrawal_paths[target_kind, target_id],
                    f"expected '{target_id}' to be unused, "
                    f"{referrer_kind} '{referrer_id}' refers to it",
                )

    def _references(self) -> Iterator[tuple[str, str, ItemKind, str, Path]]:
        """Yield kind and id of referrer and target, and the reference's path in the referrer."""
        for upstream in self._after.upstreams.values():
            yield "upstreams", upstream.id, "teams", upstream.team, ("team",)
            for index, model in enumerate(upstream.models):
                yield "upstreams", upstream.id, "models", model, ("models", index)
            if upstream.service is not None:
                yield "upstreams", upstream.id, "services", upstream.service, ("service",)
        for pipeline in self._after.pipelines.values():
            for index, stage in enumerate(pipeline.stages):
                if stage.model is not None:
                    path: Path = ("stages", index, "model")
                    yield "pipelines", pipeline.id, "models", stage.model, path

    def _unserved_items(self) -> Iterator[Mistake]:
        """Yield a mistake for each stage and service that no upstream serves."""
        upstreams = list(self._after.upstreams.values())
        for pipeline in self._after.pipelines.values():
            for index, stage in enumerate(pipeline.stages):
                if any(can_run(upstream, stage) for upstream in upstreams):
                    continue
                subject = f"stage '{stage.id}' of pipeline '{pipeline.id}'"
                item_path = self._item_paths.get(("pipelines", pipeline.id))
                own_path = (*item_path, "stages", index) if item_path else None
                former_upstreams = [
                    u.id for u in self._before.upstreams.values() if can_run(u, stage)
                ]
                yield self._unserved_item(subject, own_path, former_upstreams)
        served = {u.service for u in upstreams if u.kind is UpstreamKind.SERVICE}
        for service in self._after.services.values():
            if service.id not in served:
                item_path = self._item_paths.get(("services", service.id))
                former_upstreams = [
                    u.id for u in self._before.upstreams.values() if u.service == service.id
                ]
                yield self._unserved_item(f"service '{service.id}'", item_path, former_upstreams)

    def _unserved_item(
        self, subject: str, own_path: Path | None, former_upstreams: Sequence[str]
    ) -> Mistake:
        for paths in (self._withdrawal_paths, self._item_paths):
            for upstream in former_upstreams:
                item_path = paths.get(("upstreams", upstream))
                if item_path is not None:
                    return Mistake(item_path, f"expected an upstream to remain for {subject}")
        return Mistake(own_path or (), f"expected at least one upstream for {subject}")

    def _exceeded_token_limits(self) -> Iterator[Mistake]:
        """Yield a mistake for each stage whose ``max_tokens`` exceed a token limit.

        The mistake is at the limit if the note contains it, otherwise at the stage. Each path is
        reported once, for the largest ``max_tokens``.
        """
        excess_by_path: dict[Path, tuple[int, int, str]] = {}
        for pipeline in self._after.pipelines.values():
            pipeline_path = self._item_paths.get(("pipelines", pipeline.id))
            for index, stage in enumerate(pipeline.stages):
                if stage.max_tokens <= 0:
                    continue
                stage_path = (
                    (*pipeline_path, "stages", index, "max_tokens") if pipeline_path else None
                )
                for limit, item_path in self._token_limits_of(stage):
                    path = item_path or stage_path
                    if limit < stage.max_tokens and path is not None:
                        excess = (stage.max_tokens, limit, f"'{stage.id}' of '{pipeline.id}'")
                        excess_by_path[path] = max(excess, excess_by_path.get(path, excess))
        for path, (needed, limit, name) in excess_by_path.items():
            if path[-1] == "max_tokens":
                text = f"expected at most the limit of {limit} tokens/s of its upstreams"
            else:
                text = f"expected at least {needed}, the max_tokens of stage {name}"
            yield Mistake(path, f"{text}, found {needed if path[-1] == 'max_tokens' else limit}")

    def _token_limits_of(self, stage: Stage) -> Iterator[tuple[int, Path | None]]:
        """Yield the token limits of a stage, each with its path if the note contains it."""
        for upstream in self._after.upstreams.values():
            if not can_run(upstream, stage):
                continue
            team = self._after.teams.get(upstream.team)
            limited_items: list[tuple[str, str, Limits]] = [
                ("upstreams", upstream.id, upstream.limits)
            ]
            if team is not None:
                limited_items.append(("teams", team.id, team.limits))
            for kind, limited_id, limits in limited_items:
                if limits.tokens_per_s is not None and limits.tokens_per_s > 0:
                    item_path = self._item_paths.get((kind, limited_id))
                    yield (
                        limits.tokens_per_s,
                        (*item_path, "limits", "tokens_per_s") if item_path else None,
                    )

    def _repeated_keys(self) -> Iterator[Mistake]:
        """Yield a mistake for each key that is used twice.

        A request with such a key could not be attributed to one organisation.
        """
        first_uses: dict[str, tuple[str, int]] = {}
        for organisation in self._after.organisations.values():
            for index, key in enumerate(organisation.keys):
                first_use = first_uses.setdefault(key.sha256, (organisation.id, index))
                this_use = (organisation.id, index)
                if first_use == this_use:
                    continue
                for (organisation_id, position), (other_id, _) in (
                    (this_use, first_use),
                    (first_use, this_use),
                ):
                    item_path = self._item_paths.get(("organisations", organisation_id))
                    if item_path is not None:
                        yield Mistake(
                            (*item_path, "keys", position),
                            f"expected a key used once, organisation '{other_id}' has the same",
                        )
                        break


def _limit_mistakes(limits: Limits, item_path: Path) -> Iterator[Mistake]:
    for kind, value in limits.items():
        if value <= 0:
            yield Mistake(
                (*item_path, "limits", kind.value), f"expected an integer above 0, found {value}"
            )


def _deadline_mistakes(deadline: timedelta, item_path: Path) -> Iterator[Mistake]:
    if deadline <= timedelta(0):
        yield Mistake((*item_path, "deadline"), "expected a duration above 0s")
