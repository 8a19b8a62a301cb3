"""The rolling checksum of rsync's delta algorithm, over a whole buffer at once, by numpy.

The rolling checksum of a block x of length b has two halves of 16 bits: the sum of its bytes, taken as signed, and the
sum of (b - j) * x[j]. With running sums over a buffer both are differences, so those of all offsets come in a few
passes. Sums wrap at 32 bits, of which 16 count.
"""

from __future__ import annotations

import numpy as np
import numpy.typing as npt

Checksums = npt.NDArray[np.uint32]

HALF_MASK = 0xFFFF
HALF_BITS = 16


def rolling_checksum(data: bytes) -> int:
    """Returns the rolling checksum of one block."""
    return int(rolling_checksums_of_blocks(data, len(data))[0])


def rolling_checksums_of_blocks(data: bytes | bytearray, block: int) -> Checksums:
    """Returns the rolling checksums of blocks of `block` bytes that follow each other; `data` holds whole ones."""
    values = np.frombuffer(data, np.int8).reshape(-1, block).astype(np.uint32)
    low: Checksums = values.sum(axis=1, dtype=np.uint32)
    weights = np.arange(block, 0, -1, dtype=np.uint32)
    high: Checksums = np.matmul(values, weights, dtype=np.uint32)
    return _join(low, high)


def rolling_checksums_at_offsets(data: bytes | bytearray | memoryview, block: int) -> Checksums:
    """Returns the rolling checksums of the blocks at each offset of `data`: len(data) - block + 1 of them."""
    values = np.frombuffer(data, np.int8).astype(np.uint32)
    running = np.zeros(len(values) + 1, np.uint32)
    np.cumsum(values, out=running[1:], dtype=np.uint32)
    weighted = np.zeros(len(values) + 1, np.uint32)
    values *= np.arange(len(values), dtype=np.uint32)
    np.cumsum(values, out=weighted[1:], dtype=np.uint32)
    count = len(values) - block + 1
    low: Checksums = running[block:] - running[:count]
    lengths = np.arange(block, block + count, dtype=np.uint32)
    high: Checksums = lengths * low - (weighted[block:] - weighted[:count])
    return _join(low, high)


def _join(low: Checksums, high: Checksums) -> Checksums:
    joined: Checksums = (low & np.uint32(HALF_MASK)) | (high << np.uint32(HALF_BITS))
    return joined
