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


class _MessageHandler(logging.Handler):
    """Stores the messages of log records."""

    def __init__(self):
        super().__init__()
        self.messages = []

    def emit(self, record):
        self.messages.append(record.getMessage())


def _capture_messages(context, logger_name):
    """Return a list that receives the messages of a logger until the scenario ends."""
    handler = _MessageHandler()
    logger = logging.getLogger(logger_name)
    original = (logger.level, logger.propagate)
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    logger.propagate = False

    def restore():
        logger.removeHandler(handler)
        logger.setLevel(original[0])
        logger.propagate = original[1]

    context.add_cleanup(restore)
    return handler.messages


def _samples(telemetry, metric_name):
    families = text_string_to_metric_families(telemetry.metrics.export().decode())
    return [
        sample for family in families for sample in family.samples if sample.name == metric_name
    ]


@when(
    "telemetry records one request of each of {organisations:d} organisations "
    "with own labels for at most {max_labelled:d}"
)
def record_organisations(context, organisations, max_labelled):
    context.telemetry = NodeTelemetry(ManualClock(), metrics=NodeMetrics(max_labelled))
    for number in range(organisations):
        context.telemetry.request_finished(f"o{number}", "standard", "p", "answered", MS)


@then("telemetry exports {labels:d} organisation labels and {requests:d} requests in all")
def check_labels(context, labels, requests):
    counts = _samples(context.telemetry, "chervilrack_request_seconds_count")
    assert len(counts) == labels, len(counts)
    assert sum(sample.value for sample in counts) == requests
    outcomes = _samples(context.telemetry, "chervilrack_requests_total")
    assert sum(sample.value for sample in outcomes) == requests


@when("{early:d} early organisations and then one with most of the traffic are ranked")
def rank_organisations(context, early):
    context.removed = []
    ranking = TrafficRanking(early, requests_per_ranking=50, on_removed=context.removed.append)
    for number in range(early):
        ranking.label(f"early-{number}")
    context.first_label = ranking.label("large")
    for _ in range(60):
        context.last_label = ranking.label("large")


@then("the largest organisation is labelled with its own name")
def check_own_label(context):
    assert (context.first_label, context.last_label) == ("other", "large")


@then("the removal of {count:d} early organisation is reported")
def check_removal(context, count):
    assert len(context.removed) == count
    assert context.removed[0].startswith("early-")


@when("telemetry records these outcomes")
def record_outcomes(context):
    context.telemetry = NodeTelemetry(ManualClock())
    for row in context.table:
        for outcome in row["outcomes"].split():
            context.telemetry.request_finished(
                row["organisation"], "standard", row["target"], outcome, MS
            )


@then("the recorded attainment of {organisation} at {target} is {answered:d} of {requests:d}")
def check_attainment(context, organisation, target, answered, requests):
    recorder = context.telemetry.attainment
    if organisation == "all" and target == "all":
        attainment = recorder.total()
    elif target == "all":
        attainment = recorder.by_organisation()[organisation]
    elif organisation == "all":
        attainment = recorder.by_target()[target]
    else:
        attainment = recorder.by_pair()[organisation, target]
    assert (attainment.answered, attainment.requests) == (answered, requests), attainment
    assert attainment.share == answered / requests


@given('telemetry has recorded the decisions "{events}" about request {request} of {owner}')
def add_decisions(context, events, request, owner):
    if not hasattr(context, "telemetry"):
        context.telemetry = NodeTelemetry(ManualClock())
    for event in events.split(", "):
        context.telemetry.record_decision(request, owner, event)


@when("the explanation of request {request} is read by {reader}")
def read_explanation(context, request, reader):
    explanations = context.telemetry.explanations
    if reader == "operator":
        context.explanation = explanations.read_as_operator(request)
    else:
        context.explanation = explanations.read(request, reader)


@then("the explanation read is {result}")
def check_explanation(context, result):
    if result == "nothing":
        assert context.explanation is None
    else:
        assert ", ".join(event for _, event in context.explanation.events) == result


@when(
    "{events:d} decisions about each of {requests:d} requests are stored "
    "with room for {max_requests:d} requests and {max_events:d} decisions"
)
def store_decisions(context, events, requests, max_requests, max_events):
    context.explanations = Explanations(ManualClock(), max_requests, max_events)
    context.request_count = requests
    for number in range(requests):
        for event in range(events):
            context.explanations.add(f"r-{number}", "tea", f"event {event}")


@then("requests {first:d} to {last:d} are stored with {events:d} decisions and {dropped:d} dropped")
def check_stored_decisions(context, first, last, events, dropped):
    explanations = [
        context.explanations.read(f"r-{n}", "tea") for n in range(context.request_count)
    ]
    stored = [number for number, explanation in enumerate(explanations) if explanation]
    assert stored == list(range(first, last + 1)), stored
    assert all(len(e.events) == events and e.dropped == dropped for e in explanations if e)


@when("telemetry records that routing ejected engine-1")
def record_action(context):
    context.messages = _capture_messages(context, "chervilrack._internal.observability.telemetry")
    context.telemetry = NodeTelemetry(ManualClock())
    context.telemetry.record_action(ActionTaken("routing", "ejected", "engine-1", "5 failures"))


@then("telemetry has one log line, one count and one recent action for the ejection")
def check_action(context):
    assert context.messages == ["routing: ejected engine-1: 5 failures"]
    (sample,) = _samples(context.telemetry, "chervilrack_automatic_actions_total")
    assert (sample.labels, sample.value) == ({"part": "routing", "action": "ejected"}, 1)
    (recent,) = context.telemetry.explanations.recent_actions()
    assert recent.action.subject == "engine-1"


@when("telemetry records {requests:d} requests from each of {threads:d} threads")
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


@when("telemetry is given a duration of the wrong type")
def record_wrong_type(context):
    context.messages = _capture_messages(context, "chervilrack._internal.observability.telemetry")
    NodeTelemetry(ManualClock()).record_token_times("standard", None, ())


@then("telemetry logs the failed measurement and raises nothing")
def check_failure_logged(context):
    assert context.messages == ["observability: failed to record a measurement"]


@when('the logger of part {part} logs "{message}" with {value:d}')
def log_for_part(context, message, value, part):
    context.messages = _capture_messages(context, "observability-test")
    part_logger("observability-test", part).info(message, value)


@then('the captured log line is "{line}"')
def check_line(context, line):
    assert context.messages == [line], context.messages
