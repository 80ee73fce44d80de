"""cheroot server of a node with limits on input; protocol errors become problem documents."""

import contextlib
import logging
import ssl
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from types import TracebackType
from typing import Any, Self

from cheroot import wsgi
from cheroot.connections import ConnectionManager
from cheroot.server import HTTPConnection
from cheroot.ssl.builtin import BuiltinSSLAdapter

from chervilrack._internal.common.results import Problem, ResultCode
from chervilrack._internal.gateway.connections import is_readable
from chervilrack._internal.gateway.http import Environ, status_line
from chervilrack._internal.gateway.intake import ChunkedBody
from chervilrack._internal.gateway.problems import encode_problem, problem_headers
from chervilrack._internal.gateway.strict import StrictRequest

logger = logging.getLogger(__name__)

# Longest time in which a server that stops accepts the connections that wait for it.
MAX_ACCEPT_TIME_S = 1.0

_CODES_BY_STATUS = {
    "400": ResultCode.MALFORMED_REQUEST,
    "408": ResultCode.REQUEST_TIMEOUT,
    "411": ResultCode.MALFORMED_REQUEST,
    "413": ResultCode.BODY_TOO_LARGE,
    "414": ResultCode.HEADERS_TOO_LARGE,
    "431": ResultCode.HEADERS_TOO_LARGE,
    "505": ResultCode.MALFORMED_REQUEST,
}


@dataclass(frozen=True, slots=True)
class HttpServerSettings:
    """Listen address, threads, limits on requests and TLS files. Sizes are in bytes."""

    host: str
    port: int
    max_body: int = 4 * 1024 * 1024
    max_headers: int = 32 * 1024
    threads: int = 128
    queued_connections: int = 512
    max_idle_connections: int = 1000
    idle_time: timedelta = timedelta(seconds=10)
    drain_time: timedelta = timedelta(seconds=15)
    certificate: Path | None = None
    private_key: Path | None = None


class _ProblemRequest(StrictRequest):
    """Request whose protocol errors are answered with problem documents."""

    def respond(self) -> None:
        """Run the application; a chunked body is parsed strictly."""
        if not self.chunked_read:
            super().respond()
            return
        self.rfile = ChunkedBody(self.conn.rfile, self.server.max_request_body_size)
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")

    def simple_response(self, status: Any, msg: str = "") -> None:
        """Write a problem document instead of cheroot's plain text."""
        number = str(status)[:3]
        code = _CODES_BY_STATUS.get(number, ResultCode.MALFORMED_REQUEST)
        if code is ResultCode.BODY_TOO_LARGE and not self._body_is_too_large():
            # cheroot also reports 413 for headers over their limit.
            code = ResultCode.HEADERS_TOO_LARGE
        problem = Problem(code, msg or code.title)
        body = encode_problem(problem)
        lines = [f"HTTP/1.1 {status_line(code.http_status)}"]
        lines += [f"{name}: {value}" for name, value in problem_headers(problem)]
        lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
        self.close_connection = True
        # The caller may have closed the connection already.
        with contextlib.suppress(OSError):
            self.conn.wfile.write("\r\n".join(lines).encode("latin-1") + body)

    def send_headers(self) -> None:
        """Send the headers even if the rest of the body does not arrive.

        cheroot reads the rest of the body first, so a caller that stalls would get no response.
        """
        if (b"Connection", b"close") in self.outheaders:
            self.close_connection = True
        if isinstance(self.rfile, ChunkedBody) and not self.rfile.is_read:
            # The unread rest of the body would be parsed as the next request.
            self.close_connection = True
        remaining = getattr(self.rfile, "remaining", 0)
        if remaining > 0 and not self.close_connection:
            try:
                self.rfile.read(remaining)
            except OSError:
                self.close_connection = True
        super().send_headers()

    def _body_is_too_large(self) -> bool:
        declared = self.inheaders.get(b"Content-Length", b"0")
        limit = self.server.max_request_body_size
        return self.ready or (declared.isdigit() and int(declared) > limit)


class _ProblemConnection(HTTPConnection):
    RequestHandlerClass = _ProblemRequest


class _Gateway(wsgi.Gateway_10):
    """Passes the caller's socket to the application, which detects disconnects by it."""

    def get_environ(self) -> Environ:  # type: ignore[override]  # the stub returns None
        """Return the WSGI environment with the connection's socket."""
        environ: Environ = super().get_environ()  # type: ignore[no-untyped-call]
        environ["chervilrack.socket"] = self.req.conn.socket
        return environ


class _Connections(ConnectionManager):
    """Connections of a server that passes those that wait for it on to its threads when it stops.

    cheroot's own manager closes the listener and idle connections whatever has arrived there.
    """

    _selector: Any
    _from_server_socket: Callable[[Any], Any]

    def _run(self, expiration_interval: float) -> None:
        super()._run(expiration_interval)  # type: ignore[misc]  # not in the stub
        end = time.monotonic() + MAX_ACCEPT_TIME_S
        listener = self.server.socket
        while is_readable(listener) and time.monotonic() < end:
            accepted = self._from_server_socket(listener)
            if accepted is not None:
                self.server.process_conn(accepted)
        self._selector.unregister(listener.fileno())
        listener.close()
        self.server.socket = None
        for descriptor, connection in list(self._selector.connections):
            if is_readable(connection.socket):
                self._selector.unregister(descriptor)
                self.server.process_conn(connection)


class HttpServer:
    """Serves a WSGI application until the context ends, then finishes requests in progress."""

    def __init__(self, settings: HttpServerSettings, application: Any) -> None:
        self._settings = settings
        self._server = wsgi.Server(
            (settings.host, settings.port),
            application,
            numthreads=settings.threads,
            max=settings.threads,
            request_queue_size=settings.queued_connections,
            timeout=max(1, round(settings.idle_time.total_seconds())),
            server_name="chervilrack",
        )
        # By default, cheroot keeps only ten idle connections open.
        self._server.keep_alive_conn_limit = settings.max_idle_connections
        self._server.ConnectionClass = _ProblemConnection
        self._server.gateway = _Gateway
        self._server.max_request_body_size = settings.max_body
        self._server.max_request_header_size = settings.max_headers
        self._server.error_log = _log_server_error  # type: ignore[method-assign]
        self._tls_adapter: BuiltinSSLAdapter | None = None
        if settings.certificate is not None and settings.private_key is not None:
            self._tls_adapter = BuiltinSSLAdapter(
                str(settings.certificate), str(settings.private_key)
            )
            self._tls_adapter.context.minimum_version = ssl.TLSVersion.TLSv1_2
            self._server.ssl_adapter = self._tls_adapter
        self._server.shutdown_timeout = settings.drain_time.total_seconds()
        self._is_bound = False
        self._stop_thread: threading.Thread | None = None
        self._thread = threading.Thread(target=self._serve, name="http", daemon=True)

    @property
    def port(self) -> int:
        """Port the server listens on."""
        return int(self._server.bind_addr[1])

    def bind(self) -> None:
        """Bind the listen address, so that ``port`` is known; connections wait in the backlog."""
        if not self._is_bound:
            server: Any = self._server
            server.prepare()
            server._connections.close()
            server._connections = _Connections(server)
            self._is_bound = True

    def __enter__(self) -> Self:
        self.bind()
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop_listening()
        if self._stop_thread is not None:
            self._stop_thread.join()
        self._thread.join(timeout=5)

    def stop_listening(self) -> None:
        """Close the listener at once; requests in progress continue in their threads."""
        if self._stop_thread is None:
            self._stop_thread = threading.Thread(target=self._server.stop, name="http-stop")
            self._stop_thread.start()

    def reload_certificate(self) -> None:
        """Read the certificate files again; new connections use them."""
        settings = self._settings
        if self._tls_adapter is not None:
            self._tls_adapter.context.load_cert_chain(
                str(settings.certificate), str(settings.private_key)
            )

    def _serve(self) -> None:
        try:
            self._server.serve()
        except OSError as error:
            logger.error("gateway: the server stopped: %s", error)


def _log_server_error(msg: str = "", level: int = logging.WARNING, traceback: bool = False) -> None:
    logger.log(level, "gateway: %s", msg, exc_info=traceback)
