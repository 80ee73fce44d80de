"""Upstreams that can do the work of a group, under the configuration in force."""

from collections.abc import Callable

from chervilrack._internal.execution.tasks import Group
from chervilrack._internal.releases.state import Configuration, Upstream, UpstreamKind


class CandidateFinder:
    """Callable that returns the upstreams of a group; a withdrawn upstream is not among them.

    The configuration is read at every call. Results are kept until it changes.
    """

    def __init__(self, configuration: Callable[[], Configuration]) -> None:
        self._configuration = configuration
        self._known: tuple[Configuration | None, dict[Group, tuple[Upstream, ...]]] = (None, {})

    def __call__(self, group: Group) -> tuple[Upstream, ...]:
        """Return the upstreams that can do the work of ``group``."""
        configuration = self._configuration()
        read, groups = self._known
        if read is not configuration:
            groups = {}
            self._known = (configuration, groups)
        found = groups.get(group)
        if found is None:
            found = groups[group] = tuple(
                upstream for upstream in configuration.upstreams.values() if serves(upstream, group)
            )
        return found

    def most_tokens(self, group: Group) -> int | None:
        """Return the most tokens that one request may take, None if nothing limits them."""
        teams = self._configuration().teams
        most = 0
        for upstream in self(group):
            team = teams.get(upstream.team)
            limits = [upstream.limits.tokens_per_s, team.limits.tokens_per_s if team else None]
            set_limits = [limit for limit in limits if limit is not None]
            if not set_limits:
                return None
            most = max(most, min(set_limits))
        return most


def serves(upstream: Upstream, group: Group) -> bool:
    """Return whether an upstream can do the work of a group.

    An encoder, retriever or reranker without a list of models serves every model.
    """
    if upstream.kind is not group.kind:
        return False
    if group.kind is UpstreamKind.SERVICE:
        return upstream.service == group.service
    if group.adapter is not None and group.adapter not in upstream.adapters:
        return False
    if group.model is None or group.model in upstream.models:
        return True
    return group.kind is not UpstreamKind.ENGINE and not upstream.models
