"""Steps that start ``chervilrack`` processes on the loopback address."""

import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import urllib3
import yaml
from behave import given, then, when

from chervilrack._internal.cli.client import NodeClient
from chervilrack._internal.cli.status_codes import ExitStatus
from chervilrack._internal.experiments.profile import load_profile
from chervilrack._internal.gateway.authentication import key_digest
from chervilrack.platform.emulated.standins import free_ports

ROOT = Path(__file__).resolve().parents[2]
TIMEOUT_S = 40  # long enough for a machine that runs other feature folders at the same time
OPERATOR_KEY = "cli-feature-operators"


def _wait_until(condition, failure):
    """Return the first true result of ``condition``; fail with ``failure`` after the timeout."""
    deadline = time.monotonic() + TIMEOUT_S
    while not (result := condition()):
        assert time.monotonic() < deadline, failure
        time.sleep(0.05)
    return result


def _scratch_folder(context):
    if not hasattr(context, "scratch"):
        scratch = tempfile.TemporaryDirectory()
        context.add_cleanup(scratch.cleanup)
        context.scratch = Path(scratch.name)
    return context.scratch


class _Process:
    """One chervilrack process whose output goes to a file."""

    def __init__(self, context, name, arguments):
        self._output_file = _scratch_folder(context) / f"{name}.out"
        with self._output_file.open("w") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "chervilrack", *arguments],
                cwd=ROOT,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        context.add_cleanup(self._kill)

    def _kill(self):
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait()

    def send_signal(self, number):
        self._process.send_signal(number)

    def wait_for_line(self, text):
        """Wait until the output has a line that contains ``text``, and return the line."""

        def find():
            assert self._process.poll() is None, self._output_file.read_text()
            lines = self._output_file.read_text().splitlines()
            return next((line for line in lines if text in line), None)

        return _wait_until(find, (text, self._output_file.read_text()))

    def wait(self):
        """Wait until the process ends and return its exit status."""
        return self._process.wait(TIMEOUT_S)


@given("the platform and upstream stand-ins of profile {profile}")
def start_standins(context, profile):
    context.profile = load_profile(profile)
    context.note = _scratch_folder(context) / "note.yaml"
    platform = _Process(context, "platform", ["stand-in", "platform"])
    arguments = ["stand-in", "fleet", "--profile", profile, "--note", str(context.note)]
    fleet = _Process(context, "fleet", arguments)
    context.platform = platform.wait_for_line("platform service at ").split()[-1]
    fleet.wait_for_line("release note: ")


@given("{count:d} node processes with settings files")
def start_nodes(context, count):
    ports = [tuple(free_ports(2)) for _ in range(count)]
    context.nodes = []
    context.addresses = [f"http://127.0.0.1:{http}" for http, _ in ports]
    for number, (http, peer) in enumerate(ports, 1):
        settings = {
            "node": f"node-{number}",
            "zone": context.profile.zone_of(number - 1),
            "http": dict.fromkeys(("listen", "advertised"), f"127.0.0.1:{http}"),
            "peer": {
                **dict.fromkeys(("listen", "advertised"), f"127.0.0.1:{peer}"),
                "seeds": [f"127.0.0.1:{other}" for _, other in ports if other != peer],
            },
            "platform": {"endpoints": [context.platform]},
            "operators": {"key_hashes": [key_digest(OPERATOR_KEY)]},
            "membership": {"lookup_lifetime": "1s"},
        }
        file = _scratch_folder(context) / f"node-{number}.yaml"
        file.write_text(yaml.safe_dump(settings))
        arguments = ["node", "--settings", str(file)]
        context.nodes.append(_Process(context, f"node-{number}", arguments))
    for number, node in enumerate(context.nodes, 1):
        node.wait_for_line(f"node-{number} in ")
    context.node_environment = {
        "CHERVILRACK_NODE": context.addresses[0],
        "CHERVILRACK_KEY": OPERATOR_KEY,
    }


@given("a node address on which no process listens")
def unused_address(context):
    context.node_environment = {"CHERVILRACK_NODE": f"http://127.0.0.1:{free_ports(1)[0]}"}


@then("every node reports release revision {revision:d} in time")
def check_revision(context, revision):
    for address in context.addresses:
        client = NodeClient(address, OPERATOR_KEY)
        _wait_until(
            lambda client=client: client.get("/operator/v1/status")["release"] == revision,
            address,
        )


@then("a pipeline request through each node is answered")
def check_pipeline_answers(context):
    caller_key = context.profile.organisations[0].key
    for address in context.addresses:
        body = b'{"prompt": "Which glue?", "max_tokens": 3}'
        client = NodeClient(address, caller_key)
        answer = client.post(f"/v1/pipelines/{context.profile.pipeline}", body)
        assert answer, answer


@when("node process {number:d} receives {name}")
def signal_node(context, number, name):
    context.nodes[number - 1].send_signal(getattr(signal, name))
    expected_text = {"SIGHUP": "has reloaded its certificate and keys", "SIGTERM": "leaves"}[name]
    # A second SIGTERM ends the process at once, without another line of output.
    if name == "SIGHUP" or not hasattr(context, f"stopping_{number}"):
        context.nodes[number - 1].wait_for_line(expected_text)
        setattr(context, f"stopping_{number}", name == "SIGTERM")


@then("node process {number:d} exits with status {name}")
def check_node_exit(context, number, name):
    assert context.nodes[number - 1].wait() == ExitStatus[name]


@then("node process {number:d} is no longer a member")
def check_node_left(context, number):
    client = NodeClient(context.addresses[0], OPERATOR_KEY)

    def member_names():
        return {row["node"] for row in client.get("/operator/v1/status")["nodes"]}

    _wait_until(lambda: f"node-{number}" not in member_names(), "the node is still listed")


@given('a stand-in process started by "chervilrack {arguments}"')
def start_standin(context, arguments):
    context.standin = _Process(context, "standin", arguments.split())


@then("the stand-in process answers at the address that it prints")
def check_standin_answers(context):
    address = context.standin.wait_for_line(" at http://").split()[-1]
    answer = urllib3.request("POST", f"{address}/operations/pay", json={"amount": 1})
    assert answer.status == 200, answer.data
    context.standin.send_signal(signal.SIGTERM)
    assert context.standin.wait() == ExitStatus.SUCCESS
