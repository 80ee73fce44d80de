"""HTTP server that hosts one or many emulated upstreams under path prefixes."""

import logging
import select
import socket
import threading
from collections.abc import Mapping
from contextlib import suppress
from typing import Any, Protocol, Self
from urllib.parse import parse_qsl, urlsplit

import msgspec
from cheroot.server import Gateway, HTTPServer

logger = logging.getLogger(__name__)

MAX_THREADS = 400  # one thread per request in progress; the process stays within a few hundred


class ClientLeft(Exception):
    """The client closed its connection, or a fault cut it."""


class Exchange:
    """One request and its response."""

    def __init__(self, request: Any, path: str, query: Mapping[str, str]) -> None:
        self._request = request
        self._socket: socket.socket = request.conn.socket
        self._path = path
        self._query = query
        # Header fields that are added to those of the response.
        self.added_headers: Mapping[str, str] = {}
        self._headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in request.inheaders.items()
        }

    @property
    def method(self) -> str:
        """Method of the request."""
        return str(self._request.method.decode())

    @property
    def path(self) -> str:
        """Path below the upstream's prefix."""
        return self._path

    @property
    def query(self) -> Mapping[str, str]:
        """Query parameters; the last one of a name applies."""
        return self._query

    @property
    def headers(self) -> Mapping[str, str]:
        """Headers by lower-case name."""
        return self._headers

    def body(self) -> dict[str, Any]:
        """Read the body as a JSON object; raises msgspec.ValidationError if it is none."""
        content = self._request.rfile.read()
        return msgspec.json.decode(content or b"{}", type=dict[str, Any])

    def reply(
        self, status: int, body: Mapping[str, Any], headers: Mapping[str, str] | None = None
    ) -> None:
        """Send a whole response."""
        content = msgspec.json.encode(body)
        fields = {"Content-Type": "application/json", "Content-Length": str(len(content))}
        self.start(status, {**fields, **(headers or {})})
        self.write(content)

    def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send status and headers; without Content-Length the body is chunked."""
        self._request.status = f"{status} Status".encode()
        self._request.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in {**headers, **self.added_headers}.items()
        ]
        try:
            self._request.ensure_headers_sent()
        except OSError as error:
            raise ClientLeft from error

    def write(self, content: bytes) -> None:
        """Send a piece of the body; raises ClientLeft if the connection is closed."""
        try:
            self._request.write(content)
        except OSError as error:
            raise ClientLeft from error

    def write_raw(self, content: bytes) -> None:
        """Send bytes outside the response, as a faulty server does."""
        self._request.conn.wfile.write(content)

    def disconnected(self) -> bool:
        """Return whether the client has closed its side of the connection."""
        try:
            poll = select.poll()  # select() fails for descriptors above 1023
            poll.register(self._socket, select.POLLIN)
            return bool(poll.poll(0)) and not self._socket.recv(1, socket.MSG_PEEK)
        except (OSError, ValueError):
            return True

    def cut(self) -> None:
        """Cut the connection, whatever has been sent."""
        self._request.close_connection = True
        self._request.sent_headers = True  # keeps the server from completing the response
        with suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)


class Application(Protocol):
    """Emulated upstream below a path prefix."""

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""


class _Gateway(Gateway):
    def respond(self) -> None:
        request = self.req
        parts = urlsplit(request.uri.decode("latin-1"))
        server: _Server = request.server
        first, _, rest = parts.path.lstrip("/").partition("/")
        application, path = server.applications.get(first), "/" + rest
        if application is None:
            application, path = server.applications.get(""), parts.path
        exchange = Exchange(request, path, dict(parse_qsl(parts.query)))
        if application is None:
            exchange.reply(404, {"error": "no upstream has this prefix"})
            return
        try:
            application.handle(exchange)
        except ClientLeft:
            exchange.cut()
        except msgspec.DecodeError as error:
            exchange.reply(400, {"error": str(error)})


class _Server(HTTPServer):
    keep_alive_conn_limit = 10_000
    timeout = 120
    expiration_interval = 0.1  # also bounds how long stopping takes
    shutdown_timeout = 1

    def __init__(self, host: str, port: int) -> None:
        self.applications: dict[str, Application] = {}
        super().__init__((host, port), _Gateway, minthreads=8, maxthreads=MAX_THREADS)
        self.request_queue_size = 512

    def process_conn(self, conn: Any) -> None:
        """Add threads when all are busy; the pool does not grow by itself."""
        if self.requests.idle <= self.requests.qsize and len(self.requests._threads) < MAX_THREADS:
            self.requests.grow(8)
        super().process_conn(conn)

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Log only unexpected errors: cut connections are part of the emulation."""
        if traceback:
            # Called from the server's exception handlers; LOG014 cannot see that.
            logger.error("standins: %s", msg, exc_info=True)  # noqa: LOG014


class StandinServer:
    """Context manager that serves emulated upstreams on one port.

    An application mounted under the empty name gets all paths without another prefix.
    """

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self._server = _Server(host, port)
        self._thread: threading.Thread | None = None

    @property
    def address(self) -> str:
        """URL of the server, such as ``http://127.0.0.1:40001``."""
        host, port = self._server.bind_addr[:2]
        return f"http://{host}:{port}"

    def mount(self, name: str, application: Application) -> str:
        """Serve ``application`` under ``/name`` and return its URL."""
        self._server.applications[name] = application
        return f"{self.address}/{name}" if name else self.address

    def unmount(self, name: str) -> None:
        """Stop serving the application of this name."""
        self._server.applications.pop(name, None)

    def __enter__(self) -> Self:
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, name="standin", daemon=True)
        self._thread.start()
        return self

    def __exit__(self, *_exception: object) -> None:
        self._server.stop()
        if self._thread is not None:
            self._thread.join()
