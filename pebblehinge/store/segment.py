"""The format of a journal's segments: bytes to records and back.

    journal-NUMBER.seg   `header`, then batches

A header is `magic 8 | version u16 | segment u32 | number u64`, the highest number given out before it; a batch is
`mark 4 | length u32 | XXH64 u64 | body`, big-endian; the body is one msgpack array of records. A batch is written and
synced before the next is begun. So a damaged batch with nothing after it was never promised and is cut; one with a
sound batch after it had been, and the journal is refused with the place.
"""

from __future__ import annotations

import struct

import msgspec
import xxhash

from pebblehinge.store.disk import StorageError
from pebblehinge.store.records import Record

MAGIC, VERSION = b"pbhjrnl\n", 1
HEADER = struct.Struct(">8sHIQ")
MARK = b"\xc5PB\x9e"
BATCH = struct.Struct(">4sIQ")
LARGEST = 128 << 20
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(list[Record]).decode


def name_of(number: int) -> str:
    return f"journal-{number:08d}.seg"


def frame(records: list[Record]) -> bytes:
    body = _encode(records)
    return BATCH.pack(MARK, len(body), xxhash.xxh64_intdigest(body)) + body


def read_segment(name: str, data: bytes, last: bool) -> tuple[list[list[Record]], int]:
    """The batches, and how many bytes of the file are sound. Raises StorageError with the place and what is safe."""
    if len(data) < HEADER.size:
        if last:
            return [], 0  # cut off while it was made
        raise StorageError(f"{name}: its header is cut off though later segments are there; nothing of it can be read")
    magic, version, _, _ = HEADER.unpack_from(data)
    if magic != MAGIC:
        if last and later_batch(data, 0) < 0:
            return [], 0  # its first sector was not written before the power went, and nothing after it was promised
        raise StorageError(f"{name}: no journal of this program")
    if version > VERSION:
        raise StorageError(f"{name}: written by a newer version ({version}); this one reads up to {VERSION}")
    at, batches = HEADER.size, []
    while at < len(data):
        records = batch_at(data, at)
        if records is None:
            later = later_batch(data, at + 1)
            if last and later < 0:
                return batches, at
            where = f"a sound one follows at byte {later}" if later >= 0 else "later segments are there"
            raise StorageError(
                f"{name}: the batch at byte {at} is damaged and had been promised ({where}); the {len(batches)} "
                "batches before it are sound. `pebblehinge store export` writes out what can be read"
            )
        batches.append(records)
        at += BATCH.size + BATCH.unpack_from(data, at)[1]
    return batches, at


def batch_at(data: bytes, at: int) -> list[Record] | None:
    if at + BATCH.size > len(data):
        return None
    mark, length, wanted = BATCH.unpack_from(data, at)
    body = data[at + BATCH.size : at + BATCH.size + length]
    if mark != MARK or length > LARGEST or len(body) != length or xxhash.xxh64_intdigest(body) != wanted:
        return None
    try:
        return _decode(body)
    except msgspec.MsgspecError:
        return None


def later_batch(data: bytes, at: int) -> int:
    """Where a sound batch stands from here on, or -1."""
    while (at := data.find(MARK, at)) >= 0:
        if batch_at(data, at) is not None:
            return at
        at += 1
    return -1
