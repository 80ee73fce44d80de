"""TCP server that answers every request with prepared bytes, such as malformed answers."""

import socket
import ssl
import threading
from contextlib import suppress


class ScriptedServer:
    """Answers each request with ``blocks`` of bytes and closes the connection.

    The server calls ``after_block`` with the number of each block that it has sent. A header name
    in braces within a block, such as ``{X-Request-Id}``, is replaced by the value of this header in
    the request. ``received`` has the received bytes of each connection.
    """

    def __init__(self, blocks, after_block=lambda number: None, tls=None):
        self._blocks = blocks
        self._after_block = after_block
        self._tls = tls
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.received = []
        self._thread = threading.Thread(target=self._serve, daemon=True)

    @property
    def address(self):
        scheme = "https" if self._tls else "http"
        return f"{scheme}://127.0.0.1:{self._listener.getsockname()[1]}"

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_exception):
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join()

    def _serve(self):
        while True:
            try:
                connection, _peer = self._listener.accept()
            except OSError:
                return
            with suppress(OSError, ssl.SSLError):
                if self._tls:
                    connection = self._tls.wrap_socket(connection, server_side=True)
                connection.settimeout(5)
                self._answer(connection)
            connection.close()

    def _answer(self, connection):
        content = b""
        self.received.append(content)
        while b"\r\n\r\n" not in content:
            block = connection.recv(65536)
            if not block:
                return
            content += block
            self.received[-1] = content
        head, _, body = content.partition(b"\r\n\r\n")
        headers = dict(
            line.split(": ", 1) for line in head.decode().split("\r\n")[1:] if ": " in line
        )
        while len(body) < int(headers.get("Content-Length", 0)):
            block = connection.recv(65536)
            if not block:
                return
            body += block
        for number, template in enumerate(self._blocks, start=1):
            answer = template
            for name, value in headers.items():
                answer = answer.replace(b"{" + name.encode() + b"}", value.encode())
            connection.sendall(answer)
            self._after_block(number)


# Headers that identify the answer's request.
ID_HEADERS = (
    b"X-Request-Id: {X-Request-Id}\r\nX-Organisation: {X-Organisation}\r\n"
    b"X-Attempt-Id: {X-Attempt-Id}\r\n"
)


def http_response(body, headers=ID_HEADERS, status=b"200 OK"):
    """Return the bytes of an HTTP response with ``body`` and a correct Content-Length."""
    length = b"Content-Length: %d\r\n" % len(body)
    return b"HTTP/1.1 " + status + b"\r\n" + headers + length + b"\r\n" + body
