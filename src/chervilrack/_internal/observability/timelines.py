"""Collects the lines about one request from the decision logs of several nodes."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, Final

# Events from this long before the start of a request until 1 s after its last line are shown as
# its context.
CONTEXT_S: Final = 8.0
# Events, as part and event, that change what a node assumes about upstreams, peers, queue owners
# or the store. Their lines name no request but may explain its outcome.
_STATE_EVENTS: Final = frozenset(
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
        ("quarantine", "upstream crashed"),
        ("quarantine", "blocked"),
        ("quarantine", "narrowed"),
        ("quarantine", "probed"),
        ("quarantine", "cleared"),
        ("store", "lost"),
        ("store", "regained"),
    )
)


@dataclass(frozen=True, slots=True)
class RequestTimeline:
    """Log lines of one request and state changes around it, each sorted by time.

    ``context_lines`` are state changes at the nodes, or of the upstreams, that handled the request,
    and for a request that was refused because such requests crash upstreams, the block and the
    crashes that it names, however long ago.
    """

    request_lines: tuple[dict[str, Any], ...]
    context_lines: tuple[dict[str, Any], ...]


def parse_lines(texts: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the decision lines among ``texts``, skipping all text before the first brace.

    Texts that are not decision lines are skipped.
    """
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
    """Return the timeline of ``request_id`` from the decision lines of all nodes."""
    all_lines = list(lines)
    request_lines = [line for line in all_lines if _concerns_request(line, request_id)]
    if not request_lines:
        return RequestTimeline((), ())
    # ISO times with the same UTC offset sort correctly as text.
    request_lines.sort(key=lambda line: str(line["time"]))
    upstreams = {upstream for line in request_lines for upstream in _upstreams(line)}
    nodes = {line.get("node") for line in request_lines}
    longest_s = max((float(line.get("took_ms", 0)) for line in request_lines), default=0.0) / 1000
    end = _second_of_day(request_lines[-1])
    block_lines = _block_lines(all_lines, request_lines)
    context_lines = [
        line
        for line in all_lines
        if (line["part"], line.get("event")) in _STATE_EVENTS
        and not _concerns_request(line, request_id)
        and end - longest_s - CONTEXT_S <= _second_of_day(line) <= end + 1
        and (line.get("node") in nodes or line.get("upstream") in upstreams)
        and line not in block_lines
    ]
    context_lines += block_lines
    context_lines.sort(key=lambda line: str(line["time"]))
    return RequestTimeline(tuple(request_lines), tuple(context_lines))


def format_line(line: dict[str, Any]) -> str:
    """Return a decision line as text, with each step on a line of its own."""
    excluded_fields = ("time", "node", "part", "event", "steps", "requests")
    details = ", ".join(
        f"{name} {value}"
        for name, value in line.items()
        if name not in excluded_fields and value not in (None, "")
    )
    head = f"{str(line['time'])[11:23]} {line.get('node', '?')} {line['part']}: {line.get('event')}"
    steps = "".join(f"\n    {step}" for step in line.get("steps") or ())
    return f"{head}; {details}{steps}"


def _concerns_request(line: dict[str, Any], request_id: str) -> bool:
    return line.get("request") == request_id or request_id in (line.get("requests") or ())


def _block_lines(
    lines: Iterable[dict[str, Any]], request_lines: Iterable[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Return the lines of the blocks that refused a request, and of the crashes behind them."""
    details = [str(line.get("detail", "")) for line in request_lines]
    changes = [
        line
        for line in lines
        if line["part"] == "quarantine"
        and line.get("trait")
        and line.get("event") != "suspected"
        and any(detail.endswith(f"requests with {line['trait']}") for detail in details)
    ]
    crashed = {
        (crash.get("upstream"), crash.get("started_at_ms"))
        for line in changes
        for crash in line.get("crashes") or ()
    }
    crashes = [
        line
        for line in lines
        if (line["part"], line.get("event")) == ("quarantine", "upstream crashed")
        and (line.get("upstream"), line.get("started_at_ms")) in crashed
    ]
    return changes + crashes


def _upstreams(line: dict[str, Any]) -> Iterator[str]:
    if line.get("upstream"):
        yield str(line["upstream"])
    for step in line.get("steps") or ():
        if step.startswith("to "):
            yield step[3:].partition(":")[0]


def _second_of_day(line: dict[str, Any]) -> float:
    hours, minutes, seconds = str(line["time"])[11:23].split(":")
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)
