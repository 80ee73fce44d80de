"""Steps for the process that hosts emulated upstreams."""

import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from types import SimpleNamespace

import msgspec
import urllib3
from behave import then, when
from features.support.standin_calls import PATIENCE_S, enter, send, wait_for

SPECIFICATION = """
- {kind: engine, name: e1, limits: {concurrency: 4}, timing: {decode_token: 0.001}}
- {kind: encoder, name: enc, options: {service_time: 0.5}}
- {kind: retriever, name: ret}
- {kind: reranker, name: rer}
- {kind: service, name: stock}
- {kind: weights, name: store}
"""


@when("standins a host process with one upstream of each kind is stopped while a request runs")
def stop_host(context):
    enter(context, ExitStack())
    with tempfile.NamedTemporaryFile("w", suffix=".yaml") as specification:
        specification.write(SPECIFICATION)
        specification.flush()
        module = "chervilrack._internal.standins.upstreams.host"
        command = [sys.executable, "-m", module, specification.name]
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
            addresses = msgspec.json.decode(process.stdout.readline())
            assert len(addresses) == 6, addresses
            encoder = SimpleNamespace(name="enc", address=addresses["enc"])
            with ThreadPoolExecutor(1) as pool:
                running = pool.submit(send, context, encoder, 1, {}, path="/encode")
                url = f"{encoder.address}/drain-status"
                wait_for(lambda: urllib3.request("GET", url).json()["running"] == 1)
                process.terminate()
                context.running = running.result()
            context.status = process.wait(PATIENCE_S)


@then("standins the running one is answered and the process ends with status 0")
def host_stopped(context):
    assert context.running.is_ok(), context.running
    assert context.status == 0
