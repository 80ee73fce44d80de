"""Records of blocked traits in the platform's store, which outlive the nodes that wrote them."""

from datetime import timedelta
from enum import Enum
from typing import Annotated

import msgspec
import xxhash

from chervilrack._internal.catalogue.state import UpstreamIncarnation
from chervilrack._internal.common.decoding import decode_json
from chervilrack._internal.common.ids import ServiceId, UpstreamId
from chervilrack._internal.quarantine.messages import (
    MAX_REPORTED_CRASHES,
    MAX_TRAIT_LENGTH,
    MAX_TRAITS,
    ReportedCrash,
)
from chervilrack._internal.quarantine.state import Crash, Suspect, Trait

_Name = Annotated[str, msgspec.Meta(max_length=MAX_TRAIT_LENGTH)]
# Probes are at least ten minutes apart by then.
MAX_PROBES = 1000
_MILLISECOND = timedelta(milliseconds=1)


class RecordState(Enum):
    """Whether requests with a trait are refused, or are known to be sound again."""

    BLOCKED = "blocked"
    CLEARED = "cleared"


class BlockRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="camel"):
    """A trait that crashes upstreams, as in ``Suspect``.

    Ages of crashes are those at the time of the write: clocks of nodes may differ.
    ``is_doubtful`` is whether something else may have caused the crashes, so that a request is to
    pass as a probe soon.
    """

    state: RecordState
    service: _Name
    trait: _Name
    common: Annotated[tuple[_Name, ...], msgspec.Meta(max_length=MAX_TRAITS)] = ()
    crashes: Annotated[
        tuple[ReportedCrash, ...], msgspec.Meta(max_length=MAX_REPORTED_CRASHES)
    ] = ()
    probes: Annotated[int, msgspec.Meta(ge=0, le=MAX_PROBES)] = 0
    is_doubtful: bool = False

    @property
    def name(self) -> str:
        """Name of the record, the same for the same service and trait."""
        return record_name(ServiceId(self.service), Trait(self.trait))

    def crashes_at(self, now: timedelta) -> list[tuple[UpstreamIncarnation, Crash]]:
        """Return the crashes with monotonic times, as if the record were written now."""
        return [
            (
                UpstreamIncarnation(UpstreamId(crash.upstream), crash.started_at_ms),
                Crash(now - crash.age_ms * _MILLISECOND, crash.at_start),
            )
            for crash in self.crashes
        ]


_decoder = msgspec.json.Decoder(BlockRecord)


def record_name(service: ServiceId, trait: Trait) -> str:
    """Return the name of the record of a trait, 16 hexadecimal digits."""
    return xxhash.xxh3_64_hexdigest(f"{service}\0{trait}".encode())


def block_record(suspect: Suspect, now: timedelta) -> BlockRecord:
    """Return the record of a suspect."""
    latest = sorted(suspect.crashes.items(), key=lambda item: item[1].at)[-MAX_REPORTED_CRASHES:]
    is_blocked = suspect.blocked_at is not None
    return BlockRecord(
        state=RecordState.BLOCKED if is_blocked else RecordState.CLEARED,
        service=suspect.service,
        trait=suspect.trait,
        common=tuple(sorted(suspect.common))[:MAX_TRAITS],
        crashes=tuple(
            ReportedCrash(
                upstream.id,
                max(0, upstream.started_at_ms),
                max(0, round((now - crash.at) / _MILLISECOND)),
                crash.at_start,
            )
            for upstream, crash in latest
        ),
        probes=min(suspect.probes, MAX_PROBES),
        is_doubtful=suspect.is_doubtful,
    )


def encode_record(record: BlockRecord) -> bytes:
    """Return the value of a record in the store."""
    return msgspec.json.encode(record)


def decode_record(key: str, value: bytes) -> BlockRecord:
    """Return the record in a value of the store; raises UnreadableValue."""
    return decode_json(key, value, _decoder.decode)
