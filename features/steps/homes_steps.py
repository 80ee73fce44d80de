"""Steps for routes and organisations whose requests may be served in some regions only."""

import http.client
import json

import msgspec
from behave import given, then, when
from fleet_steps import heartbeat
from serving_steps import KEY, send_request, start_serving_node, start_stand_ins, wait_for

from chervilrack._internal.common.ids import Incarnation, NodeId, RegionId, ZoneId
from chervilrack.platform.emulated.emulation import HOST, configuration

REGIONS = {
    ZoneId("z1"): RegionId("r1"),
    ZoneId("z2"): RegionId("r2"),
    ZoneId("z3"): RegionId("r3"),
}


@given("a serving node in zone z1 of region r1, with zone z2 in region r2")
def start(context):
    start_stand_ins(context)
    start_serving_node(context, regions=REGIONS)
    context.version = 1
    context.zones = {}


@given("upstreams of {service} in zones {zones}")
def place_upstreams(context, service, zones):
    names = [name for name in context.upstreams if name.startswith(service)]
    for number, zone in enumerate(zones.split(", ")):
        entry = context.upstreams[names[number % len(names)]].entry()
        name = names[number] if number < len(names) else f"{service}-{number + 1}"
        context.zones[name] = zone
        context.store.put(f"servers/{name}", {**entry, "zone": zone})
    catalogue = context.node._state.catalogue
    wait_for(
        lambda: all(
            name in catalogue.upstreams and catalogue.upstreams[name].zone == zone
            for name, zone in context.zones.items()
        ),
        "the zones are known",
    )


@given("a configuration whose routes have {route} and whose organisation has {organisation}")
def configure(context, route, organisation):
    context.version += 1
    document = configuration(context.version, [KEY])
    for part, homes in ((document["routes"], route), (document["tenants"], organisation)):
        if homes != "no homes":
            for item in part:
                item["allowedRegions"] = homes.split()[1:]
    context.store.put("op/config", document)
    catalogue = context.node._state.catalogue
    wait_for(lambda: catalogue.configuration.version == context.version, "it is in force")


@when("a caller sends {count:d} plain requests")
def send_plain(context, count):
    context.responses = [send_request(context, "/order/1") for _ in range(count)]


@when("a caller sends a staged stream")
def send_staged(context):
    extra = {"Chervilrack-Chunk-Count": "2,3", "Chervilrack-Chunk-Key": "piece-key"}
    context.responses = [send_request(context, "/stream/staged/1", **extra)]


@when("the upstream in {zone} fails, and a caller sends a look-up")
def fail_and_send(context, zone):
    (failing,) = (name for name, its_zone in context.zones.items() if its_zone == zone)
    context.upstreams[failing].crash()
    context.responses = [send_request(context, "/read/1")]


@then("the upstream in {zone} has got no request")
def check_unused(context, zone):
    (name,) = (name for name, its_zone in context.zones.items() if its_zone == zone)
    assert not context.upstreams[name].arrivals, context.upstreams[name].arrivals
    assert context.responses[0][0].status in (502, 503), context.responses[0][0].status


@then("only upstreams in {zones} answer")
def check_zones(context, zones):
    statuses = {response.status for response, _ in context.responses}
    signatures = {r.headers["Chervilrack-Response-Signature"] for r, _ in context.responses}
    found = {context.zones[signature.removeprefix("signed-by-")] for signature in signatures}
    assert statuses == {200}, statuses
    assert found <= set(zones.split(", ")), found


@then("the stream is answered")
def check_answered(context):
    assert context.responses[0][0].status == 200, context.responses[0][1]


@then("all are refused with {status:d} and code {code:d}")
def check_refused(context, status, code):
    for response, body in context.responses:
        problem = json.loads(body)
        assert (response.status, problem["code"]) == (status, code), problem
        assert problem["executed"] == "no", problem
        assert response.headers["Retry-After"], response.headers


@then("the finding about homes is {finding}")
def check_finding(context, finding):
    def findings():
        lines = [json.loads(line) for line in context.log.getvalue().splitlines()]
        return [
            f"{line['subject']}: {line['reason']}"
            for line in lines
            if line["event"] == "homes not servable"
        ]

    if finding == "nothing":
        assert not findings(), findings()
    else:
        wait_for(lambda: finding in findings(), finding)


@given("peers in zones {zones}")
def add_peers(context, zones):
    context.peer_zones = {str(context.settings.callers): "z1"}
    state = context.node._state
    with state.lock:
        for number, zone in enumerate(zones.split(", ")):
            address = f"127.0.1.{number + 1}:1"
            context.peer_zones[address] = zone
            message = msgspec.structs.replace(heartbeat(address), zone=zone, interval_ms=60_000)
            name = NodeId(f"p{number}")
            now = state.clock.monotonic()
            state.fleet.receive_heartbeat(name, Incarnation("1"), message, now)


@when("a caller in {kind} {place} looks up the host")
def look_up(context, kind, place):
    query = f"name={HOST}&{kind}={place}"
    connection = http.client.HTTPConnection(str(context.settings.lookup), timeout=20)
    connection.request("GET", f"/api/resolve?{query}")
    context.named = json.loads(connection.getresponse().read())["addresses"]
    connection.close()


@then("it is named nodes in {zones}")
def check_named(context, zones):
    found = sorted(context.peer_zones[address] for address in context.named)
    assert found == zones.split(", "), found
