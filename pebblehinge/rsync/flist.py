"""File lists: their entries, the format that both sides agreed on, and the order.

Both sides sort what was sent, and a file's index is its position after that.
"""

from __future__ import annotations

import heapq
import stat
from collections.abc import Generator, Iterable
from dataclasses import dataclass

FLAG_TOP_DIR = 1 << 0
FLAG_SAME_MODE = 1 << 1
FLAG_EXTENDED = 1 << 2
FLAG_SAME_UID = 1 << 3
FLAG_SAME_GID = 1 << 4
FLAG_SAME_NAME = 1 << 5
FLAG_LONG_NAME = 1 << 6
FLAG_SAME_TIME = 1 << 7
FLAG_NO_CONTENT = 1 << 8
FLAG_HLINKED = 1 << 9
FLAG_USER_NAME = 1 << 10
FLAG_GROUP_NAME = 1 << 11
FLAG_END_ERROR = 1 << 12
FLAG_MOD_NSEC = 1 << 13

TOP_NAME = b"."
"""The name of the transfer's top directory in a list."""

SORT_ENTRIES = 1000
"""Entries that are sorted at once."""


@dataclass(slots=True)
class ListedFile:
    """One entry of a list.

    Attributes:
        name: The path below the transfer's top.
        size: Length in bytes.
        mtime: Time of the last change, in seconds since 1970.
        mode: Type and permissions as Unix has them.
        digest: Where files are compared by their digests.
        link: A link's target.
        index: Its position in the sorted list.
    """

    name: bytes
    size: int = 0
    mtime: int = 0
    mode: int = stat.S_IFREG | 0o644
    digest: bytes = b""
    link: bytes = b""
    index: int = -1

    @property
    def is_directory(self) -> bool:
        """Whether this is a directory."""
        return stat.S_ISDIR(self.mode)

    @property
    def is_file(self) -> bool:
        """Whether this is a regular file."""
        return stat.S_ISREG(self.mode)

    @property
    def display_name(self) -> str:
        """The name for messages."""
        return self.name.decode("utf-8", "surrogateescape")


@dataclass(slots=True)
class ListFormat:
    """What both sides agreed on that changes the bytes of a list.

    Attributes:
        version: The protocol version.
        uid: Whether it holds owners.
        gid: Whether it holds groups.
        links: Whether it holds the targets of links.
        devices: Whether it holds numbers of devices.
        specials: Whether it holds numbers of special files.
        hard_links: Whether it holds hard links.
        digest_bytes: Length of the digests in it; 0: none.
        numeric: Whether no names of owners and groups follow.
        varint_flags: Whether flags are of variable length.
        io_error_end: Whether an error is said at its end.
        id0: Whether the names of owner and group 0 follow, too.
    """

    version: int
    uid: bool = False
    gid: bool = False
    links: bool = False
    devices: bool = False
    specials: bool = False
    hard_links: bool = False
    digest_bytes: int = 0
    numeric: bool = False
    varint_flags: bool = False
    io_error_end: bool = False
    id0: bool = False

    @property
    def ids(self) -> Iterable[IdFormat]:
        """The kinds of owners that the list holds, in order."""
        if self.uid:
            yield USER_FORMAT
        if self.gid:
            yield GROUP_FORMAT


@dataclass(slots=True, frozen=True)
class IdFormat:
    """The flags of one kind of owner: that it is the same as before, and that its name follows."""

    same_flag: int
    name_flag: int


USER_FORMAT = IdFormat(FLAG_SAME_UID, FLAG_USER_NAME)
GROUP_FORMAT = IdFormat(FLAG_SAME_GID, FLAG_GROUP_NAME)


def sort_key(version: int, entry: ListedFile) -> bytes:
    """Returns what entries are sorted by. From version 29 on files come before directories; `.` is first."""
    name = entry.name
    if version < 29:
        return name
    if name == TOP_NAME:
        return b""
    parts = name.split(b"/")
    last = b"\x01" + parts[-1] + b"/" if entry.is_directory else b"\x00" + parts[-1]
    # A byte before each part says whether it is a directory; a directory's name ends in its slash, which counts.
    return b"".join(b"\x01" + part + b"/" for part in parts[:-1]) + last


def sorting_entries(version: int, entries: list[ListedFile]) -> Generator[None, None, list[ListedFile]]:
    """Sorts a list and sets its indexes, piece by piece: other tasks may run at each yield.

    Returns:
        The sorted list. Of two entries with one name the second is left out, though its index stays.
    """
    runs = []
    for start in range(0, len(entries), SORT_ENTRIES):
        piece = entries[start : start + SORT_ENTRIES]
        runs.append(sorted((sort_key(version, entry), number, entry) for number, entry in enumerate(piece, start)))
        yield
    kept: list[ListedFile] = []
    for index, (_, _, entry) in enumerate(heapq.merge(*runs)):
        entry.index = index
        if not kept or kept[-1].name != entry.name:
            kept.append(entry)
        if index % SORT_ENTRIES == SORT_ENTRIES - 1:
            yield
    return kept


def sort_entries(version: int, entries: list[ListedFile]) -> list[ListedFile]:
    """Returns what `sorting_entries` returns, at once."""
    steps = sorting_entries(version, entries)
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            kept: list[ListedFile] = stop.value
            return kept
