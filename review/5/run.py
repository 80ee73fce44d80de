"""Case 5: while the store answers two of six nodes not at all, the others serve a removed key."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from bed import (  # noqa: E402
    BOUNDS,
    TROUBLE,
    CannotRun,
    Worker,
    answer,
    call,
    main,
    request_headers,
)

KEY, REMOVED_KEY = "key-1-of-tenant-a", "key-2-of-tenant-a"
DEADLINE_MS = 4000
NODES, CLIENTS, PAUSE_S = 6, 12, 0.05
CALM_S, AFTER_S = 5.0, 6.0


class Desk(Worker):
    """Worker of a plain service."""

    def run(self, connection, request):
        time.sleep(0.02)
        answer(connection, 200, self.signed(request), b"status of " + request.id.encode())
        return True


def configuration(version, keys):
    route = {
        "name": "status",
        "host": "app.example",
        "pathPrefix": "/status/",
        "kind": "idempotent",
        "timeoutMs": 2000,
        "targetLatencyMs": 300,
        "maxAttempts": 2,
        "priority": 2,
        "service": "desk",
    }
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": "desk"}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "tenant-a", "apiKeys": keys}],
    }


def case(bed):
    desks = [Desk(bed.record, bed.store, f"i-desk-{n}", "desk") for n in (1, 2, 3)]
    for desk in desks:
        desk.register()
    bed.store.put("op/config", configuration(3, [KEY, REMOVED_KEY]))
    bed.start_nodes(NODES)
    stop, sent = threading.Event(), {}

    def client(number):
        count = 0
        while not stop.is_set():
            count += 1
            id = f"c{number}-{count}"
            node = bed.nodes[(number + count) % len(bed.nodes)]
            sent[id] = time.monotonic(), node.name
            got = call(node, "GET", "/status/1", request_headers(id, REMOVED_KEY, DEADLINE_MS))
            bed.record.add(f"client: {id} sent to {node.name}, got {got.status or got.error}")
            time.sleep(PAUSE_S)

    threads = [threading.Thread(target=client, args=(number,)) for number in range(CLIENTS)]
    for thread in threads:
        thread.start()
    time.sleep(CALM_S)
    seen = set()
    for _ in range(10):
        seen.update(node.name for node in bed.nodes if bed.store.watching[node.name])
        time.sleep(0.05)
    watchers = sorted(seen)
    bed.record.add(f"waiting watches: {', '.join(watchers)}")
    if len(watchers) != 2:
        raise CannotRun("it is not two nodes that watch the store")
    bed.store.put("op/config", configuration(5, [KEY, REMOVED_KEY]))
    time.sleep(0.3)
    if TROUBLE:
        bed.store.fall_silent(watchers)
    bed.store.put("op/config", configuration(9, [KEY]))
    removed_at = time.monotonic()
    time.sleep(AFTER_S)
    stop.set()
    for thread in threads:
        thread.join()
    bound = removed_at + BOUNDS["configApplyMs"] / 1000
    return [
        f"{request.id} of the removed key was sent to {sent[request.id][1]} "
        f"{sent[request.id][0] - removed_at:.3f} s after the acknowledged removal, and run"
        for desk in desks
        for _, request in desk.arrivals
        if sent[request.id][0] > bound and sent[request.id][1] not in watchers
    ]


main(case, __file__)
