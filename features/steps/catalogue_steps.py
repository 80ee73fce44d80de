"""Steps for the catalogue: configuration versions, routes and the directory of upstreams."""

from datetime import timedelta

from behave import given, then, when

from chervilrack._internal.catalogue.core import Catalogue
from chervilrack._internal.catalogue.state import (
    RequestKind,
    Route,
    ServingConfiguration,
    UpstreamEntry,
    UpstreamState,
)
from chervilrack._internal.common.ids import ServiceId, UpstreamId, ZoneId

ROUTES = {
    "short": ("a.example", "/x/"),
    "long": ("a.example", "/x/y/"),
    "other": ("b.example", "/x/"),
}


def route(name, host, prefix):
    return Route(
        name=name,
        host=host,
        path_prefix=prefix,
        kind=RequestKind.IDEMPOTENT,
        timeout=timedelta(seconds=1),
        target_latency=timedelta(seconds=1),
        split=((ServiceId("s"), 1.0),),
    )


def entry(state=UpstreamState.READY):
    return UpstreamEntry(
        UpstreamId("u1"), ServiceId("s"), "10.0.0.1:80", ZoneId("z"), state, slots=2
    )


@given("a catalogue")
def empty(context):
    context.catalogue = Catalogue()
    context.now = timedelta(seconds=100)
    context.revision = 10


@given("a catalogue with routes")
def with_routes(context):
    empty(context)
    routes = tuple(route(name, *where) for name, where in ROUTES.items())
    context.catalogue.apply_configuration(ServingConfiguration(1, routes, {}))


@given("a catalogue that lists upstream u1 as ready")
def with_upstream(context):
    empty(context)
    context.catalogue.apply_listing({UpstreamId("u1"): (entry(), 10)}, context.now)


@when("the catalogue is offered versions {versions}")
def apply_configuration(context, versions):
    for version in versions.split():
        context.catalogue.apply_configuration(ServingConfiguration(int(version), (), {}))


@when("the catalogue sees {events}")
def see(context, events):
    catalogue = context.catalogue
    for event in events.split(", "):
        context.revision += 1
        match event.split():
            case ["removed"]:
                catalogue.remove_upstream(UpstreamId("u1"), context.revision, context.now)
            case ["draining"]:
                catalogue.put_upstream(entry(UpstreamState.DRAINING), context.revision)
            case ["listed"]:
                listed = {UpstreamId("u1"): (entry(), context.revision)}
                catalogue.apply_listing(listed, context.now)
            case ["peer", "knows"]:
                known = {UpstreamId("u1"): (entry(), context.revision)}
                catalogue.apply_peer_listing(known, (), context.now)
            case ["peer", "misses"]:
                catalogue.apply_peer_listing({}, (UpstreamId("u1"),), context.now)
            case ["peer", "dropped"]:
                catalogue.apply_peer_listing({}, (), context.now)
            case ["away"]:
                catalogue.mark_store_unavailable(context.now)
            case ["back"]:
                catalogue.mark_store_available(context.now)
            case [seconds, "s"]:
                context.now += timedelta(seconds=float(seconds))
                catalogue.expire(context.now)


@when("the catalogue gets an older entry of u1 as ready")
def older(context):
    context.catalogue.put_upstream(entry(), 9)


@then("the catalogue has version {version:d}")
def has_version(context, version):
    assert context.catalogue.configuration.version == version


@then('the catalogue matches "{host}" and "{path}" to {name}')
def matches(context, host, path, name):
    found = context.catalogue.configuration.match(host, path)
    assert (found.name if found else "none") == name, found


@then("upstream u1 is {state}")
def is_state(context, state):
    known = context.catalogue.upstreams.get(UpstreamId("u1"))
    usable = bool(context.catalogue.ready_upstreams(ServiceId("s")))
    found = "gone" if known is None else "ready" if usable else "idle"
    assert found == state, found
