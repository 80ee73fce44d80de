"""Port: keys of the platform's store and decoders of their values."""

from collections.abc import Callable
from dataclasses import dataclass

from chervilrack._internal.catalogue.state import ServingConfiguration, UpstreamEntry
from chervilrack._internal.common.ids import ZoneId


@dataclass(frozen=True, slots=True)
class StoreSchema:
    """Keys and key prefixes of the store, with the decoders of their values.

    Decoders raise ChervilrackError for a value that cannot be decoded.
    """

    configuration_key: str
    upstream_prefix: str
    node_prefix: str
    block_prefix: str
    evacuation_prefix: str
    decode_configuration: Callable[[bytes], ServingConfiguration]
    decode_upstream: Callable[[str, bytes], UpstreamEntry]
    decode_evacuation: Callable[[str], ZoneId]
