"""Files, directories and links as records in extents. No I/O: bytes in, entries out.

A directory is a log of records in one extent; the last record of a name holds. A file's record is its manifest: length,
times, and the checksums of its blocks, each of which is an extent named by its checksum and never changed. So a file is
visible whole with its record or not at all, a reader of an older record reads the older file, and writing a block twice
does no harm.

A record is `length u32 | XXH32 u32 | body`, big-endian; the body is one msgpack array. A log is only appended to, at an
end that the writer names: the storage node rejects the append if the log is longer by then.
"""

from __future__ import annotations

import stat
import struct

import msgspec
import xxhash
from blake3 import blake3

from pebblehinge.rsync.errors import EXIT_FILE_IO, EXIT_PROTOCOL, RsyncError

RECORD_HEADER = struct.Struct(">II")

CHECKSUM_BYTES = 16
"""Length of the checksum that names a block."""

HOLE = bytes(CHECKSUM_BYTES)
"""In the place of the checksum of a block of zeros, which is not stored."""

HOLE_PROBE_BYTES = 64
"""Bytes of a block that are looked at before all of them, to tell quickly that it is no hole."""

MAX_INLINE_BYTES = 2048
"""A file up to this length is stored in its record."""

MAX_CHECKSUM_LIST_BYTES = 4096
"""Bytes of checksums in a record; a longer list is stored in blocks of its own, of this length."""

MAX_NAME_BYTES = 255
MAX_LABELS = 4096
"""Labels of commits that a directory remembers."""

PERMISSIONS = 0o7777

KIND_FILE = "f"
KIND_DIRECTORY = "d"
KIND_LINK = "l"
KIND_REMOVED = "x"

_UNIX_TYPES = {KIND_FILE: stat.S_IFREG, KIND_DIRECTORY: stat.S_IFDIR, KIND_LINK: stat.S_IFLNK}


class DirectoryEntry(msgspec.Struct, array_like=True, frozen=True):
    """What a record says of one name. The order of the fields is the record's format.

    Attributes:
        kind: `KIND_FILE`, `KIND_DIRECTORY`, `KIND_LINK` or `KIND_REMOVED`.
        name: The name within its directory.
        size: Length in bytes.
        mtime: Time of the last change, in seconds since 1970.
        mode: Permissions.
        digest: Checksum of the content, see `content_checksum`.
        block: Length of a block in bytes.
        checksums: Of the blocks, `CHECKSUM_BYTES` each; if `indirect`, of the blocks that hold those.
        indirect: Whether the list of checksums is stored in blocks of its own.
        data: All of a small file; a link's target.
        label: The commit's label, see `commit_label`.
    """

    kind: str
    name: bytes
    size: int = 0
    mtime: int = 0
    mode: int = 0
    digest: bytes = b""
    block: int = 0
    checksums: bytes = b""
    indirect: bool = False
    data: bytes = b""
    label: str = ""

    @property
    def is_directory(self) -> bool:
        """Whether this is a directory."""
        return self.kind == KIND_DIRECTORY

    def unix_mode(self) -> int:
        """Returns type and permissions as Unix has them."""
        return _UNIX_TYPES[self.kind] | (self.mode & PERMISSIONS)


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(DirectoryEntry).decode


def encode_entry(entry: DirectoryEntry) -> bytes:
    """Returns the record of an entry."""
    body = _encode(entry)
    return RECORD_HEADER.pack(len(body), xxhash.xxh32_intdigest(body)) + body


def block_checksum(data: bytes) -> bytes:
    """Returns the checksum that names a block; `HOLE` for zeros alone."""
    if not any(data[:HOLE_PROBE_BYTES]) and not data.strip(b"\0"):
        return HOLE
    return blake3(data).digest(CHECKSUM_BYTES)


def content_checksum(size: int, checksums: list[bytes]) -> bytes:
    """Returns the checksum of a file's content: that of its length and its blocks' checksums."""
    return blake3(b"%d:" % size + b"".join(checksums)).digest(CHECKSUM_BYTES)


def commit_label(path: bytes, entry: DirectoryEntry, replaced_label: str) -> str:
    """Returns what identifies a commit: the same file with the same content in place of the same earlier one.

    Two attempts at one commit have the same label, whoever makes them; a later commit of the same content has another,
    since what it replaces differs.
    """
    fields = (path, entry.kind, entry.size, entry.mtime, entry.mode, entry.digest, entry.data, replaced_label)
    return xxhash.xxh3_128_hexdigest(_encode(fields))


def directory_extent(module: str, path: bytes) -> str:
    """Returns the name of the extent with a directory's log."""
    return f"{module}/d/{xxhash.xxh3_128_hexdigest(path)}"


def block_extent(module: str, checksum: bytes) -> str:
    """Returns the name of the extent with a block."""
    return f"{module}/b/{checksum.hex()}"


def slot_of(extent: str, slots: list[int]) -> int:
    """Returns the slot of a volume in which an extent lies."""
    return slots[xxhash.xxh32_intdigest(extent.encode()) % len(slots)]


def split_checksums(raw: bytes) -> list[bytes]:
    """Splits a list of checksums as a record holds it."""
    return [raw[start : start + CHECKSUM_BYTES] for start in range(0, len(raw), CHECKSUM_BYTES)]


class Directory:
    """One directory, as far as its log was read.

    Attributes:
        entries: What stands in it, by name.
        labels: Labels of its latest commits, the oldest first.
        end: Length of the log up to where it was read, in bytes.
        partial_record: The bytes at the end that are no whole record yet.
    """

    def __init__(self) -> None:
        self.entries: dict[bytes, DirectoryEntry] = {}
        self.labels: dict[str, None] = {}
        self.end = 0
        self.partial_record = b""

    def feed(self, data: bytes) -> None:
        """Takes more of the log. Raises RsyncError if it is damaged; what was read before stays."""
        raw = self.partial_record + data
        position = 0
        while position + RECORD_HEADER.size <= len(raw):
            length, checksum = RECORD_HEADER.unpack_from(raw, position)
            body_start = position + RECORD_HEADER.size
            body = raw[body_start : body_start + length]
            if len(body) < length:
                break
            if xxhash.xxh32_intdigest(body) != checksum:
                damaged_at = self.end - len(self.partial_record) + position
                raise RsyncError(f"a directory's log is damaged at byte {damaged_at}", EXIT_FILE_IO)
            try:
                self.apply(_decode(body))
            except msgspec.MsgspecError as error:
                raise RsyncError(f"a directory's log holds what is not known here: {error}", EXIT_FILE_IO) from None
            position = body_start + length
        self.end += len(data)
        self.partial_record = raw[position:]

    def feed_from(self, offset: int, data: bytes) -> None:
        """Takes bytes of the log that stand at an offset, without those that were read already.

        Two who read, or one who reads and one who appends, may get the same bytes.
        """
        if offset + len(data) > self.end >= offset:
            self.feed(data[self.end - offset :])

    def apply(self, entry: DirectoryEntry) -> None:
        """Makes an entry hold."""
        if entry.kind == KIND_REMOVED:
            self.entries.pop(entry.name, None)
        else:
            self.entries[entry.name] = entry
        if entry.label:
            self.labels[entry.label] = None
            if len(self.labels) > MAX_LABELS:
                del self.labels[next(iter(self.labels))]

    def has_label(self, label: str) -> bool:
        """Whether a commit with this label is in the log, as far as it was read."""
        return label in self.labels

    def sorted(self) -> list[DirectoryEntry]:
        """Returns the entries in the order of their names."""
        return [self.entries[name] for name in sorted(self.entries)]


def split_path(path: bytes) -> tuple[bytes, bytes]:
    """Returns the directory of a path and its last part; the top is b""."""
    directory, _, name = path.rpartition(b"/")
    return directory, name


def join_path(directory: bytes, name: bytes) -> bytes:
    """Returns the path of a name in a directory; the top is b""."""
    return directory + b"/" + name if directory else name


def normalize_path(path: bytes) -> bytes:
    """Returns a path below a module's top without empty parts and `.`; raises RsyncError for `..` and long names."""
    parts = [part for part in path.split(b"/") if part not in (b"", b".")]
    if b".." in parts or any(b"\0" in part or len(part) > MAX_NAME_BYTES for part in parts):
        text = f"{path[:80]!r}: no part of a path may be `..` or longer than {MAX_NAME_BYTES} bytes"
        raise RsyncError(text, EXIT_PROTOCOL)
    return b"/".join(parts)
