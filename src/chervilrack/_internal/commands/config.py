"""``chervilrack config``: check configurations and settings before they are sent."""

import json
from pathlib import Path
from typing import Any

import click

from chervilrack._internal.catalogue.check import (
    Finding,
    NodeBounds,
    check_configuration,
    compare_configurations,
)
from chervilrack._internal.catalogue.state import ServingConfiguration
from chervilrack._internal.cli.status_codes import ExitStatus
from chervilrack._internal.common.decoding import UnreadableValue
from chervilrack._internal.exceptions import InvalidDocumentError, UnreadableDocumentError

_FILE = click.Path(dir_okay=False, path_type=Path)
# Code of the mistakes of a settings file, and of a file that cannot be read.
SETTINGS_MISTAKE = "E001"
UNREADABLE = "E002"


@click.group("config")
def config_command() -> None:
    """Work with configurations of serving nodes.

    Example: chervilrack config check config.json
    """


@config_command.command("check")
@click.argument("file", type=_FILE)
@click.option("--against", type=_FILE, help="The configuration in force, to compare with.")
@click.option("--settings", type=_FILE, help="Settings of a node, for its bounds.")
@click.option("--json", "as_json", is_flag=True, help="Print the findings as JSON.")
def check(file: Path, against: Path | None, settings: Path | None, as_json: bool) -> int:
    """Print what is wrong with the configuration, or the settings of a node, in FILE.

    The exit status is 1 if anything is found, and 2 if a file cannot be read.

    Example: chervilrack config check new.json --against in-force.json
    """
    try:
        findings = _check_file(file, against, settings)
    except _Unreadable as error:
        _print([Finding(UNREADABLE, str(error.file), error.detail)], file, as_json)
        return ExitStatus.WRONG_USAGE
    _print(findings, file, as_json)
    return ExitStatus.FAILED if findings else ExitStatus.SUCCESS


class _Unreadable(Exception):
    def __init__(self, file: Path, detail: str) -> None:
        super().__init__(detail)
        self.file = file
        self.detail = detail


def _check_file(file: Path, against: Path | None, settings: Path | None) -> list[Finding]:
    content = _read(file)
    if not _is_configuration(content):
        return _check_settings(file)
    bounds = NodeBounds() if settings is None else _read_bounds(settings)
    configuration = _decode(file, content)
    findings = check_configuration(configuration, bounds)
    if against is not None:
        findings += compare_configurations(configuration, _decode(against, _read(against)))
    return findings


def _read(file: Path) -> bytes:
    try:
        return file.read_bytes()
    except OSError as error:
        raise _Unreadable(file, error.strerror or str(error)) from None


def _is_configuration(content: bytes) -> bool:
    """Whether a file is a configuration, which is a JSON object; settings name a node."""
    return content.lstrip()[:1] == b"{" and b'"nodeName"' not in content


def _decode(file: Path, content: bytes) -> ServingConfiguration:
    from chervilrack.platform.configuration import decode_configuration

    try:
        return decode_configuration(content)
    except UnreadableValue as error:
        raise _Unreadable(file, error.detail) from None


def _check_settings(file: Path) -> list[Finding]:
    from chervilrack.platform.settings import load_settings

    try:
        load_settings(file)
    except UnreadableDocumentError as error:
        raise _Unreadable(file, error.mistakes[0].removeprefix(f"{file}: ")) from None
    except InvalidDocumentError as error:
        return [_split_mistake(mistake, file) for mistake in error.mistakes]
    return []


def _split_mistake(mistake: str, file: Path) -> Finding:
    text = mistake.removeprefix(f"{file}: ")
    place, separator, detail = text.partition(": ")
    return Finding(SETTINGS_MISTAKE, place if separator else str(file), detail or text)


def _read_bounds(file: Path) -> NodeBounds:
    from chervilrack.platform.settings import load_settings

    try:
        return NodeBounds(stop_grace=load_settings(file).stop_grace)
    except (OSError, InvalidDocumentError) as error:
        raise _Unreadable(file, str(error)) from None


def _print(findings: list[Finding], file: Path, as_json: bool) -> None:
    if as_json:
        entries: list[dict[str, Any]] = [
            {"code": finding.code, "place": finding.place, "detail": finding.detail}
            for finding in findings
        ]
        click.echo(json.dumps({"file": str(file), "findings": entries}))
        return
    for finding in findings:
        click.echo(f"{file}: {finding}")
    if not findings:
        click.echo(f"{file}: nothing found")
