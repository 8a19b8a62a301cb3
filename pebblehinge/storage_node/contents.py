"""What a shelf's slot stores: extents' bytes and the labels of what it did, kept by a journal of effects.

The journal is the record that no effect can leave out: an effect is written before it is told. A process that
is killed and started again, or its replacement at the same slot, reads the journal and goes on from there.
"""

from __future__ import annotations

import os
import struct
from collections.abc import Iterator
from pathlib import Path

import msgspec
import xxhash

HEAD = struct.Struct(">II")  # length of the record, XXH32 over it
LARGEST = 1 << 26


class JournalError(Exception):
    """A journal that can't be read on: where, and why."""


Record = tuple[float, str, str, int, str | None, bytes, int]  # time, id, extent, offset, label, data, attempt
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Record).decode


def read_journal(path: Path) -> Iterator[tuple[int, Record]]:
    """Offset and record of each effect. A torn tail ends it; damage before the tail raises JournalError."""
    data = path.read_bytes()
    at = 0
    while at + HEAD.size <= len(data):
        length, wanted = HEAD.unpack_from(data, at)
        body = data[at + HEAD.size : at + HEAD.size + length]
        if length > LARGEST or (len(body) == length and xxhash.xxh32_intdigest(body) != wanted):
            raise JournalError(f"{path}: the record at byte {at} is damaged; what stands before it is sound")
        if len(body) < length:
            return  # killed while writing: this effect was never told
        yield at, _decode(body)
        at += HEAD.size + length


class Contents:
    """The extents of one slot. Without a folder they last as long as this object, which a lab may hand on."""

    def __init__(self, folder: str | Path | None = None) -> None:
        self.extents: dict[str, bytearray] = {}
        self.labels: dict[str, float] = {}  # label -> when its effect was done
        self.effects: list[Record] = []  # kept only without a folder
        self.fd = -1
        if folder is not None:
            path = Path(folder) / "effects.journal"
            path.parent.mkdir(parents=True, exist_ok=True)
            end = 0
            if path.exists():
                for at, record in read_journal(path):
                    self._apply(record)
                    end = at + HEAD.size + len(_encode(record))
                os.truncate(path, end)
            self.fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def read(self, extent: str, offset: int, length: int) -> bytes:
        """Bytes as far as the extent goes."""
        return bytes(self.extents.get(extent, b"")[offset : offset + length])

    def write(
        self, now: float, id_: str, extent: str, offset: int, data: bytes, label: str | None, attempt: int
    ) -> None:
        """One effect: journalled, then applied."""
        record = (now, id_, extent, offset, label, data, attempt)
        if self.fd >= 0:
            body = _encode(record)
            os.write(self.fd, HEAD.pack(len(body), xxhash.xxh32_intdigest(body)) + body)
        else:
            self.effects.append(record)
        self._apply(record)

    def done(self, label: str, now: float, window_ms: float) -> bool:
        """Whether an effect of this label was done within the window."""
        at = self.labels.get(label)
        return at is not None and now - at <= window_ms

    def forget(self, now: float, window_ms: float) -> None:
        self.labels = {label: at for label, at in self.labels.items() if now - at <= window_ms}

    def close(self) -> None:
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1

    def _apply(self, record: Record) -> None:
        at, _, extent, offset, label, data, _ = record
        held = self.extents.setdefault(extent, bytearray())
        if len(held) < offset:
            held += bytes(offset - len(held))
        held[offset : offset + len(data)] = data
        if label is not None:
            self.labels[label] = at
