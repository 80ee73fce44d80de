"""Upstreams that write scripted bytes to their sockets, whatever the request is.

A script is a comma-separated list of actions, see ``_ACTIONS`` and ``_run_action``. An action of
``_ACTIONS`` followed by ``up to TEXT`` ends with that text, and one followed by ``with status N``
has that status. The attempt number selects the script, whichever upstream gets the attempt.
"""

import re
import socket
import struct
import threading
import time
from contextlib import suppress

OK = "HTTP/1.1 200 OK\r\n"
FOREIGN_ID = "another-request"
_CHUNKED = "Transfer-Encoding: chunked\r\n"
# Pause between the pieces of slow answers.
_STEP_S = 0.3
# Generous limit for changes of the store to reach a node.
_KNOWN_LIMIT_S = 30.0


def _identity(request_id):
    signature = f"Chervilrack-Response-Signature: s-{request_id}\r\n"
    return f"Chervilrack-Request-Id: {request_id}\r\n{signature}"


def _event(number):
    return f"id: {number}\ndata: piece {number}\n\n"


def _chunk(text):
    return f"{len(text):x}\r\n{text}\r\n"


def _whole(status_line, request_id, body, fields=""):
    length = f"Content-Length: {len(body)}\r\n"
    return f"HTTP/1.1 {status_line}\r\n{_identity(request_id)}{fields}{length}\r\n{body}"


_NOT_RUN = "Chervilrack-Not-Executed: 1\r\n"

# Fields that the word before the name of an action adds to its answer.
_STATEMENTS = {
    "leaving": "Server-Leaving: 1\r\n",
    "pausing": "Retry-After: 600\r\n",
    "shortly-pausing": "Retry-After: 0.5\r\n",
    "nonsense-pausing": "Retry-After: soon\r\n",
    "slow": "Chervilrack-Server-Load: 1,0,4,250\r\n",
    "nonsense-slow": "Chervilrack-Server-Load: 1,0,4,very\r\n",
}
# Bytes of an action, by its name; they depend on the id of the request.
_ACTIONS = {
    "answer": lambda id: _whole("200 OK", id, f"answer to {id}"),
    "HTTP/1.0 answer": lambda id: _ACTIONS["answer"](id).replace("HTTP/1.1", "HTTP/1.0"),
    "foreign answer": lambda id: _whole("200 OK", FOREIGN_ID, f"answer to {FOREIGN_ID}"),
    "103": lambda id: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
    "misdirected": lambda id: _whole("421 Misdirected Request", id, "not here"),
    "chunked answer": lambda id: (
        f"{OK}{_identity(id)}{_CHUNKED}\r\n0{len(f'answer to {id}'):x};note=1\r\nanswer to {id}"
        "\r\n0;last\r\nX-Trailer: 1\r\n\r\n"
    ),
    "stream head": lambda id: (
        f"{OK}{_identity(id)}Content-Type: text/event-stream\r\n{_CHUNKED}\r\n"
    ),
    "size of a chunk": lambda id: "0a",
    "500": lambda id: _whole("500 Internal Server Error", id, "it failed\n\nbadly\n\n"),
    "refusal": lambda id: _whole("503 Service Unavailable", id, "full", _NOT_RUN),
    "refusal of another request": lambda id: _whole(
        "503 Service Unavailable", FOREIGN_ID, "full", _NOT_RUN
    ),
    "421": lambda id: _whole("421 Misdirected Request", id, "not me"),
    "503": lambda id: _whole("503 Service Unavailable", id, "it failed"),
    "inputs gone": lambda id: _whole("409 Conflict", id, "gone", _NOT_RUN),
    "JSON with blank lines": lambda id: _whole(
        "200 OK", id, '{"error":\n\n"none"}\n\n', "Content-Type: application/json\r\n"
    ),
    "half an answer": lambda id: f"{OK}{_identity(id)}Content-Length: 50\r\n\r\nhalf",
    "answer without length": lambda id: f"{OK}{_identity(id)}\r\nanswer to {id}",
    "half a chunk": lambda id: f"{OK}{_identity(id)}{_CHUNKED}\r\n20\r\nhalf",
    "chunks without the last": lambda id: f"{OK}{_identity(id)}{_CHUNKED}\r\n{_chunk('half')}",
    "no HTTP": lambda id: "SSH-2.0-server\r\n",
    "status line of 100000 bytes": lambda id: "HTTP/1.1 200 " + "x" * 100_000,
}
# Beginning and repeated part of an answer that is sent a part at a time.
_SLOW = {
    "slow status line": ("HTTP/1.1 200 O", "K"),
    "slow header": (f"{OK}X-Long: ", "x"),
    "slow chunk": (f"{OK}{{identity}}{_CHUNKED}\r\n", "0"),
    "slow trailer": (f"{OK}{{identity}}{_CHUNKED}\r\n4\r\nbody\r\n0\r\n", "X-T: 1\r\n"),
    "interim answers": ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    "comments": ("", _chunk(":\n\n")),
    "slow event": (_chunk("id: 3\ndata: "), _chunk("x")),
}
# Beginning and repeated part of an answer that is sent without a pause and never ends.
_FLOODS = {
    "status line": ("HTTP/1.1 200 O", "K" * 1000),
    "header": (f"{OK}X-Long: ", "x" * 1000),
    "headers": (OK, "X-Field: value\r\n" * 50),
    "interim answers": ("", "HTTP/1.1 103 Early Hints\r\n\r\n" * 50),
    "chunk size": (f"{OK}{{identity}}{_CHUNKED}\r\n", "0" * 1000),
    "chunk notes": (f"{OK}{{identity}}{_CHUNKED}\r\n4;note=", "x" * 1000),
    "chunks": (f"{OK}{{identity}}{_CHUNKED}\r\n", _chunk("x" * 60_000)),
    "trailers": (f"{OK}{{identity}}{_CHUNKED}\r\n4\r\nbody\r\n0\r\n", "X-T: 1\r\n" * 100),
    "bytes without length": (f"{OK}{{identity}}\r\n", "x" * 60_000),
    "bytes of huge length": (f"{OK}{{identity}}Content-Length: {10**15}\r\n\r\n", "x" * 60_000),
    "error bytes": ("HTTP/1.1 500 Failed\r\n{identity}\r\n", "x" * 60_000),
    "event": (
        f"{OK}{{identity}}Content-Type: text/event-stream\r\n{_CHUNKED}\r\n"
        + _chunk(_event(1) + "id: 2\ndata: "),
        _chunk("x" * 10_000),
    ),
}


class ScriptedUpstreams:
    """Listeners that answer the n-th request with the n-th script, or the last one.

    ``requests`` holds the heads of the requests, ``arrivals`` their monotonic times in seconds, and
    ``unsent`` the actions whose bytes could not be sent, because the connection was closed.
    Upstreams that are deaf do not complete the handshakes of new connections until ``hear`` is
    called. The action "hold" lasts until ``release`` is called. ``streams_sent`` counts the streams
    that were sent whole although their connection could have been reset. Use as a context manager.
    """

    def __init__(self, scripts, count, *, is_deaf=False):
        self._scripts = scripts
        backlog = 0 if is_deaf else 128
        self._listeners = [
            socket.create_server(("127.0.0.1", 0), backlog=backlog) for _ in range(count)
        ]
        self._hears = threading.Event()
        self._fillers = []
        if is_deaf:
            self._fill_queues()
        else:
            self._hears.set()
        self.addresses = [f"127.0.0.1:{item.getsockname()[1]}" for item in self._listeners]
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._released = threading.Event()
        self.requests = []
        self.arrivals = []
        self.unsent = []
        self.streams_sent = 0

    def __enter__(self):
        for listener in self._listeners:
            threading.Thread(target=self._serve, args=(listener,), daemon=True).start()
        return self

    def _fill_queues(self):
        """Fill the queues of connections that wait to be accepted."""
        for listener in self._listeners:
            for _ in range(2):
                filler = socket.socket()
                filler.setblocking(False)
                with suppress(BlockingIOError):
                    filler.connect(listener.getsockname())
                self._fillers.append(filler)

    def hear(self):
        """Accept connections from now on."""
        for filler in self._fillers:
            filler.close()
        self._hears.set()

    def release(self):
        """Go on after "hold"."""
        self._released.set()

    def __exit__(self, *_exception):
        self._stopping.set()
        self.release()
        self.hear()
        self.close()

    def close(self):
        """Refuse connections from now on."""
        for listener in self._listeners:
            with suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()

    def close_listener(self, number):
        """Refuse connections at one of the addresses."""
        with suppress(OSError):
            self._listeners[number].shutdown(socket.SHUT_RDWR)
        self._listeners[number].close()

    def _serve(self, listener):
        self._hears.wait()
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self._answer, args=(connection,), daemon=True).start()

    def _answer(self, connection):
        with connection:
            content = b""
            while b"\r\n\r\n" not in content:
                block = connection.recv(65536)
                if not block:
                    return
                content += block
            with self._lock:
                number = len(self.requests)
                self.requests.append(content.decode())
                self.arrivals.append(time.monotonic())
            request_id = re.search(r"(?i)Chervilrack-Request-Id: (\S+)", content.decode())[1]
            script = self._scripts[min(number, len(self._scripts) - 1)]
            for action in script.split(", "):
                try:
                    self._run_action(connection, action, request_id, script)
                except OSError:
                    self.unsent.append(action)
                    return

    def _run_action(self, connection, action, request_id, script):
        is_first = script.split(", ")[0] == action or script.startswith(f"103, {action}")
        match action.split():
            case ["break"]:
                connection.shutdown(socket.SHUT_RDWR)
            case ["reset"]:
                # The bytes sent before have to arrive before the reset does.
                time.sleep(0.1)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.close()
            case ["read", "the", "body"]:
                self._read_body(connection, self.requests[-1])
            case ["silence" | "hold" | "pause", *words]:
                seconds = float(words[1]) if words else 20.0
                (self._released if action == "hold" else self._stopping).wait(seconds)
            case [*framing, "events", first, "to", last]:
                events = [_event(number) for number in range(int(first), int(last) + 1)]
                is_framed = framing != ["unframed"]
                content = "".join(map(_chunk, events) if is_framed else events)
                self._send_stream_part(connection, content, request_id, is_first, is_framed)
            case ["events", "without", "ids"]:
                self._send_stream_part(
                    connection, _chunk("data: one\n\ndata: two\n\n"), request_id, is_first
                )
            case ["comment"]:
                self._send_stream_part(connection, _chunk(": hello\n\n"), request_id, is_first)
            case ["nothing", "more"]:
                self._send_stream_part(connection, "", request_id, is_first)
            case ["flood" | "stream" as kind, "of", *words]:
                send = self._send_flood if kind == "flood" else self._send_long_stream
                send(connection, words, request_id)
            case [*name, "for", seconds, "s"]:
                self._take_long(connection, " ".join(name), float(seconds), request_id, is_first)
                return
            case _:
                connection.sendall(_response(action, request_id).encode())
        is_last_part = script.split(", ")[-1] == action or "foreign answer" in script
        is_stream = action.startswith(("events", "nothing"))
        if is_stream and is_last_part and not script.endswith("break"):
            connection.sendall(b"0\r\n\r\n")

    @staticmethod
    def _read_body(connection, request):
        """Read the body of the latest request, whose begin may have come with its head."""
        head, _, body = request.partition("\r\n\r\n")
        left = int(re.search(r"(?i)Content-Length: (\d+)", head)[1]) - len(body)
        while left > 0:
            left -= len(connection.recv(65536))

    def _send_stream_part(self, connection, content, request_id, is_first, is_framed=True):
        coding = _CHUNKED if is_framed else ""
        head = f"{OK}{_identity(request_id)}Content-Type: text/event-stream\r\n{coding}\r\n"
        connection.sendall(((head if is_first else "") + content).encode())

    def _take_long(self, connection, name, seconds, request_id, is_first):
        if name == "slow reading":
            self._read_slowly(connection, seconds)
        else:
            self._send_slowly(connection, name, seconds, request_id, is_first)

    def _send_long_stream(self, connection, words, request_id):
        """Send "N kB unless unread for S s" of a stream, which is reset if nothing is read."""
        size, seconds = int(words[0]), float(words[-2])
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
        connection.settimeout(seconds)
        try:
            self._send_stream_part(connection, "", request_id, True)
            for number in range(1, size + 1):
                # One thousand bytes with the framing of the chunk.
                data = f"id: {number}\ndata: piece {number} "
                connection.sendall(_chunk(data.ljust(993, "x") + "\n\n").encode())
            connection.sendall(b"0\r\n\r\n")
            self.streams_sent += 1
        except TimeoutError:
            self._run_action(connection, "reset", request_id, "")

    def _read_slowly(self, connection, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end and not self._stopping.wait(_STEP_S):
            connection.recv(100_000)

    def _send_flood(self, connection, words, request_id):
        begin, part = _FLOODS[" ".join(words)]
        connection.sendall(begin.replace("{identity}", _identity(request_id)).encode())
        while not self._stopping.is_set():
            connection.sendall(part.encode())

    def _send_slowly(self, connection, name, seconds, request_id, is_first):
        if name == "slow chunk" and not is_first:
            begin, part = "", "0"  # the size of the next chunk, a digit at a time
        else:
            begin, part = _SLOW[name]
        connection.sendall(begin.replace("{identity}", _identity(request_id)).encode())
        end = time.monotonic() + seconds
        while time.monotonic() < end and not self._stopping.wait(_STEP_S):
            connection.sendall(part.encode())


def _response(action, request_id):
    """Return the response that an action names, with statements or cut off behind some text."""
    word, _, name = action.partition(" ")
    if word in _STATEMENTS:
        status_line, rest = _ACTIONS[name](request_id).split("\r\n", 1)
        return f"{status_line}\r\n{_STATEMENTS[word]}{rest}"
    action, _, status = action.partition(" with status ")
    name, _, end = action.partition(" up to ")
    content = _ACTIONS[name](request_id)
    if status:
        content = content.replace(" 200 ", f" {status} ", 1)
    return content[: content.index(end) + len(end)] if end else content


def start_scripted(context, service, scripts, count, *, is_deaf=False):
    """Replace the upstreams of a service by ``count`` scripted ones, and wait until it is known."""
    upstreams = ScriptedUpstreams(scripts, count, is_deaf=is_deaf)
    upstreams.__enter__()
    context.add_cleanup(upstreams.__exit__)
    context.scripted = upstreams
    for name, upstream in context.upstreams.items():
        if upstream.service == service:
            context.store.remove(f"servers/{name}")
    for number, address in enumerate(upstreams.addresses):
        entry = {
            **context.upstreams["plain-1"].entry(address=address),
            "service": service,
        }
        context.store.put(f"servers/scripted-{number}", entry)
    expected = {f"scripted-{number}" for number in range(count)}
    catalogue = context.node._state.catalogue
    end = time.monotonic() + _KNOWN_LIMIT_S
    while {entry.id for entry in catalogue.ready_upstreams(service)} != expected:
        assert time.monotonic() < end, "the node does not know the scripted upstreams"
        time.sleep(0.01)
