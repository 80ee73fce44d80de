"""Steps for requests that crash engine after engine, with real serving nodes."""

import time

from behave import given, then, when
from serving_steps import start_serving_node, start_stand_ins, wait_for
from support.crash_load import CONTACT_S, CRASHES_ON, CrashLoad, late_arrivals, started_share

from chervilrack.platform.emulated.crashes import CrashCycle
from chervilrack.platform.emulated.standins import UpstreamStandIn

LEAD_S = 3.0


SERVICES = {"part": "engine", "path": "plain", "key": "first"}


@given("{nodes:d} serving nodes and {count:d} {service} upstreams that a {kind} crashes")
def start_fleet(context, nodes, count, service, kind):
    assert service == SERVICES[kind]
    start_stand_ins(context)
    for number in range(1, count + 1):
        name = f"{service}-{number}"
        if name not in context.upstreams:
            upstream = context.stack.enter_context(UpstreamStandIn(name, service))
            context.upstreams[name] = upstream
            context.store.put(f"servers/{name}", upstream.entry())
    context.kind = kind
    context.engines = [u for u in context.upstreams.values() if u.service == service]
    cycle = context.stack.enter_context(CrashCycle(context.store))
    for engine in context.engines:
        engine.crashes_on = CRASHES_ON[kind]
        cycle.watch(engine)
    context.answers = []
    start_nodes(context, [f"n{number}" for number in range(nodes)])


def start_nodes(context, names):
    context.nodes, context.addresses = [], []
    for name in names:
        start_serving_node(context, name)
        context.nodes.append(context.node)
        context.addresses.append(str(context.settings.callers))

    def all_known():
        return all(node._fleet.size == len(names) for node in context.nodes)

    wait_for(all_known, "the nodes know each other")


@when("all nodes are killed at once, and {count:d} others start")
def kill_all(context, count):
    for node in context.nodes:
        node.__exit__(None, None, None)
    start_nodes(context, [f"later-{number}" for number in range(count)])


@when("requests with that part in place {position:d} come for {seconds:d} s beside sound ones")
def send_prompts(context, position, seconds):
    send_load(context, seconds, position)


@when("requests with that {kind} come for {seconds:d} s beside sound ones")
def send_others(context, kind, seconds):
    assert kind == context.kind
    send_load(context, seconds)


def send_load(context, seconds, position=2):
    first_number = len(context.answers) + 1
    context.load = CrashLoad(context.addresses, context.kind, position - 1, first=first_number)
    context.began_at = context.load.run(LEAD_S, seconds)
    context.answers += context.load.answers
    context.ended_at = time.monotonic()


def crashes_of(context):
    return sorted((c for engine in context.engines for c in engine.crashes), key=lambda c: c[1])


def arrivals_of(context):
    return [arrival for engine in context.engines for arrival in engine.arrivals]


@then(
    "at most {count:d} of them reach an upstream later than the contact time after the fifth crash"
)
def check_late_arrivals(context, count):
    crashing = {a.request for a in context.answers if a.is_crashing}
    late = late_arrivals(crashes_of(context), arrivals_of(context), crashing)
    sent = len(crashing)
    assert len(late) <= count, f"{len(late)} of {sent}, {len(crashes_of(context))} crashes"


@then("later, sound requests are served at least half as often as before")
def check_sound_requests(context):
    crashes = crashes_of(context)
    after = crashes[min(4, len(crashes) - 1)][1] + 2 * CONTACT_S
    load = context.load
    assert after < context.ended_at - 2.0, "the load ended too soon"
    before = started_share(load.answers, arrivals_of(context), 0, context.began_at - 1.0)
    later = started_share(load.answers, arrivals_of(context), after, context.ended_at)
    assert before > 0.9, before
    assert later >= before / 2, f"{later:.2f} later, {before:.2f} before"
