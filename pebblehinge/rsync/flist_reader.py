"""File list decoding: names, sizes, times and modes, each entry told as far as it differs from the one before."""

from __future__ import annotations

import stat

from pebblehinge.rsync.flist import (
    END_ERROR,
    EXTENDED,
    GROUP_NAME,
    LONG_NAME,
    MOD_NSEC,
    SAME_GID,
    SAME_MODE,
    SAME_NAME,
    SAME_TIME,
    SAME_UID,
    USER_NAME,
    Named,
    Shape,
)
from pebblehinge.rsync.numbers import read_byte, read_int, read_longint, read_varint, read_varlong
from pebblehinge.rsync.stream import RsyncError, Stream

LONGEST = 4096  # of a name


def _clean(name: bytes) -> bytes:
    """A name that stays below the top, or an error: tools clean names before they send them."""
    if not name or b"\0" in name or name.startswith(b"/"):
        raise RsyncError(f"a file named {name[:80]!r}: names below the top of the transfer are taken", 2)
    if name != b"." and any(part in (b"", b".", b"..") for part in name.split(b"/")):
        raise RsyncError(f"a file named {name[:80]!r}: no part of a name may be empty, `.` or `..`", 2)
    return name


class ListIn:
    """Reads a list. `most` entries at most; names are checked."""

    def __init__(self, shape: Shape, most: int, most_bytes: int = 64 << 20) -> None:
        self.shape, self.most, self.room = shape, most, most_bytes
        self.name, self.mode, self.mtime = b"", 0, 0
        self.entries: list[Named] = []
        self.error = 0

    async def read(self, stream: Stream) -> list[Named]:
        """All entries as sent, with what follows them."""
        while await self._one(stream):
            pass
        shape = self.shape
        if not shape.numeric:
            for wanted in (shape.uid, shape.gid):
                if wanted:
                    await self._owners(stream)
        if shape.version < 30:
            self.error |= await read_int(stream)
        return self.entries

    async def _one(self, stream: Stream) -> bool:
        shape = self.shape
        flags = await read_varint(stream) if shape.varint_flags else await read_byte(stream)
        if not flags:
            if shape.varint_flags:
                self.error |= await read_varint(stream)
            return False
        if flags & EXTENDED and shape.version >= 28 and not shape.varint_flags:
            flags |= await read_byte(stream) << 8
            if flags == EXTENDED | END_ERROR and shape.io_error_end:
                self.error |= await read_varint(stream)
                return False
        if len(self.entries) >= self.most:
            raise RsyncError(f"more than {self.most} files in one transfer: this module takes no more", 4)
        same = await read_byte(stream) if flags & SAME_NAME else 0
        if flags & LONG_NAME:
            more = await (read_varint(stream) if shape.version >= 30 else read_int(stream))
        else:
            more = await read_byte(stream)
        if same > len(self.name) or more < 0 or same + more > LONGEST:
            raise RsyncError(f"a name of {same} + {more} bytes: at most {LONGEST} are taken")
        name = self.name[:same] + await stream.take(more)
        size = await (read_varlong(stream, 3) if shape.version >= 30 else read_longint(stream))
        if size < 0:
            raise RsyncError(f"{name[:80]!r} has a length of {size}")
        if not flags & SAME_TIME:
            self.mtime = await (read_varlong(stream, 4) if shape.version >= 30 else read_int(stream))
        if flags & MOD_NSEC and shape.version >= 31:
            await read_varint(stream)
        if not flags & SAME_MODE:
            self.mode = await read_int(stream)
            if not 0 <= self.mode <= 0xFFFF:
                raise RsyncError(f"{name[:80]!r} has a mode of {self.mode:#x}")
        for wanted, flag, named in ((shape.uid, SAME_UID, USER_NAME), (shape.gid, SAME_GID, GROUP_NAME)):
            if wanted and not flags & flag:
                await (read_varint(stream) if shape.version >= 30 else read_int(stream))
                if shape.version >= 30 and flags & named:
                    await stream.take(await read_byte(stream))
        kind = stat.S_IFMT(self.mode)
        if (shape.devices and kind in (stat.S_IFBLK, stat.S_IFCHR)) or (
            shape.specials and kind in (stat.S_IFIFO, stat.S_IFSOCK) and shape.version < 31
        ):
            raise RsyncError(f"{name[:80]!r} is a device: files, directories and links are taken", 4)
        link = b""
        if shape.links and kind == stat.S_IFLNK:
            length = await (read_varint(stream) if shape.version >= 30 else read_int(stream))
            if not 0 <= length <= LONGEST:
                raise RsyncError(f"a link of {length} bytes")
            link = await stream.take(length)
        digest = b""
        if shape.checksum and (kind == stat.S_IFREG or shape.version < 28):
            digest = await stream.take(shape.checksum)
        self.name = name
        self.room -= len(name) + len(link) + 100
        if self.room < 0:
            raise RsyncError("the file list is too long for this daemon's memory", 4)
        self.entries.append(Named(_clean(name), size, self.mtime, self.mode, digest, link))
        return True

    async def _owners(self, stream: Stream) -> None:
        """Names of users or groups by number, which nobody here needs."""
        count = 0
        while await (read_varint(stream) if self.shape.version >= 30 else read_int(stream)):
            await stream.take(await read_byte(stream))
            count += 1
            if count > 10_000:
                raise RsyncError("more than 10000 names of owners")
        if self.shape.id0:
            await stream.take(await read_byte(stream))
