"""Scenarios about load: its amount, its mix and its distribution over nodes."""

from chervilrack._internal.experiments import bounds
from chervilrack._internal.experiments.arrivals import Phase, Workload
from chervilrack._internal.experiments.profile import Profile, load_profile
from chervilrack._internal.experiments.result import RunResult
from chervilrack._internal.experiments.scenarios.base import SCENARIOS, Scenario

# Load reports that are this old describe none of the requests that now run: most end within 1 s.
REPORT_LAG_S = 3.0


@SCENARIOS.register("nominal")
def nominal(profile: Profile) -> Scenario:
    """Offer 60 % of the capacity without faults."""
    del profile
    return Scenario(
        "60 % of capacity, no faults",
        Workload(),
        bounds=(
            bounds.attainment(0.999),
            bounds.first_token_ms(970),
            bounds.between_token_ms(35),
        ),
    )


@SCENARIOS.register("burst-uploads")
def burst_uploads(profile: Profile) -> Scenario:
    """Load the encoders with many uploads while generation is nearly idle."""
    del profile
    return Scenario(
        "a burst of uploads fills the encoders for a third of the run",
        Workload((Phase(load=0.5), Phase(0.33, 0.66, load=0.8, only_kind="upload"))),
        bounds=(bounds.attainment(0.99), bounds.misses_of_baseline(1 / 3)),
    )


@SCENARIOS.register("long-prompts")
def long_prompts(profile: Profile) -> Scenario:
    """Load generation with long prompts while the encoders are nearly idle."""
    del profile
    return Scenario(
        "four times the usual share of long prompts",
        Workload((Phase(load=0.5, kinds={"long-prompt": 4.0}),)),
    )


def noisy_organisation_of(profile: Profile) -> str:
    """Return the organisation that is noisy: the third largest, without extra weight."""
    return profile.organisations[2].id


def _noisy_of_result(result: RunResult) -> str:
    return noisy_organisation_of(load_profile(result.profile))


@SCENARIOS.register("noisy-organisation")
def noisy_organisation(profile: Profile) -> Scenario:
    """Let one organisation offer the whole capacity; the others must not notice."""
    noisy = noisy_organisation_of(profile)
    return Scenario(
        f"{noisy} alone offers the whole capacity for half of the run",
        Workload((Phase(load=0.5), Phase(0.25, 0.75, load=1.0, only_organisation=noisy))),
        bounds=(
            bounds.others_attainment(_noisy_of_result, 0.99),
            bounds.others_misses_of_baseline(_noisy_of_result, 1 / 3),
        ),
    )


@SCENARIOS.register("overload")
def overload(profile: Profile) -> Scenario:
    """Offer twice the capacity; what cannot be served has to be refused early."""
    del profile
    return Scenario(
        "capacity for 40 % of the run, then twice the capacity",
        Workload((Phase(0.0, 0.4, load=1.0), Phase(0.4, 1.0, load=2.0))),
        bounds=(
            bounds.goodput_share("overload", "capacity", 0.95),
            bounds.refusal_ms(50),
            bounds.mean_use(0.9),
        ),
        # The start of each part is left out: the queues of the new rate have to build up first.
        windows={"capacity": (0.1, 0.4), "overload": (0.5, 1.0)},
        use_window=(0.5, 0.95),
    )


@SCENARIOS.register("skewed-callers")
def skewed_callers(profile: Profile) -> Scenario:
    """Send nine of ten callers to one node; permits have to follow them."""
    del profile
    return Scenario(
        "nine of ten callers use the same node, 85 % of capacity",
        Workload((Phase(load=0.85, pinned=0.9),)),
        bounds=(
            bounds.attainment(0.99),
            bounds.misses_of_baseline(1 / 3),
            bounds.peak_use(0.9),
        ),
    )


@SCENARIOS.register("lagging-reports")
def lagging_reports(profile: Profile) -> Scenario:
    """Delay load reports and cache events."""
    del profile
    return Scenario(
        f"load reports and cache events are {REPORT_LAG_S:g} s old, 70 % of capacity",
        Workload((Phase(load=0.7),)),
        report_lag_s=REPORT_LAG_S,
    )


@SCENARIOS.register("cache-pressure")
def cache_pressure(profile: Profile) -> Scenario:
    """Let many prefixes displace each other from the caches."""
    small = {str(entry.id): 4.0 for entry in profile.organisations[2:]}
    return Scenario(
        "evenly sized organisations with long prompts compete for the prefix caches",
        Workload((Phase(load=0.5, organisations=small, kinds={"long-prompt": 3.0}),)),
    )
