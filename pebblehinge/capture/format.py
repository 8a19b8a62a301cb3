"""The capture format, version 1.

    magic "PHCAPTUR" | version u16
    block: length u32 | XXH32 of the packed bytes u32 | zlib of one msgpack value
    block ...

Integers are big-endian. The first block is the `Heading`; every other block is a list of `CapturedRequest`.
"""

from __future__ import annotations

import struct

import msgspec

MAGIC = b"PHCAPTUR"
VERSION = 1
FILE_START = struct.Struct(">8sH")
"""Magic and version."""

BLOCK_START = struct.Struct(">II")
"""Length and checksum of the packed bytes that follow."""

MAX_BLOCK_BYTES = 1 << 26
"""A block that claims more packed bytes is damaged."""

REQUESTS_PER_BLOCK = 2000

OUTCOMES = ("honoured", "pushed back", "terminated", "left")
"""The stored words of `CapturedRequest.outcome`: succeeded, rejected, failed, client disconnected."""

SUCCEEDED_OUTCOME = 0
"""Index in OUTCOMES of requests that succeeded."""


class CapturedRequest(msgspec.Struct, array_like=True, frozen=True):
    """One finished request. The order of the fields is that of the stored array.

    Attributes:
        time_ms: When it arrived, in milliseconds from the capture's start.
        volume: The volume's name.
        quota_plan: The name of the volume's quota plan.
        request_class: The name of its request class.
        extent: The extent's name within the volume.
        slot: The placement slot of the extent.
        units: Its cost in units of work.
        write: Whether it was a write.
        retry: Whether the client had sent it before.
        length: Bytes read or written.
        outcome: Index of OUTCOMES.
        latency_ms: From arrival to answer, in milliseconds.
        last_attempt_ms: Duration of its last attempt at a storage node, in milliseconds; 0 if there was none.
        attempts: Number of its attempts.
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
        gateway: The name of the gateway that wrote it.
        wall_ms: Its start by the wall clock, in milliseconds since 1970.
        clock_ms: Its start by the gateway's monotonic clock, in milliseconds.
    """

    gateway: str
    wall_ms: float
    clock_ms: float
