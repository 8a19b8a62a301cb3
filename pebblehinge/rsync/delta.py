"""The sender's half of the delta algorithm: finds the receiver's blocks in a file by their checksums."""

from __future__ import annotations

from collections.abc import Iterator

import numpy as np

from pebblehinge.rsync.digests import Digest
from pebblehinge.rsync.rolling_checksum import weak, weak_everywhere
from pebblehinge.rsync.sums import Sums

WINDOW = 1 << 17  # offsets that are looked at together at most; few at first, after a match
FIRST = 1 << 12


class Search:
    """Finds a receiver's blocks in a file that comes in pieces: `feed` and `end` give literals (bytes) and the numbers
    of blocks, in order. What it holds is bounded by a block and a window."""

    def __init__(self, sums: Sums, digest: Digest) -> None:
        self.sums, self.digest = sums, digest
        self.held = bytearray()
        self.matched = self.literal = 0
        if sums.count:
            assert sums.weak is not None
            weaks = np.array(sums.weak[: sums.count - 1] if sums.rest else sums.weak, np.uint32)
            order = np.argsort(weaks, kind="stable")
            self.order, self.sorted = order, weaks[order]
            self.tags = np.zeros(1 << 16, np.bool_)
            self.tags[(self.sorted ^ (self.sorted >> 16)) & 0xFFFF] = True
            self.expected = 0  # the block after the last match: it is tried first, and of equal ones preferred
            self.window = FIRST

    def feed(self, data: bytes) -> Iterator[bytes | int]:
        if not self.sums.count:
            yield from self._literal(data)
            return
        self.held += data
        yield from self._all(self.sums.block + WINDOW)

    def end(self) -> Iterator[bytes | int]:
        if not self.sums.count:
            return
        yield from self._all(self.sums.block)
        tail = bytes(self.held)
        self.held.clear()
        rest, last = self.sums.rest, self.sums.count - 1
        if rest and len(tail) >= rest and self._same(tail[-rest:], last):
            yield from self._literal(tail[:-rest])
            self.matched += rest
            yield last
        else:
            yield from self._literal(tail)

    def _all(self, least: int) -> Iterator[bytes | int]:
        """Decides what is held, until less than so much of it is left."""
        block, sums = self.sums.block, self.sums
        at = 0
        area = bytes(self.held)
        while len(area) - at >= least:
            # Where nothing changed the next block follows the last one: one sum says so, and no offset is looked at.
            next_ = self.expected
            if next_ < sums.count and sums.length(next_) == block:
                data = area[at : at + block]
                if self._same(data, next_):
                    self.matched += block
                    self.expected += 1
                    self.window = FIRST
                    at += block
                    yield next_
                    continue
            count = min(self.window, len(area) - at - block + 1)
            offset, found = self._look(area[at : at + count + block - 1], count)
            yield from self._literal(area[at : at + offset])
            at += offset
            if found >= 0:
                self.matched += block
                self.expected = found + 1
                self.window = FIRST
                at += block
                yield found
            else:
                self.window = min(WINDOW, self.window * 4)
        del self.held[:at]

    def _look(self, area: bytes, count: int) -> tuple[int, int]:
        """The first of so many offsets at which a block stands, and which; or all of them, and -1."""
        block = self.sums.block
        sums = weak_everywhere(area, block)
        near = np.flatnonzero(self.tags[(sums ^ (sums >> 16)) & 0xFFFF])
        place = np.searchsorted(self.sorted, sums[near])
        place[place == len(self.sorted)] = 0
        near = near[self.sorted[place] == sums[near]] if len(self.sorted) else near[:0]
        for offset in near.tolist():
            found = self._find(int(sums[offset]), area[offset : offset + block])
            if found >= 0:
                return offset, found
        return count, -1

    def _strong(self, data: bytes) -> bytes:
        return self.digest.block(data)[: self.sums.strong]

    def _find(self, value: int, data: bytes) -> int:
        low = int(np.searchsorted(self.sorted, value, "left"))
        high = int(np.searchsorted(self.sorted, value, "right"))
        numbers = [int(n) for n in self.order[low : min(high, low + 64)]]
        assert self.sums.weak is not None
        if self.expected < self.sums.count and self.sums.length(self.expected) == len(data):
            if self.sums.weak[self.expected] == value:
                numbers.insert(0, self.expected)
        strong = self._strong(data)
        assert self.sums.strongs is not None
        return next((n for n in numbers if self.sums.strongs[n] == strong), -1)

    def _same(self, data: bytes, index: int) -> bool:
        assert self.sums.weak is not None and self.sums.strongs is not None
        return self.sums.weak[index] == weak(data) and self._strong(data) == self.sums.strongs[index]

    def _literal(self, data: bytes) -> Iterator[bytes]:
        if data:
            self.literal += len(data)
            yield data
