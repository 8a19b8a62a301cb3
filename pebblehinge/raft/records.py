"""The format of what a member stores: records of log segments, and sealed files that are replaced as a whole.

A record is `length u32 | XXH32 u32 | kind u8 | msgpack`; length and checksum are of the kind's byte with the
msgpack after it. A sealed file is `XXH32 u32 | msgpack`. All numbers are big-endian.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum
from typing import TypeVar

import msgspec
import xxhash

from pebblehinge.raft.entries import Entry
from pebblehinge.raft.errors import StorageDamagedError

RECORD_HEADER = struct.Struct(">IIB")
CHECKSUM_HEADER = struct.Struct(">I")
KIND_BYTES = 1  # of the header, counted in a record's length
MAX_RECORD_BYTES = 64 << 20

_Value = TypeVar("_Value")


class RecordKind(IntEnum):
    """What a record holds; the numbers are stored."""

    ENTRY = 1  # an `Entry`
    TRUNCATION = 2  # an index


@dataclass(frozen=True, slots=True)
class Truncation:
    """Entries from `index` on, as far as they were stored before, are no longer in the log."""

    index: int


@dataclass(frozen=True, slots=True)
class Segment:
    """The records of a segment, and the length of the file up to its torn tail, if it has one."""

    records: list[Entry | Truncation]
    valid_bytes: int


def encode_record(record: Entry | Truncation) -> bytes:
    """The bytes of a record."""
    if isinstance(record, Truncation):
        kind, payload = RecordKind.TRUNCATION, msgspec.msgpack.encode(record.index)
    else:
        kind, payload = RecordKind.ENTRY, msgspec.msgpack.encode(record)
    body = bytes([kind]) + payload
    return RECORD_HEADER.pack(len(body), xxhash.xxh32_intdigest(body), kind) + payload


def decode_segment(data: bytes, name: str, newest: bool) -> Segment:
    """The records of a segment's file.

    A tail that a power cut has torn was never promised: in the newest segment, decoding ends before it. Raises
    StorageDamagedError for any other damage, since what is damaged may have been promised.
    """
    records: list[Entry | Truncation] = []
    start = 0
    while start < len(data):
        end = _record_end(data, start)
        if end is None:
            if newest and _is_torn_tail(data, start):
                break
            raise StorageDamagedError(
                f"{name}: the record at byte {start} is damaged, with {len(data) - start} bytes from there on; it may "
                "have been promised, so this instance does not start. Remove it from the group and add it anew"
            )
        records.append(_decode_record(data[start:end]))
        start = end
    return Segment(records, start)


def encode_checksummed(value: object) -> bytes:
    """The bytes of a file that holds one value."""
    body = msgspec.msgpack.encode(value)
    return CHECKSUM_HEADER.pack(xxhash.xxh32_intdigest(body)) + body


def decode_checksummed(data: bytes, kind: type[_Value], name: str) -> _Value:
    """The value of a sealed file. Raises StorageDamagedError if the checksum does not match."""
    body = data[CHECKSUM_HEADER.size :]
    if len(data) < CHECKSUM_HEADER.size or xxhash.xxh32_intdigest(body) != CHECKSUM_HEADER.unpack_from(data)[0]:
        raise StorageDamagedError(f"{name} is damaged: this instance can't know what it has promised")
    return msgspec.msgpack.decode(body, type=kind)


def _claimed_end(data: bytes, start: int) -> int | None:
    """Where the record at `start` ends by its length; None if not even its header is whole."""
    if start + RECORD_HEADER.size > len(data):
        return None
    length: int = RECORD_HEADER.unpack_from(data, start)[0]
    return start + RECORD_HEADER.size + length - KIND_BYTES


def _record_end(data: bytes, start: int) -> int | None:
    """Where the record at `start` ends; None if it is not sound."""
    end = _claimed_end(data, start)
    if end is None or end > len(data):
        return None
    length, checksum, _ = RECORD_HEADER.unpack_from(data, start)
    if not 0 < length <= MAX_RECORD_BYTES:
        return None
    body = data[start + RECORD_HEADER.size - KIND_BYTES : end]
    return end if xxhash.xxh32_intdigest(body) == checksum else None


def _is_torn_tail(data: bytes, start: int) -> bool:
    """Whether a power cut may have left this: the record runs to the file's end or beyond, or the rest is zeros."""
    end = _claimed_end(data, start)
    return end is None or end >= len(data) or not any(data[start:])


def _decode_record(record: bytes) -> Entry | Truncation:
    kind = RECORD_HEADER.unpack_from(record)[2]
    payload = record[RECORD_HEADER.size :]
    if kind == RecordKind.ENTRY:
        return msgspec.msgpack.decode(payload, type=Entry)
    return Truncation(msgspec.msgpack.decode(payload, type=int))
