"""Steps for the test bed with node processes."""

import time
from contextlib import ExitStack

import msgspec
import psutil
from behave import given, then, when

from chervilrack._internal.experiments.bounds import SAFETY
from chervilrack._internal.experiments.local_bed import LocalTestBed, local_test_bed
from chervilrack._internal.experiments.profile import load_profile
from chervilrack._internal.experiments.runner import Experiment
from chervilrack._internal.experiments.testbed import TestBedOptions

SIGNAL_TIMEOUT_S = 20


def _profile(nodes):
    return msgspec.structs.replace(load_profile("paramo"), nodes=nodes)


@when("testbed runs the nominal experiment for {seconds:d} s on {nodes:d} nodes")
def run_nominal(context, seconds, nodes):
    experiment = Experiment(
        "nominal",
        _profile(nodes),
        local_test_bed,
        seed=1,
        duration_s=float(seconds),
        load_processes=1,
        idle_s=0.5,
    )
    context.result = experiment.run("chervilrack")


@then(
    "testbed result violates no safety bound and has answers, limit use, cost and control overhead"
)
def check_result(context):
    result = context.result
    violated = [bound.report(result) for bound in SAFETY if bound.report(result).met is False]
    assert not violated, (violated, result.violations, result.unexpected)
    assert result.outcomes.answered > 0, result.endings
    assert result.first_token_ms.p50 is not None
    assert 0 < result.peak_use_of_first_limit <= 1
    assert all(result.cost_by_stage[stage].requests for stage in ("encode", "generate"))
    assert result.cost_by_stage["generate"].tokens > 0
    assert result.control.rss_mb > 0
    assert result.control.bytes_per_s > 0
    assert result.platform.reads_per_s > 0


@given("testbed with {nodes:d} nodes")
def start_test_bed(context, nodes):
    stack = ExitStack()
    context.add_cleanup(stack.close)
    context.bed = LocalTestBed(TestBedOptions(_profile(nodes), "chervilrack", 1))
    context.bed.start(stack)
    context.processes = {info.node: context.bed.process(info.node) for info in context.bed.nodes()}


def _wait_until_stopped(process, stopped):
    """Wait until ``process`` is stopped or runs again; signals are delivered with a delay."""
    deadline = time.monotonic() + SIGNAL_TIMEOUT_S
    while (process.status() == psutil.STATUS_STOPPED) != stopped:
        assert time.monotonic() < deadline, process.status()
        time.sleep(0.01)


@when("testbed pauses {node}")
def pause(context, node):
    context.bed.pause_node(node)
    _wait_until_stopped(context.processes[node], stopped=True)


@when("testbed resumes {node}")
def resume(context, node):
    context.bed.resume_node(node)
    _wait_until_stopped(context.processes[node], stopped=False)


@then("testbed gets no status from {node}")
def no_status(context, node):
    assert context.bed.status(node) is None


@then("testbed gets the status of {node}")
def has_status(context, node):
    status = context.bed.status(node)
    assert (status.node, status.revision, status.note) == (node, 1, "initial"), status
    assert context.bed.overhead(node).rss_mb > 0


@when("testbed kills {node} and starts a node in its zone")
def kill_and_start(context, node):
    zone = next(info.zone for info in context.bed.nodes() if info.node == node)
    context.bed.kill_node(node)
    started = context.bed.start_node(zone)
    assert started.zone == zone


@when("testbed stops {node} as planned")
def stop(context, node):
    context.bed.stop_node(node)


@then("testbed nodes are {names}")
def check_nodes(context, names):
    assert [info.node for info in context.bed.nodes()] == names.split(", ")


@then("testbed has ended the processes of {names}")
def processes_have_ended(context, names):
    assert not any(context.processes[name].is_running() for name in names.split(" and "))
