"""Journal of effects: a file that outlives the process of a storage node.

Each record is `length u32 | checksum u32 | effect`, big-endian; the checksum is XXH32 over the effect, which is one
msgpack array. An effect is written before its attempt is answered, so the attempt of a torn last record was never
answered.
"""

from __future__ import annotations

import os
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec
import xxhash

from pebblehinge.storage_node.errors import JournalError

RECORD_HEADER = struct.Struct(">II")
"""Length and checksum at the start of a record."""

MAX_RECORD_BYTES = 1 << 26
"""Maximum length of an effect; a greater length means that the record is damaged."""

JOURNAL_FILE_MODE = 0o644
"""Permissions of a new journal."""


class Effect(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A write or append that took effect. The fields are stored in this order.

    Attributes:
        time_ms: When it took effect, in milliseconds.
        request_id: The request's id.
        extent: The extent that was written to.
        offset: Offset in the extent, in bytes.
        key: The idempotency key, if the request has one.
        data: The bytes that were written.
        attempt_index: Index of the attempt, 0 for the first.
    """

    time_ms: float
    request_id: str
    extent: str
    offset: int
    key: str | None
    data: bytes
    attempt_index: int


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """An effect of the journal, and the offset in bytes at which its record ends."""

    effect: Effect
    end: int


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Effect).decode


def read_journal(path: Path) -> Iterator[JournalEntry]:
    """Yields the effects of a journal in order, up to its end or to a torn last record.

    Raises:
        JournalError: A record before the last one is damaged.
        OSError: The file can't be read.
    """
    data = path.read_bytes()
    start = 0
    while start + RECORD_HEADER.size <= len(data):
        length, checksum = RECORD_HEADER.unpack_from(data, start)
        end = start + RECORD_HEADER.size + length
        body = data[start + RECORD_HEADER.size : end]
        is_complete = len(body) == length
        if length > MAX_RECORD_BYTES or (is_complete and xxhash.xxh32_intdigest(body) != checksum):
            raise JournalError(f"{path}: the record at byte {start} is damaged; the records before it are valid")
        if not is_complete:
            return  # the process was killed during this write, and never answered the attempt
        yield JournalEntry(_decode(body), end)
        start = end


class EffectJournal:
    """Journal that effects are appended to, once `recover` has truncated a torn tail and opened the file.

    Args:
        path: Path of the file, whose folder is created if it is missing.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self._descriptor = -1

    def recover(self) -> list[Effect]:
        """Returns the effects of earlier processes, and opens the journal for appending after the last one.

        Raises:
            JournalError: The journal is damaged.
            OSError: The file can't be read or opened.
        """
        self.path.parent.mkdir(parents=True, exist_ok=True)
        effects: list[Effect] = []
        if self.path.exists():
            end = 0
            for entry in read_journal(self.path):
                effects.append(entry.effect)
                end = entry.end
            os.truncate(self.path, end)
        self._descriptor = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, JOURNAL_FILE_MODE)
        return effects

    def append(self, effect: Effect) -> None:
        """Appends one effect; raises OSError if it can't be written."""
        body = _encode(effect)
        os.write(self._descriptor, RECORD_HEADER.pack(len(body), xxhash.xxh32_intdigest(body)) + body)

    def close(self) -> None:
        """Closes the file if it is open."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
