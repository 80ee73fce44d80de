"""Steps for the command that the environment of the tests has installed."""

import os
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import then, when


@when('the installed command chervilrack is run with "{argument}" outside the repository')
def run_installed_command(context, argument):
    command = Path(sys.executable).parent / "chervilrack"
    environment = {name: value for name, value in os.environ.items() if name != "PYTHONPATH"}
    with tempfile.TemporaryDirectory() as folder:
        context.completed = subprocess.run(
            [command, argument],
            cwd=folder,
            env=environment,
            capture_output=True,
            text=True,
            check=False,
        )


@then('it ends with status {status:d} and names the subcommand "{name}"')
def check_help(context, status, name):
    assert context.completed.returncode == status, context.completed
    assert name in context.completed.stdout, context.completed
