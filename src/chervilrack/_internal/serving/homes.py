"""Requests whose route or organisation has homes: what they may use at this node, and where."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from chervilrack._internal.catalogue.homes import Regions
from chervilrack._internal.catalogue.state import ServingConfiguration, UpstreamEntry
from chervilrack._internal.common.ids import ServiceId, ZoneId
from chervilrack._internal.common.results import Problem, ResultCode
from chervilrack._internal.forwarding.context import RequestContext
from chervilrack._internal.forwarding.dialect import LookupQuery


@dataclass(frozen=True, slots=True)
class HomesCheck:
    """Whether a request with homes can be served within them.

    ``upstreams`` returns the upstreams of a service, ``peer_zones`` are the zones of other nodes.
    """

    regions: Regions
    upstreams: Callable[[ServiceId], Sequence[UpstreamEntry]]
    peer_zones: Sequence[str]

    def problem(self, context: RequestContext) -> Problem | None:
        """Return why the homes of a request leave it no upstream, None if they do not.

        A stage queue serves all requests for its service, with any of its upstreams. A request is
        therefore refused if one of them, or a node that may own the queue, is outside its homes.
        """
        homes = context.load.homes
        if homes is None:
            return None
        if not homes:
            detail = "the homes of the route and of the organisation have no region in common"
            return Problem(ResultCode.OUTSIDE_HOMES, detail)
        entries = self.upstreams(context.service)
        if not self.regions.allowed(homes, entries):
            detail = f"no upstream of the service lies in {', '.join(sorted(homes))}"
            return Problem(ResultCode.OUTSIDE_HOMES, detail)
        stages = list(_stage_services(context))
        if stages and not all(self.regions.allow(homes, ZoneId(z)) for z in self.peer_zones):
            detail = "a stage queue may lie outside the homes of the request"
            return Problem(ResultCode.OUTSIDE_HOMES, detail)
        for service in stages:
            entries = self.upstreams(service)
            if len(self.regions.allowed(homes, entries)) < len(entries):
                detail = "a stage has upstreams outside the homes of the request"
                return Problem(ResultCode.OUTSIDE_HOMES, detail)
        return None


def _stage_services(context: RequestContext) -> Iterator[ServiceId]:
    """Yield the services of the stages that a request has."""
    counts = context.metadata.piece_counts
    for number, stage in enumerate(context.route.stages):
        if number >= len(counts) or counts[number] > 0:
            yield stage.service


def named_zones(
    regions: Regions, configuration: ServingConfiguration | None, query: LookupQuery
) -> Callable[[ZoneId], bool]:
    """Return which zones' nodes may be named to a caller: those of homes, and of its own region."""
    homes = configuration.lookup_homes(query.name) if configuration is not None else None
    if homes is None:
        return lambda _: True
    caller_region = query.region
    if caller_region is None and query.zone is not None:
        caller_region = regions.region(query.zone)
    allowed = homes if caller_region is None else homes | {caller_region}
    return lambda zone: regions.allow(allowed, zone)
