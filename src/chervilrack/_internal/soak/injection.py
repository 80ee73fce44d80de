"""Applies the faults of a plan at their times."""

import threading
import time
from collections.abc import Callable, Sequence

from chervilrack._internal.common.registry import Registry
from chervilrack._internal.soak.bed import SoakBed
from chervilrack._internal.soak.proxy import LinkMode, LinkProxy
from chervilrack._internal.soak.records import Fault

PROCESS_FAULTS = frozenset(("kill node", "stop node", "pause node"))

# A fault begins when the function is called and ends when the returned function is called.
Undo = Callable[[], None]
Apply = Callable[[SoakBed, Fault], Undo]
injectors: Registry[Apply] = Registry("fault injector")


@injectors.register("kill node")
def _kill(bed: SoakBed, fault: Fault) -> Undo:
    node = bed.nodes[fault.target]
    node.kill()
    return node.start


@injectors.register("stop node")
def _stop(bed: SoakBed, fault: Fault) -> Undo:
    node = bed.nodes[fault.target]
    node.resume()
    bed.note_exit(node.stop())
    return node.start


@injectors.register("pause node")
def _pause(bed: SoakBed, fault: Fault) -> Undo:
    node = bed.nodes[fault.target]
    node.pause()
    return node.resume


@injectors.register("signal reload")
def _reload(bed: SoakBed, fault: Fault) -> Undo:
    bed.nodes[fault.target].reload()
    return lambda: None


@injectors.register("store link")
def _store_link(bed: SoakBed, fault: Fault) -> Undo:
    names = list(bed.store_links) if fault.target == "all" else [fault.target]
    return _links([bed.store_links[name] for name in names], fault)


@injectors.register("caller link")
def _caller_link(bed: SoakBed, fault: Fault) -> Undo:
    return _links([bed.caller_links[fault.target]], fault)


@injectors.register("upstream link")
def _upstream_link(bed: SoakBed, fault: Fault) -> Undo:
    return _links([bed.upstream_links[fault.target]], fault)


def _links(links: list[LinkProxy], fault: Fault) -> Undo:
    for link in links:
        link.set_mode(LinkMode(fault.detail))

    def undo() -> None:
        for link in links:
            link.set_mode(LinkMode.OPEN)

    return undo


@injectors.register("upstream behaviour")
def _behaviour(bed: SoakBed, fault: Fault) -> Undo:
    bed.emulation.behave(fault.target, fault.detail)
    return lambda: bed.emulation.behave(fault.target, "good")


@injectors.register("upstream drains")
def _drains(bed: SoakBed, fault: Fault) -> Undo:
    address = bed.upstream_links[fault.target].address
    bed.emulation.register(fault.target, address, drains=True)
    return lambda: bed.emulation.register(fault.target, address)


@injectors.register("key replaced")
def _key_replaced(bed: SoakBed, fault: Fault) -> Undo:
    bed.replace_key()
    return lambda: None


def inject(bed: SoakBed, plan: Sequence[Fault], started: float) -> None:
    """Apply all faults at their times and return when the last has ended.

    Faults of one group and target do not overlap: a process that is frozen cannot stop.
    """
    locks = {_group(fault): threading.Lock() for fault in plan}
    threads = [
        threading.Thread(
            target=_apply, args=(bed, fault, started, locks[_group(fault)]), daemon=True
        )
        for fault in plan
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _group(fault: Fault) -> tuple[str, str]:
    kind = "process" if fault.kind in PROCESS_FAULTS else fault.kind
    return kind, fault.target


def _apply(bed: SoakBed, fault: Fault, started: float, lock: threading.Lock) -> None:
    time.sleep(max(0.0, started + fault.start - time.monotonic()))
    with lock:
        undo = injectors.get(fault.kind)(bed, fault)
        try:
            time.sleep(fault.length)
        finally:
            undo()
