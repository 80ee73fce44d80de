"""Checks of a configuration that can be read: what in it cannot work, or never takes effect.

A rule is a function that a decorator registers under its code. Codes do not change between
versions. Their first letter is the severity: E for what cannot work, W for what never takes effect
or may surprise, D for differences to the configuration in force.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.catalogue.state import (
    RequestKind,
    Route,
    ServingConfiguration,
    StageSpec,
)
from chervilrack._internal.common.ids import ServiceId
from chervilrack._internal.common.registry import Registry

_ZERO = timedelta(0)


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that a rule has found; ``place`` is the path of a field."""

    code: str
    place: str
    detail: str

    def __str__(self) -> str:
        return f"{self.place}: {self.code} {self.detail}"


@dataclass(frozen=True, slots=True)
class NodeBounds:
    """Bounds of the nodes that apply a configuration; None where they are not known."""

    stop_grace: timedelta | None = None


@dataclass(frozen=True, slots=True)
class CheckedConfiguration:
    """A configuration with what several rules need of it."""

    configuration: ServingConfiguration
    bounds: NodeBounds

    @property
    def routes(self) -> Iterator[tuple[str, Route]]:
        """Routes with their places."""
        for number, route in enumerate(self.configuration.routes):
            yield f"routes[{number}]", route

    @property
    def stages(self) -> Iterator[tuple[str, Route, StageSpec]]:
        """Stages of all routes with their places."""
        for place, route in self.routes:
            for number, stage in enumerate(route.stages):
                yield f"{place}.stages[{number}]", route, stage


Found = Iterator[tuple[str, str]]
Rule = Callable[[CheckedConfiguration], Found]
Comparison = Callable[[ServingConfiguration, ServingConfiguration], Found]

configuration_rules: Registry[Rule] = Registry("configuration rule")
comparison_rules: Registry[Comparison] = Registry("comparison rule")


def check_configuration(
    configuration: ServingConfiguration, bounds: NodeBounds | None = None
) -> list[Finding]:
    """Return the findings of all rules, ordered by their codes."""
    checked = CheckedConfiguration(configuration, bounds or NodeBounds())
    return [
        Finding(code, place, detail)
        for code in configuration_rules.names
        for place, detail in configuration_rules.get(code)(checked)
    ]


def compare_configurations(
    configuration: ServingConfiguration, in_force: ServingConfiguration
) -> list[Finding]:
    """Return what a configuration takes away from the one in force, ordered by codes."""
    return [
        Finding(code, place, detail)
        for code in comparison_rules.names
        for place, detail in comparison_rules.get(code)(configuration, in_force)
    ]


# Entries that never match


@configuration_rules.register("W101")
def _hidden_routes(checked: CheckedConfiguration) -> Found:
    seen: dict[tuple[str, str], str] = {}
    for place, route in checked.routes:
        key = (route.host.lower(), route.path_prefix)
        if key in seen:
            yield place, f"'{route.name}' is hidden by '{seen[key]}' of the same host and prefix"
        else:
            seen[key] = route.name


@configuration_rules.register("W102")
def _malformed_prefixes(checked: CheckedConfiguration) -> Found:
    for place, route in checked.routes:
        prefix = route.path_prefix
        if not (prefix.startswith("/") and prefix.endswith("/")):
            yield f"{place}.path_prefix", f"'{prefix}' does not begin and end with a slash"


@configuration_rules.register("W103")
def _hosts_without_match(checked: CheckedConfiguration) -> Found:
    for place, route in checked.routes:
        if not route.host or ":" in route.host or route.host != route.host.strip():
            yield f"{place}.host", f"no request has the host '{route.host}'"


@configuration_rules.register("W104")
def _repeated_names(checked: CheckedConfiguration) -> Found:
    counts = Counter(route.name for route in checked.configuration.routes)
    for name, count in counts.items():
        if count > 1:
            yield "routes", f"{count} routes have the name '{name}'"


@configuration_rules.register("W105")
def _unused_services(checked: CheckedConfiguration) -> Found:
    used = {service for _, route in checked.routes for service, _ in route.split}
    used |= {stage.service for _, _, stage in checked.stages}
    for service in checked.configuration.services:
        if service not in used:
            yield f"services.{service}", "no route and no stage uses it"


@configuration_rules.register("W106")
def _callers_without_key(checked: CheckedConfiguration) -> Found:
    configuration = checked.configuration
    if not configuration.has_organisations or configuration.keys:
        return
    for place, route in checked.routes:
        if not route.anonymous:
            yield place, f"'{route.name}' needs a key, and no organisation has one"


@configuration_rules.register("W107")
def _zero_weights(checked: CheckedConfiguration) -> Found:
    for place, route in checked.routes:
        for service, weight in route.split:
            if weight <= 0:
                yield f"{place}.split", f"'{service}' has the weight 0 and gets no request"


@configuration_rules.register("W108")
def _unusable_repeats(checked: CheckedConfiguration) -> Found:
    for place, route in checked.routes:
        if route.resumable and route.kind is not RequestKind.STREAM:
            yield f"{place}.resumable", "only streams can be resumed"
        if route.max_attempts > 1 and not route.may_repeat:
            yield f"{place}.max_attempts", "its requests are never sent again"


@configuration_rules.register("W109")
def _organisations_without_key(checked: CheckedConfiguration) -> Found:
    with_key = set(checked.configuration.keys.values())
    for organisation in {**checked.configuration.priorities, **checked.configuration.homes}:
        if organisation not in with_key:
            yield f"organisations.{organisation}", "it has no key"


# References and limits that contradict each other


@configuration_rules.register("E201")
def _unknown_services(checked: CheckedConfiguration) -> Found:
    known = checked.configuration.services
    for place, route in checked.routes:
        for service, _ in route.split:
            if service not in known:
                yield f"{place}.service", f"there is no service '{service}'"
    for place, _, stage in checked.stages:
        if stage.service not in known:
            yield f"{place}.service", f"there is no service '{stage.service}'"


@configuration_rules.register("E202")
def _stages_without_batching(checked: CheckedConfiguration) -> Found:
    known = checked.configuration.services
    for place, _, stage in checked.stages:
        spec = known.get(stage.service)
        if spec is not None and spec.batching is None:
            yield f"{place}.service", f"'{stage.service}' takes no pieces"


@configuration_rules.register("E203")
def _short_deadlines(checked: CheckedConfiguration) -> Found:
    for place, route in checked.routes:
        needed = _stages_time(checked.configuration, route)
        if route.timeout and needed >= route.timeout:
            yield (
                f"{place}.timeout",
                f"{_ms(route.timeout)} ms are shorter than its stages' calls, {_ms(needed)} ms",
            )


@configuration_rules.register("E204")
def _late_targets(checked: CheckedConfiguration) -> Found:
    for place, route in checked.routes:
        if route.timeout and route.target_latency > route.timeout:
            yield f"{place}.target_latency", "it is longer than the timeout"


@configuration_rules.register("E205")
def _long_gaps(checked: CheckedConfiguration) -> Found:
    for place, route in checked.routes:
        if route.timeout and route.max_gap is not None and route.max_gap > route.timeout:
            yield f"{place}.max_gap", "it is longer than the timeout"


@configuration_rules.register("E206")
def _large_batches(checked: CheckedConfiguration) -> Found:
    largest: dict[ServiceId, int] = {}
    for _, _, stage in checked.stages:
        largest[stage.service] = max(stage.result_size, largest.get(stage.service, 0))
    for service, size in largest.items():
        spec = checked.configuration.services.get(service)
        if spec is None or spec.batching is None:
            continue
        if spec.batching.batch * size > spec.batching.result_space:
            yield (
                f"services.{service}.batching.batch",
                f"the results of {spec.batching.batch} pieces of {size} bytes exceed its space",
            )


@configuration_rules.register("E207")
def _short_results(checked: CheckedConfiguration) -> Found:
    for service, spec in checked.configuration.services.items():
        batching = spec.batching
        if batching is not None and batching.result_lifetime < batching.call_time:
            yield f"services.{service}.batching", "a result ends before the call that needs it"


@configuration_rules.register("W208")
def _longer_than_stop(checked: CheckedConfiguration) -> Found:
    grace = checked.bounds.stop_grace
    for place, route in checked.routes:
        if grace is not None and route.timeout > grace and route.kind is not RequestKind.STREAM:
            yield f"{place}.timeout", f"a node that stops has {_ms(grace)} ms"


@configuration_rules.register("E209")
def _separate_homes(checked: CheckedConfiguration) -> Found:
    for place, route in checked.routes:
        if route.homes is None:
            continue
        for organisation, homes in checked.configuration.homes.items():
            if not homes & route.homes:
                yield f"{place}.homes", f"no region in common with organisation '{organisation}'"


@configuration_rules.register("E210")
def _no_room(checked: CheckedConfiguration) -> Found:
    limits = checked.configuration.limits
    if limits.max_headers < _LEAST_HEADERS:
        yield "limits.max_headers", f"requests need {_LEAST_HEADERS} bytes of header fields"
    if limits.header_timeout <= _ZERO:
        yield "limits.header_timeout", "no request arrives in no time"
    if limits.idle_timeout <= _ZERO:
        yield "limits.idle_timeout", "connections are closed after each request"


# Differences to the configuration in force


@comparison_rules.register("D301")
def _older_version(new: ServingConfiguration, old: ServingConfiguration) -> Found:
    if new.version <= old.version:
        yield "version", f"{new.version} is not newer than {old.version} and will be ignored"


@comparison_rules.register("D302")
def _removed_routes(new: ServingConfiguration, old: ServingConfiguration) -> Found:
    kept = {_key(route) for route in new.routes}
    for route in old.routes:
        if _key(route) not in kept:
            yield "routes", f"'{route.name}' is removed"


@comparison_rules.register("D303")
def _moved_routes(new: ServingConfiguration, old: ServingConfiguration) -> Found:
    for place, route, before in _kept_routes(new, old):
        if dict(route.split) != dict(before.split):
            yield place, f"'{route.name}' moves from {_services(before)} to {_services(route)}"


@comparison_rules.register("D304")
def _cut_timeouts(new: ServingConfiguration, old: ServingConfiguration) -> Found:
    for place, route, before in _kept_routes(new, old):
        if route.timeout and (not before.timeout or route.timeout < before.timeout):
            was = f"{_ms(before.timeout)} ms" if before.timeout else "none"
            yield f"{place}.timeout", f"cut from {was} to {_ms(route.timeout)} ms"


@comparison_rules.register("D305")
def _removed_keys(new: ServingConfiguration, old: ServingConfiguration) -> Found:
    counts = Counter(old.keys[key] for key in old.keys.keys() - new.keys.keys())
    for organisation, count in sorted(counts.items()):
        yield f"organisations.{organisation}", f"{count} keys are taken away"


@comparison_rules.register("D306")
def _removed_services(new: ServingConfiguration, old: ServingConfiguration) -> Found:
    for service in old.services.keys() - new.services.keys():
        yield f"services.{service}", "it is removed"


@comparison_rules.register("D307")
def _lower_limits(new: ServingConfiguration, old: ServingConfiguration) -> Found:
    for name in ("max_headers", "max_body", "header_timeout", "idle_timeout"):
        value, before = getattr(new.limits, name), getattr(old.limits, name)
        if value < before:
            yield f"limits.{name}", f"lowered from {before} to {value}"


@comparison_rules.register("D308")
def _weaker_kinds(new: ServingConfiguration, old: ServingConfiguration) -> Found:
    for place, route, before in _kept_routes(new, old):
        if route.kind is not before.kind:
            yield f"{place}.kind", f"changes from {before.kind.value} to {route.kind.value}"


# A request has an id, a deadline and a key at least.
_LEAST_HEADERS = 512


def _stages_time(configuration: ServingConfiguration, route: Route) -> timedelta:
    """Return the time of the longest chain of stages, with one piece a call."""
    ends: dict[int, timedelta] = {}
    left = set(range(len(route.stages)))
    while left:
        for number in [n for n in left if ends.keys() >= set(route.stages[n].after)]:
            stage = route.stages[number]
            spec = configuration.services.get(stage.service)
            batching = spec.batching if spec is not None else None
            call = batching.call_time + batching.item_time if batching is not None else _ZERO
            ends[number] = max((ends[n] for n in stage.after), default=_ZERO) + call
            left.discard(number)
    return max(ends.values(), default=_ZERO)


def _key(route: Route) -> tuple[str, str]:
    return route.host.lower(), route.path_prefix


def _kept_routes(
    new: ServingConfiguration, old: ServingConfiguration
) -> Iterator[tuple[str, Route, Route]]:
    """Yield the routes of ``new`` with their places and what ``old`` has for the same requests."""
    by_key: Mapping[tuple[str, str], Route] = {_key(route): route for route in old.routes}
    for number, route in enumerate(new.routes):
        before = by_key.get(_key(route))
        if before is not None:
            yield f"routes[{number}]", route, before


def _services(route: Route) -> str:
    return ", ".join(sorted(service for service, _ in route.split))


def _ms(time: timedelta) -> int:
    return round(time / timedelta(milliseconds=1))


def limit_findings(findings: Iterable[Finding], most: int) -> list[Finding]:
    """Return up to ``most`` findings of each code."""
    counts: Counter[str] = Counter()
    kept = []
    for finding in findings:
        counts[finding.code] += 1
        if counts[finding.code] <= most:
            kept.append(finding)
    return kept
