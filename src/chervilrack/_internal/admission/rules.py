"""Says for which routes requests are admitted before their stages, and what work they bring."""

from collections.abc import Iterable, Sequence

from chervilrack._internal.admission.state import Work
from chervilrack._internal.catalogue.state import Route, ServingConfiguration
from chervilrack._internal.common.ids import ServiceId


def competing_routes(routes: Iterable[Route]) -> frozenset[str]:
    """Return the names of the routes that compete for the services of their first stages.

    Routes compete if they begin at the same service with different target latencies or priorities,
    and at least one of them goes on to further stages.
    """
    by_service: dict[ServiceId, list[Route]] = {}
    for route in routes:
        for service in {stage.service for stage in route.stages if not stage.after}:
            by_service.setdefault(service, []).append(route)
    return frozenset(
        route.name
        for group in by_service.values()
        if len({(route.target_latency, route.priority) for route in group}) > 1
        and any(stage.after for route in group for stage in route.stages)
        for route in group
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
