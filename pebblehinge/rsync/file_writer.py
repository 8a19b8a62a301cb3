"""Writes a file's blocks as its bytes come, a few at a time."""

from __future__ import annotations

import asyncio

from pebblehinge.rsync.stream import PARTIAL, RsyncError
from pebblehinge.rsync.transfer import Transfer
from pebblehinge.rsync.tree import HOLE, INLINE, SPREAD, Entry, block_extent, block_sum, whole_sum


class Writer:
    """A file that comes in pieces: whole blocks are written as they come, a few at a time; `done` gives its entry, not
    yet committed. `blocks` are those that stand, in order, for who wants to go on from there."""

    def __init__(self, transfer: Transfer, known: list[bytes] | None = None) -> None:
        self.transfer, self.block = transfer, transfer.block.block
        self.held = bytearray()
        self.size = 0
        self.sums: list[bytes] = []
        self.out: list[tuple[int, asyncio.Task[None]]] = []  # blocks on their way: their number, and the write
        self.known = dict.fromkeys(known or ())  # blocks that stand already
        self.most = max(1, transfer.block.ahead // self.block)

    async def put(self, data: bytes) -> None:
        self.held += data
        self.size += len(data)
        if 0 <= self.transfer.block.max_size < self.size:
            most = self.transfer.block.max_size
            raise RsyncError(f"a file of more than {most} bytes: this module takes no more", PARTIAL)
        while len(self.held) >= self.block:
            await self._one(bytes(self.held[: self.block]))
            del self.held[: self.block]

    async def _one(self, data: bytes) -> None:
        sum_ = block_sum(data)
        self.sums.append(sum_)
        if sum_ == HOLE or sum_ in self.known:
            return
        self.known[sum_] = None
        while len(self.out) >= self.most:
            await self.out.pop(0)[1]
        transfer = self.transfer
        write = transfer.spawn(transfer.write(block_extent(transfer.place.name, sum_), data))
        self.out.append((len(self.sums) - 1, write))

    async def standing(self) -> list[bytes]:
        """Sums of the first blocks that surely stand, once those on their way have come to their end."""
        while self.out:
            number, task = self.out.pop(0)
            try:
                await task
            except RsyncError:
                return self.sums[:number]
        return self.sums

    def drop(self) -> None:
        for _, task in self.out:
            task.cancel()

    async def done(self, mtime: int, mode: int) -> Entry:
        if self.size <= INLINE:
            data = bytes(self.held)
            digest = whole_sum(self.size, [block_sum(data)])
            return Entry("f", b"", self.size, mtime, mode & 0o7777, digest, data=data)
        if self.held:
            data = bytes(self.held)
            self.held.clear()
            await self._one(data)
        while self.out:
            await self.out.pop(0)[1]
        raw, deep = b"".join(self.sums), False
        if len(raw) > SPREAD:
            deep, pieces = True, [raw[at : at + SPREAD] for at in range(0, len(raw), SPREAD)]
            for piece in pieces:
                sum_ = block_sum(piece)
                if sum_ != HOLE:
                    await self.transfer.write(block_extent(self.transfer.place.name, sum_), piece)
            raw = b"".join(block_sum(piece) for piece in pieces)
        digest = whole_sum(self.size, self.sums)
        return Entry("f", b"", self.size, mtime, mode & 0o7777, digest, self.block, raw, deep)
