"""Upstreams that can do the work of a group, under the configuration in force."""

from collections.abc import Callable

from chervilrack._internal.execution.tasks import UpstreamGroup
from chervilrack._internal.releases.state import Configuration, Upstream, UpstreamKind


class CandidateFinder:
    """Callable that returns the upstreams of a group, without withdrawn upstreams.

    The configuration is read at every call. Results are cached until the configuration changes.
    """

    def __init__(self, configuration: Callable[[], Configuration]) -> None:
        self._configuration = configuration
        self._cache: tuple[Configuration | None, dict[UpstreamGroup, tuple[Upstream, ...]]] = (
            None,
            {},
        )

    def __call__(self, group: UpstreamGroup) -> tuple[Upstream, ...]:
        """Return the upstreams that can do the work of ``group``."""
        configuration = self._configuration()
        cached_configuration, groups = self._cache
        if cached_configuration is not configuration:
            groups = {}
            self._cache = (configuration, groups)
        candidates = groups.get(group)
        if candidates is None:
            candidates = groups[group] = tuple(
                upstream
                for upstream in configuration.upstreams.values()
                if can_serve(upstream, group)
            )
        return candidates

    def max_request_tokens(self, group: UpstreamGroup) -> int | None:
        """Return the most tokens that one request may take, or None if no limit applies."""
        teams = self._configuration().teams
        highest = 0
        for upstream in self(group):
            team = teams.get(upstream.team)
            limits = [upstream.limits.tokens_per_s, team.limits.tokens_per_s if team else None]
            set_limits = [limit for limit in limits if limit is not None]
            if not set_limits:
                return None
            highest = max(highest, min(set_limits))
        return highest


def can_serve(upstream: Upstream, group: UpstreamGroup) -> bool:
    """Return whether ``upstream`` can do the work of ``group``.

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
