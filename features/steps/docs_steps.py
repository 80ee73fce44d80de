"""Steps that compare the documentation with the code."""

import contextlib
import importlib.util
import io
import re
import runpy
import shutil
import sys
import tempfile
from pathlib import Path
from unittest import mock

import click
import msgspec
from behave import given, then, when

from chervilrack._internal.cli.main import cli
from chervilrack._internal.cli.status_codes import ExitStatus
from chervilrack._internal.common.results import ResultCode
from chervilrack._internal.observability.metrics import NodeMetrics
from chervilrack._internal.settings.node import NodeSettings

ROOT = Path(__file__).resolve().parents[2]
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
DOCUMENTED_COMMAND = re.compile(r"`chervilrack ((?:[a-z][a-z-]*[ |`])+)")


@when("docs error reference is generated from the code")
def render_error_reference(context):
    module = runpy.run_path(str(ROOT / "tools" / "generate_errors.py"))
    context.rendered = module["render"]()


@then("docs generated error reference equals the committed page")
def error_reference_is_current(context):
    assert (ROOT / "docs" / "errors.md").read_text() == context.rendered


@then("docs result codes have unique numbers")
def result_code_numbers_are_unique(context):
    numbers = [code.number for code in ResultCode]
    assert len(numbers) == len(set(numbers))


@then("docs contain only commands that exist")
def commands_exist(context):
    missing = []
    for page in PAGES:
        for match in DOCUMENTED_COMMAND.finditer(page.read_text()):
            words = re.split(r"[ `]", match.group(1))
            missing += [(page.name, word) for word in _unknown_commands(words)]
    assert not missing, missing


def _unknown_commands(words):
    """Yield the words of a command path that name no command; ``a|b`` lists alternatives."""
    command = cli
    for word in filter(None, words):
        if not isinstance(command, click.Group):
            return
        choices = [choice for choice in word.split("|") if choice]
        commands = [command.get_command(click.Context(command), choice) for choice in choices]
        yield from (
            choice for choice, entry in zip(choices, commands, strict=True) if entry is None
        )
        if len(commands) != 1 or commands[0] is None:
            return
        command = commands[0]


@then("docs exit status reference matches the code")
def exit_statuses_match(context):
    page = (ROOT / "docs" / "operations" / "exit-statuses.md").read_text()
    rows = re.findall(r"^\| (\d+) \| ([A-Z_]+) \|", page, re.MULTILINE)
    assert rows == [(str(status.value), status.name) for status in ExitStatus], rows


@then("docs metrics reference matches the code")
def metrics_match(context):
    page = (ROOT / "docs" / "operations" / "metrics.md").read_text()
    rows = re.findall(r"^\| `(\w+)` \| (\w+) \| ([a-z_, ]+) \|", page, re.MULTILINE)
    metrics = NodeMetrics()
    collectors = set(metrics.registry._collector_to_names)
    defined = {(entry._name, entry._type, ", ".join(entry._labelnames)) for entry in collectors}
    assert set(rows) == defined, set(rows) ^ defined


@then("docs contain only settings keys that exist")
def settings_keys_exist(context):
    sections = {
        entry.name: entry.type
        for entry in msgspec.structs.fields(NodeSettings)
        if isinstance(entry.type, type) and issubclass(entry.type, msgspec.Struct)
    }
    pattern = re.compile(rf"`({'|'.join(sections)})\.([a-z_]+)`")
    documented = [match for page in PAGES for match in pattern.findall(page.read_text())]
    assert documented, "no page contains a settings key"
    unknown = [pair for pair in documented if pair[1] not in sections[pair[0]].__struct_fields__]
    assert not unknown, unknown


LOGGED_EVENT = re.compile(r"\.note\(\s*\"([a-z]+)\",\s*\"([a-z ]+)\"")
# Request outcomes and balancer actions are also logged as events; the helpers below take the name.
DERIVED_EVENT = re.compile(r"_outcome\(\s*context,\s*\"([a-z ]+)\"|_act\(\"([a-z]+)\"")


@then("docs operations guide lists every log event and serving metric")
def operations_guide_is_complete(context):
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    source = ROOT / "src" / "chervilrack" / "_internal"
    events = set()
    for folder in ("serving", "forwarding", "balancing"):
        for file in (source / folder).glob("*.py"):
            text = file.read_text()
            events.update(event for _, event in LOGGED_EVENT.findall(text))
            events.update(filter(None, (a or b for a, b in DERIVED_EVENT.findall(text))))
    assert len(events) > 20, events
    missing = {event for event in events if f"{event}`" not in page}
    assert not missing, missing
    metrics = re.findall(
        r"\"(chervilrack_serving_[a-z_]+)\"", (source / "serving" / "metrics.py").read_text()
    )
    assert not {name for name in metrics if name not in page}, metrics


@given('a feature whose scenario "a value is right -- @1.1" fails')
def write_failing_feature(context):
    scratch = tempfile.TemporaryDirectory()
    context.add_cleanup(scratch.cleanup)
    context.feature_folder = Path(scratch.name)
    steps = context.feature_folder / "steps"
    steps.mkdir()
    (steps / "steps.py").write_text(
        "import io\nfrom behave import then\n\n@then('{value} is right')\n"
        'def check(context, value):\n    context.log = io.StringIO("the node\'s log\\n")\n'
        "    assert value == 'good', value\n"
    )
    shutil.copy(ROOT / "features" / "environment.py", context.feature_folder)
    (context.feature_folder / "values.feature").write_text(
        "Feature: values\n  Scenario Outline: a value is right\n    Then <value> is right\n\n"
        "    Examples:\n      | value |\n      | bad |\n      | good |\n"
    )


@when('the test runner runs it with "{name}" in the list of known failures')
def run_test_runner(context, name):
    spec = importlib.util.spec_from_file_location("run_tests", ROOT / "tools" / "run_tests.py")
    runner = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(runner)
    known_red = context.feature_folder / "KNOWN-RED.txt"
    known_red.write_text(f"scenario: {name}\n  details\n")
    arguments = ["run_tests.py", str(context.feature_folder)]
    output = io.StringIO()
    with (
        mock.patch.object(runner, "KNOWN_RED", known_red),
        mock.patch.object(sys, "argv", arguments),
        contextlib.redirect_stdout(output),
    ):
        context.runner_status = runner.main()
    context.runner_lines = output.getvalue().splitlines()


@then("the test runner {verdict} it")
def check_runner(context, verdict):
    passes = verdict == "passes over"
    start = "known red, passed over:" if passes else "failed:"
    expected_status, counts = (0, "1 passed, 0 failed") if passes else (1, "1 passed, 1 failed")
    assert context.runner_status == expected_status, context.runner_lines
    assert context.runner_lines[-1] == counts, context.runner_lines
    assert any(line.startswith(start) for line in context.runner_lines), context.runner_lines


@then('the test runner prints "{text}"')
def check_printed(context, text):
    assert any(text in line for line in context.runner_lines), context.runner_lines
