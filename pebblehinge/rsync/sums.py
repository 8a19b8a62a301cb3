"""Block sums and the search for blocks: the rolling sum over a whole buffer at once, by numpy.

The rolling sum of a block x of length b has two halves of 16 bits: the sum of its bytes, taken as signed, and the sum
of (b - j) * x[j]. With running sums over a buffer both are differences, so all offsets' sums come in a few passes.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np

from pebblehinge.rsync.digests import Digest
from pebblehinge.rsync.numbers import int32, read_int
from pebblehinge.rsync.stream import RsyncError, Stream

SMALLEST, LARGEST = 700, 1 << 17
MOST_BLOCKS = 1 << 20
WINDOW = 1 << 17  # offsets that are looked at together at most; few at first, after a match
FIRST = 1 << 12


def block_length(size: int) -> int:
    """About the square root of a file's length, a multiple of 8."""
    if size <= SMALLEST * SMALLEST:
        return SMALLEST
    return max(SMALLEST, min(LARGEST, math.isqrt(size) // 8 * 8))


def strong_length(size: int, block: int, full: int, redo: bool) -> int:
    """How many bytes of the strong sum make a false match improbable; all of them on a second try."""
    if redo:
        return min(16, full)
    bits = 10 + 2 * (size.bit_length() - 1) - (block.bit_length() - 1)
    return max(2, min(16, full, (bits + 1 - 32 + 7) // 8))


def weak(data: bytes) -> int:
    """The rolling sum of one block."""
    return int(weak_blocks(data, len(data))[0])


def weak_blocks(data: bytes | bytearray, block: int) -> np.ndarray:
    """The rolling sums of whole blocks that follow each other, uint32. Sums wrap at 32 bits; 16 of them count."""
    x = np.frombuffer(data, np.int8).reshape(-1, block).astype(np.uint32)
    low = x.sum(axis=1, dtype=np.uint32)
    high = x @ np.arange(block, 0, -1, dtype=np.uint32)
    return (low & 0xFFFF) | (high << 16)


def weak_everywhere(data: bytes | bytearray | memoryview, block: int) -> np.ndarray:
    """The rolling sums of the blocks at each offset of `data`: len(data) - block + 1 of them, uint32."""
    x = np.frombuffer(data, np.int8).astype(np.uint32)
    ones = np.zeros(len(x) + 1, np.uint32)
    np.cumsum(x, out=ones[1:], dtype=np.uint32)
    weighed = np.zeros(len(x) + 1, np.uint32)
    x *= np.arange(len(x), dtype=np.uint32)
    np.cumsum(x, out=weighed[1:], dtype=np.uint32)
    count = len(x) - block + 1
    low = ones[block:] - ones[:count]
    high = np.arange(block, block + count, dtype=np.uint32) * low - (weighed[block:] - weighed[:count])
    return (low & 0xFFFF) | (high << 16)


@dataclass(slots=True)
class Sums:
    """What a receiver says of the file it has: none of it, where `count` is 0."""

    count: int = 0
    block: int = 0
    strong: int = 0
    rest: int = 0  # length of the last block where it is shorter
    weak: list[int] | None = None
    strongs: list[bytes] | None = None

    def length(self, index: int) -> int:
        return self.rest if index == self.count - 1 and self.rest else self.block

    def size(self) -> int:
        return 0 if not self.count else (self.count - 1) * self.block + self.length(self.count - 1)

    def head(self) -> bytes:
        return int32(self.count) + int32(self.block) + int32(self.strong) + int32(self.rest)

    def packed(self) -> bytes:
        assert self.weak is not None and self.strongs is not None
        return self.head() + b"".join(w.to_bytes(4, "little") + s for w, s in zip(self.weak, self.strongs, strict=True))


class Summing:
    """Sums of a file that comes in pieces."""

    def __init__(self, size: int, digest: Digest, redo: bool = False, block: int = 0) -> None:
        block = block or block_length(size)
        count = -(-size // block)
        if count > MOST_BLOCKS:
            raise RsyncError(f"{count} blocks: at most {MOST_BLOCKS} are taken")
        self.digest = digest
        self.sums = Sums(count, block, strong_length(size, block, digest.length, redo), size % block, [], [])
        self.held = bytearray()

    def feed(self, data: bytes) -> None:
        self.held += data
        block = self.sums.block
        whole = len(self.held) // block * block
        if whole:
            self._take(bytes(self.held[:whole]), block)
            del self.held[:whole]

    def _take(self, data: bytes, block: int) -> None:
        assert self.sums.weak is not None and self.sums.strongs is not None
        self.sums.weak += weak_blocks(data, block).tolist()
        strong = self.sums.strong
        self.sums.strongs += [self.digest.block(data[at : at + block])[:strong] for at in range(0, len(data), block)]

    def done(self) -> Sums:
        if self.held:
            self._take(bytes(self.held), len(self.held))
            self.held.clear()
        assert self.sums.weak is not None
        if len(self.sums.weak) != self.sums.count:
            raise RsyncError("the file changed its length while its sums were taken")
        return self.sums


async def read_sums(stream: Stream, digest: Digest, whole: bool = True) -> Sums:
    """A receiver's sums; with `whole` False the head alone, as a sender sends it back."""
    count, block, strong, rest = [await read_int(stream) for _ in range(4)]
    if not 0 <= count <= MOST_BLOCKS:
        raise RsyncError(f"{count} blocks: at most {MOST_BLOCKS} are taken")
    if count and not 0 < block <= 1 << 29:
        raise RsyncError(f"blocks of {block} bytes")
    if not 0 <= strong <= 16 or not 0 <= rest <= max(block, 0) or (count and not strong):
        raise RsyncError("block sums that contradict themselves")
    sums = Sums(count, block, strong, rest, [], [])
    if whole:
        assert sums.weak is not None and sums.strongs is not None
        for _ in range(count):
            raw = await stream.take(4 + strong)
            sums.weak.append(int.from_bytes(raw[:4], "little"))
            sums.strongs.append(raw[4:])
    return sums


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
