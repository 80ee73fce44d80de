"""``chervilrack release``: check, accept and show release notes."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import click
import msgspec

from chervilrack._internal.cli.client import NodeClient, NodeRefused, node_options
from chervilrack._internal.cli.status_codes import ExitStatus
from chervilrack._internal.cli.tables import format_table
from chervilrack._internal.common.results import ResultCode
from chervilrack._internal.exceptions import InvalidDocumentError
from chervilrack._internal.releases.apply import apply_note
from chervilrack._internal.releases.check import read_checked_note
from chervilrack._internal.releases.messages import encode_note
from chervilrack._internal.releases.note import read_note
from chervilrack._internal.releases.state import Configuration

_EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
_EXIT_STATUSES: Mapping[int, ExitStatus] = {
    ResultCode.RELEASE_CONFLICT.number: ExitStatus.CONFLICT,
    ResultCode.RELEASE_INVALID.number: ExitStatus.INVALID_DOCUMENT,
    ResultCode.PLATFORM_AWAY.number: ExitStatus.UNREACHABLE,
    ResultCode.NOT_READY.number: ExitStatus.UNREACHABLE,
    ResultCode.NOT_CONFIRMED.number: ExitStatus.UNREACHABLE,
}


@click.group("release")
def release_command() -> None:
    """Check, accept and show release notes.

    Example: chervilrack release accept release.yaml --node http://127.0.0.1:8080
    """


@release_command.command("check")
@click.argument("file", type=_EXISTING_FILE)
@click.option(
    "--base",
    "bases",
    type=_EXISTING_FILE,
    multiple=True,
    help="Release note to apply before FILE is checked. May be given several times, in order.",
)
@node_options(required=False)
def check(
    file: Path,
    bases: tuple[Path, ...],
    address: str | None,
    key: str | None,
    certificates: str | None,
) -> None:
    """Print all mistakes of the release note in FILE; the exit status is 3 if there are any.

    FILE is checked against the configuration in force at --node (without --node, an empty one), to
    which the notes of --base are applied first. The check changes nothing on the node.

    Example: chervilrack release check change.yaml --base examples/paramo/release.yaml
    """
    client = NodeClient(address, key, certificates) if address else None
    configuration = _fetch_configuration(client) if client else Configuration()
    for base in bases:
        configuration = apply_note(configuration, _read_checked(base, configuration))
    note = _read_checked(file, configuration)
    base_text = f"on top of revision {configuration.revision}"
    click.echo(f"{file}: note '{note.id}' is valid {base_text}")
    click.echo(f"  {_item_counts(msgspec.to_builtins(note))}")


@release_command.command("accept")
@click.argument("file", type=_EXISTING_FILE)
@node_options()
@click.pass_context
def accept(
    context: click.Context, file: Path, address: str, key: str | None, certificates: str | None
) -> None:
    """Accept the release note in FILE.

    Prints 'accepted' if the note is in force (exit status 0), 'recorded' if it is stored but a
    majority of witnesses has not applied it yet (5), or 'conflict' with the name of the note that
    was accepted first (4). If the answer is lost (5), run the command again: a note with the same
    id and content is not applied twice. Mistakes are printed as by 'release check' (3).

    Example: chervilrack release accept release.yaml --node http://127.0.0.1:8080
    """
    text = file.read_text(encoding="utf-8")
    note = read_note(text, str(file)).value_or_raise()
    client = NodeClient(address, key, certificates)
    try:
        answer = client.post("/operator/v1/releases/accept", encode_note(note))
    except NodeRefused as refused:
        _print_refusal(refused, text, file, client)
        code = int(refused.document.get("code", 0))
        context.exit(_EXIT_STATUSES.get(code, ExitStatus.FAILED))
    submission_text = ", by an earlier submission" if answer["resubmitted"] else ""
    click.echo(
        f"{answer['state']}: note '{note.id}' is revision {answer['revision']}{submission_text}"
    )
    if answer["state"] != "accepted":
        click.echo(
            "A majority of witnesses has not applied the note yet; nodes may still use the "
            "previous release. Check 'chervilrack release status' or run this command again."
        )
        context.exit(ExitStatus.UNREACHABLE)


@release_command.command("status")
@node_options()
def status(address: str, key: str | None, certificates: str | None) -> None:
    """Show the release in force on each node, as known to the node at --node.

    Example: chervilrack release status --node http://127.0.0.1:8080
    """
    client = NodeClient(address, key, certificates)
    answer = client.get("/operator/v1/status")
    note_ids = {entry["revision"]: entry["note"]["id"] for entry in _fetch_log(client)}
    note_ids.setdefault(answer["release"], answer["release_note"])
    click.echo(
        f"revision {answer['release']} '{answer['release_note'] or '-'}' is "
        f"{answer['release_state']}"
    )
    rows = [
        {
            "node": row["node"],
            "zone": row["zone"],
            "state": row["state"],
            "revision": row["release"],
            "note": note_ids.get(row["release"]),
            "last heard, s ago": row["heard_s_ago"],
        }
        for row in answer["nodes"]
    ]
    click.echo(format_table(rows))


@release_command.command("log")
@node_options()
def log(address: str, key: str | None, certificates: str | None) -> None:
    """List the accepted notes that a node keeps, oldest first.

    Example: chervilrack release log --node http://127.0.0.1:8080
    """
    rows = [
        {
            "revision": entry["revision"],
            "note": entry["note"]["id"],
            "items": _item_counts(entry["note"]),
            "description": entry["note"].get("description"),
        }
        for entry in _fetch_log(NodeClient(address, key, certificates))
    ]
    click.echo(format_table(rows) if rows else "no release note has been accepted")


@release_command.command("show")
@click.argument("revision", type=click.IntRange(min=1))
@node_options()
@click.pass_context
def show(
    context: click.Context, revision: int, address: str, key: str | None, certificates: str | None
) -> None:
    """Print the accepted note with number REVISION as YAML.

    Example: chervilrack release show 1 --node http://127.0.0.1:8080
    """
    import yaml

    client = NodeClient(address, key, certificates)
    log_entry = next((entry for entry in _fetch_log(client) if entry["revision"] == revision), None)
    if log_entry is None:
        click.echo(f"the node keeps no note with revision {revision}", err=True)
        context.exit(ExitStatus.FAILED)
    click.echo(f"# revision {revision}, digest {log_entry['digest']}")
    click.echo(yaml.safe_dump(log_entry["note"], sort_keys=False, allow_unicode=True), nl=False)


def _read_checked(file: Path, configuration: Configuration) -> Any:
    return read_checked_note(file.read_text(encoding="utf-8"), str(file), configuration)


def _fetch_configuration(client: NodeClient) -> Configuration:
    return msgspec.convert(client.get("/operator/v1/configuration"), Configuration)


def _fetch_log(client: NodeClient) -> Sequence[Mapping[str, Any]]:
    answer: Sequence[Mapping[str, Any]] = client.get("/operator/v1/releases")
    return answer


def _item_counts(note: Mapping[str, Any]) -> str:
    parts = []
    for section in ("added", "changed", "withdrawn"):
        counts = [f"{len(items)} {kind}" for kind, items in note.get(section, {}).items() if items]
        if counts:
            parts.append(f"{section}: {', '.join(counts)}")
    return "; ".join(parts)


def _print_refusal(refused: NodeRefused, text: str, file: Path, client: NodeClient) -> None:
    code = refused.document.get("code")
    if code == ResultCode.RELEASE_CONFLICT.number:
        click.echo(f"conflict: {refused.document.get('detail')}")
    elif code == ResultCode.RELEASE_INVALID.number:
        click.echo(_describe_mistakes(text, file, client) or str(refused), err=True)
    else:
        click.echo(f"error: {refused}", err=True)
        if refused.document.get("executed") == "unknown":
            click.echo("Run the same command again to learn the outcome.", err=True)


def _describe_mistakes(text: str, file: Path, client: NodeClient) -> str:
    """Return the mistakes of a note with line numbers; the node's answer has only the keys."""
    try:
        read_checked_note(text, str(file), _fetch_configuration(client))
    except InvalidDocumentError as error:
        return str(error)
    return ""
