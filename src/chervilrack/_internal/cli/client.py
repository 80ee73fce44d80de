"""HTTP client through which the command line calls the operator interface of a node."""

import json
from collections.abc import Callable, Mapping
from typing import Any

import click
import urllib3

from chervilrack._internal.common.http_responses import StrictPoolManager, read_limited
from chervilrack._internal.exceptions import ChervilrackError, NodeUnreachable

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 15.0


class NodeRefused(ChervilrackError):
    """Raised when a node answers with a problem document."""

    def __init__(self, document: Mapping[str, Any]) -> None:
        code, title, detail = (document.get(name, "?") for name in ("code", "title", "detail"))
        super().__init__(f"{code} {title}: {detail}")
        self._document = document

    @property
    def document(self) -> Mapping[str, Any]:
        """The problem document as the node sent it."""
        return self._document


class NodeClient:
    """HTTP client of one node. ``certificates`` is the file of a CA bundle for HTTPS."""

    def __init__(self, address: str, key: str | None, certificates: str | None = None) -> None:
        self._address = address.rstrip("/")
        self._key = key
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        options: dict[str, Any] = {"ca_certs": certificates} if certificates else {}
        self._pool = StrictPoolManager(timeout=timeout, retries=False, **options)

    def get(self, path: str) -> Any:
        """Send a GET request and return the decoded JSON response."""
        return self._request("GET", path, None)

    def post(self, path: str, body: bytes) -> Any:
        """Send a POST request and return the decoded JSON response."""
        return self._request("POST", path, body)

    def _request(self, method: str, path: str, body: bytes | None) -> Any:
        headers = {"Content-Type": "application/json"}
        if self._key:
            headers["Authorization"] = f"Bearer {self._key}"
        try:
            response = self._pool.request(
                method, f"{self._address}{path}", body=body, headers=headers, preload_content=False
            )
            content = read_limited(response)
        except urllib3.exceptions.HTTPError as error:
            raise NodeUnreachable(f"{self._address} does not answer: {error}") from None
        try:
            document = json.loads(content)
        except ValueError:
            raise NodeUnreachable(f"{self._address} answers with something else") from None
        if response.status >= 400:
            raise NodeRefused(document)
        return document


def node_options(required: bool = True) -> Callable[[Any], Any]:
    """Return a decorator that adds the options --node, --key and --ca to a command."""
    options = (
        click.option("--ca", "certificates", help="CA bundle for an HTTPS address."),
        click.option("--key", envvar="CHERVILRACK_KEY", help="API key; default: $CHERVILRACK_KEY."),
        click.option(
            "--node",
            "address",
            envvar="CHERVILRACK_NODE",
            required=required,
            help="Address of any node, such as http://10.0.0.1:8080; default: $CHERVILRACK_NODE.",
        ),
    )

    def add_options(command: Any) -> Any:
        for option in options:
            command = option(command)
        return command

    return add_options
