"""Block checksums: how long blocks and their strong checksums are, what a receiver says of its file, the wire form."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from pebblehinge.rsync.digests import Digest
from pebblehinge.rsync.errors import RsyncError
from pebblehinge.rsync.numbers import int32, read_int
from pebblehinge.rsync.rolling_checksum import rolling_checksums_of_blocks
from pebblehinge.rsync.stream import Stream

MIN_BLOCK_BYTES = 700
MAX_BLOCK_BYTES = 1 << 17
BLOCK_MULTIPLE = 8
MAX_READ_BLOCK_BYTES = 1 << 29
MAX_BLOCKS = 1 << 20
ROLLING_BYTES = 4
ROLLING_BITS = 32
MIN_STRONG_BYTES = 2
MAX_STRONG_BYTES = 16
FALSE_MATCH_BITS = 10
"""By how many bits checksums are longer than is needed for one false match in a file to be likely."""


def block_length(size: int) -> int:
    """Returns the length of a block for a file of `size` bytes: about its square root, a multiple of 8."""
    if size <= MIN_BLOCK_BYTES * MIN_BLOCK_BYTES:
        return MIN_BLOCK_BYTES
    return max(MIN_BLOCK_BYTES, min(MAX_BLOCK_BYTES, math.isqrt(size) // BLOCK_MULTIPLE * BLOCK_MULTIPLE))


def strong_length(size: int, block: int, digest_bytes: int, redo: bool) -> int:
    """Returns how many bytes of the strong checksum make a false match improbable; with `redo`, all of them."""
    if redo:
        return min(MAX_STRONG_BYTES, digest_bytes)
    bits = FALSE_MATCH_BITS + 2 * (size.bit_length() - 1) - (block.bit_length() - 1)
    return max(MIN_STRONG_BYTES, min(MAX_STRONG_BYTES, digest_bytes, (bits + 1 - ROLLING_BITS + 7) // 8))


@dataclass(slots=True)
class BlockChecksums:
    """What a receiver says of the file that it has; nothing if `count` is 0.

    Attributes:
        count: Number of blocks.
        block: Length of a block in bytes.
        strong: Length of a strong checksum in bytes.
        rest: Length of the last block if it is shorter, or 0.
        rolling_checksums: Of the blocks, in order; empty where the header alone was read.
        strong_checksums: Of the blocks, in order.
    """

    count: int = 0
    block: int = 0
    strong: int = 0
    rest: int = 0
    rolling_checksums: list[int] = field(default_factory=list)
    strong_checksums: list[bytes] = field(default_factory=list)

    def length(self, index: int) -> int:
        """Returns the length of a block in bytes."""
        return self.rest if index == self.count - 1 and self.rest else self.block

    def size(self) -> int:
        """Returns the length of the file in bytes."""
        return 0 if not self.count else (self.count - 1) * self.block + self.length(self.count - 1)

    def has_same_blocks(self, other: BlockChecksums) -> bool:
        """Whether a file is split in the same way."""
        return (self.count, self.block, self.rest) == (other.count, other.block, other.rest)

    def encode_header(self) -> bytes:
        """Returns the header, as a sender sends it back."""
        return int32(self.count) + int32(self.block) + int32(self.strong) + int32(self.rest)

    def encode(self) -> bytes:
        """Returns header and checksums."""
        pairs = zip(self.rolling_checksums, self.strong_checksums, strict=True)
        return self.encode_header() + b"".join(
            rolling.to_bytes(ROLLING_BYTES, "little") + strong for rolling, strong in pairs
        )


class BlockChecksumBuilder:
    """Takes the checksums of a file that comes in pieces."""

    def __init__(self, size: int, digest: Digest, redo: bool = False, block: int = 0) -> None:
        """Creates a builder.

        Args:
            size: Length of the file in bytes.
            digest: Of the transfer.
            redo: Whether the file is transferred once more, as its digest was wrong.
            block: Length of a block in bytes; 0: as the size has it.

        Raises:
            RsyncError: There would be too many blocks.
        """
        block = block or block_length(size)
        count = -(-size // block)
        if count > MAX_BLOCKS:
            raise RsyncError(f"{count} blocks: at most {MAX_BLOCKS} are taken")
        self._digest = digest
        self._checksums = BlockChecksums(count, block, strong_length(size, block, digest.length, redo), size % block)
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Takes more of the file."""
        self._buffer += data
        block = self._checksums.block
        complete = len(self._buffer) // block * block
        if complete:
            self._add(bytes(self._buffer[:complete]), block)
            del self._buffer[:complete]

    def _add(self, data: bytes, block: int) -> None:
        checksums = self._checksums
        checksums.rolling_checksums += rolling_checksums_of_blocks(data, block).tolist()
        for start in range(0, len(data), block):
            checksums.strong_checksums.append(self._digest.block(data[start : start + block])[: checksums.strong])

    def finish(self) -> BlockChecksums:
        """Returns the checksums of the whole file; raises RsyncError if it was longer or shorter."""
        if self._buffer:
            self._add(bytes(self._buffer), len(self._buffer))
            self._buffer.clear()
        if len(self._checksums.rolling_checksums) != self._checksums.count:
            raise RsyncError("the file changed its length while its sums were taken")
        return self._checksums


async def read_block_checksums(stream: Stream, header_only: bool = False) -> BlockChecksums:
    """Reads a receiver's checksums, or the header that a sender sends back; raises RsyncError if they are absurd."""
    count, block, strong, rest = [await read_int(stream) for _ in range(4)]
    if not 0 <= count <= MAX_BLOCKS:
        raise RsyncError(f"{count} blocks: at most {MAX_BLOCKS} are taken")
    if count and not 0 < block <= MAX_READ_BLOCK_BYTES:
        raise RsyncError(f"blocks of {block} bytes")
    if not 0 <= strong <= MAX_STRONG_BYTES or not 0 <= rest <= max(block, 0) or (count and not strong):
        raise RsyncError("block sums that contradict themselves")
    checksums = BlockChecksums(count, block, strong, rest)
    for _ in range(0 if header_only else count):
        raw = await stream.take(ROLLING_BYTES + strong)
        checksums.rolling_checksums.append(int.from_bytes(raw[:ROLLING_BYTES], "little"))
        checksums.strong_checksums.append(raw[ROLLING_BYTES:])
    return checksums
