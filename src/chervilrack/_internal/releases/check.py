"""Finds the mistakes of a release note against the configuration that it would change."""

import re
from collections import Counter
from collections.abc import Collection, Iterator, Mapping, Sequence
from datetime import timedelta
from typing import Any
from urllib.parse import urlsplit

from chervilrack._internal.common.documents import Document, Mistake, Path
from chervilrack._internal.releases.apply import apply_note
from chervilrack._internal.releases.note import KINDS, Kind, ReleaseNote, changed_fields, read_note
from chervilrack._internal.releases.state import (
    Configuration,
    Limits,
    Pipeline,
    Service,
    Stage,
    Upstream,
    UpstreamKind,
)

# Ids are parts of platform keys, URLs and metric labels.
ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_SHA256 = re.compile(r"[0-9a-f]{64}")


def serves(upstream: Upstream, stage: Stage) -> bool:
    """Return whether an upstream can run a stage: it has its kind and may hold its model."""
    return upstream.kind is stage.kind and (stage.model is None or stage.model in upstream.models)


def read_checked_note(text: str, file: str, configuration: Configuration) -> ReleaseNote:
    """Read a note and check it against the configuration before it.

    Raises InvalidDocumentError with all mistakes of form and content.
    """
    document = read_note(text, file)
    if document.value is not None:
        broken = _broken_ids(document) if document.mistakes else None
        document.add_mistakes(check_note(document.value, configuration, broken))
    return document.value_or_raise()


def check_note(
    note: ReleaseNote,
    configuration: Configuration,
    broken: Mapping[Kind, Collection[str]] | None = None,
) -> list[Mistake]:
    """Return all mistakes of a note.

    ``broken`` is set if parts of the note could not be read, and names the items among them.
    References to them are no mistakes, and coverage of stages is not judged while upstreams are
    missing for this reason.
    """
    return list(_Check(note, configuration, broken).run())


def _broken_ids(document: Document[ReleaseNote]) -> dict[Kind, list[str]]:
    """Return the ids of items that could not be read; an item without id counts as ''."""
    found: dict[Kind, list[str]] = {}
    for path, fields in document.unreadable_items.items():
        for kind in KINDS:
            if len(path) >= 3 and path[1] == kind:
                # A nested struct is broken; the item around it may be intact, which is harmless.
                found.setdefault(kind, []).append(fields.get("id", ""))
    return found


class _Check:
    def __init__(
        self,
        note: ReleaseNote,
        configuration: Configuration,
        broken: Mapping[Kind, Collection[str]] | None,
    ) -> None:
        self._note = note
        self._before = configuration
        self._after = apply_note(configuration, note)
        self._is_whole = broken is None
        self._broken = broken or {}
        # Where each item of the new configuration is named in the note.
        self._places: dict[tuple[str, str], Path] = {}
        self._withdrawn: dict[tuple[str, str], Path] = {}
        for kind in KINDS:
            for section in ("added", "changed"):
                for index, item in enumerate(getattr(getattr(note, section), kind)):
                    self._places.setdefault((kind, item.id), (section, kind, index))
            for index, item_id in enumerate(getattr(note.withdrawn, kind)):
                self._withdrawn.setdefault((kind, item_id), ("withdrawn", kind, index))

    def run(self) -> Iterator[Mistake]:
        if not (self._note.id == "" or ID_PATTERN.fullmatch(self._note.id)):
            yield Mistake(("id",), f"expected an id that matches {ID_PATTERN.pattern}")
        yield from self._existence()
        for (kind, item_id), place in self._places.items():
            item = getattr(self._after, kind).get(item_id)
            if item is not None:
                yield from getattr(self, f"_check_{kind}")(item, place)
        yield from self._dangling()
        if not self._broken.get("upstreams"):
            yield from self._coverage()
        yield from self._token_limits()
        yield from self._shared_keys()

    def _existence(self) -> Iterator[Mistake]:
        named: Counter[tuple[str, str]] = Counter()
        for kind in KINDS:
            present = getattr(self._before, kind)
            for index, item in enumerate(getattr(self._note.added, kind)):
                path: Path = ("added", kind, index, "id")
                named[kind, item.id] += 1
                if not ID_PATTERN.fullmatch(item.id):
                    yield Mistake(path, f"expected an id that matches {ID_PATTERN.pattern}")
                if item.id in present:
                    yield Mistake(path, f"expected a new id, '{item.id}' exists; use 'changed'")
                yield from self._named_twice(named, kind, item.id, path)
            for index, item in enumerate(getattr(self._note.changed, kind)):
                path = ("changed", kind, index, "id")
                named[kind, item.id] += 1
                if item.id not in present:
                    yield Mistake(path, f"expected an existing id, there is no '{item.id}'")
                if not changed_fields(item):
                    yield Mistake(path, "expected at least one field that changes")
                yield from self._named_twice(named, kind, item.id, path)
            for index, item_id in enumerate(getattr(self._note.withdrawn, kind)):
                path = ("withdrawn", kind, index)
                named[kind, item_id] += 1
                if item_id not in present:
                    yield Mistake(path, f"expected an existing id, there is no '{item_id}'")
                yield from self._named_twice(named, kind, item_id, path)
        if not named and self._is_whole:
            yield Mistake((), "expected at least one item that is added, changed or withdrawn")

    def _named_twice(
        self, named: Counter[tuple[str, str]], kind: str, item_id: str, path: Path
    ) -> Iterator[Mistake]:
        if named[kind, item_id] == 2:
            yield Mistake(path, f"expected each id once, '{item_id}' is named before")

    def _check_teams(self, team: Any, place: Path) -> Iterator[Mistake]:
        yield from _limits(team.limits, place)

    def _check_models(self, model: Any, place: Path) -> Iterator[Mistake]:
        if model.size < 0:
            yield Mistake((*place, "size"), "expected a size of at least 0B")

    def _check_upstreams(self, upstream: Upstream, place: Path) -> Iterator[Mistake]:
        yield from _limits(upstream.limits, place)
        try:
            parts = urlsplit(upstream.url)
            valid = parts.scheme in ("http", "https") and parts.hostname and parts.port
        except ValueError:
            valid = None
        if not valid:
            yield Mistake(
                (*place, "url"),
                f"expected a URL such as http://10.0.0.5:8080, found '{upstream.url}'",
            )
        if upstream.kind is UpstreamKind.SERVICE:
            if upstream.service is None:
                yield Mistake((*place, "service"), "expected the id of a service, is missing")
            if upstream.models:
                yield Mistake((*place, "models"), "expected no models for kind service")
        elif upstream.service is not None:
            yield Mistake(
                (*place, "service"), f"expected no service for kind {upstream.kind.value}"
            )

    def _check_pipelines(self, pipeline: Pipeline, place: Path) -> Iterator[Mistake]:
        yield from _deadline(pipeline.deadline, place)
        if not pipeline.stages:
            yield Mistake((*place, "stages"), "expected at least one stage")
        seen: set[str] = set()
        for index, stage in enumerate(pipeline.stages):
            path = (*place, "stages", index)
            if stage.id in seen:
                yield Mistake((*path, "id"), f"expected each stage once, '{stage.id}' is repeated")
            seen.add(stage.id)
            if stage.max_tokens < 0:
                yield Mistake(
                    (*path, "max_tokens"),
                    f"expected an integer of at least 0, found {stage.max_tokens}",
                )
            if stage.kind is UpstreamKind.SERVICE:
                yield Mistake((*path, "kind"), "expected a kind other than service")

    def _check_services(self, service: Service, place: Path) -> Iterator[Mistake]:
        yield from _deadline(service.deadline, place)
        if not service.operations:
            yield Mistake((*place, "operations"), "expected at least one operation")
        repeated = Counter(operation.name for operation in service.operations)
        for name, count in repeated.items():
            if count > 1:
                yield Mistake(
                    (*place, "operations"), f"expected each operation once, '{name}' is repeated"
                )

    def _check_organisations(self, organisation: Any, place: Path) -> Iterator[Mistake]:
        if organisation.weight <= 0:
            yield Mistake(
                (*place, "weight"), f"expected a number above 0, found {organisation.weight}"
            )
        if not organisation.keys:
            yield Mistake((*place, "keys"), "expected at least one key")
        for index, key in enumerate(organisation.keys):
            if not _SHA256.fullmatch(key.sha256):
                yield Mistake(
                    (*place, "keys", index, "sha256"),
                    "expected 64 lower-case hexadecimal digits; clear text goes under 'key'",
                )

    def _dangling(self) -> Iterator[Mistake]:
        """Yield references to items that the new configuration does not have."""
        blamed: set[tuple[str, str]] = set()
        for holder, holder_id, target, target_id, path in self._references():
            if target_id in getattr(self._after, target):
                continue
            if target_id in self._broken.get(target, ()):
                continue
            place = self._places.get((holder, holder_id))
            if place is not None:
                yield Mistake(
                    (*place, *path),
                    f"expected the id of one of the {target}, there is no '{target_id}'",
                )
            elif (target, target_id) in self._withdrawn and (target, target_id) not in blamed:
                blamed.add((target, target_id))
                yield Mistake(
                    self._withdrawn[target, target_id],
                    f"expected '{target_id}' to be unused, {holder} '{holder_id}' refers to it",
                )

    def _references(self) -> Iterator[tuple[str, str, Kind, str, Path]]:
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

    def _coverage(self) -> Iterator[Mistake]:
        """Yield stages and services that no upstream serves."""
        upstreams = list(self._after.upstreams.values())
        for pipeline in self._after.pipelines.values():
            for index, stage in enumerate(pipeline.stages):
                if any(serves(upstream, stage) for upstream in upstreams):
                    continue
                what = f"stage '{stage.id}' of pipeline '{pipeline.id}'"
                place = self._places.get(("pipelines", pipeline.id))
                own = (*place, "stages", index) if place else None
                lost = [u.id for u in self._before.upstreams.values() if serves(u, stage)]
                yield self._uncovered(what, own, lost)
        served = {u.service for u in upstreams if u.kind is UpstreamKind.SERVICE}
        for service in self._after.services.values():
            if service.id not in served:
                place = self._places.get(("services", service.id))
                lost = [u.id for u in self._before.upstreams.values() if u.service == service.id]
                yield self._uncovered(f"service '{service.id}'", place, lost)

    def _uncovered(self, what: str, own: Path | None, lost: Sequence[str]) -> Mistake:
        for places in (self._withdrawn, self._places):
            for upstream in lost:
                place = places.get(("upstreams", upstream))
                if place is not None:
                    return Mistake(place, f"expected an upstream to remain for {what}")
        return Mistake(own or (), f"expected at least one upstream for {what}")

    def _token_limits(self) -> Iterator[Mistake]:
        """Yield limits that are too small for one call of a stage, once for each limit."""
        longest: dict[Path, tuple[int, int, str]] = {}
        for pipeline in self._after.pipelines.values():
            pipeline_place = self._places.get(("pipelines", pipeline.id))
            for index, stage in enumerate(pipeline.stages):
                if stage.max_tokens <= 0:
                    continue
                stage_place = (
                    (*pipeline_place, "stages", index, "max_tokens") if pipeline_place else None
                )
                for limit, place in self._limits_over(stage):
                    path = place or stage_place
                    if limit < stage.max_tokens and path is not None:
                        found = (stage.max_tokens, limit, f"'{stage.id}' of '{pipeline.id}'")
                        longest[path] = max(found, longest.get(path, found))
        for path, (needed, limit, name) in longest.items():
            if path[-1] == "max_tokens":
                text = f"expected at most the limit of {limit} tokens/s of its upstreams"
            else:
                text = f"expected at least {needed}, the max_tokens of stage {name}"
            yield Mistake(path, f"{text}, found {needed if path[-1] == 'max_tokens' else limit}")

    def _limits_over(self, stage: Stage) -> Iterator[tuple[int, Path | None]]:
        for upstream in self._after.upstreams.values():
            if not serves(upstream, stage):
                continue
            team = self._after.teams.get(upstream.team)
            holders: list[tuple[str, str, Limits]] = [("upstreams", upstream.id, upstream.limits)]
            if team is not None:
                holders.append(("teams", team.id, team.limits))
            for kind, holder, limits in holders:
                if limits.tokens_per_s is not None and limits.tokens_per_s > 0:
                    place = self._places.get((kind, holder))
                    yield (
                        limits.tokens_per_s,
                        (*place, "limits", "tokens_per_s") if place else None,
                    )

    def _shared_keys(self) -> Iterator[Mistake]:
        """Yield keys that two organisations have: a request could not be attributed."""
        owners: dict[str, tuple[str, int]] = {}
        for organisation in self._after.organisations.values():
            for index, key in enumerate(organisation.keys):
                first = owners.setdefault(key.sha256, (organisation.id, index))
                here = (organisation.id, index)
                if first == here:
                    continue
                for (holder, position), (sharer, _) in ((here, first), (first, here)):
                    place = self._places.get(("organisations", holder))
                    if place is not None:
                        yield Mistake(
                            (*place, "keys", position),
                            f"expected a key used once, organisation '{sharer}' has the same",
                        )
                        break


def _limits(limits: Limits, place: Path) -> Iterator[Mistake]:
    for kind, value in limits.items():
        if value <= 0:
            yield Mistake(
                (*place, "limits", kind.value), f"expected an integer above 0, found {value}"
            )


def _deadline(deadline: timedelta, place: Path) -> Iterator[Mistake]:
    if deadline <= timedelta(0):
        yield Mistake((*place, "deadline"), "expected a duration above 0s")
