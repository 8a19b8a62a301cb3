"""Writes a file's blocks as its bytes come, a few blocks at a time."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass

from pebblehinge.rsync.errors import EXIT_PARTIAL, RsyncError
from pebblehinge.rsync.transfer import Transfer
from pebblehinge.rsync.tree import (
    HOLE,
    KIND_FILE,
    MAX_CHECKSUM_LIST_BYTES,
    MAX_INLINE_BYTES,
    PERMISSIONS,
    DirectoryEntry,
    block_checksum,
    block_extent,
    content_checksum,
)


@dataclass(slots=True, frozen=True)
class BlockWrite:
    """A block that is being written: its number in the file, and the task."""

    number: int
    task: asyncio.Task[None]


class FileWriter:
    """Stores a file that comes in pieces. Its entry is not committed here.

    Attributes:
        block: Length of a block in bytes.
        size: Bytes that came so far.
    """

    def __init__(self, transfer: Transfer, stored: list[bytes] | None = None) -> None:
        """Creates a writer; the blocks with the checksums `stored` are there already and are not written."""
        self.block = transfer.block.block
        self.size = 0
        self._transfer = transfer
        self._buffer = bytearray()
        self._checksums: list[bytes] = []
        self._writes: deque[BlockWrite] = deque()
        self._stored = dict.fromkeys(stored or ())
        self._max_writes = max(1, transfer.block.ahead // self.block)

    async def write(self, data: bytes) -> None:
        """Takes more of the file; raises RsyncError if it is longer than the module takes, or a write failed."""
        self._buffer += data
        self.size += len(data)
        max_size = self._transfer.block.max_size
        if 0 <= max_size < self.size:
            raise RsyncError(f"a file of more than {max_size} bytes: this module takes no more", EXIT_PARTIAL)
        while len(self._buffer) >= self.block:
            await self._start_write(bytes(self._buffer[: self.block]))
            del self._buffer[: self.block]

    async def _start_write(self, data: bytes) -> None:
        checksum = block_checksum(data)
        self._checksums.append(checksum)
        if checksum == HOLE or checksum in self._stored:
            return
        self._stored[checksum] = None
        while len(self._writes) >= self._max_writes:
            await self._writes.popleft().task
        task = self._transfer.spawn(self._write_block(checksum, data))
        self._writes.append(BlockWrite(len(self._checksums) - 1, task))

    async def _write_block(self, checksum: bytes, data: bytes) -> None:
        await self._transfer.write(block_extent(self._transfer.store.name, checksum), data)

    async def stored_checksums(self) -> list[bytes]:
        """Waits for the writes under way; returns the checksums of the file's first blocks that are surely stored."""
        while self._writes:
            write = self._writes.popleft()
            try:
                await write.task
            except RsyncError:
                return self._checksums[: write.number]
        return self._checksums

    def cancel(self) -> None:
        """Cancels the writes under way."""
        for write in self._writes:
            write.task.cancel()

    async def finish(self, mtime: int, mode: int) -> DirectoryEntry:
        """Stores what is left; returns the file's entry, without a name."""
        mode &= PERMISSIONS
        if self.size <= MAX_INLINE_BYTES:
            data = bytes(self._buffer)
            digest = content_checksum(self.size, [block_checksum(data)])
            return DirectoryEntry(KIND_FILE, b"", self.size, mtime, mode, digest, data=data)
        if self._buffer:
            data = bytes(self._buffer)
            self._buffer.clear()
            await self._start_write(data)
        while self._writes:
            await self._writes.popleft().task
        checksums = b"".join(self._checksums)
        is_indirect = len(checksums) > MAX_CHECKSUM_LIST_BYTES
        if is_indirect:
            checksums = await self._store_checksums(checksums)
        digest = content_checksum(self.size, self._checksums)
        return DirectoryEntry(KIND_FILE, b"", self.size, mtime, mode, digest, self.block, checksums, is_indirect)

    async def _store_checksums(self, checksums: bytes) -> bytes:
        """Stores a long list of checksums in blocks of its own; returns the checksums of those."""
        starts = range(0, len(checksums), MAX_CHECKSUM_LIST_BYTES)
        pieces = [checksums[start : start + MAX_CHECKSUM_LIST_BYTES] for start in starts]
        piece_checksums = [block_checksum(piece) for piece in pieces]
        for checksum, piece in zip(piece_checksums, pieces, strict=True):
            if checksum != HOLE:
                await self._write_block(checksum, piece)
        return b"".join(piece_checksums)
