"""A simulated disk: a crash may lose, tear or partly zero unsynced data; errors and a full disk can be injected."""

from __future__ import annotations

import random
from collections.abc import Callable

SECTOR_BYTES = 512


class FaultyDisk:
    """A folder in memory. `crash` keeps synced data and a random prefix of the unsynced rest of each file.

    With `holes` some sectors of that prefix are zeros, since a disk may write sectors in any order.
    """

    def __init__(self, rng: random.Random, holes: bool = False) -> None:
        self.rng, self.holes = rng, holes
        self.files: dict[str, bytearray] = {}
        self.synced: dict[str, int] = {}
        self.fail = ""  # the operation that fails: append or sync
        self.free_bytes: int | None = None
        self.slow: Callable[[], None] | None = None  # called by each write operation to simulate latency

    def names(self) -> list[str]:
        return sorted(self.files)

    def exists(self, name: str) -> bool:
        return name in self.files

    def read(self, name: str) -> bytes:
        return bytes(self.files[name])

    def _simulate_latency(self) -> None:
        if self.slow is not None:
            self.slow()

    def append(self, name: str, data: bytes) -> None:
        self._simulate_latency()
        if self.fail == "append" or (self.free_bytes is not None and len(data) > self.free_bytes):
            raise OSError(28, "No space left on device")
        if self.free_bytes is not None:
            self.free_bytes -= len(data)
        self.files.setdefault(name, bytearray()).extend(data)
        self.synced.setdefault(name, 0)

    def sync(self, name: str) -> None:
        self._simulate_latency()
        if self.fail == "sync":
            raise OSError(5, "Input/output error")
        self.synced[name] = len(self.files[name])

    def truncate(self, name: str, size: int) -> None:
        del self.files[name][size:]
        self.synced[name] = size

    def replace(self, name: str, data: bytes) -> None:
        self._simulate_latency()
        if self.fail:
            raise OSError(5, "Input/output error")
        self.files[name] = bytearray(data)
        self.synced[name] = len(data)

    def remove(self, name: str) -> None:
        self.files.pop(name, None)
        self.synced.pop(name, None)

    def sync_folder(self) -> None:
        pass

    def crash(self) -> None:
        for name, data in self.files.items():
            kept = self.synced[name]
            first = kept
            kept += self.rng.randint(0, len(data) - kept)
            del data[kept:]
            if self.holes:
                for at in range(first // SECTOR_BYTES * SECTOR_BYTES, kept, SECTOR_BYTES):
                    if self.rng.random() < 0.3:
                        low, high = max(first, at), min(kept, at + SECTOR_BYTES)
                        data[low:high] = bytes(high - low)
            self.synced[name] = kept
