"""Injection of the planned faults of a soak."""

import threading
import time
from collections.abc import Callable, Sequence

from chervilrack._internal.common.registry import Registry
from chervilrack._internal.soak.bed import SoakBed
from chervilrack._internal.soak.proxy import LinkMode, LinkProxy
from chervilrack._internal.soak.records import Fault

PROCESS_FAULTS = frozenset(("kill node", "stop node", "pause node"))

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
    bed.record_exit_problem(node.stop())
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


@injectors.register("store link")
def _store_link(bed: SoakBed, fault: Fault) -> UndoFault:
    names = list(bed.store_links) if fault.target == "all" else [fault.target]
    return _set_link_modes([bed.store_links[name] for name in names], fault)


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
def _behaviour(bed: SoakBed, fault: Fault) -> UndoFault:
    bed.emulation.behave(fault.target, fault.detail)
    return lambda: bed.emulation.behave(fault.target, "good")


@injectors.register("upstream drains")
def _drains(bed: SoakBed, fault: Fault) -> UndoFault:
    address = bed.upstream_links[fault.target].address
    bed.emulation.register(fault.target, address, drains=True)
    return lambda: bed.emulation.register(fault.target, address)


@injectors.register("key replaced")
def _key_replaced(bed: SoakBed, fault: Fault) -> UndoFault:
    bed.replace_key()
    return lambda: None


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
    kind = "process" if fault.kind in PROCESS_FAULTS else fault.kind
    return kind, fault.target


def _apply_on_schedule(
    bed: SoakBed, fault: Fault, load_started_at: float, lock: threading.Lock
) -> None:
    time.sleep(max(0.0, load_started_at + fault.start - time.monotonic()))
    with lock:
        undo = injectors.get(fault.kind)(bed, fault)
        try:
            time.sleep(fault.duration)
        finally:
            undo()
