"""cheroot request that refuses ambiguous header fields and body lengths."""

from cheroot.server import HTTPRequest

from chervilrack._internal.gateway.intake import StrictHeaderReader, framing_mistake


class StrictRequest(HTTPRequest):
    """Request whose mistakes are answered with status 400 and close the connection."""

    header_reader = StrictHeaderReader()

    def read_request_headers(self) -> bool:
        """Read the header fields; return False if they or the body length were refused."""
        if not super().read_request_headers():  # type: ignore[no-untyped-call]
            return False
        mistake = framing_mistake(self.inheaders, self.request_protocol)
        if mistake is not None:
            self.simple_response("400 Bad Request", mistake)
            return False
        connection = self.inheaders.get(b"Connection", b"").lower()
        if b"close" in [part.strip() for part in connection.split(b",")]:
            self.close_connection = True
        return True
