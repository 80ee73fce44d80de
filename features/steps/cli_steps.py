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
COMMAND_LIMIT_S = 30


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
    names = {"FILE": "file", "NOTE": "note"}
    words = [
        str(getattr(context, names[word])) if word in names else word for word in arguments.split()
    ]
    context.done = subprocess.run(
        [sys.executable, "-m", "chervilrack", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=COMMAND_LIMIT_S,
        env={**os.environ, **getattr(context, "node_environment", {})},
    )


@then("cli exit status is {name}")
def exit_status(context, name):
    done = context.done
    assert done.returncode == ExitStatus[name], (done.returncode, done.stdout, done.stderr)


@then("cli error output is the lines")
def error_lines(context):
    lines = context.done.stderr.splitlines()
    assert len(lines) == len(context.table.rows), context.done.stderr
    for found, row in zip(lines, context.table, strict=True):
        assert found.startswith(f"{context.file}:{row['line']}: {row['key']}: "), found
        assert row["text"] in found, found


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
    for path, outcome in context.help_texts:
        assert outcome.exit_code == 0, (path, outcome.output)
        assert "Example" in outcome.output, path


@then('cli output has "{text}"')
def output_has(context, text):
    assert text in context.done.stdout, (context.done.stdout, context.done.stderr)
