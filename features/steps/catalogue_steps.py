"""Steps for the catalogue: versions of the configuration, routes, directory of upstreams."""

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


def make_route(name, host, prefix):
    return Route(
        name=name,
        host=host,
        path_prefix=prefix,
        kind=RequestKind.IDEMPOTENT,
        timeout=timedelta(seconds=1),
        target_latency=timedelta(seconds=1),
        split=((ServiceId("s"), 1.0),),
    )


def make_entry(state=UpstreamState.READY):
    return UpstreamEntry(
        UpstreamId("u1"), ServiceId("s"), "10.0.0.1:80", ZoneId("z"), state, slots=2
    )


@given("a catalogue")
def empty_catalogue(context):
    context.catalogue = Catalogue()
    context.now = timedelta(seconds=100)
    context.revision = 10


@given("a catalogue with three routes")
def catalogue_with_routes(context):
    empty_catalogue(context)
    routes = tuple(make_route(name, *target) for name, target in ROUTES.items())
    context.catalogue.apply_configuration(ServingConfiguration(1, routes, {}))


@given("a catalogue that lists upstream u1 as ready")
def catalogue_with_upstream(context):
    empty_catalogue(context)
    context.catalogue.apply_listing({UpstreamId("u1"): (make_entry(), 10)}, context.now)


@when("the catalogue receives versions {versions}")
def receive_versions(context, versions):
    for version in versions.split():
        context.catalogue.apply_configuration(ServingConfiguration(int(version), (), {}))


@when("the directory receives {events}")
def receive_events(context, events):
    catalogue = context.catalogue
    for event in events.split(", "):
        context.revision += 1
        match event.split():
            case ["removed"]:
                catalogue.remove_upstream(UpstreamId("u1"), context.revision, context.now)
            case ["draining"]:
                catalogue.put_upstream(make_entry(UpstreamState.DRAINING), context.revision)
            case ["listed"]:
                listed = {UpstreamId("u1"): (make_entry(), context.revision)}
                catalogue.apply_listing(listed, context.now)
            case ["peer", "lists"]:
                peer_entries = {UpstreamId("u1"): (make_entry(), context.revision)}
                catalogue.apply_peer_listing(peer_entries, (), context.now)
            case ["peer", "keeps"]:
                catalogue.apply_peer_listing({}, (UpstreamId("u1"),), context.now)
            case ["peer", "dropped"]:
                catalogue.apply_peer_listing({}, (), context.now)
            case ["store-down"]:
                catalogue.mark_store_unavailable(context.now)
            case ["store-up"]:
                catalogue.mark_store_available(context.now)
            case [seconds, "s"]:
                context.now += timedelta(seconds=float(seconds))
                catalogue.expire(context.now)


@when("the catalogue gets an entry of u1 as ready with an older revision")
def receive_older_entry(context):
    context.catalogue.put_upstream(make_entry(), 9)


@then("the catalogue has version {version:d} in force")
def has_version(context, version):
    assert context.catalogue.configuration.version == version


@then('the catalogue matches "{host}" and "{path}" to {name}')
def matches_route(context, host, path, name):
    route = context.catalogue.configuration.match(host, path)
    assert (route.name if route else "none") == name, route


@then("upstream u1 is {state}")
def upstream_is(context, state):
    registered = context.catalogue.upstreams.get(UpstreamId("u1"))
    ready = bool(context.catalogue.ready_upstreams(ServiceId("s")))
    found = "gone" if registered is None else "ready" if ready else "draining"
    assert found == state, found
