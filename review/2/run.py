"""Case 2: a listing of the store that arrives late brings a worker back that has left, for good."""

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

KEY = "key-of-tenant-a"
DEADLINE_MS = 4000
NODES, CLIENTS, PAUSE_S = 3, 6, 0.05
CALM_S = 5.0
# The store turns a node away for AWAY_S. The answer to the first listing after that is late by
# LATE_S, as if a packet of it was lost and sent again. Meanwhile, a worker leaves.
AWAY_S, LATE_S, LEAVES_AFTER_S = 4.0, 0.4, 0.03
# The worker goes on for drainMs and some seconds more.
STAYS_S = 12.0


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
    bed.start_nodes(NODES)
    stop, sent_at, sent_to = threading.Event(), {}, {}

    def client(number):
        count = 0
        while not stop.is_set():
            count += 1
            id = f"c{number}-{count}"
            node = bed.nodes[(number + count) % len(bed.nodes)]
            sent_at[id], sent_to[id] = time.monotonic(), node.name
            got = call(node, "GET", "/status/1", request_headers(id, KEY, DEADLINE_MS))
            bed.record.add(f"client: {id} sent to {node.name}, got {got.status or got.error}")
            time.sleep(PAUSE_S)

    threads = [threading.Thread(target=client, args=(number,)) for number in range(CLIENTS)]
    for thread in threads:
        thread.start()
    time.sleep(CALM_S)
    leaving, away = desks[0], bed.nodes[0].name
    if TROUBLE:
        bed.store.turn_away(away)
        time.sleep(AWAY_S)
        bed.store.late = (away, LATE_S)
        bed.store.take_back(away)
        time.sleep(LEAVES_AFTER_S)
    leaving.unregister()
    gone_at = time.monotonic()
    time.sleep(STAYS_S)
    stop.set()
    for thread in threads:
        thread.join()
    leaving.close()
    if not any(at > gone_at + 5 for desk in desks[1:] for at, _ in desk.arrivals):
        raise CannotRun("no requests were served")
    # From contactMs after the last disruption, the node that was turned away is in touch again.
    in_touch_at = gone_at + LATE_S + BOUNDS["contactMs"] / 1000
    bound = max(gone_at + BOUNDS["drainMs"] / 1000, in_touch_at)
    late = [
        (at - gone_at, request.id, sent_to[request.id])
        for at, request in leaving.arrivals
        if sent_at[request.id] > bound
    ]
    if not late:
        return []
    nodes = ", ".join(sorted({node for _, _, node in late}))
    return [
        f"{len(late)} requests from {nodes} reached {leaving.id} {late[0][0]:.1f} to "
        f"{late[-1][0]:.1f} s after the acknowledged end of its entry"
    ]


main(case, __file__)
