"""File list decoding: names, sizes, times and modes; of each entry what differs from the one before."""

from __future__ import annotations

import stat

from pebblehinge.rsync.errors import EXIT_UNSUPPORTED, RsyncError
from pebblehinge.rsync.flist import (
    FLAG_END_ERROR,
    FLAG_EXTENDED,
    FLAG_LONG_NAME,
    FLAG_MOD_NSEC,
    FLAG_SAME_MODE,
    FLAG_SAME_NAME,
    FLAG_SAME_TIME,
    TOP_NAME,
    ListedFile,
    ListFormat,
)
from pebblehinge.rsync.numbers import read_byte, read_int, read_longint, read_varint, read_varlong
from pebblehinge.rsync.stream import Stream

MAX_NAME_BYTES = 4096
MAX_MODE = 0xFFFF
MAX_OWNER_NAMES = 10_000

ENTRY_OVERHEAD_BYTES = 100
"""Memory that an entry is counted with beside its name and link."""

DEFAULT_MAX_LIST_BYTES = 64 << 20


def _check_name(name: bytes) -> None:
    """Raises RsyncError for a name that does not stay below the top: tools clean names before they send them."""
    if not name or b"\0" in name or name.startswith(b"/"):
        raise RsyncError(f"a file named {name[:80]!r}: names below the top of the transfer are taken")
    if name != TOP_NAME and any(part in (b"", b".", b"..") for part in name.split(b"/")):
        raise RsyncError(f"a file named {name[:80]!r}: no part of a name may be empty, `.` or `..`")


class FileListReader:
    """Reads a list.

    Attributes:
        error: The I/O error that the sender told, or 0.
    """

    def __init__(self, list_format: ListFormat, max_entries: int, max_list_bytes: int = DEFAULT_MAX_LIST_BYTES) -> None:
        """Creates a reader for a list of so many entries and so many bytes in memory, at most."""
        self.error = 0
        self._format = list_format
        self._max_entries = max_entries
        self._bytes_left = max_list_bytes
        self._entries: list[ListedFile] = []
        self._name = b""  # of the entry before, as are mode and mtime
        self._mode = 0
        self._mtime = 0

    async def read(self, stream: Stream) -> list[ListedFile]:
        """Returns the entries in the order in which they were sent; raises RsyncError for what can't be taken."""
        while (flags := await self._read_flags(stream)) is not None:
            await self._read_entry(stream, flags)
        if not self._format.numeric:
            for _ in self._format.ids:
                await self._skip_owners(stream)
        if self._format.version < 30:
            self.error |= await read_int(stream)
        return self._entries

    async def _read_number(self, stream: Stream) -> int:
        return await (read_varint(stream) if self._format.version >= 30 else read_int(stream))

    async def _read_flags(self, stream: Stream) -> int | None:
        """Returns the flags of the next entry, or None at the end of the list."""
        list_format = self._format
        flags = await read_varint(stream) if list_format.varint_flags else await read_byte(stream)
        if not flags:
            if list_format.varint_flags:
                self.error |= await read_varint(stream)
            return None
        if flags & FLAG_EXTENDED and list_format.version >= 28 and not list_format.varint_flags:
            flags |= await read_byte(stream) << 8
            if flags == FLAG_EXTENDED | FLAG_END_ERROR and list_format.io_error_end:
                self.error |= await read_varint(stream)
                return None
        return flags

    async def _read_entry(self, stream: Stream, flags: int) -> None:
        if len(self._entries) >= self._max_entries:
            text = f"more than {self._max_entries} files in one transfer: this module takes no more"
            raise RsyncError(text, EXIT_UNSUPPORTED)
        name = await self._read_name(stream, flags)
        size = await (read_varlong(stream, 3) if self._format.version >= 30 else read_longint(stream))
        if size < 0:
            raise RsyncError(f"{name[:80]!r} has a length of {size}")
        await self._read_time(stream, flags)
        await self._read_mode(stream, flags, name)
        await self._skip_ids(stream, flags)
        self._check_type(name)
        link = await self._read_link(stream)
        digest = await self._read_digest(stream)
        self._name = name
        self._bytes_left -= len(name) + len(link) + ENTRY_OVERHEAD_BYTES
        if self._bytes_left < 0:
            raise RsyncError("the file list is too long for this daemon's memory", EXIT_UNSUPPORTED)
        _check_name(name)
        self._entries.append(ListedFile(name, size, self._mtime, self._mode, digest, link))

    async def _read_name(self, stream: Stream, flags: int) -> bytes:
        shared = await read_byte(stream) if flags & FLAG_SAME_NAME else 0
        more = await (self._read_number(stream) if flags & FLAG_LONG_NAME else read_byte(stream))
        if shared > len(self._name) or more < 0 or shared + more > MAX_NAME_BYTES:
            raise RsyncError(f"a name of {shared} + {more} bytes: at most {MAX_NAME_BYTES} are taken")
        return self._name[:shared] + await stream.take(more)

    async def _read_time(self, stream: Stream, flags: int) -> None:
        if not flags & FLAG_SAME_TIME:
            self._mtime = await (read_varlong(stream, 4) if self._format.version >= 30 else read_int(stream))
        if flags & FLAG_MOD_NSEC and self._format.version >= 31:
            await read_varint(stream)

    async def _read_mode(self, stream: Stream, flags: int, name: bytes) -> None:
        if flags & FLAG_SAME_MODE:
            return
        self._mode = await read_int(stream)
        if not 0 <= self._mode <= MAX_MODE:
            raise RsyncError(f"{name[:80]!r} has a mode of {self._mode:#x}")

    async def _skip_ids(self, stream: Stream, flags: int) -> None:
        """Reads owner and group, which nobody here needs."""
        for id_format in self._format.ids:
            if flags & id_format.same_flag:
                continue
            await self._read_number(stream)
            if self._format.version >= 30 and flags & id_format.name_flag:
                await stream.take(await read_byte(stream))

    def _check_type(self, name: bytes) -> None:
        """Raises RsyncError for a device, whose number would follow."""
        kind = stat.S_IFMT(self._mode)
        is_device = self._format.devices and kind in (stat.S_IFBLK, stat.S_IFCHR)
        is_special = self._format.specials and kind in (stat.S_IFIFO, stat.S_IFSOCK) and self._format.version < 31
        if is_device or is_special:
            text = f"{name[:80]!r} is a device: files, directories and links are taken"
            raise RsyncError(text, EXIT_UNSUPPORTED)

    async def _read_link(self, stream: Stream) -> bytes:
        if not self._format.links or not stat.S_ISLNK(self._mode):
            return b""
        length = await self._read_number(stream)
        if not 0 <= length <= MAX_NAME_BYTES:
            raise RsyncError(f"a link of {length} bytes")
        return await stream.take(length)

    async def _read_digest(self, stream: Stream) -> bytes:
        if self._format.digest_bytes and (stat.S_ISREG(self._mode) or self._format.version < 28):
            return await stream.take(self._format.digest_bytes)
        return b""

    async def _skip_owners(self, stream: Stream) -> None:
        """Reads the names of users or groups by number, which nobody here needs."""
        count = 0
        while await self._read_number(stream):
            await stream.take(await read_byte(stream))
            count += 1
            if count > MAX_OWNER_NAMES:
                raise RsyncError(f"more than {MAX_OWNER_NAMES} names of owners")
        if self._format.id0:
            await stream.take(await read_byte(stream))
