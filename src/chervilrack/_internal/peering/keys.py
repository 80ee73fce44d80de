"""CURVE keys of the fleet: one key pair shared by all nodes and a list of allowed public keys."""

from dataclasses import dataclass
from pathlib import Path

import zmq


@dataclass(frozen=True, slots=True)
class CurveKeys:
    """Key pair of the fleet and the public keys that may connect, all as Z85 text."""

    public: bytes
    secret: bytes
    allowed: frozenset[bytes]


def generate_keys() -> CurveKeys:
    """Return a new key pair; only its own public key may connect."""
    public, secret = zmq.curve_keypair()
    return CurveKeys(public, secret, frozenset({public}))


def load_keys(public_file: Path, secret_file: Path, allowed_file: Path | None) -> CurveKeys:
    """Read a key pair and the public keys that may connect.

    The first two files hold one Z85 key each, ``allowed_file`` one public key per line.
    """
    public = public_file.read_bytes().strip()
    secret = secret_file.read_bytes().strip()
    allowed = {public}
    if allowed_file is not None:
        allowed.update(line.strip() for line in allowed_file.read_bytes().splitlines() if line)
    return CurveKeys(public, secret, frozenset(allowed))
