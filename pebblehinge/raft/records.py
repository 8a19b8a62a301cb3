"""The file formats of a member: log segments, which consist of records, and checksummed files, replaced as a whole.

A record is `length u32 | XXH32 u32 | kind u8 | msgpack`; the length and the checksum cover the kind byte and the
msgpack. A checksummed file is `XXH32 u32 | msgpack`. All numbers are big-endian.
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
KIND_BYTES = 1  # the part of the header that a record's length includes
MAX_RECORD_BYTES = 64 << 20

_Value = TypeVar("_Value")


class RecordKind(IntEnum):
    """The kind of a record's content; the values are stored."""

    ENTRY = 1  # an `Entry`
    TRUNCATION = 2  # the index of a `Truncation`


@dataclass(frozen=True, slots=True)
class Truncation:
    """A record that removes all earlier stored entries from `index` on from the log."""

    index: int


@dataclass(frozen=True, slots=True)
class Segment:
    """The records of a segment, and the length of its file in bytes without a torn tail."""

    records: list[Entry | Truncation]
    valid_bytes: int


def encode_record(record: Entry | Truncation) -> bytes:
    """Returns the encoded record."""
    if isinstance(record, Truncation):
        kind, payload = RecordKind.TRUNCATION, msgspec.msgpack.encode(record.index)
    else:
        kind, payload = RecordKind.ENTRY, msgspec.msgpack.encode(record)
    body = bytes([kind]) + payload
    return RECORD_HEADER.pack(len(body), xxhash.xxh32_intdigest(body), kind) + payload


def decode_segment(data: bytes, name: str, newest: bool) -> Segment:
    """Decodes a segment's file.

    In the newest segment, decoding stops before a tail that was torn by a power failure: the member has not
    acknowledged it, since its fsync did not finish. Other damaged records may have been acknowledged.

    Args:
        data: The content of the file.
        name: The name of the file, for error messages.
        newest: Whether this is the newest segment.

    Raises:
        StorageDamagedError: A record is damaged, and it is not a torn tail of the newest segment.
    """
    records: list[Entry | Truncation] = []
    start = 0
    while start < len(data):
        end = _record_end(data, start)
        if end is None:
            if newest and _is_torn_tail(data, start):
                break
            raise StorageDamagedError(
                f"{name}: the record at byte {start} is damaged, {len(data) - start} bytes before the end; it may have "
                "been acknowledged, so this member does not start. Remove it from the group and add a new member"
            )
        records.append(_decode_record(data[start:end]))
        start = end
    return Segment(records, start)


def encode_checksummed(value: object) -> bytes:
    """Returns the content of a checksummed file with one value."""
    body = msgspec.msgpack.encode(value)
    return CHECKSUM_HEADER.pack(xxhash.xxh32_intdigest(body)) + body


def decode_checksummed(data: bytes, value_type: type[_Value], name: str) -> _Value:
    """Returns the value of a checksummed file.

    Args:
        data: The content of the file.
        value_type: The type of the value.
        name: The name of the file, for error messages.

    Raises:
        StorageDamagedError: The checksum does not match.
    """
    body = data[CHECKSUM_HEADER.size :]
    if len(data) < CHECKSUM_HEADER.size or xxhash.xxh32_intdigest(body) != CHECKSUM_HEADER.unpack_from(data)[0]:
        raise StorageDamagedError(f"{name} is damaged: this member can't know what it has acknowledged")
    return msgspec.msgpack.decode(body, type=value_type)


def _declared_end(data: bytes, start: int) -> int | None:
    """Returns the end of the record at `start` according to its length field, None if its header is incomplete."""
    if start + RECORD_HEADER.size > len(data):
        return None
    length: int = RECORD_HEADER.unpack_from(data, start)[0]
    return start + RECORD_HEADER.size + length - KIND_BYTES


def _record_end(data: bytes, start: int) -> int | None:
    """Returns the end of the record at `start`, None if the record is incomplete or damaged."""
    end = _declared_end(data, start)
    if end is None or end > len(data):
        return None
    length, checksum, _ = RECORD_HEADER.unpack_from(data, start)
    if not 0 < length <= MAX_RECORD_BYTES:
        return None
    body = data[start + RECORD_HEADER.size - KIND_BYTES : end]
    return end if xxhash.xxh32_intdigest(body) == checksum else None


def _is_torn_tail(data: bytes, start: int) -> bool:
    """Returns whether the invalid record at `start` may be a torn write: it reaches the file's end, or all is zeros."""
    end = _declared_end(data, start)
    return end is None or end >= len(data) or not any(data[start:])


def _decode_record(record: bytes) -> Entry | Truncation:
    kind = RECORD_HEADER.unpack_from(record)[2]
    payload = record[RECORD_HEADER.size :]
    if kind == RecordKind.ENTRY:
        return msgspec.msgpack.decode(payload, type=Entry)
    return Truncation(msgspec.msgpack.decode(payload, type=int))
