"""Scenarios about failures of upstreams, nodes, zones and the platform service."""

from collections.abc import Callable

from chervilrack._internal.common.ids import NodeId, UpstreamId
from chervilrack._internal.experiments import bounds
from chervilrack._internal.experiments.arrivals import Phase, Workload
from chervilrack._internal.experiments.faults import FaultContext, TimedFault
from chervilrack._internal.experiments.profile import Profile
from chervilrack._internal.experiments.scenarios.base import SCENARIOS, Scenario
from chervilrack._internal.experiments.testbed import NodeInfo, PlatformFaults, UpstreamFaults


def _upstream(pool: str, number: int, **faults: object) -> Callable[[FaultContext], None]:
    def apply(context: FaultContext) -> None:
        upstream = UpstreamId(f"{pool}-{number}")
        context.bed.set_upstream_faults(upstream, UpstreamFaults(**faults))  # type: ignore[arg-type]

    return apply


def _platform(faults: PlatformFaults) -> Callable[[FaultContext], None]:
    return lambda context: context.bed.set_platform_faults(faults)


@SCENARIOS.register("straggler")
def straggler(profile: Profile) -> Scenario:
    """Slow one engine down to a fifth of its speed."""
    del profile
    return Scenario(
        "one engine is five times slower for half of the run",
        Workload(),
        (
            TimedFault(0.25, "generate-1 slows down", _upstream("generate", 1, straggle=5.0)),
            TimedFault(0.75, "generate-1 recovers", _upstream("generate", 1)),
        ),
        (bounds.attainment(0.99), bounds.misses_of_baseline(1 / 3)),
    )


@SCENARIOS.register("upstream-silence")
def upstream_silence(profile: Profile) -> Scenario:
    """Let engines and an encoder say nothing for 0.5 to 1.5 s and go on."""
    del profile
    return Scenario(
        "two engines and one encoder fall silent for 0.5 to 1.5 s and go on",
        Workload(),
        (
            TimedFault(0.2, "generate-1 silent for 0.5 s", _upstream("generate", 1, silent_s=0.5)),
            TimedFault(0.4, "generate-2 silent for 1.0 s", _upstream("generate", 2, silent_s=1.0)),
            TimedFault(0.6, "generate-1 silent for 1.5 s", _upstream("generate", 1, silent_s=1.5)),
            TimedFault(0.8, "encode-1 silent for 1.5 s", _upstream("encode", 1, silent_s=1.5)),
        ),
        (bounds.attainment(0.97),),
    )


@SCENARIOS.register("upstream-failure")
def upstream_failure(profile: Profile) -> Scenario:
    """Let one engine drop its connections and one encoder answer with errors."""
    del profile
    return Scenario(
        "one engine crashes and one encoder fails for a third of the run",
        Workload(),
        (
            TimedFault(0.33, "generate-1 crashes", _upstream("generate", 1, crash=True)),
            TimedFault(0.33, "encode-1 fails", _upstream("encode", 1, fail=True)),
            TimedFault(0.66, "generate-1 recovers", _upstream("generate", 1)),
            TimedFault(0.66, "encode-1 recovers", _upstream("encode", 1)),
        ),
        (bounds.attainment(0.99), bounds.misses_of_baseline(1 / 3)),
    )


@SCENARIOS.register("stream-break")
def stream_break(profile: Profile) -> Scenario:
    """Break streams of two engines in the middle; they have to be resumed without a gap."""
    del profile
    return Scenario(
        "two engines break each stream after 8 tokens for a third of the run",
        Workload((Phase(load=0.5),)),
        (
            TimedFault(0.33, "generate-1 breaks streams", _upstream("generate", 1, break_after=8)),
            TimedFault(0.33, "generate-2 breaks streams", _upstream("generate", 2, break_after=8)),
            TimedFault(0.66, "generate-1 recovers", _upstream("generate", 1)),
            TimedFault(0.66, "generate-2 recovers", _upstream("generate", 2)),
        ),
    )


@SCENARIOS.register("platform-outage")
def platform_outage(profile: Profile) -> Scenario:
    """Take the platform service away while orders go on arriving."""
    orders = {kind.name: 3.0 for kind in profile.requests if profile.is_order(kind)}
    return Scenario(
        "the platform service is away for 60 % of the run; three times the usual orders",
        Workload((Phase(kinds=orders),)),
        (
            TimedFault(0.2, "platform away", _platform(PlatformFaults(unavailable=True))),
            TimedFault(0.8, "platform back", _platform(PlatformFaults())),
        ),
    )


@SCENARIOS.register("platform-lost-answers")
def platform_lost_answers(profile: Profile) -> Scenario:
    """Lose answers to writes after the writes took effect, and slow calls down."""
    orders = {kind.name: 3.0 for kind in profile.requests if profile.is_order(kind)}
    faults = PlatformFaults(delay_s=0.02, lost_answers=3)
    return Scenario(
        "every twentieth of the run three answers to writes are lost; calls take 20 ms longer",
        Workload((Phase(kinds=orders),)),
        (
            *(
                TimedFault(share / 20, "platform loses answers", _platform(faults))
                for share in range(4, 16)
            ),
            TimedFault(0.8, "platform healthy", _platform(PlatformFaults())),
        ),
    )


@SCENARIOS.register("node-crash")
def node_crash(profile: Profile) -> Scenario:
    """Kill a node; later start a new one in its zone."""
    del profile
    crashed: list[NodeInfo] = []

    def crash(context: FaultContext) -> None:
        crashed.append(context.any_node())
        context.kill(crashed[0])

    def replace(context: FaultContext) -> None:
        context.bed.start_node(crashed[0].zone)

    return Scenario(
        "a node is killed and replaced later",
        Workload(),
        (TimedFault(0.3, "node killed", crash), TimedFault(0.6, "node replaced", replace)),
    )


@SCENARIOS.register("paused-lease-holder")
def paused_lease_holder(profile: Profile) -> Scenario:
    """Pause the node that grants the permits of the busiest limit, then resume it.

    It must not act on what it believed before the pause.
    """
    team = profile.bottleneck().split()[1]
    paused: list[NodeInfo] = []

    def pause(context: FaultContext) -> None:
        owner = context.bed.limit_owner(team)
        paused.append(context.any_node() if owner is None else context.info(NodeId(owner)))
        context.pause(paused[0])

    def resume(context: FaultContext) -> None:
        context.resume(paused[0])

    return Scenario(
        f"the owner of the limits of team {team} is paused for 40 % of the run",
        Workload(),
        (TimedFault(0.3, "owner paused", pause), TimedFault(0.7, "owner resumed", resume)),
    )


@SCENARIOS.register("zone-loss")
def zone_loss(profile: Profile) -> Scenario:
    """Let all nodes and upstreams of one zone fail at once."""
    zone = profile.zones[0]

    def lose(context: FaultContext) -> None:
        for info in context.bed.nodes():
            if info.zone == zone:
                context.kill(info)
        for pool in profile.pools:
            for number, upstream in enumerate(pool.upstreams):
                if profile.zone_of(number) == zone:
                    context.bed.set_upstream_faults(upstream, UpstreamFaults(crash=True))

    return Scenario(
        f"zone {zone} with its nodes and upstreams is lost",
        Workload((Phase(load=0.4),)),
        (TimedFault(0.4, f"zone {zone} lost", lose),),
    )
