"""Case 4: with over 1,024 open descriptors, a request with a long body is sent to every worker."""

import http.client
import resource
import sys
import threading
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from bed import (  # noqa: E402
    BOUNDS,
    HOST,
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
# The node has 4,100 descriptors; each client keeps one connection, as the pages say.
KEPT = 1100
ORDERS, GAP_S, BODY = 200, 0.025, b"x" * 60_000


class Desk(Worker):
    """Worker of the order service. A request arrives with its head; it runs with its whole body."""

    def __init__(self, *args):
        super().__init__(*args)
        self.heads, self.runs = [], []

    def head(self, request):
        self.heads.append((time.monotonic(), request.id))
        self.record.add(f"{self.id}: the head of {request.id} arrives")

    def run(self, connection, request):
        self.runs.append(request.id)
        time.sleep(0.02)
        answer(connection, 200, self.signed(request), b"done " + request.id.encode())
        return True


def configuration():
    common = {
        "host": "app.example",
        "timeoutMs": 2000,
        "targetLatencyMs": 300,
        "priority": 2,
        "service": "desk",
    }
    return {
        "version": 3,
        "routes": [
            {
                **common,
                "name": "status",
                "pathPrefix": "/status/",
                "kind": "idempotent",
                "maxAttempts": 2,
            },
            {
                **common,
                "name": "order",
                "pathPrefix": "/order/",
                "kind": "non_idempotent",
                "maxAttempts": 1,
            },
        ],
        "services": [{"name": "desk"}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 30000,
        },
        "tenants": [{"name": "tenant-a", "apiKeys": [KEY]}],
    }


def keep_connections(node, count):
    """Send a short request on each of ``count`` connections and keep them open."""
    kept = []

    def open_some(first):
        for number in range(first, count, 10):
            connection = http.client.HTTPConnection(*node.callers, timeout=10)
            connection.request(
                "GET",
                "/status/1",
                headers={"Host": HOST, **request_headers(f"kept-{number}", KEY, DEADLINE_MS)},
            )
            response = connection.getresponse()
            response.read()
            if response.status == 200 and not response.will_close:
                kept.append(connection)

    threads = [threading.Thread(target=open_some, args=(first,)) for first in range(10)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return kept


def case(bed):
    resource.setrlimit(resource.RLIMIT_NOFILE, (4100, 4100))
    desks = [Desk(bed.record, bed.store, f"i-desk-{n}", "desk") for n in (1, 2, 3, 4)]
    for desk in desks:
        desk.register()
    bed.store.put("op/config", configuration())
    bed.start_nodes(2)
    time.sleep(4)
    node = bed.nodes[0]
    kept = keep_connections(node, KEPT if TROUBLE else KEPT // 10)
    bed.record.add(f"clients keep {len(kept)} connections to {node.name}")
    if TROUBLE and len(kept) < 1050:
        raise CannotRun("too few connections were kept")
    answers = {}

    def order(number):
        id = f"order-{number}"
        bed.record.add(f"client: {id} sent to {node.name} with {len(BODY)} bytes")
        headers = request_headers(id, KEY, DEADLINE_MS)
        answers[id] = got = call(node, "POST", "/order/1", headers, BODY)
        bed.record.add(f"client: {id} got {got.status or got.error}")

    threads = []
    for number in range(1, ORDERS + 1):
        threads.append(threading.Thread(target=order, args=(number,)))
        threads[-1].start()
        time.sleep(GAP_S)
    for thread in threads:
        thread.join()
    for connection in kept:
        connection.close()
    heads = sorted(head for desk in desks for head in desk.heads)
    runs = [id for desk in desks for id in desk.runs if id.startswith("order")]
    statuses = Counter(got.status or got.error for got in answers.values())
    bed.record.add(
        f"{ORDERS} orders: {sum(id.startswith('order') for _, id in heads)} arrivals at workers, "
        f"{len(runs)} runs; statuses {dict(statuses)}"
    )
    return budget_breaks(heads)


def budget_breaks(heads):
    """Return the first window in which a service gets more repeats than the budget allows."""
    window = BOUNDS["budgetWindowS"]
    firsts, repeats, seen = [], [], set()
    for at, id in heads:
        (repeats if id in seen else firsts).append(at)
        seen.add(id)

    def count(times, end):
        return sum(end - window < at <= end for at in times)

    for end in repeats:
        requests = max(count(firsts, end - shift) for shift in (0, window / 2, window))
        allowed = BOUNDS["retryBudgetRatio"] * requests + BOUNDS["retrySlack"]
        if (found := count(repeats, end)) > allowed:
            text = f"{found} repeats in {window} s, {requests} requests: {allowed:.1f} are allowed"
            return [text]
    return []


main(case, __file__)
