"""In-process test bed with one HTTP server per node, which can be told to break a promise."""

import contextlib
import itertools
import json
import secrets
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from chervilrack._internal.common.results import ResultCode
from chervilrack._internal.experiments.testbed import (
    NodeInfo,
    NodeOverhead,
    NodeStatus,
    PlatformCalls,
    StandinRecord,
    Submission,
    WorkArrival,
)
from chervilrack._internal.experiments.verification import expected_output

STAGE_S = 0.002
LISTENER_LIFETIME_S = 0.3  # a stopping node's listener outlives the look-ups that name it

REFUSALS = {
    "refuses as not executed": (503, ResultCode.QUEUE_FULL.number, "no"),
    "refuses as unknown": (409, ResultCode.ORDER_OUTCOME_UNKNOWN.number, "unknown"),
    "refuses without retry": (504, ResultCode.DEADLINE_PASSED.number, "no"),
}


class FakeCluster:
    """Test bed whose nodes answer at once.

    ``defect`` names the promise that it breaks; ``script`` says what happens to the first requests.
    """

    def __init__(self, options, defect="none", script=()):
        self.script = list(script)
        self.keys = []
        self.lookups = 0
        self.lifetime_s = 0.1
        self.profile = options.profile
        self.defect = defect
        self.lock = threading.Lock()
        self.numbers = itertools.count(1)
        self.running = {}
        self.leaving = set()
        self.revision = 1
        self.notes = {1: "initial"}
        self.polls = itertools.count()
        self.withdrawn = set()
        self.work = {upstream: [] for pool in self.profile.pools for upstream in pool.upstreams}
        self.ended = {upstream: {} for upstream in self.work}
        self.executions = {upstream: {} for upstream in self.work}
        self.outcomes = {}
        self.permits = {
            limit: threading.Semaphore(capacity)
            for limit, capacity in self.profile.limit_capacities().items()
            if limit.endswith("/concurrency")
        }
        for number in range(3):
            self.start_node(self.profile.zone_of(number))

    def close(self):
        for node in list(self.running):
            self.kill_node(node)

    # Interface of TestBed

    def nodes(self):
        with self.lock:
            return [server.info for server in self.running.values()]

    def start_node(self, zone):
        server = _NodeServer(self, f"node-{next(self.numbers)}", zone)
        threading.Thread(target=server.serve_forever, args=(0.01,), daemon=True).start()
        with self.lock:
            self.running[server.info.node] = server
        return server.info

    def kill_node(self, node):
        with self.lock:
            server = self.running.pop(node)
        server.shutdown()
        server.cut()

    def stop_node(self, node):
        server = self.running[node]
        if self.defect == "cuts-at-stop":
            begun = server.begun
            while server.begun == begun:
                time.sleep(0.001)
            self.kill_node(node)
            return
        self.leaving.add(node)
        time.sleep(LISTENER_LIFETIME_S)
        with self.lock:
            del self.running[node]
        server.stop_listening()

    def pause_node(self, node):
        self.running[node].resumed.clear()

    def resume_node(self, node):
        self.running[node].resumed.set()

    def cut_links(self, nodes):
        raise AssertionError("no scenario of these tests cuts links")

    def heal_links(self):
        raise AssertionError("no scenario of these tests cuts links")

    def limit_owner(self, team):
        return None

    def set_platform_faults(self, faults):
        pass

    def platform_calls(self):
        return PlatformCalls(0, 0)

    def set_upstream_faults(self, upstream, faults):
        pass

    def stop_upstream(self, upstream):
        pass

    def submit_release(self, note, at=None):
        with self.lock:
            self.revision += 1
            self.notes[self.revision] = note["id"]
            self.withdrawn.update(note.get("withdrawn", {}).get("upstreams", ()))
            return Submission(True, self.revision, note["id"])

    def status(self, node):
        if node not in self.running:
            return None
        revision = self.revision
        if self.defect == "reverts-release" and next(self.polls) % 2:
            revision -= 1
        return NodeStatus(node, "i", revision, self.notes.get(revision))

    def overhead(self, node):
        return NodeOverhead(1.0, 10.0, 0, time.monotonic())

    def records(self):
        with self.lock:
            return [
                StandinRecord(
                    upstream, list(arrivals), dict(self.ended[upstream]), self.executions[upstream]
                )
                for upstream, arrivals in self.work.items()
            ]

    # Work

    def run(self, pool, served_as, organisation, key=""):
        with self.lock:
            usable = [
                upstream
                for upstream in pool.upstreams
                if upstream not in self.withdrawn or self.defect == "ignores-withdrawal"
            ]
            upstream = min(usable, key=lambda name: len(self.work[name]))
            if self.defect == "exceeds-limit":
                upstream = usable[0]
        with (
            self.permits[f"team/{pool.team}/concurrency"],
            self.permits[f"upstream/{upstream}/concurrency"],
        ):
            self._run_at(upstream, served_as, organisation, key)

    def _run_at(self, upstream, served_as, organisation, key):
        with self.lock:
            attempt = secrets.token_hex(4)
            arrival = WorkArrival(time.monotonic(), served_as, attempt, organisation, 10, key)
            self.work[upstream].append(arrival)
            ids = (served_as, key)
            counted = 2 if key and self.defect == "runs-order-twice" else 1
            self.executions[upstream][ids] = self.executions[upstream].get(ids, 0) + counted
        time.sleep(STAGE_S)
        with self.lock:
            late = 10.0 if self.defect == "exceeds-limit" else 0.0
            self.ended[upstream][attempt] = time.monotonic() + late


class _NodeServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, cluster, name, zone):
        super().__init__(("127.0.0.1", 0), _Handler)
        self.cluster = cluster
        self.info = NodeInfo(name, zone, f"http://127.0.0.1:{self.server_address[1]}")
        self.resumed = threading.Event()
        self.resumed.set()
        self.begun = 0
        self.connections = set()

    def stop_listening(self):
        """Refuse new connections; the accepted ones are served until their callers close them."""
        self.shutdown()
        self.timeout = 0
        self.has_queued = True
        while self.has_queued:
            self.handle_request()
        self.server_close()

    def handle_timeout(self):
        self.has_queued = False

    def cut(self):
        self.resumed.set()
        self.server_close()
        for connection in list(self.connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def handle_error(self, request, client_address):
        pass  # callers that close their connections are part of the runs


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def setup(self):
        super().setup()
        self.server.connections.add(self.connection)

    def finish(self):
        self.server.connections.discard(self.connection)
        with contextlib.suppress(OSError):
            super().finish()

    def log_message(self, *args):
        pass

    def do_GET(self):
        cluster = self.server.cluster
        cluster.lookups += 1
        staying = [info for info in cluster.nodes() if info.node not in cluster.leaving]
        self._reply(
            200, {"addresses": [info.address for info in staying], "lifetime_s": cluster.lifetime_s}
        )

    def do_POST(self):
        cluster = self.server.cluster
        body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        organisation = self.headers["Authorization"].removeprefix("Bearer experiment-key-of-")
        self.served_as = secrets.token_hex(8)
        self.server.begun += 1
        self.server.resumed.wait()
        if cluster.defect == "cuts-at-stop":
            time.sleep(0.3)  # the stop falls into the time of a request
        cluster.keys.append(self.headers.get("Idempotency-Key"))
        if cluster.script and self._follow_script(cluster.script.pop(0)):
            return
        if cluster.defect == "hangs" and body["seed"] % 5 == 0:
            time.sleep(30)
        _, _, kind, name, *operation = self.path.split("/")
        if kind == "pipelines":
            self._pipeline(cluster, organisation, body)
        else:
            self._service(cluster, cluster.profile.pool(name), organisation, operation, body)

    def _follow_script(self, behaviour):
        if behaviour in REFUSALS:
            status, code, executed = REFUSALS[behaviour]
            self._reply(status, {"code": code, "executed": executed}, {"Retry-After": "0"})
            return True
        if behaviour == "breaks the stream":
            self.send_response(200)
            self.send_header("X-Request-Id", self.served_as)
            self.send_header("Transfer-Encoding", "chunked")
            self.end_headers()
            self._chunk(b'event: token\ndata: {"offset": 0, "text": "x", "tokens": 1}\n\n')
        self.close_connection = True
        self.connection.shutdown(socket.SHUT_RDWR)
        return True

    def _pipeline(self, cluster, organisation, body):
        if cluster.defect == "refuses-truthfully" or (
            cluster.defect == "refuses-after-running" and body["seed"] % 3 == 0
        ):
            if cluster.defect == "refuses-after-running":
                cluster.run(cluster.profile.stages[0], self.served_as, organisation)
            self._reply(503, {"code": 1304, "executed": "no"}, {"Retry-After": "0"})
            return
        for pool in cluster.profile.stages:
            cluster.run(pool, self.served_as, organisation)
        named = "another" if cluster.defect == "misdelivers" else organisation
        text = expected_output(body, named, self.served_as)
        texts = [part if not number else f" {part}" for number, part in enumerate(text.split(" "))]
        if not body.get("stream"):
            self._reply(200, {"choices": [{"text": "".join(texts)}]})
            return
        chunks = list(enumerate(texts))
        if cluster.defect == "repeats-token":
            chunks.insert(2, chunks[1])
        elif cluster.defect == "loses-token":
            del chunks[2]
        self.send_response(200)
        self.send_header("X-Request-Id", self.served_as)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for offset, text in chunks:
            event = "done" if offset == len(texts) - 1 else "token"
            data = json.dumps({"offset": offset, "text": text, "tokens": 1})
            self._chunk(f"event: {event}\ndata: {data}\n\n".encode())
        self._chunk(b"")

    def _service(self, cluster, pool, organisation, operation, body):
        key = self.headers.get("Idempotency-Key", "")
        if key not in cluster.outcomes:
            cluster.run(pool, self.served_as, organisation, key)
        answer = {"operation": operation[0], "echo": {"input": body}}
        if cluster.defect == "swaps-answers":
            answer, cluster.previous = getattr(cluster, "previous", answer), answer
        if key:
            answer = cluster.outcomes.setdefault(key, answer)
        self._reply(200, answer)

    def _chunk(self, data):
        self.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))

    def _reply(self, status, body, headers=None):
        content = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(content)))
        self.send_header("X-Request-Id", getattr(self, "served_as", ""))
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(content)


@contextlib.contextmanager
def fake_cluster(options, defect="none", script=()):
    """Start a fake cluster; leaving the context stops it."""
    cluster = FakeCluster(options, defect, script)
    try:
        yield cluster
    finally:
        cluster.close()
