"""Plain text tables."""

from collections.abc import Mapping, Sequence
from typing import Any


def format_table(rows: Sequence[Mapping[str, Any]], indent: str = "  ") -> str:
    """Return rows with equal keys as aligned columns under a header."""
    if not rows:
        return ""
    names = list(rows[0])
    cells = [names] + [[_text(row.get(name)) for name in names] for row in rows]
    widths = [max(len(line[column]) for line in cells) for column in range(len(names))]
    lines = [
        indent
        + "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip()
        for line in cells
    ]
    return "\n".join(lines)


def _text(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    return str(value)
