"""What both directions of a transfer need: its list, its files' indexes, its messages."""

from __future__ import annotations

from pebblehinge.rsync.file_content import FileContent
from pebblehinge.rsync.flist import Named, arranging
from pebblehinge.rsync.greeting import Agreed
from pebblehinge.rsync.numbers import (
    DONE,
    IndexIn,
    IndexOut,
    read_byte,
    read_short,
    read_vstring,
    short,
    vstring,
)
from pebblehinge.rsync.options import Options
from pebblehinge.rsync.stream import ERROR_XFER, INFO, STEPS, RsyncError, Stream
from pebblehinge.rsync.transfer import Transfer
from pebblehinge.rsync.transfer_report import Told
from pebblehinge.rsync.tree import Entry, Folder

BASIS, XNAME, TRANSFER, NEW = 1 << 11, 1 << 12, 1 << 15, 1 << 13
FILES_AHEAD = 32  # files that are asked for, or read ahead, together


class TransferSession:
    """What both directions need."""

    def __init__(self, stream: Stream, transfer: Transfer, agreed: Agreed, options: Options, told: Told) -> None:
        self.stream, self.transfer, self.agreed, self.options, self.told = stream, transfer, agreed, options, told
        self.version = agreed.version
        self.index_in, self.index_out = IndexIn(self.version), IndexOut(self.version)
        self.phases = 2 if self.version >= 29 else 1
        self.block = transfer.block
        self.folders: dict[bytes, Folder] = {}
        self.reader = FileContent(transfer)

    async def folder(self, path: bytes) -> Folder:
        """A directory as it stood when this transfer first looked."""
        if path not in self.folders:
            if len(self.folders) > 1024:
                self.folders.clear()
            self.folders[path] = await self.transfer.folder(path)
        return self.folders[path]

    async def standing(self, path: bytes) -> Entry | None:
        if not path:
            return Entry("d", b"", mode=0o755)
        above, _, name = path.rpartition(b"/")
        return (await self.folder(above)).entries.get(name)

    async def arrange(self, entries: list[Named]) -> None:
        """The list as both sides have it, with its indexes."""
        steps = arranging(self.version, entries)
        while True:
            try:
                next(steps)
            except StopIteration as stop:
                self.list = stop.value
                break
            await self.stream.breathe(STEPS)
        self.by_index = {e.index: e for e in self.list}

    async def digest_of(self, entry: Entry) -> bytes:
        """A file's sum as this transfer takes them: the file is read for it."""
        whole = self.agreed.digest.whole()
        async for data in self.reader.content(entry):
            whole.update(data)
        return whole.digest()

    async def read_item(self) -> tuple[int, int, bytes]:
        """A file's index with what is said of it; DONE alone ends a phase."""
        index = await self.index_in(self.stream)
        if index == DONE or self.version < 29:
            return index, TRANSFER, b""
        if index < 0:
            raise RsyncError(f"index {index} is not known here")
        flags = await read_short(self.stream)
        extra = b""
        if flags & BASIS:
            extra += bytes([await read_byte(self.stream)])
        if flags & XNAME:
            name = await read_vstring(self.stream)
            extra += vstring(name)
        return index, flags, extra

    def put_item(self, index: int, flags: int, extra: bytes = b"") -> None:
        self.stream.put(self.index_out(index))
        if self.version >= 29:
            self.stream.put(short(flags) + extra)

    def say(self, text: str, tag: int = INFO) -> None:
        self.stream.message(tag, (text + "\n").encode("utf-8", "surrogateescape"))

    def fail(self, text: str) -> None:
        """One file could not be moved: the client's tool goes on, and exits with 23."""
        self.told.failed.append(text)
        self.say(text, ERROR_XFER)

    def done(self) -> None:
        self.stream.put(self.index_out(DONE))

    async def expect_done(self) -> None:
        index, _, _ = await self.read_item()
        if index != DONE:
            raise RsyncError(f"index {index} where the end of the transfer should stand")

    def display_name(self, named: Named) -> str:
        return named.name.decode("utf-8", "surrogateescape")
