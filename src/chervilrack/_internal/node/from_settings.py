"""Conversion of a node's settings into its options; reads the key files that they name."""

from pathlib import Path

import zmq.auth

from chervilrack._internal.exceptions import ChervilrackError
from chervilrack._internal.gateway.server import HttpServerSettings
from chervilrack._internal.membership.state import MembershipSettings
from chervilrack._internal.node.options import NodeOptions
from chervilrack._internal.peering.keys import CurveKeys
from chervilrack._internal.settings.node import NodeSettings, PeerSection


class KeyFileInvalid(ChervilrackError):
    """A CURVE key file that the settings name is malformed or lacks the secret key."""


def options_from_settings(settings: NodeSettings) -> NodeOptions:
    """Return the options of a node. Raises OSError and KeyFileInvalid for unusable key files."""
    http, limits, membership = settings.http, settings.limits, settings.membership
    host, port = _split_address(http.listen)
    scheme = "https" if http.tls_certificate else "http"
    return NodeOptions(
        node=settings.node,
        zone=settings.zone,
        http=HttpServerSettings(
            host,
            port,
            max_body=limits.body,
            max_headers=limits.headers,
            max_idle_connections=limits.connections,
            idle_time=limits.idle_time,
            certificate=Path(http.tls_certificate) if http.tls_certificate else None,
            private_key=Path(http.tls_key) if http.tls_key else None,
        ),
        peer_listen=f"tcp://{settings.peer.listen}",
        advertised_http=f"{scheme}://{http.advertised}",
        advertised_peer=f"tcp://{settings.peer.advertised}",
        membership=MembershipSettings(
            seeds=tuple(f"tcp://{seed}" for seed in settings.peer.seeds),
            heartbeat_interval=membership.heartbeat,
            large_heartbeat_interval=membership.heartbeat_large,
            confirmation_ttl=membership.confirmation_ttl,
            suspicion_timeout=membership.suspicion_timeout,
            rank_delay=membership.rank_delay,
        ),
        routing_policy=settings.routing_policy,
        limit_policy=settings.limit_policy,
        operator_key_digests=settings.operators.key_hashes,
        curve=load_curve_keys(settings.peer),
        lookup_lifetime=membership.lookup_lifetime,
    )


def load_curve_keys(section: PeerSection) -> CurveKeys | None:
    """Read the CURVE keys, in the certificate format of ``zmq.auth``; None if none are set.

    ``curve_secret_key`` is the ``.key_secret`` file of the fleet's key pair, ``curve_public_keys``
    the folder with the ``.key`` files of all public keys that may connect. Raises OSError and
    KeyFileInvalid.
    """
    if section.curve_secret_key is None or section.curve_public_keys is None:
        return None
    try:
        public, secret = zmq.auth.load_certificate(section.curve_secret_key)
        allowed = zmq.auth.load_certificates(section.curve_public_keys)
    except ValueError as error:
        raise KeyFileInvalid(f"peer.curve_secret_key or peer.curve_public_keys: {error}") from None
    if secret is None:
        raise KeyFileInvalid(
            f"peer.curve_secret_key: expected a secret key in {section.curve_secret_key}"
        )
    return CurveKeys(public, secret, frozenset({public, *allowed}))


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.removeprefix("[").removesuffix("]"), int(port)
