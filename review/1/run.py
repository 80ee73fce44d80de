"""Case 1: a node that stops ends a stream without a length as if it were complete."""

import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from bed import TROUBLE, CannotRun, Worker, call, has_left, main, request_headers  # noqa: E402

KEY = "key-of-tenant-a"
EVENTS, GAP_S = 60, 0.25
DEADLINE_MS = 20_000
# Time from the start of the streams to the SIGTERM; well before their end, which comes after 15 s.
STOP_AFTER_S = 3.0
STREAMS = 4


class Engine(Worker):
    """Model worker whose stream has neither a length nor chunks and ends with its connection."""

    def __init__(self, *args):
        super().__init__(*args)
        self.sent = {}

    def run(self, connection, request):
        fields = [*self.signed(request), ("Content-Type", "text/event-stream")]
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in fields), "Connection: close", "", ""]
        connection.sendall("\r\n".join(lines).encode())
        for number in range(1, EVENTS + 1):
            time.sleep(GAP_S)
            if has_left(connection):
                self.record.add(f"{self.id}: {request.id} was closed after event {number - 1}")
                return False
            connection.sendall(b"id: %d\ndata: piece %d\n\n" % (number, number))
            self.sent[request.id] = number
        self.record.add(f"{self.id}: {request.id} ended after event {EVENTS}")
        return False


def configuration():
    route = {
        "name": "chat",
        "host": "app.example",
        "pathPrefix": "/chat/",
        "kind": "streaming",
        "timeoutMs": DEADLINE_MS,
        "targetLatencyMs": 1900,
        "targetGapMs": 500,
        "maxAttempts": 1,
        "priority": 1,
        "service": "engine",
    }
    return {
        "version": 3,
        "routes": [route],
        "services": [{"name": "engine", "engine": {"slots": 64, "kvCapacityTokens": 370466}}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "tenant-a", "apiKeys": [KEY]}],
    }


def case(bed):
    engines = [Engine(bed.record, bed.store, f"i-engine-{n}", "engine") for n in (1, 2)]
    for engine in engines:
        engine.register()
    bed.store.put("op/config", configuration())
    bed.start_nodes(2)
    time.sleep(4)
    node = bed.nodes[0]
    answers = {}

    def stream(id):
        headers = request_headers(
            id,
            KEY,
            DEADLINE_MS,
            Chervilrack_Model="m",
            Chervilrack_Token_Usage="700,240",
            Chervilrack_Prefix_Hash="5c1e07a2:160,91bd3f06:540",
        )
        bed.record.add(f"client: {id} sent to {node.name}")
        answers[id] = got = call(node, "POST", "/chat/1", headers, b"prompt")
        last = got.body.rfind(b"id: ")
        last_event = int(got.body[last:].split()[1]) if last >= 0 else 0
        bed.record.add(
            f"client: {id} got {got.status}, {last_event} events, whole answer: {got.is_whole}"
            f"{', ' + got.error if got.error else ''}"
        )

    ids = [f"stream-{number}" for number in range(1, STREAMS + 1)]
    threads = [threading.Thread(target=stream, args=(id,)) for id in ids]
    for thread in threads:
        thread.start()
    if TROUBLE:
        time.sleep(STOP_AFTER_S)
        bed.record.add(f"SIGTERM to {node.name}")
        node.signal(signal.SIGTERM)
    for thread in threads:
        thread.join()
    if not any(answer.status == 200 for answer in answers.values()):
        raise CannotRun("no stream was begun")
    broken = []
    for id, got in answers.items():
        events = got.body.count(b"\n\n")
        if got.status == 200 and got.is_whole and events < EVENTS:
            broken.append(f"{id} ended as complete after event {events} of {EVENTS}")
    return broken


main(case, __file__)
