"""The file that stands, in the blocks that the client names."""

from __future__ import annotations

from typing import Any

from pebblehinge.rsync.file_content import FileContent
from pebblehinge.rsync.sums import Sums
from pebblehinge.rsync.transfer import Transfer
from pebblehinge.rsync.tree import Entry


class BasisFile:
    """Blocks of the file that stands, as the client names them."""

    def __init__(self, transfer: Transfer, basis: Entry | None, sums: Sums, known: list[bytes] | None) -> None:
        self.transfer, self.basis, self.sums, self.known = transfer, basis, sums, known
        self.reader = FileContent(transfer)
        self.ahead: dict[int, Any] = {}  # the module's blocks that are at hand, or on their way
        self.most = max(1, transfer.block.ahead // basis.block) if basis is not None and basis.block else 1

    async def _block(self, n: int) -> bytes:
        """One of the module's blocks; those after it are read ahead, as they are mostly wanted in turn."""
        assert self.basis is not None and self.known is not None
        for m in [m for m in self.ahead if not n <= m < n + self.most]:
            self.ahead.pop(m).cancel()
        for m in range(n, min(n + self.most, len(self.known))):
            if m not in self.ahead:
                size = min(self.basis.block, self.basis.size - m * self.basis.block)
                self.ahead[m] = self.transfer.spawn(self.reader.block_of(self.known[m], size))
        return await self.ahead[n]

    def drop(self) -> None:
        for task in self.ahead.values():
            task.cancel()

    async def read(self, index: int) -> bytes:
        basis = self.basis
        assert basis is not None
        start = index * self.sums.block
        length = self.sums.length(index)
        if basis.data:
            return basis.data[start : start + length]
        assert self.known is not None
        out = b""
        while len(out) < length:
            n, inner = divmod(start + len(out), basis.block)
            data = await self._block(n)
            out += data[inner : inner + length - len(out)]
        return out
