"""The stored file against which a client sends its differences, in the blocks that the client names."""

from __future__ import annotations

import asyncio

from pebblehinge.rsync.block_checksums import BlockChecksums
from pebblehinge.rsync.file_content import FileContent
from pebblehinge.rsync.transfer import Transfer
from pebblehinge.rsync.tree import DirectoryEntry


class BasisFile:
    """Reads the blocks of a basis file.

    The client's blocks (`BlockChecksums.block` bytes) and the module's (`DirectoryEntry.block` bytes) differ in length.
    """

    def __init__(
        self,
        transfer: Transfer,
        entry: DirectoryEntry | None,
        block_checksums: BlockChecksums,
        stored: list[bytes] | None,
    ) -> None:
        """Creates a reader.

        Args:
            transfer: Makes the requests.
            entry: The basis file; None if there is none, and the client then names no block.
            block_checksums: What the client was told of it.
            stored: Checksums of the module's blocks of it; None if all of it stands in its entry.
        """
        self._transfer = transfer
        self._entry = entry
        self._block_checksums = block_checksums
        self._stored = stored
        self._content = FileContent(transfer)
        self._tasks: dict[int, asyncio.Task[bytes]] = {}  # the module's blocks that are here or on their way
        self._max_tasks = max(1, transfer.block.ahead // entry.block) if entry is not None and entry.block else 1

    async def _read_stored_block(self, entry: DirectoryEntry, stored: list[bytes], number: int) -> bytes:
        """Returns one of the module's blocks; the next ones are read ahead, as they are mostly wanted in turn."""
        for other in [n for n in self._tasks if not number <= n < number + self._max_tasks]:
            self._tasks.pop(other).cancel()
        for ahead in range(number, min(number + self._max_tasks, len(stored))):
            if ahead not in self._tasks:
                size = min(entry.block, entry.size - ahead * entry.block)
                self._tasks[ahead] = self._transfer.spawn(self._content.read_block(stored[ahead], size))
        return await self._tasks[number]

    def cancel(self) -> None:
        """Cancels the reads under way."""
        for task in self._tasks.values():
            task.cancel()

    async def read(self, index: int) -> bytes:
        """Returns one of the client's blocks."""
        entry, stored = self._entry, self._stored
        assert entry is not None
        start = index * self._block_checksums.block
        length = self._block_checksums.length(index)
        if entry.data:
            return entry.data[start : start + length]
        assert stored is not None
        block = b""
        while len(block) < length:
            number, offset = divmod(start + len(block), entry.block)
            data = await self._read_stored_block(entry, stored, number)
            block += data[offset : offset + length - len(block)]
        return block
