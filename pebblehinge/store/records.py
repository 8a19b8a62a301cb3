"""What the journal of a head records: confirmed writes, barriers, and which of them are done."""

from __future__ import annotations

import msgspec


class Write(msgspec.Struct, array_like=True, tag="w", frozen=True):
    """One confirmed write; `number` grows by one a record, over all volumes."""

    number: int
    volume: str
    extent: str
    slot: int
    offset: int
    data: bytes
    label: str
    profile: str
    units: float


class Barrier(msgspec.Struct, array_like=True, tag="b", frozen=True):
    """What was written to a volume before lands before what is written to it after."""

    number: int
    volume: str


class Done(msgspec.Struct, array_like=True, tag="d", frozen=True):
    """These writes stand at their shelfs."""

    numbers: list[int]


Record = Write | Barrier | Done
