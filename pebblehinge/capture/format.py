"""The capture file format, version 1.

    magic "PHCAPTUR" | version u16
    block: length u32 | XXH32 of the compressed bytes u32 | one msgpack value, compressed with zlib
    block ...

Integers are big-endian. The first block is the `CaptureHeader`; every other block is a list of `CapturedRequest`.
"""

from __future__ import annotations

import struct

import msgspec

MAGIC = b"PHCAPTUR"
VERSION = 1
FILE_START = struct.Struct(">8sH")
"""Magic and version, the first bytes of the file."""

BLOCK_START = struct.Struct(">II")
"""Length and checksum of the compressed bytes that follow."""

MAX_BLOCK_BYTES = 1 << 26
"""The greatest compressed size of a block; a longer length means that the block is damaged."""

REQUESTS_PER_BLOCK = 2000

OUTCOMES = ("honoured", "pushed back", "terminated", "left")
"""The values of `CapturedRequest.outcome` by index: succeeded, rejected, failed, client disconnected."""

SUCCEEDED_OUTCOME = 0
"""The index in `OUTCOMES` of requests that succeeded."""


class CapturedRequest(msgspec.Struct, array_like=True, frozen=True):
    """One finished request. The order of the fields is that of the stored array.

    Attributes:
        time_ms: Arrival time in milliseconds since the capture's start.
        volume: Name of the volume.
        quota_plan: Name of the volume's quota plan.
        request_class: Name of the request class.
        extent: Name of the extent within the volume.
        slot: Slot of placement of the extent.
        units: Cost of the request, in units.
        write: Whether it was a write.
        retry: Whether the client had sent the request before.
        length: Bytes read or written.
        outcome: Index in `OUTCOMES`.
        latency_ms: Time from arrival to answer, in milliseconds.
        last_attempt_ms: Duration of the last attempt at a storage node, in milliseconds; 0 if there was none.
        attempts: Number of attempts.
    """

    time_ms: float
    volume: str
    quota_plan: str
    request_class: str
    extent: str
    slot: int
    units: float
    write: bool
    retry: bool
    length: int
    outcome: int
    latency_ms: float
    last_attempt_ms: float
    attempts: int


class CaptureHeader(msgspec.Struct, array_like=True, frozen=True):
    """The first block of a capture.

    Attributes:
        gateway: Name of the gateway that wrote the capture.
        wall_ms: Start of the capture by the wall clock, in milliseconds since 1970.
        clock_ms: Start of the capture by the gateway's monotonic clock, in milliseconds.
    """

    gateway: str
    wall_ms: float
    clock_ms: float
