"""Format of a journal's segment files: bytes to records and back.

    journal-NUMBER.seg   `header`, then batches

A header is `magic 8 | version u16 | segment u32 | number u64`, the highest record number given out before it; a batch
is `mark 4 | length u32 | XXH64 u64 | body`, big-endian; the body is one msgpack array of records. A batch is written
and synced before the next is begun. So a damaged batch with nothing after it was never confirmed and is cut; one with a
sound batch after it had been, and the journal is refused with the place.
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
    """The values of a segment's header."""

    magic: bytes
    version: int
    segment: int
    last_number: int


@dataclass(slots=True, frozen=True)
class SegmentContents:
    """The batches of a segment, and how many bytes of its file are sound."""

    batches: list[list[Record]]
    valid_bytes: int


def segment_name(number: int) -> str:
    """The file name of a segment."""
    return f"{NAME_PREFIX}{number:08d}{NAME_SUFFIX}"


def segment_number(name: str) -> int:
    """The number in the file name of a segment."""
    return int(name[len(NAME_PREFIX) : -len(NAME_SUFFIX)])


def segment_names(names: list[str]) -> list[str]:
    """Those of a folder's file names that are segments, the oldest first."""
    return sorted(n for n in names if n.startswith(NAME_PREFIX) and n.endswith(NAME_SUFFIX))


def encode_header(segment: int, last_number: int) -> bytes:
    """The header of a new segment."""
    return HEADER.pack(MAGIC, VERSION, segment, last_number)


def decode_header(data: bytes) -> SegmentHeader:
    """The header at the start of these bytes, which are long enough for one."""
    return SegmentHeader(*HEADER.unpack_from(data))


def encode_batch(records: list[Record]) -> bytes:
    """One batch of these records."""
    body = _encode_records(records)
    return BATCH_HEADER.pack(BATCH_MAGIC, len(body), xxhash.xxh64_intdigest(body)) + body


def batch_size(data: bytes, at: int) -> int:
    """Bytes of the sound batch at an offset."""
    length: int = BATCH_HEADER.unpack_from(data, at)[1]
    return BATCH_HEADER.size + length


def read_segment(name: str, data: bytes, last: bool) -> SegmentContents:
    """Reads a segment file.

    Args:
        name: Its name, for messages.
        data: Its bytes.
        last: Whether it is the newest segment, whose end may be cut off or torn.

    Raises:
        JournalDamagedError: It is damaged where batches may have been confirmed, or of an unknown format; the message
            has the place and what is sound before it.
    """
    if not _is_header_valid(name, data, last):
        return SegmentContents([], 0)
    at = HEADER.size
    batches: list[list[Record]] = []
    while at < len(data):
        records = decode_batch(data, at)
        if records is None:
            following = find_batch(data, at + 1)
            if last and following is None:
                break
            raise JournalDamagedError(_damage_message(name, at, following, len(batches)))
        batches.append(records)
        at += batch_size(data, at)
    return SegmentContents(batches, at)


def _is_header_valid(name: str, data: bytes, last: bool) -> bool:
    """False for a newest segment that was cut off or torn while it was made; raises for every other fault."""
    if len(data) < HEADER.size:
        if last:
            return False
        raise JournalDamagedError(
            f"{name}: its header is cut off though later segments are there; nothing of it can be read"
        )
    header = decode_header(data)
    if header.magic != MAGIC:
        if last and find_batch(data, 0) is None:
            return False  # its first sector was not written before the power went, and nothing after it was confirmed
        raise JournalDamagedError(f"{name}: no journal of this program")
    if header.version > VERSION:
        raise JournalDamagedError(
            f"{name}: written by a newer version ({header.version}); this one reads up to {VERSION}"
        )
    return True


def _damage_message(name: str, at: int, following: int | None, sound: int) -> str:
    where = "later segments are there" if following is None else f"a sound one follows at byte {following}"
    return (
        f"{name}: the batch at byte {at} is damaged and had been promised ({where}); the {sound} "
        "batches before it are sound. `pebblehinge store export` writes out what can be read"
    )


def decode_batch(data: bytes, at: int) -> list[Record] | None:
    """The records of the batch at an offset, None if there is no sound one."""
    if at + BATCH_HEADER.size > len(data):
        return None
    mark, length, digest = BATCH_HEADER.unpack_from(data, at)
    body = data[at + BATCH_HEADER.size : at + BATCH_HEADER.size + length]
    if mark != BATCH_MAGIC or length > MAX_BODY_BYTES or len(body) != length or xxhash.xxh64_intdigest(body) != digest:
        return None
    try:
        return _decode_records(body)
    except msgspec.MsgspecError:
        return None


def find_batch(data: bytes, at: int) -> int | None:
    """The offset of the first sound batch from an offset on, None if there is none."""
    while (at := data.find(BATCH_MAGIC, at)) >= 0:
        if decode_batch(data, at) is not None:
            return at
        at += 1
    return None
