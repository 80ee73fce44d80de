"""Reads YAML documents into msgspec structs and reports all mistakes with their line numbers.

The conversion of msgspec itself stops at the first mistake and does not know line numbers.
Therefore this module converts the nodes of PyYAML, using the type information of
``msgspec.inspect``.
"""

import difflib
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Annotated, Any, Generic, TypeVar

import msgspec
import yaml
from msgspec import inspect
from yaml.nodes import MappingNode, Node, ScalarNode, SequenceNode

from chervilrack._internal.common.units import parse_duration, parse_size
from chervilrack._internal.exceptions import InvalidDocumentError

T = TypeVar("T")

Path = tuple[str | int, ...]

# The C loader is about ten times faster, but missing if PyYAML was built without libyaml.
_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
# Messages do not show values under these keys, because they may be secrets.
_SECRET_KEYS = frozenset(("key", "keys", "key_hashes", "password", "token"))
_UNREADABLE: Any = object()  # marks a value that could not be read


@dataclass(frozen=True, slots=True)
class Mistake:
    """Mistake in a document: the path of a key, and a text that says what is expected there."""

    path: Path
    text: str


@dataclass(slots=True)
class Document(Generic[T]):
    """Document with its mistakes and the line numbers of its keys.

    ``value`` is None if the outermost mapping could not be read. List items that could not be read
    are left out of ``value``. ``unreadable_items`` holds the scalar fields of each mapping that
    could not be read, by its path.
    """

    file: str
    value: T | None = None
    mistakes: list[Mistake] = field(default_factory=list)
    unreadable_items: dict[Path, dict[str, str]] = field(default_factory=dict)
    _lines: dict[Path, int] = field(default_factory=dict)
    _item_indexes: dict[Path, list[int]] = field(default_factory=dict)

    def line(self, path: Path) -> int:
        """Return the line number of a key, or of the nearest enclosing key."""
        while path and path not in self._lines:
            path = path[:-1]
        return self._lines.get(path, 1)

    def add_mistakes(self, mistakes: Iterable[Mistake]) -> None:
        """Add mistakes found in ``value``, whose list indexes skip the items that were not read."""
        self.mistakes += [
            Mistake(self._path_in_document(mistake.path), mistake.text) for mistake in mistakes
        ]

    def messages(self) -> list[str]:
        """Return all mistakes as ``file:line: key: text``, sorted by line."""
        ordered = sorted(self.mistakes, key=lambda mistake: self.line(mistake.path))
        return [
            f"{self.file}:{self.line(mistake.path)}: {format_path(mistake.path)}: {mistake.text}"
            for mistake in ordered
        ]

    def value_or_raise(self) -> T:
        """Return the value; raises InvalidDocumentError with all messages if there are mistakes."""
        if self.mistakes or self.value is None:
            raise InvalidDocumentError(self.messages())
        return self.value

    def _path_in_document(self, path: Path) -> Path:
        """Translate the list indexes of a path in ``value`` to those in the document."""
        document_path: Path = ()
        for part in path:
            item_indexes = self._item_indexes.get(document_path)
            if isinstance(part, int) and item_indexes is not None and part < len(item_indexes):
                part = item_indexes[part]  # noqa: PLW2901
            document_path = (*document_path, part)
        return document_path


def format_path(path: Path) -> str:
    """Return a path as text, such as ``added.upstreams[0].team``."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}" if text else part
    return text or "document"


def read_document(
    text: str,
    file: str,
    schema: type[T],
    prepare: Callable[[Node], None] | None = None,
    placeholders: Mapping[str, Any] | None = None,
) -> Document[T]:
    """Read a YAML document into the struct class ``schema``.

    ``prepare`` may change the nodes before their conversion. ``placeholders`` replace required
    fields of the outermost mapping that cannot be read, so that the other fields can still be
    checked. The returned document holds all mistakes.

    Aliases are rejected, because nested aliases can expand to documents of any size.
    """
    document: Document[T] = Document(file)
    try:
        for event in yaml.parse(text, Loader=_LOADER):
            if isinstance(event, yaml.AliasEvent):
                mark = event.start_mark
                document._lines[("alias",)] = mark.line + 1 if mark else 1
                document.mistakes.append(Mistake(("alias",), "aliases are not supported"))
                return document
        root = yaml.compose(text, Loader=_LOADER)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        document._lines[()] = mark.line + 1 if mark else 1
        problem = getattr(error, "problem", None) or str(error)
        document.mistakes.append(Mistake((), f"expected valid YAML: {problem}"))
        return document
    except RecursionError:
        document.mistakes.append(Mistake((), "expected fewer nested levels"))
        return document
    if root is None:
        document.mistakes.append(Mistake((), "expected a mapping, found an empty document"))
        return document
    if prepare is not None:
        prepare(root)
    value = _Reader(document, placeholders or {}).read(root, inspect.type_info(schema), ())
    document.value = None if value is _UNREADABLE else value
    return document


class _Reader:
    """Converts YAML nodes to values and records line numbers and mistakes in a document."""

    def __init__(self, document: Document[Any], placeholders: Mapping[str, Any]) -> None:
        self._document = document
        self._placeholders = placeholders

    def read(self, node: Node, expected: inspect.Type, path: Path, unit: str = "") -> Any:
        self._document._lines.setdefault(path, node.start_mark.line + 1)
        match expected:
            case inspect.Metadata():
                unit = (expected.extra or {}).get("unit", unit)
                return self.read(node, expected.type, path, unit)
            case inspect.UnionType():
                return self._union(node, expected, path, unit)
            case inspect.StructType():
                return self._struct(node, expected, path)
            case inspect.VarTupleType() | inspect.ListType():
                return self._sequence(node, expected, path)
            case inspect.DictType():
                return self._dict(node, expected, path)
        return self._scalar(node, expected, path, unit)

    def _record_mismatch(self, path: Path, expectation: str, node: Node) -> Any:
        """Record that a node does not have the expected type."""
        actual = "another value" if _SECRET_KEYS.intersection(path) else _describe_node(node)
        self._document.mistakes.append(Mistake(path, f"expected {expectation}, found {actual}"))
        return _UNREADABLE

    def _union(self, node: Node, expected: inspect.UnionType, path: Path, unit: str) -> Any:
        value_types = [kind for kind in expected.types if not isinstance(kind, inspect.NoneType)]
        if expected.includes_none and _is_null(node):
            return None
        if len(value_types) != 1:
            raise TypeError(f"a union of several types is not supported at {format_path(path)}")
        return self.read(node, value_types[0], path, unit)

    def _entries(self, node: Node, path: Path) -> dict[str, Node] | None:
        """Return the values of a mapping node by key, or None for another node."""
        if not isinstance(node, MappingNode):
            return None
        entries: dict[str, Node] = {}
        for key_node, value_node in node.value:
            key = str(key_node.value)
            key_path = (*path, key)
            if key in entries:
                self._document.mistakes.append(Mistake(key_path, "the key is given twice"))
                continue
            self._document._lines[key_path] = key_node.start_mark.line + 1
            entries[key] = value_node
        return entries

    def _struct(self, node: Node, expected: inspect.StructType, path: Path) -> Any:
        entries = self._entries(node, path)
        if entries is None:
            return self._record_mismatch(path, "a mapping", node)
        fields = {item.encode_name: item for item in expected.fields}
        mistakes = self._document.mistakes
        for key in entries.keys() - fields.keys():
            similar = difflib.get_close_matches(key, fields, 1)
            hint = f"did you mean '{similar[0]}'?" if similar else "known are: " + ", ".join(fields)
            mistakes.append(Mistake((*path, key), f"unknown key; {hint}"))
        values: dict[str, Any] = dict(self._placeholders) if path == () else {}
        complete = True
        for key, item in fields.items():
            if key in entries:
                value = self.read(entries[key], item.type, (*path, key))
                if value is not _UNREADABLE:
                    values[item.name] = value
                complete &= not item.required or item.name in values
            elif item.required:
                mistakes.append(
                    Mistake((*path, key), f"expected {_describe_type(item.type)}, is missing")
                )
                complete &= item.name in values
        if complete:
            return expected.cls(**values)
        self._document.unreadable_items[path] = {
            key: child.value for key, child in entries.items() if isinstance(child, ScalarNode)
        }
        return _UNREADABLE

    def _sequence(
        self, node: Node, expected: inspect.VarTupleType | inspect.ListType, path: Path
    ) -> Any:
        if not isinstance(node, SequenceNode):
            return self._record_mismatch(path, "a list", node)
        item_indexes: list[int] = []
        values = []
        for index, child in enumerate(node.value):
            value = self.read(child, expected.item_type, (*path, index))
            if value is not _UNREADABLE:
                item_indexes.append(index)
                values.append(value)
        self._document._item_indexes[path] = item_indexes
        return values if isinstance(expected, inspect.ListType) else tuple(values)

    def _dict(self, node: Node, expected: inspect.DictType, path: Path) -> Any:
        entries = self._entries(node, path)
        if entries is None:
            return self._record_mismatch(path, "a mapping", node)
        values = {
            key: self.read(child, expected.value_type, (*path, key))
            for key, child in entries.items()
        }
        return {key: value for key, value in values.items() if value is not _UNREADABLE}

    def _scalar(self, node: Node, expected: inspect.Type, path: Path, unit: str) -> Any:
        expectation = _describe_type(expected, unit)
        if not isinstance(node, ScalarNode):
            return self._record_mismatch(path, expectation, node)
        try:
            return _convert(node, expected, unit)
        except ValueError:
            return self._record_mismatch(path, expectation, node)


def _convert(node: ScalarNode, expected: inspect.Type, unit: str) -> Any:
    """Return the value of a scalar node; raises ValueError if it does not have the type."""
    text = str(node.value)
    tag = node.tag.rpartition(":")[2]
    value: Any = _UNREADABLE
    match expected:
        case inspect.IntType() if unit == "size":
            value = parse_size(text)
        case inspect.TimeDeltaType():
            value = parse_duration(text)
        case inspect.EnumType():
            value = expected.cls(text)
        case inspect.LiteralType() if text in expected.values:
            value = text
        case inspect.StrType() if tag == "str" and text:
            value = msgspec.convert(text, _with_constraints(expected, str))
        case inspect.BoolType() if tag == "bool" and text.lower() in ("true", "false"):
            value = text.lower() == "true"
        case inspect.IntType() if tag == "int":
            value = msgspec.convert(int(text), _with_constraints(expected, int))
        case inspect.FloatType() if tag in ("int", "float"):
            value = msgspec.convert(float(text), _with_constraints(expected, float))
        case inspect.DateTimeType() if tag == "timestamp":
            parsed = datetime.fromisoformat(text)
            if parsed.tzinfo is not None:
                value = parsed.astimezone(UTC)
    if value is _UNREADABLE:
        raise ValueError(f"not a value of type {type(expected).__name__}: {text}")
    return value


def _with_constraints(expected: inspect.Type, plain: type) -> Any:
    """Return ``plain`` annotated with the constraints of ``expected``, which msgspec checks."""
    names = ("gt", "ge", "lt", "le", "pattern", "min_length", "max_length")
    limits = {name: getattr(expected, name, None) for name in names}
    return Annotated[plain, msgspec.Meta(**{k: v for k, v in limits.items() if v is not None})]


def _describe_type(expected: inspect.Type, unit: str = "") -> str:
    """Return a description of the values that a type accepts."""
    if isinstance(expected, inspect.Metadata):
        return _describe_type(expected.type, (expected.extra or {}).get("unit", unit))
    if isinstance(expected, inspect.UnionType):
        plain = [kind for kind in expected.types if not isinstance(kind, inspect.NoneType)]
        return _describe_type(plain[0], unit)
    text = _TYPE_DESCRIPTIONS.get(type(expected), "a value")
    match expected:
        case inspect.IntType() if unit == "size":
            text = "a size with a unit such as 64kB or 2GiB"
        case inspect.EnumType():
            text = "one of " + ", ".join(str(member.value) for member in expected.cls)
        case inspect.LiteralType():
            text = "one of " + ", ".join(str(value) for value in expected.values)
        case inspect.IntType() | inspect.FloatType():
            text += _describe_bounds(expected)
        case inspect.StrType() if expected.pattern:
            text = f"text that matches {expected.pattern}"
    return text


_TYPE_DESCRIPTIONS: Mapping[type, str] = {
    inspect.TimeDeltaType: "a duration with a unit such as 250ms or 6s",
    inspect.DateTimeType: "a date and time with offset such as 2026-12-31T00:00:00Z",
    inspect.StrType: "text (quote numbers, dates and yes/no)",
    inspect.BoolType: "true or false",
    inspect.IntType: "an integer",
    inspect.FloatType: "a number",
    inspect.StructType: "a mapping",
    inspect.DictType: "a mapping",
    inspect.VarTupleType: "a list",
    inspect.ListType: "a list",
}


def _describe_bounds(expected: inspect.IntType | inspect.FloatType) -> str:
    signs = {"gt": ">", "ge": ">=", "lt": "<", "le": "<="}
    limits = [
        f"{sign} {getattr(expected, name)}"
        for name, sign in signs.items()
        if getattr(expected, name) is not None
    ]
    return " " + " and ".join(limits) if limits else ""


def _is_null(node: Node) -> bool:
    return isinstance(node, ScalarNode) and node.tag.endswith(":null")


def _describe_node(node: Node) -> str:
    if isinstance(node, MappingNode):
        return "a mapping"
    if isinstance(node, SequenceNode):
        return "a list"
    if _is_null(node):
        return "nothing"
    return f"'{node.value}'" if len(node.value) <= 60 else f"'{node.value[:57]}...'"
