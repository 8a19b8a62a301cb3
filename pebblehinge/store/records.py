"""Records of a gateway's journal. Each is stored as an array of its tag and its values, in this order."""

from __future__ import annotations

import msgspec


class Write(msgspec.Struct, array_like=True, tag="w", frozen=True):
    """One confirmed write.

    Attributes:
        number: Its place among all records of the journal's whole life, over all volumes.
        volume: Name of the volume.
        extent: Name of the extent within the volume.
        slot: Slot of placement.
        offset: Where the bytes begin, in bytes from the start of the extent.
        data: The bytes.
        label: The idempotency key.
        profile: Name of its request class.
        units: Size in units of work.
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
    """What was written to a volume before is written back before what is written to it after."""

    number: int
    volume: str


class Completion(msgspec.Struct, array_like=True, tag="d", frozen=True):
    """The writes of these numbers are on their storage nodes."""

    numbers: list[int]


Record = Write | Barrier | Completion
