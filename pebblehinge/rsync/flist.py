"""File lists: their entries, what both sides agreed on that shapes the bytes, and the order.

Both sides sort what was sent, and a file's index is its place after that.
"""

from __future__ import annotations

import heapq
import stat
from collections.abc import Generator
from dataclasses import dataclass

TOP_DIR, SAME_MODE, EXTENDED, SAME_UID, SAME_GID, SAME_NAME, LONG_NAME, SAME_TIME = (1 << n for n in range(8))
NO_CONTENT, HLINKED, USER_NAME, GROUP_NAME, END_ERROR, MOD_NSEC = 1 << 8, 1 << 9, 1 << 10, 1 << 11, 1 << 12, 1 << 13
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
