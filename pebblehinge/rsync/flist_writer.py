"""File list encoding: names, sizes, times and modes; of each entry what differs from the one before."""

from __future__ import annotations

import stat

from pebblehinge.rsync.flist import (
    FLAG_END_ERROR,
    FLAG_EXTENDED,
    FLAG_LONG_NAME,
    FLAG_SAME_GID,
    FLAG_SAME_MODE,
    FLAG_SAME_NAME,
    FLAG_SAME_TIME,
    FLAG_SAME_UID,
    FLAG_TOP_DIR,
    ListedFile,
    ListFormat,
)
from pebblehinge.rsync.numbers import int32, longint, short, varint, varlong

MAX_BYTE = 255
MAX_OLD_TIME = 0x7FFFFFFF


class FileListWriter:
    """Encodes a list, entry by entry."""

    def __init__(self, list_format: ListFormat) -> None:
        self._format = list_format
        self._previous: ListedFile | None = None

    def encode(self, entry: ListedFile, is_top: bool = False) -> bytes:
        """Returns the bytes of the next entry; `is_top` marks the transfer's top directory."""
        shared = self._shared_name_bytes(entry)
        name = entry.name[shared:]
        flags = self._same_flags(entry)
        flags |= FLAG_TOP_DIR if is_top and entry.is_directory else 0
        flags |= FLAG_SAME_NAME if shared else 0
        flags |= FLAG_LONG_NAME if len(name) > MAX_BYTE else 0
        encoded, flags = self._encode_flags(flags, entry)
        if shared:
            encoded += bytes([shared])
        encoded += self._number(len(name)) if flags & FLAG_LONG_NAME else bytes([len(name)])
        encoded += name + self._encode_attributes(entry, flags)
        self._previous = entry
        return encoded

    def _number(self, value: int) -> bytes:
        return varint(value) if self._format.version >= 30 else int32(value)

    def _shared_name_bytes(self, entry: ListedFile) -> int:
        """Returns how many bytes the name begins with as the previous one does."""
        previous = self._previous.name if self._previous is not None else b""
        shared = 0
        while shared < min(MAX_BYTE, len(entry.name), len(previous)) and entry.name[shared] == previous[shared]:
            shared += 1
        return shared

    def _same_flags(self, entry: ListedFile) -> int:
        previous = self._previous
        if previous is None:
            return 0
        flags = FLAG_SAME_MODE if entry.mode == previous.mode else 0
        flags |= FLAG_SAME_TIME if entry.mtime == previous.mtime else 0
        flags |= FLAG_SAME_UID if self._format.uid else 0
        return flags | (FLAG_SAME_GID if self._format.gid else 0)

    def _encode_flags(self, flags: int, entry: ListedFile) -> tuple[bytes, int]:
        """Returns the flags' bytes, and the flags: a byte of 0 would end the list, so one is set that means nothing."""
        if self._format.varint_flags:
            return varint(flags or FLAG_EXTENDED), flags
        if self._format.version >= 28:
            flags |= 0 if flags or entry.is_directory else FLAG_TOP_DIR
            return (bytes([flags]) if flags else short(FLAG_EXTENDED)), flags
        if not flags:
            flags = FLAG_LONG_NAME if entry.is_directory else FLAG_TOP_DIR
        return bytes([flags]), flags

    def _encode_attributes(self, entry: ListedFile, flags: int) -> bytes:
        is_new = self._format.version >= 30
        encoded = varlong(entry.size, 3) if is_new else longint(entry.size)
        if not flags & FLAG_SAME_TIME:
            encoded += varlong(entry.mtime, 4) if is_new else int32(entry.mtime & MAX_OLD_TIME)
        if not flags & FLAG_SAME_MODE:
            encoded += int32(entry.mode)
        for id_format in self._format.ids:
            if not flags & id_format.same_flag:  # everything here belongs to nobody in particular
                encoded += self._number(0)
        if self._format.links and stat.S_ISLNK(entry.mode):
            encoded += self._number(len(entry.link)) + entry.link
        digest_bytes = self._format.digest_bytes
        if digest_bytes and (entry.is_file or self._format.version < 28):
            encoded += entry.digest.ljust(digest_bytes, b"\0")[:digest_bytes]
        return encoded

    def encode_end(self, error: int = 0) -> bytes:
        """Returns the end, and what follows a list: names of owners, which there are none of, and the I/O error."""
        if self._format.varint_flags:
            encoded = varint(0) + varint(error)
        elif error and self._format.io_error_end:
            encoded = short(FLAG_EXTENDED | FLAG_END_ERROR) + varint(error)
        else:
            encoded = b"\0"
        if not self._format.numeric:
            for _ in self._format.ids:
                encoded += self._number(0)
                if self._format.id0:
                    encoded += b"\0"
        if self._format.version < 30:
            encoded += int32(error)
        return encoded
