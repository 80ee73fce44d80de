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
    """Write a file into a folder that is removed after the scenario, and return its path."""
    if not hasattr(context, "folder"):
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.folder = Path(folder.name)
    file = context.folder / name
    file.write_text(text)
    return file


@given("a settings file with mistakes")
@given("a release note file")
def write_document(context):
    context.file = write_file(context, "document.yaml", str(context.text))


@when('"chervilrack {arguments}" is run')
def run_command(context, arguments):
    """Run ``chervilrack``; FILE and NOTE in the arguments stand for files of the scenario."""
    path_attributes = {"FILE": "file", "NOTE": "note"}
    words = [
        str(getattr(context, path_attributes[word])) if word in path_attributes else word
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


@then("the exit status is {name}")
def check_exit_status(context, name):
    completed = context.completed
    assert completed.returncode == ExitStatus[name], (
        completed.returncode,
        completed.stdout,
        completed.stderr,
    )


@then("the error output has exactly the lines")
def check_error_lines(context):
    lines = context.completed.stderr.splitlines()
    assert len(lines) == len(context.table.rows), context.completed.stderr
    for line, row in zip(lines, context.table, strict=True):
        assert line.startswith(f"{context.file}:{row['line']}: {row['key']}: "), line
        assert row["text"] in line, line


def _help_texts(command, path):
    """Yield the path and the result of ``--help`` for a command and all its subcommands."""
    yield path, CliRunner().invoke(cli, [*path, "--help"])
    if isinstance(command, click.Group):
        context = click.Context(command)
        for name in command.list_commands(context):
            yield from _help_texts(command.get_command(context, name), [*path, name])


@when("the help of every subcommand is printed")
def print_help(context):
    context.help_texts = list(_help_texts(cli, []))


@then("every help text contains an example")
def check_help_examples(context):
    for path, result in context.help_texts:
        assert result.exit_code == 0, (path, result.output)
        assert "Example" in result.output, path


@then('the output contains "{text}"')
def check_output(context, text):
    assert text in context.completed.stdout, (context.completed.stdout, context.completed.stderr)
