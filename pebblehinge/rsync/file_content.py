"""Reads the files of a module block by block, some blocks ahead, and checks each against its checksum."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncGenerator

from pebblehinge.rsync.errors import EXIT_FILE_IO, RsyncError
from pebblehinge.rsync.transfer import Transfer
from pebblehinge.rsync.tree import (
    HOLE,
    MAX_CHECKSUM_LIST_BYTES,
    DirectoryEntry,
    block_checksum,
    block_extent,
    split_checksums,
)


class FileContent:
    """Reads the bytes of a module's files for one transfer."""

    def __init__(self, transfer: Transfer) -> None:
        self._transfer = transfer

    async def checksums(self, entry: DirectoryEntry) -> list[bytes]:
        """Returns the checksums of a file's blocks, in order."""
        if not entry.indirect:
            return split_checksums(entry.checksums)
        pieces = [
            await self.read_block(checksum, MAX_CHECKSUM_LIST_BYTES) for checksum in split_checksums(entry.checksums)
        ]
        # A hole in the place of a list's last piece may be longer than the piece was.
        return split_checksums(b"".join(pieces))[: -(-entry.size // entry.block)]

    async def read_block(self, checksum: bytes, length: int) -> bytes:
        """Returns a block of up to `length` bytes; raises RsyncError if its bytes have another checksum."""
        if checksum == HOLE:
            return bytes(length)
        data = await self._transfer.read(block_extent(self._transfer.store.name, checksum), 0, length)
        if block_checksum(data) != checksum:
            raise RsyncError("a block is not what its sum says: a shelf gave back something else", EXIT_FILE_IO)
        return data

    async def content(self, entry: DirectoryEntry) -> AsyncGenerator[bytes, None]:
        """Yields a file's bytes block by block; some blocks are read ahead."""
        if entry.data or not entry.size:
            if entry.data:
                yield entry.data
            return
        checksums = await self.checksums(entry)
        tasks: deque[asyncio.Task[bytes]] = deque()
        max_tasks = max(1, self._transfer.block.ahead // entry.block)
        number, bytes_left = 0, entry.size
        try:
            while number < len(checksums) or tasks:
                while number < len(checksums) and len(tasks) < max_tasks:
                    length = min(entry.block, entry.size - number * entry.block)
                    tasks.append(self._transfer.spawn(self.read_block(checksums[number], length)))
                    number += 1
                data = await tasks.popleft()
                bytes_left -= len(data)
                yield data
        finally:
            for task in tasks:
                task.cancel()
        if bytes_left:
            raise RsyncError("a file's blocks do not make up its length", EXIT_FILE_IO)
