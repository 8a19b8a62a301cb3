"""The budget of memory that all connections of the gateway share.

Each connection charges what it holds. The budget is what remains of the configured limit beside the memory that the
process takes otherwise, which is measured periodically, so that it includes the node list and the scheduler's state.
"""

from __future__ import annotations

from typing import Protocol

MIB = 1024 * 1024
USABLE_SHARE = 0.86  # Of the configured limit; the rest is for what is not charged and for the time between measures.
MIN_BUDGET_BYTES = MIB // 2  # Requests of usual size go on, and large ones a few at a time.
LARGE_REQUEST_BYTES = 8 * 1024
LARGE_REQUEST_SHARE = 0.75  # Of the budget: once as much is held, only small requests are admitted.
TRIM_INTERVAL_MS = 1000.0
TRIM_SHARE = 0.01  # Of the limit: free memory is returned once more than that seems to be free.


class Memory(Protocol):
    """The part of `ProcessMemory` that the budget uses."""

    def resident_bytes(self) -> int:
        """Returns the resident memory in bytes."""

    def release_free(self) -> None:
        """Returns free memory of the allocator to the system."""


class MemoryBudget:
    """The bytes that connections hold and may hold together.

    Attributes:
        process_limit_bytes: The configured limit of the process.
        held_bytes: What connections hold.
        budget_bytes: What they may hold.
        resident_bytes: The memory of the process at the last measure.
    """

    __slots__ = (
        "memory",
        "process_limit_bytes",
        "held_bytes",
        "budget_bytes",
        "resident_bytes",
        "_least_other_bytes",
        "_last_trim_ms",
    )

    def __init__(self, memory: Memory, process_limit_bytes: int) -> None:
        self.memory = memory
        self.process_limit_bytes = process_limit_bytes
        self.held_bytes = 0
        self.budget_bytes = MIN_BUDGET_BYTES
        self.resident_bytes = 0
        self._least_other_bytes = process_limit_bytes
        self._last_trim_ms = -TRIM_INTERVAL_MS

    @property
    def is_exceeded(self) -> bool:
        """Whether connections hold more than they may."""
        return self.held_bytes > self.budget_bytes

    def has_room(self, request_bytes: int) -> bool:
        """Returns whether a request of this size, which is charged already, may be kept until its answer."""
        share = LARGE_REQUEST_SHARE if request_bytes > LARGE_REQUEST_BYTES else 1.0
        return self.held_bytes <= share * self.budget_bytes

    def charge(self, change_bytes: int) -> None:
        """Adds to what connections hold; a negative change releases."""
        self.held_bytes += change_bytes

    def measure(self, now: float) -> None:
        """Measures the process and updates the budget; returns free memory to the system if much seems to be free.

        Args:
            now: Clock time in milliseconds.
        """
        self.resident_bytes = self.memory.resident_bytes()
        if self._seems_free() and now - self._last_trim_ms >= TRIM_INTERVAL_MS:
            self._last_trim_ms = now
            self.memory.release_free()
            self.resident_bytes = self.memory.resident_bytes()
            self._least_other_bytes = self._other_bytes()
        usable_bytes = int(USABLE_SHARE * self.process_limit_bytes)
        self.budget_bytes = max(MIN_BUDGET_BYTES, usable_bytes - self._other_bytes())

    def _other_bytes(self) -> int:
        """Returns the resident memory that no connection has charged."""
        return max(0, self.resident_bytes - self.held_bytes)

    def _seems_free(self) -> bool:
        other_bytes = self._other_bytes()
        self._least_other_bytes = min(self._least_other_bytes, other_bytes)
        return other_bytes - self._least_other_bytes > TRIM_SHARE * self.process_limit_bytes
