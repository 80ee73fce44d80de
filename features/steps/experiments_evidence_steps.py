"""Steps that evaluate evidence written by hand."""

from behave import given, then, when

from chervilrack._internal.experiments.callers import CallRecord, Outcome
from chervilrack._internal.experiments.evaluate import RunEvidence, evaluate
from chervilrack._internal.experiments.faults import FaultContext, FaultLog
from chervilrack._internal.experiments.profile import load_profile
from chervilrack._internal.experiments.result import ControlUse, PlatformUse
from chervilrack._internal.experiments.scenarios import SCENARIOS
from chervilrack._internal.experiments.testbed import NodeInfo, Submission
from chervilrack._internal.history.events import LimitInForce
from chervilrack._internal.history.recorder import MemoryRecorder

START = 1000.0
NODE = NodeInfo("node-1", "quito", "http://127.0.0.1:1")


def _record(number, at, target, outcome, **changes):
    values = {
        "request": f"q-{number}",
        "organisation": "refill-press",
        "target": target,
        "kind": "question",
        "intended_at": START + at,
        "started_at": START + at,
        "ended_at": START + at + 1.0,
        "outcome": Outcome(outcome),
        "addresses": (NODE.address,),
    }
    return CallRecord(**(values | changes))


@given("experiments evidence of these requests in a run of {duration:d} s")
def given_requests(context, duration):
    context.records = [
        _record(number, float(row["at"]), row["target"], row["outcome"])
        for number, row in enumerate(context.table)
    ]
    context.duration_s = float(duration)
    context.log = FaultLog()


class _TimedLog(FaultLog):
    """Fault log whose one fault has given times."""

    def __init__(self, start, end):
        super().__init__()
        self._intervals.append((NODE.node, NODE.address, start, end))


@given("experiments evidence of a request that hangs at a node which {state}")
def given_hanging(context, state):
    context.records = [_record(1, 50.0, "answers", "failed", hung=True)]
    context.duration_s = 100.0
    context.log = {
        "has no fault": FaultLog(),
        "is paused meanwhile": _TimedLog(START + 50.5, START + 90.0),
        "was paused long before it": _TimedLog(START + 10.0, START + 20.0),
    }[state]


@when("experiments evidence of {name} is evaluated")
def evaluate_evidence(context, name):
    profile = load_profile("paramo")
    evidence = RunEvidence(
        records=context.records,
        events=[],
        standins=[],
        nodes=[NODE],
        log=context.log,
        started_at=START,
        ended_at=START + context.duration_s,
        release_lag_s=None,
        platform=PlatformUse(),
        control=ControlUse(),
    )
    scenario = SCENARIOS.get(name)(profile)
    context.result = evaluate(
        profile, name, scenario, "chervilrack", 1, context.duration_s, evidence
    )


@then(
    "experiments goodput is {first:d} answers in {first_s:d} s of capacity "
    "and {second:d} answer in {second_s:d} s of overload"
)
def check_goodput(context, first, first_s, second, second_s):
    goodput = context.result.goodput_rps
    assert abs(goodput["capacity"] - first / first_s) < 1e-9, goodput
    assert abs(goodput["overload"] - second / second_s) < 1e-9, goodput


@then("experiments attainment is {answered:d} of {offered:d} and that of stock {share:g}")
def check_attainment(context, answered, offered, share):
    assert context.result.attainment == answered / offered
    assert context.result.attainment_by_pipeline["stock"] == share


@then("experiments lost results are {lost:d}")
def check_lost(context, lost):
    assert context.result.lost_results == lost


class _Operator:
    """Test bed that only takes release notes and notes when it got one."""

    def __init__(self, history, accepts):
        self.profile = load_profile("paramo")
        self.history = history
        self.accepts = accepts

    def submit_release(self, note, at=None):
        self.history.record("submission")
        return Submission(self.accepts, 2 if self.accepts else None, note["id"])


@when("experiments submit a note that sets the limit to {capacity:d} and {verdict}")
def submit_note(context, capacity, verdict):
    context.history = MemoryRecorder()
    bed = _Operator(context.history, accepts=verdict == "is accepted")
    operator = FaultContext(bed, 1, context.history)
    team = {"id": "models", "limits": {"concurrency": capacity}}
    operator.submit(operator.note(changed={"teams": [team]}))


@then("experiments history of the limit is {events}")
def check_events(context, events):
    found = [
        str(getattr(event, "capacity", event))
        for event in context.history.events
        if event == "submission" or isinstance(event, LimitInForce)
    ]
    assert found == events.split(", "), found
