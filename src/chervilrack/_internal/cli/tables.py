"""Formats tables as plain text."""

from collections.abc import Mapping, Sequence
from typing import Any


def format_table(rows: Sequence[Mapping[str, Any]], indent: str = "  ") -> str:
    """Return a table with aligned columns and a header. All rows have the same keys."""
    if not rows:
        return ""
    columns = list(rows[0])
    cells = [columns] + [[_format_cell(row.get(name)) for name in columns] for row in rows]
    widths = [max(len(line[index]) for line in cells) for index in range(len(columns))]
    lines = [
        indent
        + "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip()
        for line in cells
    ]
    return "\n".join(lines)


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    return str(value)
