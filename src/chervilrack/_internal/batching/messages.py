"""Messages between a node that needs pieces and the owner of a stage service's queue."""

import msgspec


class PiecesWanted(msgspec.Struct, frozen=True, array_like=True):
    """Ask the owner for pieces of one stage of one request.

    ``order`` identifies this message at its sender. ``due_ms`` and ``remaining_ms`` count from
    the sending; nodes' clocks differ. ``zone`` is where the inputs lie or the results are wanted,
    and ``move_bytes`` the bytes that cross zones if a piece is made elsewhere.
    """

    order: int
    service: str
    request_id: str
    stage: int
    segments: tuple[int, ...]
    key: str
    inputs: tuple[str, ...]
    due_ms: int
    remaining_ms: int
    result_size: int
    zone: str
    move_bytes: int
    priority: int


class PiecesQueued(msgspec.Struct, frozen=True, array_like=True):
    """The owner has queued an order; ``wait_ms`` is the expected time until its results."""

    order: int
    wait_ms: int


class PiecesBegun(msgspec.Struct, frozen=True, array_like=True):
    """The upstreams have read the inputs of all pieces of an order."""

    order: int


class PiecesMade(msgspec.Struct, frozen=True, array_like=True):
    """Results of some segments: a handle, or the failure's name behind ``!``."""

    order: int
    results: tuple[tuple[int, str], ...]


class PiecesDropped(msgspec.Struct, frozen=True, array_like=True):
    """The request ended: its pieces that have not been sent are not needed."""

    order: int


class PiecesReturned(msgspec.Struct, frozen=True, array_like=True):
    """The sender no longer owns the queue: these segments were not called and go elsewhere."""

    order: int
    segments: tuple[int, ...]


class ResultsReleased(msgspec.Struct, frozen=True, array_like=True):
    """Results that nobody needs any longer.

    ``evictable`` ones have been read: they are kept until their space is needed, because a reader
    that fails would need them again.
    """

    service: str
    handles: tuple[str, ...]
    evictable: bool = False
