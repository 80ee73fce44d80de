"""Whether an upstream takes connections, without sending it anything."""

import errno
import socket

from chervilrack._internal.common.addresses import parse_address

# A connection that is refused is refused within a round trip.
CHECK_TIMEOUT_S = 0.25


def refuses_connections(address: str) -> bool:
    """Return whether nobody listens at HOST:PORT; False if that is not certain."""
    try:
        host, port = parse_address(address)
        with socket.create_connection((host, port), timeout=CHECK_TIMEOUT_S):
            return False
    except OSError as error:
        return error.errno == errno.ECONNREFUSED
    except ValueError:
        return False
