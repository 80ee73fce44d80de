"""Says for which routes requests are admitted before their stages, and what work they bring."""

from collections.abc import Iterable, Sequence

from chervilrack._internal.admission.state import Work
from chervilrack._internal.catalogue.state import Route, ServingConfiguration
from chervilrack._internal.common.ids import ServiceId


def competing_routes(routes: Iterable[Route]) -> frozenset[str]:
    """Return the names of the routes that compete for the services of their first stages.

    Routes compete if they begin at the same service, and the most urgent of them, both by target
    latency and by priority, end there while others go on to further stages. The queue of that
    service then decides what the further ones get, for requests that these do not know.
    """
    by_service: dict[ServiceId, list[Route]] = {}
    for route in routes:
        for service in {stage.service for stage in route.stages if not stage.after}:
            by_service.setdefault(service, []).append(route)
    return frozenset(
        route.name for group in by_service.values() if _compete(group) for route in group
    )


def _compete(group: Sequence[Route]) -> bool:
    """Whether routes that begin at the same service compete for it."""
    shortest = min(route.target_latency for route in group)
    highest = min(route.priority for route in group)
    going_on = [route for route in group if any(stage.after for stage in route.stages)]
    return bool(going_on) and all(
        route.target_latency > shortest and route.priority > highest for route in going_on
    )


class Competition:
    """The competing routes of the configuration in which a route was looked up last."""

    def __init__(self) -> None:
        self._configuration: ServingConfiguration | None = None
        self._names: frozenset[str] = frozenset()

    def includes(self, configuration: ServingConfiguration, route: Route) -> bool:
        """Whether a route competes with others of its configuration."""
        if self._configuration is not configuration:
            self._configuration = configuration
            self._names = competing_routes(configuration.routes)
        return route.name in self._names


def work_from(route: Route, stage: int, piece_counts: Sequence[int]) -> tuple[Work, ...]:
    """Return the work of a stage, and of those that read its results directly or through others.

    ``piece_counts`` holds the number of pieces of each stage; stages without a count have one.
    """
    counts = [*piece_counts, *([1] * (len(route.stages) - len(piece_counts)))]
    reached = {stage}
    while True:
        readers = {
            index
            for index, spec in enumerate(route.stages)
            if index not in reached and reached.intersection(spec.after)
        }
        if not readers:
            break
        reached |= readers
    return tuple(
        Work(route.stages[index].service, counts[index])
        for index in sorted(reached)
        if counts[index] > 0
    )
