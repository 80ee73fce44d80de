"""Steps for the command line."""

import os
import subprocess
import sys
import tempfile
from pathlib import Path

import click
from behave import given, then, when
from click.testing import CliRunner

from chervilrack._internal.cli.main import cli
from chervilrack._internal.cli.status_codes import ExitStatus

ROOT = Path(__file__).resolve().parents[2]
COMMAND_TIMEOUT_S = 30


def write_file(context, name, text):
    """Write a file into the scenario's folder, which is removed after the scenario."""
    if not hasattr(context, "folder"):
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.folder = Path(folder.name)
    file = context.folder / name
    file.write_text(text)
    return file


@given("cli settings file with mistakes")
@given("cli file")
def given_file(context):
    context.file = write_file(context, "document.yaml", str(context.text))


@when('cli runs "{arguments}"')
def run_command(context, arguments):
    placeholders = {"FILE": "file", "NOTE": "note"}
    words = [
        str(getattr(context, placeholders[word])) if word in placeholders else word
        for word in arguments.split()
    ]
    context.completed = subprocess.run(
        [sys.executable, "-m", "chervilrack", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=COMMAND_TIMEOUT_S,
        env={**os.environ, **getattr(context, "node_environment", {})},
    )


@then("cli exit status is {name}")
def exit_status(context, name):
    completed = context.completed
    assert completed.returncode == ExitStatus[name], (
        completed.returncode,
        completed.stdout,
        completed.stderr,
    )


@then("cli error output is the lines")
def error_lines(context):
    lines = context.completed.stderr.splitlines()
    assert len(lines) == len(context.table.rows), context.completed.stderr
    for error_line, row in zip(lines, context.table, strict=True):
        assert error_line.startswith(f"{context.file}:{row['line']}: {row['key']}: "), error_line
        assert row["text"] in error_line, error_line


def _help_texts(command, path):
    yield path, CliRunner().invoke(cli, [*path, "--help"])
    if isinstance(command, click.Group):
        context = click.Context(command)
        for name in command.list_commands(context):
            yield from _help_texts(command.get_command(context, name), [*path, name])


@when("cli help of every subcommand is printed")
def print_help(context):
    context.help_texts = list(_help_texts(cli, []))


@then("cli every help text has an example")
def every_help_has_example(context):
    for path, result in context.help_texts:
        assert result.exit_code == 0, (path, result.output)
        assert "Example" in result.output, path


@then('cli output has "{text}"')
def output_has(context, text):
    assert text in context.completed.stdout, (context.completed.stdout, context.completed.stderr)
