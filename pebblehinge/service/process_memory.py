"""The memory of this process: how much is resident, and how free memory goes back to the system."""

from __future__ import annotations

import ctypes
import os
import resource

KIB = 1024
STATM_PATH = "/proc/self/statm"
RESIDENT_FIELD = 1  # of STATM_PATH, in pages
MAX_STATM_BYTES = 256
# glibc: blocks from this size on are mappings of their own, which go back to the system when they are freed. To set it
# also keeps glibc from raising it with each large block.
M_MMAP_THRESHOLD = -3
MAPPED_BLOCK_BYTES = 20 * 1024  # More than one read of a socket, so that bodies are mapped and single reads are not.


class ProcessMemory:
    """Reads and trims the memory of the process, as far as the system offers that."""

    def __init__(self) -> None:
        self._page_bytes = os.sysconf("SC_PAGE_SIZE")
        self._library = ctypes.CDLL(None)
        try:
            self._statm = os.open(STATM_PATH, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self._statm = -1

    def map_large_blocks(self) -> None:
        """Has the allocator return blocks of MAPPED_BLOCK_BYTES and more to the system as they are freed."""
        if hasattr(self._library, "mallopt"):
            self._library.mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)

    def resident_bytes(self) -> int:
        """Returns the resident memory in bytes, or the most that it ever was where the system tells no more."""
        try:
            return int(os.pread(self._statm, MAX_STATM_BYTES, 0).split()[RESIDENT_FIELD]) * self._page_bytes
        except (OSError, IndexError, ValueError):
            return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIB

    def release_free(self) -> None:
        """Returns free memory of the allocator to the system."""
        if hasattr(self._library, "malloc_trim"):
            self._library.malloc_trim(0)
