"""File lists: names, sizes, times and modes, each entry told as far as it differs from the one before.

Both sides sort what was sent, and a file's index is its place after that.
"""

from __future__ import annotations

import heapq
import stat
from collections.abc import Generator
from dataclasses import dataclass

from pebblehinge.rsync.numbers import (
    int32,
    longint,
    read_byte,
    read_int,
    read_longint,
    read_varint,
    read_varlong,
    short,
    varint,
    varlong,
)
from pebblehinge.rsync.stream import RsyncError, Stream

TOP_DIR, SAME_MODE, EXTENDED, SAME_UID, SAME_GID, SAME_NAME, LONG_NAME, SAME_TIME = (1 << n for n in range(8))
NO_CONTENT, HLINKED, USER_NAME, GROUP_NAME, END_ERROR, MOD_NSEC = 1 << 8, 1 << 9, 1 << 10, 1 << 11, 1 << 12, 1 << 13
LONGEST = 4096  # of a name
PIECE = 1000  # entries that are sorted in one turn


@dataclass(slots=True)
class Named:
    """One entry of a list. `mode` is Unix's, type and permissions; `digest` stands where files are compared by sums."""

    name: bytes
    size: int = 0
    mtime: int = 0
    mode: int = stat.S_IFREG | 0o644
    digest: bytes = b""
    link: bytes = b""
    index: int = -1

    @property
    def folder(self) -> bool:
        return stat.S_ISDIR(self.mode)

    @property
    def file(self) -> bool:
        return stat.S_ISREG(self.mode)


@dataclass(slots=True)
class Shape:
    """What both sides agreed on that changes the bytes of a list."""

    version: int
    uid: bool = False
    gid: bool = False
    links: bool = False
    devices: bool = False
    specials: bool = False
    hard_links: bool = False
    checksum: int = 0  # length of the sums in the list, 0: none
    numeric: bool = False
    varint_flags: bool = False
    io_error_end: bool = False
    id0: bool = False


def order(version: int, entry: Named) -> bytes:
    """Where an entry stands. From version 29 on a directory's files come before its directories; `.` is first."""
    name = entry.name
    if version < 29:
        return name
    if name == b".":
        return b""
    parts = name.split(b"/")
    last = b"\x01" + parts[-1] + b"/" if entry.folder else b"\x00" + parts[-1]
    # A mark before each part says whether it is a directory; a directory's name ends in its slash, which counts.
    return b"".join(b"\x01" + part + b"/" for part in parts[:-1]) + last


def arranging(version: int, entries: list[Named]) -> Generator[None, None, list[Named]]:
    """Sorts a list and sets its indexes, piece by piece: others may have a turn at each yield. Of two alike the second
    is left out though its index stays."""
    runs = []
    for at in range(0, len(entries), PIECE):
        runs.append(sorted(((order(version, e), n, e) for n, e in enumerate(entries[at : at + PIECE], at))))
        yield
    kept: list[Named] = []
    for index, (_, _, entry) in enumerate(heapq.merge(*runs)):
        entry.index = index
        if not kept or kept[-1].name != entry.name:
            kept.append(entry)
        if index % PIECE == PIECE - 1:
            yield
    return kept


def arranged(version: int, entries: list[Named]) -> list[Named]:
    """The same at once."""
    steps = arranging(version, entries)
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value


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
