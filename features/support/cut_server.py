"""TCP server that breaks its response off after a given number of bytes."""

import re
import socket
import struct
import threading
import time
from contextlib import suppress

RESET_DELAY_S = 0.05
_LENGTH = re.compile(rb"(?i)\r\nContent-Length: *(\d+)")


class CutServer:
    """Answers each request with the first ``limit`` bytes of ``response`` and ends the connection.

    ``resets`` is whether the connection ends with a reset, and ``is_early`` whether the server
    answers before it reads the body of the request.
    """

    def __init__(self, response, resets=False, is_early=False):
        self.response = response
        self._resets = resets
        self._is_early = is_early
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self.limit = 0
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"

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
            with connection, suppress(OSError):
                connection.settimeout(5)
                self._answer(connection)

    def _answer(self, connection):
        head, body = b"", b""
        while b"\r\n\r\n" not in head:
            block = connection.recv(65536)
            if not block:
                return
            head += block
        head, _, body = head.partition(b"\r\n\r\n")
        length = _LENGTH.search(head)
        while not self._is_early and length is not None and len(body) < int(length[1]):
            body += connection.recv(65536)
        connection.sendall(self.response[: self.limit])
        if self._is_early:
            # A reset that comes with the answer would discard it.
            time.sleep(RESET_DELAY_S)
        if self._resets:
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
