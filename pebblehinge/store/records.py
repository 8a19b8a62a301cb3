"""Record types of a gateway's journal. Each record is stored as an array of its tag and its fields, in this order."""

from __future__ import annotations

import msgspec


class Write(msgspec.Struct, array_like=True, tag="w", frozen=True):
    """One confirmed write.

    Attributes:
        number: Sequence number among the writes and barriers of all volumes, unique for the life of the journal.
        volume: Name of the volume.
        extent: Name of the extent within the volume.
        slot: Slot of placement.
        offset: Offset of the data within the extent, in bytes.
        data: The bytes to write.
        idempotency_key: The client's idempotency key, or the request's trace id where the client sent none.
        request_class: Name of the request class.
        units: Cost of the request, in units.
    """

    number: int
    volume: str
    extent: str
    slot: int
    offset: int
    data: bytes
    idempotency_key: str
    request_class: str
    units: float


class Barrier(msgspec.Struct, array_like=True, tag="b", frozen=True):
    """An ordering point of a volume: earlier writes are written back before later ones.

    Attributes:
        number: Sequence number, shared with the writes.
        volume: Name of the volume.
    """

    number: int
    volume: str


class Completion(msgspec.Struct, array_like=True, tag="d", frozen=True):
    """States that writes have been written back to their storage nodes.

    Attributes:
        numbers: Sequence numbers of these writes.
    """

    numbers: list[int]


Record = Write | Barrier | Completion
