"""Steps for the check of a configuration before it is sent."""

import copy
import json
import re
import tempfile
import time
from pathlib import Path

from behave import given, then, when
from click.testing import CliRunner
from serving_steps import KEY, wait_for

from chervilrack._internal.commands.config import config_command
from chervilrack.platform.emulated.emulation import configuration

KEYS = ["k1", "k2"]
SETTINGS = {
    "nodeName": "n1",
    "ip": "10.0.0.1",
    "zone": "z1",
    "listen": {
        "frontend": "10.0.0.1:1",
        "readiness": "10.0.0.1:2",
        "directory": "10.0.0.1:3",
    },
    "internalPorts": [4, 9],
    "platform": {"address": "10.0.0.2:1"},
    "bounds": {"graceS": 8},
}


def current(context):
    """Return the configuration to be checked, a sound one at first."""
    if not hasattr(context, "document"):
        context.document = sound()
    return context.document


def sound():
    document = copy.deepcopy(configuration(1, KEYS))
    for route in document["routes"]:
        if route["kind"] == "non_idempotent":
            route["maxAttempts"] = 1
    return document


def write_json(context, name, value):
    if not hasattr(context, "folder"):
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.folder = Path(folder.name)
    file = context.folder / name
    file.write_text(value if isinstance(value, str) else json.dumps(value))
    return str(file)


@given("a configuration with {change}")
def change_configuration(context, change):
    document = current(context)
    if change.endswith("more routes"):
        model = document["routes"][3]
        document["routes"] += [
            {**model, "name": f"more-{number}", "pathPrefix": f"/more{number}/"}
            for number in range(int(change.split()[0]))
        ]
        return
    path, operator, value = re.fullmatch(r"(.+?) (=|\+=|-=) (.+)", change).groups()
    first, *further = path.split(", ")
    *parents, name = first.split(".")
    target = document
    for part in parents:
        for key in re.findall(r"[a-zA-Z]+|\d+", part):
            target = target[int(key) if key.isdigit() else key]
    if operator == "+=":
        target[name].append(json.loads(value))
    elif operator == "-=":
        del target[name][int(value)]
    else:
        values = json.loads(f"[{value}]")
        target.update(zip((name, *further), values, strict=True))


@given("a file with {content}")
def write_file(context, content):
    context.file = write_json(context, "file.json", content)


def run(context, *arguments):
    began = time.process_time()
    result = CliRunner().invoke(
        config_command, ["check", *arguments, "--json"], standalone_mode=False
    )
    context.took = time.process_time() - began
    assert result.exception is None, result.exception
    context.status = result.return_value
    context.findings = json.loads(result.output)["findings"]


@when("the configuration is checked")
def check(context):
    file = write_json(context, "new.json", current(context))
    run(context, file, "--settings", write_json(context, "node.yaml", SETTINGS))


@when("the configuration is checked against the one in force")
def check_against(context):
    file = write_json(context, "new.json", current(context))
    run(context, file, "--against", write_json(context, "old.json", sound()))


CONTENTS = {
    "random bytes": bytes(range(255, 127, -1)),
    "a configuration in UTF-16": '{"version": 1, "routes": []}'.encode("utf-16"),
    "a configuration in Latin-1": '{"version": 1, "routes": [{"name": "é"}]}'.encode("latin-1"),
    "settings in Latin-1": "nodeName: é\nzone: z".encode("latin-1"),
    "settings that are cut": b"nodeName: n\nseeds: [a, ",
    "NUL bytes": bytes(8),
}


@given("a file of {name}")
def write_bytes(context, name):
    write_file(context, "")
    Path(context.file).write_bytes(CONTENTS[name])


@when("the file is checked")
def check_file(context):
    run(context, context.file)


@then("the check finds nothing and ends with {status:d}")
def check_nothing(context, status):
    assert (context.findings, context.status) == ([], status), (context.findings, context.status)


@then("the check finds only {code} at {place} and ends with {status:d}")
def check_only(context, code, place, status):
    found = {finding["code"] for finding in context.findings}
    # What is taken away may leave something that nothing uses.
    assert code in found, context.findings
    assert found <= {code, "W105"}, context.findings
    places = [finding["place"] for finding in context.findings if finding["code"] == code]
    assert place in places, context.findings
    assert context.status == status, context.status


@then('the check says "{text}" of the file, which cannot be read, and ends with {status:d}')
def check_unreadable(context, text, status):
    (finding,) = context.findings
    assert (finding["code"], finding["place"]) == ("E002", context.file), finding
    assert text in finding["detail"], finding
    assert context.status == status, context.status


@when("a configuration comes into force with two routes of the same prefix")
def apply_hidden_route(context):
    document = configuration(2, [KEY])
    document["routes"][1]["pathPrefix"] = document["routes"][0]["pathPrefix"]
    context.store.put("op/config", document)


@then("the node has logged {code} at {place}")
def check_logged(context, code, place):
    def is_logged():
        lines = [json.loads(line) for line in context.log.getvalue().splitlines()]
        return any(
            (line["event"], line.get("code"), line.get("place"))
            == ("configuration finding", code, place)
            for line in lines
        )

    wait_for(is_logged, f"{code} is logged")


@then("the check finds E001 at {places} and ends with {status:d}")
def check_settings_mistakes(context, places, status):
    found = [(finding["code"], finding["place"]) for finding in context.findings]
    assert found == [("E001", place) for place in places.split(", ")], context.findings
    assert context.status == status, context.status


@then("the check took less than {limit:d} s of processor time")
def check_time_taken(context, limit):
    assert context.took < limit, context.took
