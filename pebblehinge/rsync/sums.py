"""Block checksums: how long blocks and their strong sums are, what a receiver says of its file, and the wire form."""

from __future__ import annotations

import math
from dataclasses import dataclass

from pebblehinge.rsync.digests import Digest
from pebblehinge.rsync.numbers import int32, read_int
from pebblehinge.rsync.rolling_checksum import weak_blocks
from pebblehinge.rsync.stream import RsyncError, Stream

SMALLEST, LARGEST = 700, 1 << 17
MOST_BLOCKS = 1 << 20


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
