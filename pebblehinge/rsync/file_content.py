"""Reads a file block by block, some ahead, and checks each against its sum."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from pebblehinge.rsync.stream import FILE, RsyncError
from pebblehinge.rsync.transfer import Transfer
from pebblehinge.rsync.tree import HOLE, SPREAD, Entry, block_extent, block_sum, sums_of


class FileContent:
    """Reads the bytes of a module's files."""

    def __init__(self, transfer: Transfer) -> None:
        self.transfer = transfer

    async def sums(self, entry: Entry) -> list[bytes]:
        if not entry.deep:
            return sums_of(entry.sums)
        raw = b"".join([await self.block_of(s, SPREAD) for s in sums_of(entry.sums)])
        return sums_of(raw)[: -(-entry.size // entry.block)]  # a hole in the place of sums may be longer than they are

    async def block_of(self, sum_: bytes, length: int) -> bytes:
        if sum_ == HOLE:
            return bytes(length)
        data = await self.transfer.read(block_extent(self.transfer.place.name, sum_), 0, length)
        if block_sum(data) != sum_:
            raise RsyncError("a block is not what its sum says: a shelf gave back something else", FILE)
        return data

    async def content(self, entry: Entry, sums: list[bytes] | None = None) -> AsyncIterator[bytes]:
        """A file's bytes, block by block, some read ahead."""
        if entry.data or not entry.size:
            if entry.data:
                yield entry.data
            return
        sums = sums if sums is not None else await self.sums(entry)
        ahead: list[asyncio.Task[bytes]] = []
        most = max(1, self.transfer.block.ahead // entry.block)
        at, left = 0, entry.size
        try:
            while at < len(sums) or ahead:
                while at < len(sums) and len(ahead) < most:
                    length = min(entry.block, entry.size - at * entry.block)
                    ahead.append(self.transfer.spawn(self.block_of(sums[at], length)))
                    at += 1
                data = await ahead.pop(0)
                left -= len(data)
                yield data
        finally:
            for task in ahead:
                task.cancel()
        if left:
            raise RsyncError("a file's blocks do not make up its length", FILE)
