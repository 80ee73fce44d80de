"""Messages between a node that orders pieces and the owner of a stage service's queue."""

import msgspec

from chervilrack._internal.common.units import Count, Milliseconds


class PiecesWanted(msgspec.Struct, frozen=True, array_like=True):
    """Orders pieces of one stage of one request from the owner.

    ``order`` is the number that the sender has given to the order. ``due_ms`` and ``remaining_ms``
    are relative to the time of sending, because the clocks of nodes differ. ``zone`` is the zone
    that holds the inputs or reads the results, and ``move_bytes`` is the number of bytes that cross
    zones if a piece is produced in another zone. ``work`` is empty if the order needs no admission.
    Otherwise it holds the services and numbers of pieces of this stage and of those that follow.
    """

    order: Count
    service: str
    request_id: str
    stage: Count
    segments: tuple[int, ...]
    key: str
    inputs: tuple[str, ...]
    due_ms: Milliseconds
    remaining_ms: Milliseconds
    result_size: Count
    zone: str
    move_bytes: Count
    priority: int
    organisation: str = ""
    work: tuple[tuple[str, Count], ...] = ()


class PiecesQueued(msgspec.Struct, frozen=True, array_like=True):
    """Confirms that the owner has queued an order.

    ``wait_ms`` is the expected time until all results of the order are available if all pieces that
    wait are called before it.
    """

    order: Count
    wait_ms: Milliseconds


class PiecesBegun(msgspec.Struct, frozen=True, array_like=True):
    """Reports that the upstreams have read the inputs of all pieces of an order."""

    order: Count


class PiecesMade(msgspec.Struct, frozen=True, array_like=True):
    """Carries results of an order: pairs of a segment and its result.

    A result is a handle, or ``!`` followed by the name of the failure. ``retry_after_ms`` is the
    time until the first upstream takes calls again if all of them want a pause, otherwise 0.
    """

    order: Count
    results: tuple[tuple[int, str], ...]
    retry_after_ms: Milliseconds = 0


class PiecesDropped(msgspec.Struct, frozen=True, array_like=True):
    """Cancels the waiting pieces of an order whose request has ended."""

    order: Count


class PiecesReturned(msgspec.Struct, frozen=True, array_like=True):
    """Returns segments that are in no call, because the sender no longer owns the queue.

    The receiver orders these segments from the new owner.
    """

    order: Count
    segments: tuple[int, ...]


class ResultsReleased(msgspec.Struct, frozen=True, array_like=True):
    """Releases results that are no longer needed.

    ``evictable`` results have been read. They are kept until their space is needed, because they
    are needed again if the call that read them fails.
    """

    service: str
    handles: tuple[str, ...]
    evictable: bool = False
