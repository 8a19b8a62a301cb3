"""What both directions of a transfer need: the list of files, their indexes, messages to the client."""

from __future__ import annotations

from dataclasses import dataclass

from pebblehinge.rsync.errors import RsyncError
from pebblehinge.rsync.file_content import FileContent
from pebblehinge.rsync.flist import ListedFile, sorting_entries
from pebblehinge.rsync.negotiation import NegotiatedOptions
from pebblehinge.rsync.numbers import (
    DONE,
    FileIndexReader,
    FileIndexWriter,
    read_byte,
    read_short,
    read_vstring,
    short,
    vstring,
)
from pebblehinge.rsync.options import Options
from pebblehinge.rsync.stream import TAG_ERROR_XFER, TAG_INFO, YIELD_STEPS, Stream
from pebblehinge.rsync.transfer import Transfer, top_directory
from pebblehinge.rsync.transfer_report import TransferReport
from pebblehinge.rsync.tree import Directory, DirectoryEntry, split_path

ITEM_BASIS_TYPE_FOLLOWS = 1 << 11
ITEM_NAME_FOLLOWS = 1 << 12
ITEM_IS_NEW = 1 << 13
ITEM_TRANSFER = 1 << 15

FILES_AHEAD = 32
"""Files that are asked for, or read ahead, together."""

MAX_DIRECTORIES = 1024
"""Directories that a transfer remembers."""


@dataclass(slots=True, frozen=True)
class Item:
    """What one side says of a file.

    Attributes:
        index: The file's index in the list; `DONE` ends a phase.
        flags: A sum of `ITEM_` flags.
        extra: The bytes that the flags announce, as they came.
    """

    index: int
    flags: int = 0
    extra: bytes = b""


class TransferSession:
    """One transfer, seen from the daemon's end.

    Attributes:
        stream: The connection.
        transfer: Reads and commits files.
        negotiated: What both sides agreed on.
        options: What the client asked for.
        report: What became of the transfer.
        version: The protocol version.
        phases: Phases of the transfer of files.
        block: The module's settings.
        directories: The directories read so far, by path.
        content: Reads the bytes of files.
        files: The list of files, sorted.
        files_by_index: The same by index.
    """

    def __init__(
        self,
        stream: Stream,
        transfer: Transfer,
        negotiated: NegotiatedOptions,
        options: Options,
        report: TransferReport,
    ) -> None:
        self.stream = stream
        self.transfer = transfer
        self.negotiated = negotiated
        self.options = options
        self.report = report
        self.version = negotiated.version
        self.phases = 2 if self.version >= 29 else 1
        self.block = transfer.block
        self.directories: dict[bytes, Directory] = {}
        self.content = FileContent(transfer)
        self.files: list[ListedFile] = []
        self.files_by_index: dict[int, ListedFile] = {}
        self._read_index = FileIndexReader(self.version)
        self._encode_index = FileIndexWriter(self.version)

    async def read_directory(self, path: bytes) -> Directory:
        """Returns a directory as it stood when this transfer first looked."""
        if path not in self.directories:
            if len(self.directories) > MAX_DIRECTORIES:
                self.directories.clear()
            self.directories[path] = await self.transfer.read_directory(path)
        return self.directories[path]

    async def current_entry(self, path: bytes) -> DirectoryEntry | None:
        """Returns what stood at a path when this transfer first looked into its directory."""
        if not path:
            return top_directory()
        parent, name = split_path(path)
        return (await self.read_directory(parent)).entries.get(name)

    async def sort_list(self, entries: list[ListedFile]) -> None:
        """Sets `files` and `files_by_index`: the list as both sides sort it."""
        steps = sorting_entries(self.version, entries)
        while True:
            try:
                next(steps)
            except StopIteration as stop:
                self.files = stop.value
                break
            await self.stream.yield_after_work(YIELD_STEPS)
        self.files_by_index = {listed.index: listed for listed in self.files}

    async def digest_of(self, entry: DirectoryEntry) -> bytes:
        """Returns a file's digest of the negotiated kind; the file is read for it."""
        digest = self.negotiated.digest.whole()
        async for data in self.content.content(entry):
            digest.update(data)
        return digest.digest()

    async def read_item(self) -> Item:
        """Reads a file's index with what is said of it; `DONE` alone ends a phase."""
        index = await self._read_index(self.stream)
        if index == DONE or self.version < 29:
            return Item(index, ITEM_TRANSFER)
        if index < 0:
            raise RsyncError(f"index {index} is not known here")
        flags = await read_short(self.stream)
        extra = b""
        if flags & ITEM_BASIS_TYPE_FOLLOWS:
            extra += bytes([await read_byte(self.stream)])
        if flags & ITEM_NAME_FOLLOWS:
            extra += vstring(await read_vstring(self.stream))
        return Item(index, flags, extra)

    def put_item(self, item: Item) -> None:
        """Sends a file's index with what is said of it."""
        self.stream.put(self._encode_index(item.index))
        if self.version >= 29:
            self.stream.put(short(item.flags) + item.extra)

    def send_text(self, text: str, tag: int = TAG_INFO) -> None:
        """Sends a line that the client's tool shows."""
        self.stream.message(tag, (text + "\n").encode("utf-8", "surrogateescape"))

    def report_failure(self, text: str) -> None:
        """Says that one file could not be moved: the client's tool goes on, and exits with `EXIT_PARTIAL`."""
        self.report.failed.append(text)
        self.send_text(text, TAG_ERROR_XFER)

    def put_phase_end(self) -> None:
        """Sends the end of a phase."""
        self.stream.put(self._encode_index(DONE))

    async def expect_phase_end(self) -> None:
        """Reads the end of a phase; raises RsyncError for anything else."""
        item = await self.read_item()
        if item.index != DONE:
            raise RsyncError(f"index {item.index} where the end of the transfer should stand")
