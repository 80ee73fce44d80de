"""Schema of release notes and their YAML reader.

A changed item holds its id and the fields that change. Each of these fields is replaced as a whole.
An organisation's key may be given in clear text as ``key``. Reading the note replaces the clear
text by its SHA-256, so that the clear text never leaves the process that reads the file.
"""

import hashlib
from collections.abc import Mapping
from datetime import timedelta
from typing import Any, Literal

import msgspec
from msgspec import UNSET, UnsetType
from yaml.nodes import MappingNode, Node, ScalarNode, SequenceNode

from chervilrack._internal.common.documents import Document, read_document
from chervilrack._internal.common.ids import (
    ModelId,
    NoteId,
    OrganisationId,
    PipelineId,
    ServiceId,
    TeamId,
    UpstreamId,
    ZoneId,
)
from chervilrack._internal.common.units import ByteSize
from chervilrack._internal.releases.state import (
    Limits,
    Model,
    Operation,
    Organisation,
    OrganisationKey,
    Pipeline,
    Service,
    Stage,
    Team,
    Upstream,
    UpstreamKind,
)

ItemKind = Literal["teams", "upstreams", "models", "pipelines", "services", "organisations"]
ITEM_KINDS: tuple[ItemKind, ...] = (
    "teams",
    "upstreams",
    "models",
    "pipelines",
    "services",
    "organisations",
)


class TeamChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Changed fields of a team."""

    id: TeamId
    limits: Limits | UnsetType = UNSET


class UpstreamChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Changed fields of an upstream."""

    id: UpstreamId
    team: TeamId | UnsetType = UNSET
    kind: UpstreamKind | UnsetType = UNSET
    url: str | UnsetType = UNSET
    zone: ZoneId | UnsetType = UNSET
    limits: Limits | UnsetType = UNSET
    models: tuple[ModelId, ...] | UnsetType = UNSET
    adapters: tuple[str, ...] | UnsetType = UNSET
    service: ServiceId | UnsetType | None = UNSET
    protocol: str | UnsetType = UNSET
    checks_fencing: bool | UnsetType = UNSET
    reports_load: bool | UnsetType = UNSET


class ModelChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Changed fields of a model."""

    id: ModelId
    version: str | UnsetType = UNSET
    size: ByteSize | UnsetType = UNSET


class PipelineChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Changed fields of a pipeline."""

    id: PipelineId
    stages: tuple[Stage, ...] | UnsetType = UNSET
    deadline: timedelta | UnsetType = UNSET


class ServiceChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Changed fields of a service."""

    id: ServiceId
    operations: tuple[Operation, ...] | UnsetType = UNSET
    deadline: timedelta | UnsetType = UNSET


class OrganisationChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Changed fields of an organisation."""

    id: OrganisationId
    keys: tuple[OrganisationKey, ...] | UnsetType = UNSET
    weight: float | UnsetType = UNSET
    priority_class: str | UnsetType = UNSET


class Added(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Items that a note adds."""

    teams: tuple[Team, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    models: tuple[Model, ...] = ()
    pipelines: tuple[Pipeline, ...] = ()
    services: tuple[Service, ...] = ()
    organisations: tuple[Organisation, ...] = ()


class Changed(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Items that a note changes."""

    teams: tuple[TeamChange, ...] = ()
    upstreams: tuple[UpstreamChange, ...] = ()
    models: tuple[ModelChange, ...] = ()
    pipelines: tuple[PipelineChange, ...] = ()
    services: tuple[ServiceChange, ...] = ()
    organisations: tuple[OrganisationChange, ...] = ()


class Withdrawn(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Ids of items that a note withdraws."""

    teams: tuple[TeamId, ...] = ()
    upstreams: tuple[UpstreamId, ...] = ()
    models: tuple[ModelId, ...] = ()
    pipelines: tuple[PipelineId, ...] = ()
    services: tuple[ServiceId, ...] = ()
    organisations: tuple[OrganisationId, ...] = ()


class ReleaseNote(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """One release note. A note that is submitted again under the same id is applied only once."""

    id: NoteId
    description: str = ""
    added: Added = Added()
    changed: Changed = Changed()
    withdrawn: Withdrawn = Withdrawn()


def changed_fields(change: msgspec.Struct) -> Mapping[str, Any]:
    """Return the new values of the fields that ``change`` sets, by field name, without the id."""
    fields = {name: getattr(change, name) for name in change.__struct_fields__ if name != "id"}
    return {name: value for name, value in fields.items() if value is not UNSET}


def hash_key(key: str) -> str:
    """Return the SHA-256 of an organisation's or operator's key in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def read_note(text: str, file: str) -> Document[ReleaseNote]:
    """Read a note from YAML. The returned document lists mistakes of syntax and schema."""
    return read_document(text, file, ReleaseNote, _hash_clear_keys, {"id": NoteId("")})


def _hash_clear_keys(root: Node) -> None:
    """Replace each clear-text ``key`` of an organisation by ``sha256`` in the nodes of a note."""
    for section in ("added", "changed"):
        for organisation in _items(_child(_child(root, section), "organisations")):
            for entry in _items(_child(organisation, "keys")):
                if not isinstance(entry, MappingNode):
                    continue
                for key_node, clear_key in entry.value:
                    if (
                        key_node.value == "key"
                        and isinstance(clear_key, ScalarNode)
                        and clear_key.value
                    ):
                        key_node.value = "sha256"
                        clear_key.value = hash_key(clear_key.value)
                        # An unquoted key of digits has the tag of an integer, but its hash is text.
                        clear_key.tag = "tag:yaml.org,2002:str"


def _child(node: Node | None, key: str) -> Node | None:
    if not isinstance(node, MappingNode):
        return None
    return next((value for name, value in node.value if name.value == key), None)


def _items(node: Node | None) -> list[Node]:
    return node.value if isinstance(node, SequenceNode) else []
