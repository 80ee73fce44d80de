"""Authentication of callers and operators by bearer keys stored as SHA-256."""

import hashlib
import hmac
from collections.abc import Iterable
from datetime import datetime

from result import Err, Ok, Result

from chervilrack._internal.common.ids import ReleaseRevision
from chervilrack._internal.common.results import Problem, ResultCode
from chervilrack._internal.releases.state import Configuration, Organisation, OrganisationKey

_BEARER_PREFIX = "bearer "


def key_digest(key: str) -> str:
    """Return the hexadecimal SHA-256 of a key, the form in which keys are stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_key(header: str | None) -> Result[str, Problem]:
    """Return the bearer key of an ``Authorization`` header."""
    if not header:
        return Err(Problem(ResultCode.KEY_MISSING, "send 'Authorization: Bearer KEY'"))
    if not header.lower().startswith(_BEARER_PREFIX) or len(header) == len(_BEARER_PREFIX):
        return Err(Problem(ResultCode.KEY_MISSING, "the Authorization scheme must be Bearer"))
    return Ok(header[len(_BEARER_PREFIX) :].strip())


class CallerKeys:
    """Finds the organisation of a key in the configuration in force.

    The index of keys is rebuilt when the configuration's revision changes, so that authenticating
    a request costs one hash and one comparison with 13,000 organisations as with five.
    """

    def __init__(self) -> None:
        self._revision: ReleaseRevision | None = None
        self._keys_by_digest: dict[str, tuple[Organisation, OrganisationKey]] = {}

    def authenticate(
        self, header: str | None, configuration: Configuration, now: datetime
    ) -> Result[Organisation, Problem]:
        """Return the organisation whose key the header carries."""
        match bearer_key(header):
            case Err() as error:
                return error
            case Ok(key):
                return self._find_organisation(key_digest(key), configuration, now)
        raise AssertionError("a Result is Ok or Err")

    def _find_organisation(
        self, digest: str, configuration: Configuration, now: datetime
    ) -> Result[Organisation, Problem]:
        if self._revision != configuration.revision:
            self._keys_by_digest = {
                key.sha256: (organisation, key)
                for organisation in configuration.organisations.values()
                for key in organisation.keys
            }
            self._revision = configuration.revision
        entry = self._keys_by_digest.get(digest)
        if entry is None or not hmac.compare_digest(entry[1].sha256, digest):
            return Err(Problem(ResultCode.KEY_INVALID, "the key belongs to no organisation"))
        organisation, key = entry
        if key.expires is not None and key.expires <= now:
            return Err(Problem(ResultCode.KEY_EXPIRED, "ask your operator for a new key"))
        return Ok(organisation)


class OperatorKeys:
    """Checks operator keys against the hashes in the node's settings."""

    def __init__(self, digests: Iterable[str]) -> None:
        self._digests = tuple(digests)

    def authenticate(self, header: str | None) -> Result[None, Problem]:
        """Return Ok if the header carries an operator key."""
        match bearer_key(header):
            case Err() as error:
                return error
            case Ok(key):
                digest = key_digest(key)
                # Comparing with every digest hides in the response time which key nearly matched.
                matches = [hmac.compare_digest(stored, digest) for stored in self._digests]
                if any(matches):
                    return Ok(None)
                return Err(Problem(ResultCode.KEY_INVALID, "the key is no operator key"))
        raise AssertionError("a Result is Ok or Err")
