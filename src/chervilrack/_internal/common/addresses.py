"""Network addresses as other programs write them."""

import re
from ipaddress import ip_address
from typing import Final

MAX_HOST_LENGTH: Final = 253
MAX_PORT: Final = 65_535

_HOST_NAME: Final = re.compile(r"[0-9A-Za-z_-]{1,63}(\.[0-9A-Za-z_-]{1,63})*\.?")
_IPV6: Final = re.compile(r"[0-9A-Fa-f:.]+(%[0-9A-Za-z_.-]+)?")
_PORT: Final = re.compile(r"[0-9]{1,5}")


def parse_address(text: str, *, is_listener: bool = False) -> tuple[str, int]:
    """Return host and port of ``HOST:PORT``. Raises ValueError.

    The host is an IPv4 address, an IPv6 address with or without brackets, which are removed, or a
    host name of ASCII letters, digits, hyphens, underscores and dots. The port is decimal, from 1
    to MAX_PORT. Only a listener may have an unspecified IP address or port 0.
    """
    host, _, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]") and ":" in host:
        host = host[1:-1]
    if not _is_host(host, is_listener):
        raise ValueError(f"expected HOST:PORT, found '{text[:MAX_HOST_LENGTH]}'")
    if not _PORT.fullmatch(port) or not (0 if is_listener else 1) <= int(port) <= MAX_PORT:
        raise ValueError(f"expected a port from 1 to {MAX_PORT}, found '{port[:MAX_HOST_LENGTH]}'")
    return host, int(port)


def is_address(text: str, *, is_listener: bool = False) -> bool:
    """Return whether ``parse_address`` accepts ``text``."""
    try:
        parse_address(text, is_listener=is_listener)
    except ValueError:
        return False
    return True


def _is_host(host: str, is_listener: bool) -> bool:
    if not 0 < len(host) <= MAX_HOST_LENGTH:
        return False
    if ":" in host:
        if not _IPV6.fullmatch(host):
            return False
    elif not _HOST_NAME.fullmatch(host):
        return False
    try:
        return is_listener or not ip_address(host).is_unspecified
    except ValueError:
        return ":" not in host
