"""Injection of the planned faults of a soak."""

import json
import random
import threading
import time
from collections.abc import Callable, Sequence

from chervilrack._internal.common.registry import Registry
from chervilrack._internal.soak.bed import SoakBed
from chervilrack._internal.soak.plan import CONFIGURATION_VALUES, WRITE_AGAIN_S
from chervilrack._internal.soak.proxy import LinkMode, LinkProxy
from chervilrack._internal.soak.records import Fault

STORM_S = 3.0
STORM_INTERVAL_S = 0.3
CONFIGURATION_DEFAULTS = {name: values[0] for name, values in CONFIGURATION_VALUES.items()}
# Kinds of faults that must not overlap on one target.
_EXCLUSIVE_KINDS = {
    "process": frozenset(("kill node", "stop node", "pause node")),
    "answers": frozenset(
        ("upstream behaviour", "upstream notice", "upstream drains", "upstream silence")
    ),
}

# An injector starts a fault and returns a function that ends the fault.
UndoFault = Callable[[], None]
Injector = Callable[[SoakBed, Fault], UndoFault]
injectors: Registry[Injector] = Registry("fault injector")


@injectors.register("kill node")
def _kill(bed: SoakBed, fault: Fault) -> UndoFault:
    node = bed.nodes[fault.target]
    node.kill()
    return node.start


@injectors.register("stop node")
def _stop(bed: SoakBed, fault: Fault) -> UndoFault:
    node = bed.nodes[fault.target]
    node.resume()
    bed.record_exit_problem(node.stop(int(fault.detail)))
    return node.start


@injectors.register("pause node")
def _pause(bed: SoakBed, fault: Fault) -> UndoFault:
    node = bed.nodes[fault.target]
    node.pause()
    return node.resume


@injectors.register("signal reload")
def _reload(bed: SoakBed, fault: Fault) -> UndoFault:
    bed.nodes[fault.target].reload()
    return lambda: None


@injectors.register("settings change")
def _change_settings(bed: SoakBed, fault: Fault) -> UndoFault:
    bed.change_settings(fault.target)
    bed.nodes[fault.target].reload()
    return lambda: None


@injectors.register("store link")
def _store_link(bed: SoakBed, fault: Fault) -> UndoFault:
    return _set_link_modes(_store_links(bed, fault), fault)


def _store_links(bed: SoakBed, fault: Fault) -> list[LinkProxy]:
    names = list(bed.store_links) if fault.target == "all" else [fault.target]
    return [bed.store_links[name] for name in names]


@injectors.register("store connections")
def _silence_store_connections(bed: SoakBed, fault: Fault) -> UndoFault:
    for link in _store_links(bed, fault):
        link.silence_open()
    return lambda: None


@injectors.register("store return")
def _return_store(bed: SoakBed, fault: Fault) -> UndoFault:
    """Take the store away, and have it come back from a copy that is written up to date again."""
    bed.emulation.take_store_away()

    def undo() -> None:
        bed.emulation.return_store(float(fault.detail))
        time.sleep(WRITE_AGAIN_S)
        bed.emulation.write_again()

    return undo


@injectors.register("caller link")
def _caller_link(bed: SoakBed, fault: Fault) -> UndoFault:
    return _set_link_modes([bed.caller_links[fault.target]], fault)


@injectors.register("upstream link")
def _upstream_link(bed: SoakBed, fault: Fault) -> UndoFault:
    return _set_link_modes([bed.upstream_links[fault.target]], fault)


def _set_link_modes(links: list[LinkProxy], fault: Fault) -> UndoFault:
    for link in links:
        link.set_mode(LinkMode(fault.detail))

    def undo() -> None:
        for link in links:
            link.set_mode(LinkMode.OPEN)

    return undo


@injectors.register("upstream behaviour")
@injectors.register("upstream notice")
def _behaviour(bed: SoakBed, fault: Fault) -> UndoFault:
    bed.emulation.behave(fault.target, fault.detail)

    def undo() -> None:
        bed.emulation.behave(fault.target, "good")
        if fault.kind == "upstream notice":
            # A new start ends what the upstream has said about itself.
            bed.emulation.restart(fault.target)
            bed.emulation.register(fault.target, bed.upstream_links[fault.target].address)

    return undo


@injectors.register("upstream silence")
def _silence(bed: SoakBed, fault: Fault) -> UndoFault:
    """Silence an upstream for a time that a sound one may need; it goes on by itself."""
    bed.emulation.fall_silent(fault.target, float(fault.detail))
    return lambda: None


@injectors.register("upstream drains")
def _drains(bed: SoakBed, fault: Fault) -> UndoFault:
    address = bed.upstream_links[fault.target].address
    bed.emulation.register(fault.target, address, drains=True)
    return lambda: bed.emulation.register(fault.target, address)


@injectors.register("crashing part")
def _crashing_part(bed: SoakBed, fault: Fault) -> UndoFault:
    """Let callers send requests on which engines crash."""
    bed.emulation.crash_on(fault.detail)
    bed.prompts.crashing_part = fault.detail

    def undo() -> None:
        bed.prompts.crashing_part = ""

    return undo


@injectors.register("uploads")
def _send_uploads(bed: SoakBed, fault: Fault) -> UndoFault:
    """Let callers send large bodies."""
    bed.uploads.size = int(fault.detail)

    def undo() -> None:
        bed.uploads.size = 0

    return undo


@injectors.register("key replaced")
def _key_replaced(bed: SoakBed, fault: Fault) -> UndoFault:
    bed.replace_key()
    return lambda: None


@injectors.register("configuration")
def _change_configuration(bed: SoakBed, fault: Fault) -> UndoFault:
    """Change one field for the time of the fault."""
    field, _, value = fault.detail.partition("=")
    bed.change_configuration(**{field: json.loads(value)})
    return lambda: bed.change_configuration(**{field: CONFIGURATION_DEFAULTS[field]})


@injectors.register("configuration storm")
def _storm(bed: SoakBed, fault: Fault) -> UndoFault:
    """Change one field after the other, ``STORM_INTERVAL_S`` apart."""
    rng = random.Random(fault.detail)
    end = time.monotonic() + STORM_S
    while time.monotonic() < end:
        field = rng.choice(sorted(CONFIGURATION_VALUES))
        bed.change_configuration(**{field: rng.choice(CONFIGURATION_VALUES[field])})
        time.sleep(STORM_INTERVAL_S)
    return lambda: bed.change_configuration(**CONFIGURATION_DEFAULTS)


def inject(bed: SoakBed, plan: Sequence[Fault], load_started_at: float) -> None:
    """Inject all faults of a plan on schedule and return when the last fault has ended.

    Faults with the same exclusion key never overlap, since a paused process cannot stop, for
    example. A fault that would overlap starts late.
    """
    locks = {_exclusion_key(fault): threading.Lock() for fault in plan}
    threads = [
        threading.Thread(
            target=_apply_on_schedule,
            args=(bed, fault, load_started_at, locks[_exclusion_key(fault)]),
            daemon=True,
        )
        for fault in plan
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _exclusion_key(fault: Fault) -> tuple[str, str]:
    """Return a key that is shared by faults which must not overlap."""
    for group, kinds in _EXCLUSIVE_KINDS.items():
        if fault.kind in kinds:
            return group, fault.target
    return fault.kind, fault.target


def _apply_on_schedule(
    bed: SoakBed, fault: Fault, load_started_at: float, lock: threading.Lock
) -> None:
    time.sleep(max(0.0, load_started_at + fault.start - time.monotonic()))
    with lock:
        started_at = time.monotonic()
        undo = injectors.get(fault.kind)(bed, fault)
        try:
            time.sleep(fault.duration)
        finally:
            undo()
            bed.record_disruption(fault.kind, fault.target, started_at)
