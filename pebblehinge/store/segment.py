"""Encoding and decoding of a journal's segment files.

    journal-NUMBER.seg   a header, then batches

    header   magic 8 bytes | version u16 | segment u32 | highest record number assigned before it u64
    batch    magic 4 bytes | body length u32 | XXH64 of the body u64 | body, one msgpack array of records

Integers are big-endian. A batch is written and synced before the next one is begun. So a damaged batch with nothing
after it was never confirmed: it is a torn tail and is cut off. A damaged batch followed by a valid one was confirmed,
and reading the segment fails with the place of the damage.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import NamedTuple

import msgspec
import xxhash

from pebblehinge.store.errors import JournalDamagedError
from pebblehinge.store.records import Record

MAGIC = b"pbhjrnl\n"
VERSION = 1
HEADER = struct.Struct(">8sHIQ")
BATCH_MAGIC = b"\xc5PB\x9e"
BATCH_HEADER = struct.Struct(">4sIQ")
MAX_BODY_BYTES = 128 << 20
NAME_PREFIX = "journal-"
NAME_SUFFIX = ".seg"
_encode_records = msgspec.msgpack.Encoder().encode
_decode_records = msgspec.msgpack.Decoder(list[Record]).decode


class SegmentHeader(NamedTuple):
    """The values of a segment's header.

    Attributes:
        magic: Identifies the file format.
        version: Version of the file format.
        segment: Number of the segment.
        last_number: The highest record number assigned before the segment was created.
    """

    magic: bytes
    version: int
    segment: int
    last_number: int


@dataclass(slots=True, frozen=True)
class SegmentContents:
    """The content of a segment.

    Attributes:
        batches: The records, by batch.
        valid_bytes: Bytes of the file before its torn tail.
    """

    batches: list[list[Record]]
    valid_bytes: int


def segment_name(number: int) -> str:
    """Returns the file name of a segment."""
    return f"{NAME_PREFIX}{number:08d}{NAME_SUFFIX}"


def segment_number(name: str) -> int:
    """Returns the number in the file name of a segment."""
    return int(name[len(NAME_PREFIX) : -len(NAME_SUFFIX)])


def segment_names(names: list[str]) -> list[str]:
    """Returns the segments among the file names of a folder, the oldest first."""
    return sorted(n for n in names if n.startswith(NAME_PREFIX) and n.endswith(NAME_SUFFIX))


def encode_header(segment: int, last_number: int) -> bytes:
    """Encodes the header of a new segment."""
    return HEADER.pack(MAGIC, VERSION, segment, last_number)


def decode_header(data: bytes) -> SegmentHeader:
    """Decodes the header at the start of these bytes, which must be long enough for one."""
    return SegmentHeader(*HEADER.unpack_from(data))


def encode_batch(records: list[Record]) -> bytes:
    """Encodes records as one batch."""
    body = _encode_records(records)
    return BATCH_HEADER.pack(BATCH_MAGIC, len(body), xxhash.xxh64_intdigest(body)) + body


def batch_size(data: bytes, offset: int) -> int:
    """Returns the size in bytes of the valid batch at an offset."""
    length: int = BATCH_HEADER.unpack_from(data, offset)[1]
    return BATCH_HEADER.size + length


def read_segment(name: str, data: bytes, is_newest: bool) -> SegmentContents:
    """Reads a segment file.

    Args:
        name: The file's name, for messages.
        data: The file's content.
        is_newest: Whether it is the newest segment, which may be cut off or have a torn tail.

    Raises:
        JournalDamagedError: The segment is damaged where batches may have been confirmed, or its format is unknown;
            the message names the place and what is valid before it.
    """
    if not _is_header_valid(name, data, is_newest):
        return SegmentContents([], 0)
    offset = HEADER.size
    batches: list[list[Record]] = []
    while offset < len(data):
        records = decode_batch(data, offset)
        if records is None:
            next_valid = find_batch(data, offset + 1)
            if is_newest and next_valid is None:
                break
            raise JournalDamagedError(_damage_message(name, offset, next_valid, len(batches)))
        batches.append(records)
        offset += batch_size(data, offset)
    return SegmentContents(batches, offset)


def _is_header_valid(name: str, data: bytes, is_newest: bool) -> bool:
    """Returns False for a newest segment that a crash cut off or tore during its creation.

    Raises:
        JournalDamagedError: The header is invalid in any other way.
    """
    if len(data) < HEADER.size:
        if is_newest:
            return False
        raise JournalDamagedError(
            f"{name}: its header is cut off although later segments exist; none of it can be read"
        )
    header = decode_header(data)
    if header.magic != MAGIC:
        if is_newest and find_batch(data, 0) is None:
            return False  # a power cut lost the first sector, and no batch after it was confirmed
        raise JournalDamagedError(f"{name}: not a journal of this program")
    if header.version > VERSION:
        raise JournalDamagedError(
            f"{name}: written by a newer version ({header.version}); this program reads up to version {VERSION}"
        )
    return True


def _damage_message(name: str, offset: int, next_valid: int | None, valid_batches: int) -> str:
    evidence = "later segments exist" if next_valid is None else f"a valid batch follows at byte {next_valid}"
    return (
        f"{name}: the batch at byte {offset} is damaged but was promised ({evidence}); the {valid_batches} "
        "batches before it are valid. `pebblehinge store export` writes out the readable writes"
    )


def decode_batch(data: bytes, offset: int) -> list[Record] | None:
    """Returns the records of the batch at an offset, or None if there is no valid batch there."""
    if offset + BATCH_HEADER.size > len(data):
        return None
    magic, length, digest = BATCH_HEADER.unpack_from(data, offset)
    body = data[offset + BATCH_HEADER.size : offset + BATCH_HEADER.size + length]
    if magic != BATCH_MAGIC or length > MAX_BODY_BYTES or len(body) != length or xxhash.xxh64_intdigest(body) != digest:
        return None
    try:
        return _decode_records(body)
    except msgspec.MsgspecError:
        return None


def find_batch(data: bytes, offset: int) -> int | None:
    """Returns the offset of the first valid batch at or after an offset, or None if there is none."""
    while (offset := data.find(BATCH_MAGIC, offset)) >= 0:
        if decode_batch(data, offset) is not None:
            return offset
        offset += 1
    return None
