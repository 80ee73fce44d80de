"""Port: what the store holds, and how its values are read."""

from collections.abc import Callable
from dataclasses import dataclass

from chervilrack._internal.catalogue.state import ServingConfiguration, UpstreamEntry


@dataclass(frozen=True, slots=True)
class StoreSchema:
    """Keys of the store and decoders of their values.

    Decoders take key and value and raise ChervilrackError for a value that cannot be read.
    """

    configuration_key: str
    upstream_prefix: str
    node_prefix: str
    decode_configuration: Callable[[bytes], ServingConfiguration]
    decode_upstream: Callable[[str, bytes], UpstreamEntry]
