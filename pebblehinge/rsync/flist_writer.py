"""File list encoding: names, sizes, times and modes, each entry told as far as it differs from the one before."""

from __future__ import annotations

import stat

from pebblehinge.rsync.flist import (
    END_ERROR,
    EXTENDED,
    LONG_NAME,
    SAME_GID,
    SAME_MODE,
    SAME_NAME,
    SAME_TIME,
    SAME_UID,
    TOP_DIR,
    Named,
    Shape,
)
from pebblehinge.rsync.numbers import int32, longint, short, varint, varlong


class ListOut:
    """Writes a list, entry by entry."""

    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self.name, self.mode, self.mtime = b"", 0, 0
        self.first = True

    def entry(self, e: Named, top: bool = False) -> bytes:
        shape = self.shape
        flags = TOP_DIR if top and e.folder else 0
        flags |= SAME_MODE if not self.first and e.mode == self.mode else 0
        flags |= SAME_TIME if not self.first and e.mtime == self.mtime else 0
        flags |= (SAME_UID if shape.uid and not self.first else 0) | (SAME_GID if shape.gid and not self.first else 0)
        same = 0
        while same < min(255, len(e.name), len(self.name)) and e.name[same] == self.name[same]:
            same += 1
        rest = e.name[same:]
        flags |= (SAME_NAME if same else 0) | (LONG_NAME if len(rest) > 255 else 0)
        out, flags = self._flags(flags, e)
        if same:
            out += bytes([same])
        if flags & LONG_NAME:
            out += varint(len(rest)) if shape.version >= 30 else int32(len(rest))
        else:
            out += bytes([len(rest)])
        out += rest
        out += varlong(e.size, 3) if shape.version >= 30 else longint(e.size)
        if not flags & SAME_TIME:
            out += varlong(e.mtime, 4) if shape.version >= 30 else int32(e.mtime & 0x7FFFFFFF)
        if not flags & SAME_MODE:
            out += int32(e.mode)
        for wanted, flag in ((shape.uid, SAME_UID), (shape.gid, SAME_GID)):
            if wanted and not flags & flag:  # everything here belongs to nobody in particular
                out += varint(0) if shape.version >= 30 else int32(0)
        if shape.links and stat.S_ISLNK(e.mode):
            out += (varint(len(e.link)) if shape.version >= 30 else int32(len(e.link))) + e.link
        if shape.checksum and (e.file or shape.version < 28):
            out += e.digest.ljust(shape.checksum, b"\0")[: shape.checksum]
        self.name, self.mode, self.mtime, self.first = e.name, e.mode, e.mtime, False
        return out

    def _flags(self, flags: int, e: Named) -> tuple[bytes, int]:
        """The flags' bytes, and the flags: a byte of 0 would end the list, so something is set that means nothing."""
        if self.shape.varint_flags:
            return varint(flags or EXTENDED), flags
        if self.shape.version >= 28:
            flags |= 0 if flags or e.folder else TOP_DIR
            return (bytes([flags]) if flags else short(EXTENDED)), flags
        flags |= 0 if flags else LONG_NAME if e.folder else TOP_DIR
        return bytes([flags]), flags

    def end(self, error: int = 0) -> bytes:
        """The end, and what follows a list: names of owners, which there are none of, and whether all went well."""
        shape = self.shape
        if shape.varint_flags:
            out = varint(0) + varint(error)
        elif error and shape.io_error_end:
            out = short(EXTENDED | END_ERROR) + varint(error)
        else:
            out = b"\0"
        if not shape.numeric:
            for wanted in (shape.uid, shape.gid):
                if wanted:
                    out += varint(0) if shape.version >= 30 else int32(0)
                    if shape.id0:
                        out += b"\0"
        if shape.version < 30:
            out += int32(error)
        return out
