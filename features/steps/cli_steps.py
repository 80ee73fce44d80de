"""Steps for the command line."""

import click
from behave import then, when
from click.testing import CliRunner

from chervilrack._internal.cli.main import cli


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
