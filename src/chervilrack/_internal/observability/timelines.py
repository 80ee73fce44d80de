"""Puts the lines about one request together from the decision logs of several nodes."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, Final

# Time before and after a request's own lines in which changes of belief may explain it.
CONTEXT_S: Final = 8.0
# Events that change what a node believes; they explain requests that do not name them.
_BELIEFS: Final = frozenset(
    (
        ("balancing", "eject"),
        ("balancing", "return"),
        ("balancing", "misdirected"),
        ("batching", "call failed"),
        ("batching", "owner passed over"),
        ("catalogue", "configuration applied"),
        ("catalogue", "upstream changed"),
        ("fleet", "peer lost"),
        ("fleet", "peer leaving"),
        ("node", "leaving"),
        ("node", "paused"),
        ("node", "started"),
        ("store", "lost"),
        ("store", "regained"),
    )
)


@dataclass(frozen=True, slots=True)
class RequestTimeline:
    """Lines of one request, and changes of belief around it at the nodes that it met."""

    request_lines: tuple[dict[str, Any], ...]
    context_lines: tuple[dict[str, Any], ...]


def parse_lines(texts: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the decision lines of logs; text before the first brace of a line is skipped."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(line, dict) and "part" in line and "time" in line:
            yield line


def build_timeline(lines: Iterable[dict[str, Any]], request_id: str) -> RequestTimeline:
    """Return the story of a request from the lines of all nodes."""
    known = list(lines)
    own = [line for line in known if _names(line, request_id)]
    if not own:
        return RequestTimeline((), ())
    # ISO times with one offset sort as text; seconds are compared for the surroundings.
    own.sort(key=lambda line: str(line["time"]))
    upstreams = {word for line in own for word in _upstreams(line)}
    nodes = {line.get("node") for line in own}
    took = max((float(line.get("took_ms", 0)) for line in own), default=0.0) / 1000
    end = _seconds(own[-1])
    context = [
        line
        for line in known
        if (line["part"], line.get("event")) in _BELIEFS
        and not _names(line, request_id)
        and end - took - CONTEXT_S <= _seconds(line) <= end + 1
        and (line.get("node") in nodes or line.get("upstream") in upstreams)
    ]
    context.sort(key=lambda line: str(line["time"]))
    return RequestTimeline(tuple(own), tuple(context))


def format_line(line: dict[str, Any]) -> str:
    """Return one line of a story as text."""
    fixed = ("time", "node", "part", "event", "steps", "requests")
    rest = ", ".join(
        f"{name} {value}"
        for name, value in line.items()
        if name not in fixed and value not in (None, "")
    )
    head = f"{str(line['time'])[11:23]} {line.get('node', '?')} {line['part']}: {line.get('event')}"
    steps = "".join(f"\n    {step}" for step in line.get("steps") or ())
    return f"{head}; {rest}{steps}"


def _names(line: dict[str, Any], request_id: str) -> bool:
    return line.get("request") == request_id or request_id in (line.get("requests") or ())


def _upstreams(line: dict[str, Any]) -> Iterator[str]:
    if line.get("upstream"):
        yield str(line["upstream"])
    for step in line.get("steps") or ():
        if step.startswith("to "):
            yield step[3:].partition(":")[0]


def _seconds(line: dict[str, Any]) -> float:
    hours, minutes, seconds = str(line["time"])[11:23].split(":")
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)
