"""The sender's half of the delta algorithm: finds the receiver's blocks in a file by their checksums."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np

from pebblehinge.rsync.block_checksums import BlockChecksums
from pebblehinge.rsync.digests import Digest
from pebblehinge.rsync.rolling_checksum import Checksums, rolling_checksum, rolling_checksums_at_offsets

MAX_WINDOW = 1 << 17
"""Offsets that are looked at together, at most."""

FIRST_WINDOW = 1 << 12
"""Offsets that are looked at together after a match."""

WINDOW_GROWTH = 4

MAX_CANDIDATES = 64
"""Blocks of the same rolling checksum whose strong checksums are compared."""

TAG_BITS = 16
TAG_MASK = 0xFFFF


@dataclass(slots=True, frozen=True)
class Match:
    """Where the first block stands in an area: its offset, and the block's number."""

    offset: int
    index: int


class BlockIndex:
    """Finds blocks by their rolling checksums.

    A table of one bit for each tag of 16 bits rules out most offsets; a sorted array finds the others' blocks.
    """

    def __init__(self, checksums: BlockChecksums) -> None:
        rolling = checksums.rolling_checksums
        # A shorter last block is compared with the file's end alone.
        values = np.array(rolling[: checksums.count - 1] if checksums.rest else rolling, np.uint32)
        self._order = np.argsort(values, kind="stable")
        self._sorted = values[self._order]
        self._tags = np.zeros(1 << TAG_BITS, np.bool_)
        self._tags[self._tag(self._sorted)] = True

    @staticmethod
    def _tag(values: Checksums) -> Checksums:
        tags: Checksums = (values ^ (values >> np.uint32(TAG_BITS))) & np.uint32(TAG_MASK)
        return tags

    def offsets(self, rolling: Checksums) -> list[int]:
        """Returns the offsets whose rolling checksum is that of some block, in order."""
        near = np.flatnonzero(self._tags[self._tag(rolling)])
        if not len(self._sorted):
            return []
        position = np.searchsorted(self._sorted, rolling[near])
        position[position == len(self._sorted)] = 0
        found: list[int] = near[self._sorted[position] == rolling[near]].tolist()
        return found

    def candidates(self, rolling: int) -> list[int]:
        """Returns the numbers of the blocks with a rolling checksum, the first `MAX_CANDIDATES`."""
        low = int(np.searchsorted(self._sorted, rolling, "left"))
        high = int(np.searchsorted(self._sorted, rolling, "right"))
        return [int(number) for number in self._order[low : min(high, low + MAX_CANDIDATES)]]


class BlockSearch:
    """Finds a receiver's blocks in a file that comes in pieces; what it holds is bounded by a block and a window.

    Attributes:
        matched_bytes: Bytes that the receiver has.
        literal_bytes: Bytes that it does not have.
    """

    def __init__(self, checksums: BlockChecksums, digest: Digest) -> None:
        self.matched_bytes = 0
        self.literal_bytes = 0
        self._checksums = checksums
        self._digest = digest
        self._buffer = bytearray()
        self._index = BlockIndex(checksums) if checksums.count else None
        self._expected = 0  # the block after the last match: it is tried first, and of equal ones preferred
        self._window = FIRST_WINDOW

    def feed(self, data: bytes) -> Iterator[bytes | int]:
        """Takes more of the file; yields literals (bytes) and numbers of blocks (int), in order."""
        if not self._checksums.count:
            yield from self._literal(data)
            return
        self._buffer += data
        yield from self._search(self._checksums.block + MAX_WINDOW)

    def end(self) -> Iterator[bytes | int]:
        """Ends the file; yields the rest of it."""
        checksums = self._checksums
        if not checksums.count:
            return
        yield from self._search(checksums.block)
        tail = bytes(self._buffer)
        self._buffer.clear()
        rest, last = checksums.rest, checksums.count - 1
        if rest and len(tail) >= rest and self._is_block(tail[-rest:], last):
            yield from self._literal(tail[:-rest])
            self.matched_bytes += rest
            yield last
        else:
            yield from self._literal(tail)

    def _search(self, min_bytes: int) -> Iterator[bytes | int]:
        """Yields what the buffer holds, until less than `min_bytes` of it are left."""
        block = self._checksums.block
        position = 0
        area = bytes(self._buffer)
        while len(area) - position >= min_bytes:
            # Where nothing changed the next block follows the last one: one checksum says so, and no offset is
            # looked at.
            expected = self._expected
            if self._is_expected(area[position : position + block]):
                position += block
                yield self._match(expected)
                continue
            count = min(self._window, len(area) - position - block + 1)
            match = self._find_first(area[position : position + count + block - 1])
            literal_bytes = match.offset if match is not None else count
            yield from self._literal(area[position : position + literal_bytes])
            position += literal_bytes
            if match is not None:
                position += block
                yield self._match(match.index)
            else:
                self._window = min(MAX_WINDOW, self._window * WINDOW_GROWTH)
        del self._buffer[:position]

    def _match(self, index: int) -> int:
        """Notes a whole block that matches; returns its number."""
        self.matched_bytes += self._checksums.block
        self._expected = index + 1
        self._window = FIRST_WINDOW
        return index

    def _is_expected(self, data: bytes) -> bool:
        expected = self._expected
        if expected >= self._checksums.count or self._checksums.length(expected) != self._checksums.block:
            return False
        return self._is_block(data, expected)

    def _find_first(self, area: bytes) -> Match | None:
        """Returns the first block in an area, at whatever offset."""
        assert self._index is not None
        block = self._checksums.block
        rolling = rolling_checksums_at_offsets(area, block)
        for offset in self._index.offsets(rolling):
            index = self._find(int(rolling[offset]), area[offset : offset + block])
            if index is not None:
                return Match(offset, index)
        return None

    def _strong_checksum(self, data: bytes) -> bytes:
        return self._digest.block(data)[: self._checksums.strong]

    def _find(self, rolling: int, data: bytes) -> int | None:
        """Returns the number of the block with these bytes."""
        assert self._index is not None
        checksums, expected = self._checksums, self._expected
        candidates = self._index.candidates(rolling)
        if (
            expected < checksums.count
            and checksums.length(expected) == len(data)
            and checksums.rolling_checksums[expected] == rolling
        ):
            candidates.insert(0, expected)
        strong = self._strong_checksum(data)
        return next((index for index in candidates if checksums.strong_checksums[index] == strong), None)

    def _is_block(self, data: bytes, index: int) -> bool:
        checksums = self._checksums
        if checksums.rolling_checksums[index] != rolling_checksum(data):
            return False
        return self._strong_checksum(data) == checksums.strong_checksums[index]

    def _literal(self, data: bytes) -> Iterator[bytes]:
        if data:
            self.literal_bytes += len(data)
            yield data
