"""Steps for telemetry."""

import logging
import threading
from datetime import timedelta

from behave import given, then, when
from prometheus_client.parser import text_string_to_metric_families

from chervilrack._internal.common.clock import ManualClock
from chervilrack._internal.common.effects import ActionTaken
from chervilrack._internal.observability.explanations import Explanations
from chervilrack._internal.observability.logs import part_logger
from chervilrack._internal.observability.metrics import NodeMetrics, TrafficRanking
from chervilrack._internal.observability.telemetry import NodeTelemetry

MS = timedelta(milliseconds=1)


class _Lines(logging.Handler):
    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(record.getMessage())


def _capture(context, name):
    handler = _Lines()
    logger = logging.getLogger(name)
    before = (logger.level, logger.propagate)
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    logger.propagate = False

    def restore():
        logger.removeHandler(handler)
        logger.setLevel(before[0])
        logger.propagate = before[1]

    context.add_cleanup(restore)
    return handler.lines


def _samples(telemetry, name):
    families = text_string_to_metric_families(telemetry.metrics.export().decode())
    return [sample for family in families for sample in family.samples if sample.name == name]


@when(
    "observability records one request of each of {organisations:d} organisations "
    "with room for {room:d}"
)
def record_organisations(context, organisations, room):
    context.telemetry = NodeTelemetry(ManualClock(), metrics=NodeMetrics(room))
    for number in range(organisations):
        context.telemetry.request_finished(f"o{number}", "standard", "p", "answered", MS)


@then("observability exports {labels:d} organisation labels and {requests:d} requests in all")
def check_labels(context, labels, requests):
    counts = _samples(context.telemetry, "chervilrack_request_seconds_count")
    assert len(counts) == labels, len(counts)
    assert sum(sample.value for sample in counts) == requests
    outcomes = _samples(context.telemetry, "chervilrack_requests_total")
    assert sum(sample.value for sample in outcomes) == requests


@when("observability ranks {early:d} early organisations and then one with most of the traffic")
def rank(context, early):
    context.removed = []
    ranking = TrafficRanking(early, requests_per_ranking=50, on_removed=context.removed.append)
    for number in range(early):
        ranking.label(f"early-{number}")
    context.first_label = ranking.label("large")
    for _ in range(60):
        context.last_label = ranking.label("large")


@then("observability labels the largest organisation by its own name")
def ranked(context):
    assert (context.first_label, context.last_label) == ("other", "large")


@then("observability reports the removal of {count:d} early organisation")
def removal_reported(context, count):
    assert len(context.removed) == count
    assert context.removed[0].startswith("early-")


@when("observability records these outcomes")
def record_outcomes(context):
    context.telemetry = NodeTelemetry(ManualClock())
    for row in context.table:
        for outcome in row["outcomes"].split():
            context.telemetry.request_finished(
                row["organisation"], "standard", row["target"], outcome, MS
            )


@then("observability attainment of {organisation} at {target} is {answered:d} of {requests:d}")
def check_attainment(context, organisation, target, answered, requests):
    recorder = context.telemetry.attainment
    if organisation == "all" and target == "all":
        found = recorder.total()
    elif target == "all":
        found = recorder.by_organisation()[organisation]
    elif organisation == "all":
        found = recorder.by_target()[target]
    else:
        found = recorder.by_pair()[organisation, target]
    assert (found.answered, found.requests) == (answered, requests), found
    assert found.share == answered / requests


@given('observability has decisions "{events}" for request {request} of {owner}')
def add_decisions(context, events, request, owner):
    if not hasattr(context, "telemetry"):
        context.telemetry = NodeTelemetry(ManualClock())
    for event in events.split(", "):
        context.telemetry.record_decision(request, owner, event)


@when("observability request {request} is read by {reader}")
def read_explanation(context, request, reader):
    explanations = context.telemetry.explanations
    if reader == "operator":
        context.explanation = explanations.read_as_operator(request)
    else:
        context.explanation = explanations.read(request, reader)


@then("observability shows {result}")
def check_explanation(context, result):
    if result == "nothing":
        assert context.explanation is None
    else:
        assert ", ".join(event for _, event in context.explanation.events) == result


@when(
    "observability records {events:d} decisions for each of {requests:d} requests "
    "with room for {room:d} requests and {each:d} decisions"
)
def fill_ring(context, events, requests, room, each):
    context.explanations = Explanations(ManualClock(), room, each)
    context.requests = requests
    for number in range(requests):
        for event in range(events):
            context.explanations.add(f"r-{number}", "tea", f"event {event}")


@then(
    "observability keeps requests {first:d} to {last:d} with {events:d} decisions "
    "and {dropped:d} dropped"
)
def check_ring(context, first, last, events, dropped):
    found = [context.explanations.read(f"r-{n}", "tea") for n in range(context.requests)]
    kept = [number for number, explanation in enumerate(found) if explanation]
    assert kept == list(range(first, last + 1)), kept
    assert all(len(e.events) == events and e.dropped == dropped for e in found if e)


@when("observability reports that routing ejected engine-1")
def report_action(context):
    context.lines = _capture(context, "chervilrack._internal.observability.telemetry")
    context.telemetry = NodeTelemetry(ManualClock())
    context.telemetry.record_action(ActionTaken("routing", "ejected", "engine-1", "5 failures"))


@then("observability has one log line, one count and one recent action for it")
def check_action(context):
    assert context.lines == ["routing: ejected engine-1: 5 failures"]
    (sample,) = _samples(context.telemetry, "chervilrack_automatic_actions_total")
    assert (sample.labels, sample.value) == ({"part": "routing", "action": "ejected"}, 1)
    (recent,) = context.telemetry.explanations.recent_actions()
    assert recent.action.subject == "engine-1"


@when("observability records {requests:d} requests from each of {threads:d} threads")
def record_from_threads(context, requests, threads):
    context.telemetry = NodeTelemetry(ManualClock())

    def record():
        for number in range(requests):
            context.telemetry.request_finished(f"o{number % 7}", "standard", "p", "answered", MS)

    workers = [threading.Thread(target=record) for _ in range(threads)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()


@when("observability is given a duration of the wrong type")
def wrong_type(context):
    context.lines = _capture(context, "chervilrack._internal.observability.telemetry")
    NodeTelemetry(ManualClock()).record_token_times("standard", None, ())


@then("observability logs the lost measurement and raises nothing")
def lost_measurement(context):
    assert context.lines == ["observability: a measurement was lost"]


@when('observability logs "{message}" with {value:d} for part {part}')
def log_part(context, message, value, part):
    context.lines = _capture(context, "observability-test")
    part_logger("observability-test", part).info(message, value)


@then('observability has the log line "{line}"')
def check_line(context, line):
    assert context.lines == [line], context.lines
