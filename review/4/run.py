"""Case 4: a cut watch makes a node use a worker for longer than drainMs after its entry's end."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

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

KEY = "key-of-tenant-a"
DEADLINE_MS = 4000
CLIENTS, PAUSE_S = 6, 0.05
# Quiet time before the worker leaves: longer than contactMs.
CALM_S = 5.0
# The worker goes on for drainMs and some seconds more.
STAYS_S = 6.0


class Desk(Worker):
    """Worker of a plain service."""

    def run(self, connection, request):
        time.sleep(0.02)
        answer(connection, 200, self.signed(request), b"status of " + request.id.encode())
        return True


def configuration():
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
        "version": 3,
        "routes": [route],
        "services": [{"name": "desk"}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "tenant-a", "apiKeys": [KEY]}],
    }


def case(bed):
    desks = [Desk(bed.record, bed.store, f"i-desk-{n}", "desk") for n in (1, 2, 3)]
    for desk in desks:
        desk.register()
    bed.store.put("op/config", configuration())
    bed.start_nodes(2)
    stop, sent_at = threading.Event(), {}

    def client(number):
        count = 0
        while not stop.is_set():
            count += 1
            id = f"c{number}-{count}"
            node = bed.nodes[(number + count) % len(bed.nodes)]
            sent_at[id] = time.monotonic()
            got = call(node, "GET", "/status/1", request_headers(id, KEY, DEADLINE_MS))
            bed.record.add(f"client: {id} sent to {node.name}, got {got.status or got.error}")
            time.sleep(PAUSE_S)

    threads = [threading.Thread(target=client, args=(number,)) for number in range(CLIENTS)]
    for thread in threads:
        thread.start()
    time.sleep(CALM_S)
    leaving = desks[0]
    if TROUBLE:
        bed.store.cut_watches()
    leaving.unregister()
    gone_at = time.monotonic()
    time.sleep(STAYS_S)
    stop.set()
    for thread in threads:
        thread.join()
    leaving.close()
    if not any(at > gone_at + 3 for desk in desks[1:] for at, _ in desk.arrivals):
        raise CannotRun("no requests were served")
    bound = gone_at + BOUNDS["drainMs"] / 1000
    return [
        f"{request.id} was sent {sent_at[request.id] - gone_at:.3f} s and reached {leaving.id} "
        f"{at - gone_at:.3f} s after the acknowledged end of its entry"
        for at, request in leaving.arrivals
        if at > bound
    ]


main(case, __file__)
