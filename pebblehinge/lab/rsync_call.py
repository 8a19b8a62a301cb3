"""What an rsync client wants of one connection, the files it has in memory, and what became of it."""

from __future__ import annotations

import stat
from dataclasses import dataclass, field
from typing import Any

from pebblehinge.rsync.flist import ListedFile

ABLE = "LsfxCIvu"


@dataclass(slots=True)
class Local:
    """One file, directory or link of the client's."""

    data: bytes = b""
    mtime: int = 1_700_000_000
    mode: int = stat.S_IFREG | 0o644
    zeros: int = 0  # a sparse file: so many zeros after the data

    @property
    def size(self) -> int:
        return len(self.data) + self.zeros

    def pieces(self, size: int = 1 << 18) -> Any:
        for at in range(0, len(self.data), size):
            yield self.data[at : at + size]
        left, zeros = self.zeros, bytes(size)
        while left:
            yield zeros[: min(left, size)]
            left -= min(left, size)


def folder(mtime: int = 1_700_000_000) -> Local:
    return Local(mtime=mtime, mode=stat.S_IFDIR | 0o755)


def link(target: bytes) -> Local:
    return Local(target, mode=stat.S_IFLNK | 0o777)


@dataclass
class Call:
    """What a client wants, and what became of it."""

    module: str = ""
    version: int = 31
    user: str = ""
    secret: bytes = b""
    able: str = ABLE
    compress: bool = False
    checksum: bool = False
    delete: bool = False
    extra: list[str] = field(default_factory=list)  # further arguments
    filters: list[bytes] = field(default_factory=list)
    files: dict[bytes, Local] = field(default_factory=dict)  # its own; a pull adds to them
    moved: list[bytes] = field(default_factory=list)  # files that came, or that were asked for
    listed: list[ListedFile] = field(default_factory=list)
    said: list[tuple[int, str]] = field(default_factory=list)
    lines: list[str] = field(default_factory=list)  # what came before the transfer
    code: int = -1  # as such a tool exits; -1 while it runs
    error: str = ""
    literal: int = 0
    matched: int = 0
    no_send: list[int] = field(default_factory=list)

    def words(self, sender: bool, path: str) -> list[bytes]:
        letters = "-logDtpr" + ("z" if self.compress else "") + ("c" if self.checksum else "")
        words = ["--server", *(["--sender"] if sender else []), letters + "e." + self.able, *self.extra]
        if self.compress and "v" not in self.able:
            words.append("--compress-choice=zlibx")
        if self.delete:
            words.append("--delete")
        return [w.encode("utf-8", "surrogateescape") for w in [*words, ".", self.module + "/" + path]]
