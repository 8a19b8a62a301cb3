"""The rolling checksum of rsync's delta algorithm, over a whole buffer at once, by numpy.

The rolling sum of a block x of length b has two halves of 16 bits: the sum of its bytes, taken as signed, and the sum
of (b - j) * x[j]. With running sums over a buffer both are differences, so all offsets' sums come in a few passes.
"""

from __future__ import annotations

import numpy as np


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
