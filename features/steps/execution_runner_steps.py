"""Steps for the pipeline runner, the assembly of streams and the division of deadlines."""

from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from datetime import timedelta

import msgspec
from behave import given, then, when
from features.support.execution_fakes import ZERO, seconds
from features.support.execution_node import TOKENS, ExecutionNode
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from chervilrack._internal.common.results import Executed
from chervilrack._internal.exceptions import StreamBroken
from chervilrack._internal.execution.deadlines import first_stage_window
from chervilrack._internal.execution.measure import measure_execution
from chervilrack._internal.execution.streams import TokenAssembler
from chervilrack._internal.releases.state import Limits, Team
from chervilrack._internal.routing.port import Estimate
from chervilrack._internal.standins.upstreams.record import receipt
from chervilrack._internal.standins.upstreams.text import expected_text, token_text
from chervilrack._internal.upstreams.port import TokenChunk
from chervilrack._internal.upstreams.prompts import BYTES_PER_TOKEN


@given("execution a node with {engines:d} engines and one of each other upstream")
def start_node(context, engines):
    context.node = ExecutionNode(engines)
    context.node.__enter__()
    context.add_cleanup(context.node.__exit__)


def _text_of(request, tokens=TOKENS):
    body = request.body
    return expected_text(
        body["prompt"], body["seed"], request.request_id, request.organisation, tokens
    )


def _assert_answered(request, outcome):
    assert outcome.is_ok(), outcome
    assert outcome.ok_value["choices"][0]["text"] == _text_of(request), request


@when("execution a pipeline of four stages is run for organisation {organisation}")
def run_four_stages(context, organisation):
    context.request = context.node.pipeline_request("search", organisation)
    context.outcome = context.node.runner.run_pipeline(context.request)


@then("execution the answer is the text expected for the documents of the previous stage")
def assert_text_of_documents(context):
    node, request = context.node, context.request
    ids = (request.request_id, request.organisation)
    encoded = node.encoder._result(None, {"input": request.body})
    retrieved = node.retriever._result(None, {"previous": encoded})
    ranked = node.reranker._result(None, {"previous": retrieved})
    previous = msgspec.json.encode({"receipt": receipt(*ids), **ranked}).decode()
    prompt = request.body["prompt"] + "\n\n" + previous
    text = expected_text(prompt, request.body["seed"], *ids, TOKENS)
    assert context.outcome.ok_value["choices"][0]["text"] == text, context.outcome


@then("execution each upstream received the request once with the right ids")
def assert_received_once(context):
    node, request = context.node, context.request
    arrivals = [arrival.ids for upstream in node.upstreams for arrival in upstream.record.arrivals]
    assert len(arrivals) == 4, arrivals
    assert {ids.request for ids in arrivals} == {request.request_id}
    assert {ids.organisation for ids in arrivals} == {request.organisation}
    assert len({ids.attempt for ids in arrivals}) == 4
    assert len(node.telemetry.stages) == 4


@when("execution {tokens:d} tokens are streamed while engines break after {kept:d}")
def stream_with_breaks(context, tokens, kept):
    for engine in context.node.engines:
        engine.set_faults(break_after=kept)
    context.request = context.node.pipeline_request(tokens=tokens)
    context.items = list(context.node.runner.stream_pipeline(context.request))


@then("execution the caller received exactly the expected {tokens:d} tokens")
def assert_exact_tokens(context, tokens):
    request = context.request
    assert all(item.is_ok() for item in context.items), context.items[-1]
    received = [(item.ok_value.offset, item.ok_value.text) for item in context.items]
    body = request.body
    ids = (request.request_id, request.organisation)
    expected = [
        (number, token_text(body["prompt"], body["seed"], *ids, number)) for number in range(tokens)
    ]
    assert [token for token in received if token[1]] == expected, received
    assert context.items[-1].ok_value.final


@then("execution the token times of the stream are reported once")
def assert_token_times(context):
    [(priority_class, first_token_time, intervals)] = context.node.telemetry.tokens
    tokens = len([item for item in context.items if item.ok_value.tokens])
    assert priority_class == "standard"
    assert first_token_time > ZERO
    assert len(intervals) == tokens - 1


@then(
    "execution the caller received the first {count:d} tokens, then {code} with executed {executed}"
)
def assert_broken_stream(context, count, code, executed):
    *received, last = context.items
    assert [item.ok_value.offset for item in received] == list(range(count)), context.items
    assert last.err_value.code.name == code, last
    assert last.err_value.executed.value == executed, last


def _assemble(attempts):
    """Assemble chunks until the stream breaks; return the text so far and whether it broke."""
    assembler = TokenAssembler(ZERO)
    text = ""
    for chunks in attempts:
        for chunk in chunks:
            try:
                accepted = assembler.accept(chunk, ZERO)
            except StreamBroken:
                return text, True
            if accepted is not None:
                assert accepted.offset == len(text)
                text += accepted.text
    return text, False


@then("execution chunks {attempts} are assembled to {tokens}")
def assert_assembled(context, attempts, tokens):
    chunks = [
        [TokenChunk(int(item[0]), item[1:], len(item) - 1) for item in attempt.split()]
        for attempt in attempts.split("/")
    ]
    text, broken = _assemble(chunks)
    assert broken == (tokens == "broken"), (text, broken)
    assert broken or text == tokens, text


@then("execution generated attempts never give a repeated or missing token")
def check_generated_attempts(context):
    whole = "abcdefghijklmnop"
    chunk = st.tuples(st.integers(0, 12), st.integers(0, 3)).map(
        lambda span: TokenChunk(span[0], whole[span[0] : span[0] + span[1]], span[1])
    )

    @settings(max_examples=6 * settings.default.max_examples)
    @for_all(st.lists(st.lists(chunk, max_size=6), max_size=4))
    def check(attempts):
        text, _broken = _assemble(attempts)
        assert whole.startswith(text), text

    check()


@when("execution the first engine has the fault {fault} and {count:d} pipelines run one by one")
def run_with_faulty_engine(context, fault, count):
    context.node.engines[0].set_faults(**{fault: True})
    context.runs = []
    for _number in range(count):
        request = context.node.pipeline_request()
        context.runs.append((request, context.node.runner.run_pipeline(request)))


@then("execution all {count:d} are answered with their own texts")
def assert_all_answered(context, count):
    assert len(context.runs) == count
    for request, outcome in context.runs:
        _assert_answered(request, outcome)


@given("execution {count:d} pipelines have been answered")
def run_earlier_pipelines(context, count):
    for _number in range(count):
        request = context.node.pipeline_request()
        _assert_answered(request, context.node.runner.run_pipeline(request))


@when("execution the next engine hangs and another pipeline runs")
def run_with_hanging_engine(context):
    node = context.node
    node.engines[0].set_faults(hang=True)
    context.request = node.pipeline_request()
    context.outcome = node.runner.run_pipeline(context.request)


@then("execution the other engine answers the request")
def assert_answered_by_other_engine(context):
    _assert_answered(context.request, context.outcome)
    executed = [
        (context.request.request_id, "") in engine.record.executions
        for engine in context.node.engines
    ]
    assert executed == [True, True], executed


@then("execution the hanging engine records a cancelled call")
def assert_hanging_call_cancelled(context):
    engine = context.node.engines[0]
    context.node.wait_for(lambda: engine.record.running == 0)
    assert engine.record.as_dict()["cancelled"] == 1


@when("execution the operation pay is called with the fault {fault}")
def call_pay(context, fault):
    context.node.service.set_faults(**{fault: True})
    request = context.node.service_request("pay")
    context.outcome = context.node.runner.run_service(request)


@then("execution pay was sent once with executed {executed}")
def assert_paid_once(context, executed):
    assert context.outcome.is_err(), context.outcome
    assert context.outcome.err_value.executed.value == executed, context.outcome
    dispatched = context.node.router.attempts
    assert len(dispatched) == 1, dispatched


@when("execution the node loses its confirmation {when} and a request arrives")
def lose_confirmation(context, when):
    node = context.node
    if when == "beforehand":
        node.may_act = lambda: False
        context.outcome = node.runner.run_service(node.service_request())
    elif when == "just before it is sent":
        answers = iter([True, False])  # at submission and directly before the call
        node.may_act = lambda: next(answers)
        context.outcome = node.runner.run_service(node.service_request())
    else:
        pool = "upstream/stock/concurrency"
        node.permits.capacities[pool] = 0
        with ThreadPoolExecutor(1) as executor:
            running = executor.submit(node.runner.run_service, node.service_request())
            node.wait_for(lambda: node.scheduler.waiting == 1)
            node.may_act = lambda: False
            node.permits.capacities[pool] = 1
            node.runner.capacity_gained()
            context.outcome = running.result()


@then("execution the unconfirmed node rejects the request as NOT_CONFIRMED with executed no")
def assert_not_confirmed(context):
    assert context.outcome.is_err(), context.outcome
    assert context.outcome.err_value.code.name == "NOT_CONFIRMED", context.outcome
    assert context.outcome.err_value.executed is Executed.NO


@then("execution the service received no request")
def assert_nothing_received(context):
    assert context.node.service.record.arrivals == []
    assert not context.node.permits.held


@when("execution a service is withdrawn while requests wait for it")
def withdraw_service(context):
    node = context.node
    node.permits.capacities["upstream/stock/concurrency"] = 1
    node.service.set_faults(hang=True)
    with ThreadPoolExecutor(3) as executor:
        first = executor.submit(node.runner.run_service, node.service_request())
        node.wait_for(lambda: node.service.record.running == 1)
        waiting = [
            executor.submit(node.runner.run_service, node.service_request(time=3.0))
            for _ in range(2)
        ]
        node.wait_for(lambda: node.scheduler.waiting == 2)
        kept = {
            name: upstream
            for name, upstream in node.configuration.upstreams.items()
            if name != "stock"
        }
        node.configuration = msgspec.structs.replace(node.configuration, upstreams=kept)
        node.service.withdraw()
        node.runner.capacity_gained()
        context.waiting = [future.result() for future in waiting]
        node.service.set_faults()
        context.running = first.result()


@then("execution the running request is answered and the waiting ones are rejected as NO_UPSTREAM")
def assert_waiting_rejected(context):
    assert context.running.is_ok(), context.running
    assert all(outcome.is_err() for outcome in context.waiting), context.waiting
    codes = [outcome.err_value.code.name for outcome in context.waiting]
    assert codes == ["NO_UPSTREAM"] * 2, codes


@then("execution no call arrived at the service after its withdrawal")
def assert_nothing_after_withdrawal(context):
    arrivals = context.node.service.record.arrivals
    assert [arrival.after_withdrawal for arrival in arrivals] == [None]


@when("execution a caller disconnects while its operation hangs")
def disconnect_caller(context):
    node = context.node
    node.service.set_faults(hang=True)
    context.request = node.service_request()
    with ThreadPoolExecutor(1) as executor:
        running = executor.submit(node.runner.run_service, context.request)
        node.wait_for(lambda: node.service.record.running == 1)
        node.runner.cancel(context.request.request_id)
        assert running.result().is_err()


@then("execution the upstream records a cancelled call")
def assert_call_cancelled(context):
    record = context.node.service.record
    context.node.wait_for(lambda: record.running == 0)
    assert record.as_dict()["cancelled"] == 1


@then("execution nothing is in progress and the permit is returned after the deadline")
def assert_nothing_in_progress(context):
    node = context.node
    assert node.runner.in_flight == 0
    assert node.scheduler.running == 0
    [(method, at)] = [entry for entry in node.permits.returned if entry[0] != "cancel"]
    assert method == "release_at"
    assert at == context.request.deadline + timedelta(seconds=1), at


@when("execution a caller closes its stream of {tokens:d} tokens after {read:d}")
def close_stream(context, tokens, read):
    context.request = context.node.pipeline_request(tokens=tokens)
    stream = context.node.runner.stream_pipeline(context.request)
    for _number in range(read):
        assert next(stream).is_ok()
    stream.close()


@then("execution the engines generated fewer than {most:d} tokens")
def assert_generated_fewer(context, most):
    engines = context.node.engines
    context.node.wait_for(lambda: not any(engine.record.running for engine in engines))
    assert sum(engine.record.tokens_generated for engine in engines) < most


@given("execution the engines are limited to {limit:d} concurrent requests each")
def limit_engines(context, limit):
    for engine in context.node.engines:
        engine.record.set_limits(Limits(concurrency=limit))
        context.node.permits.capacities[f"upstream/{engine.name}/concurrency"] = limit


@when("execution {count:d} pipelines of {organisations:d} organisations run in {threads:d} threads")
def run_many(context, count, organisations, threads):
    node = context.node
    requests = [
        node.pipeline_request("write", f"org-{number % organisations}", time=60.0)
        for number in range(count)
    ]
    with ThreadPoolExecutor(threads) as executor:
        outcomes = list(executor.map(node.runner.run_pipeline, requests))
    context.runs = list(zip(requests, outcomes, strict=True))


@then("execution every request has its own answer and no limit was exceeded")
def assert_answers_and_limits(context):
    node = context.node
    for request, outcome in context.runs:
        _assert_answered(request, outcome)
    for engine in node.engines:
        assert engine.record.violations == []
        assert engine.record.most("concurrency") > 1
    node.wait_for(lambda: node.scheduler.running == 0)
    assert node.runner.in_flight == 0


@when("execution {what} is requested")
def run_invalid_request(context, what):
    node = context.node
    if what == "an unknown pipeline":
        context.outcome = node.runner.run_pipeline(node.pipeline_request("none"))
        return
    request = {
        "an unknown service": lambda: node.service_request(service="none"),
        "an unknown operation": lambda: node.service_request("none"),
        "a passed deadline": lambda: node.service_request(time=-1.0),
    }[what]()
    context.outcome = node.runner.run_service(request)


@given("execution limits of {upstream} tokens per second for each upstream and {team} for the team")
def limit_tokens(context, upstream, team):
    node = context.node
    upstream_limit, team_limit = (
        None if limit == "none" else int(limit) for limit in (upstream, team)
    )
    upstreams = {
        name: msgspec.structs.replace(item, limits=Limits(tokens_per_s=upstream_limit))
        for name, item in node.configuration.upstreams.items()
    }
    teams = {"forge": Team("forge", Limits(tokens_per_s=team_limit))}
    node.configuration = msgspec.structs.replace(
        node.configuration, upstreams=upstreams, teams=teams
    )


@when("execution a pipeline with a prompt of {prompt:d} tokens and {tokens:d} output tokens runs")
def run_with_tokens(context, prompt, tokens):
    request = context.node.pipeline_request(tokens=tokens)
    body = {**request.body, "prompt": "p" * prompt * BYTES_PER_TOKEN}
    context.outcome = context.node.runner.run_pipeline(replace(request, body=body))


@then("execution the request is answered")
def assert_answered(context):
    assert context.outcome.is_ok(), context.outcome


@when("execution both engines refuse their calls and a pipeline of four stages runs")
def run_with_refusing_engines(context):
    for engine in context.node.engines:
        engine.set_faults(refuse=True)
    context.outcome = context.node.runner.run_pipeline(context.node.pipeline_request("search"))


@then("execution the request is rejected as {code} with executed {executed}")
def assert_rejected(context, code, executed):
    assert context.outcome.is_err(), context.outcome
    problem = context.outcome.err_value
    assert problem.code.name == code, problem
    assert problem.executed.value == executed, problem


@when("execution {pairs:d} pairs of calls are measured")
def measure_pairs(context, pairs):
    context.figures = measure_execution(pairs)


@then("execution the figures cover {pairs:d} pairs and are consistent")
def assert_figures_consistent(context, pairs):
    figures = context.figures
    assert figures.pairs == pairs
    assert 0 < figures.direct_cpu_ms <= figures.direct_ms * 1.5, figures
    assert figures.ratio > 0, figures


@then("execution {remaining:g} s over stages of {stages} gives due {due:g} and latest {latest:g}")
def assert_divided(context, remaining, stages, due, latest):
    estimates = [
        Estimate(*(seconds(float(part)) for part in stage.split("+")))
        for stage in stages.split(",")
    ]
    window = first_stage_window(seconds(10), seconds(10 + remaining), estimates)
    assert window.due == seconds(10 + due), window
    assert window.latest == seconds(10 + latest), window
