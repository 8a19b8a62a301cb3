"""Limits the memory of incomplete answers of storage nodes.

While the memory budget is exceeded, connections with an incomplete answer wait unread, and their nodes with them. If
incomplete answers are what exceeds it, the oldest is read all the same, so that they come to their clients one after
the other. An attempt whose time ends meanwhile has timed out.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from pebblehinge.service.memory_budget import MemoryBudget


class Reader(Protocol):
    """A connection to a storage node.

    Attributes:
        transport: The transport of the connection.
    """

    transport: Any


class ResponseFlow:
    """The connections with an incomplete answer, the oldest answer first.

    Attributes:
        held_bytes: What each of them has charged to the memory budget.
        total_bytes: What they have charged together.
        paused: Those of them that are not read.
        pause_count: How often one was paused.
    """

    __slots__ = ("loop", "memory_budget", "free_memory", "held_bytes", "total_bytes", "paused", "pause_count")

    def __init__(
        self, loop: asyncio.AbstractEventLoop, memory_budget: MemoryBudget, free_memory: Callable[[], None]
    ) -> None:
        self.loop = loop
        self.memory_budget = memory_budget
        self.free_memory = free_memory
        self.held_bytes: dict[Reader, int] = {}
        self.total_bytes = 0
        self.paused: dict[Reader, None] = {}
        self.pause_count = 0

    def update(self, reader: Reader, held_bytes: int) -> None:
        """Charges what an incomplete answer takes; pauses its connection if memory is short."""
        if not held_bytes:
            self.end(reader)
            return
        self._charge(held_bytes - self.held_bytes.get(reader, 0))
        self.held_bytes[reader] = held_bytes
        if self.memory_budget.is_exceeded:
            self.free_memory()
        if not self._may_read(reader):
            self._pause(reader)

    def _charge(self, change_bytes: int) -> None:
        self.total_bytes += change_bytes
        self.memory_budget.charge(change_bytes)

    def _may_read(self, reader: Reader) -> bool:
        budget = self.memory_budget
        if not budget.is_exceeded:
            return True
        is_oldest = reader is next(iter(self.held_bytes))
        return is_oldest and budget.held_bytes - self.total_bytes <= budget.budget_bytes

    def end(self, reader: Reader) -> None:
        """Releases the memory of an answer that is complete or lost; may be called repeatedly."""
        if reader in self.held_bytes:
            self._charge(-self.held_bytes.pop(reader))
            self._resume(reader)
            self.resume_paused()

    def resume_paused(self) -> None:
        """Reads the answers again that memory allows, the oldest first."""
        for reader in list(self.paused):
            if self._may_read(reader):
                self._resume(reader)

    def yield_turn(self, reader: Reader) -> None:
        """Reads nothing more from a connection in this turn of the event loop."""
        if reader not in self.paused and not reader.transport.is_closing():
            reader.transport.pause_reading()
            self.loop.call_soon(self._end_yield, reader)

    def _end_yield(self, reader: Reader) -> None:
        if reader not in self.paused and not reader.transport.is_closing():
            reader.transport.resume_reading()

    def _pause(self, reader: Reader) -> None:
        if reader not in self.paused and not reader.transport.is_closing():
            self.paused[reader] = None
            self.pause_count += 1
            reader.transport.pause_reading()

    def _resume(self, reader: Reader) -> None:
        if reader in self.paused:
            del self.paused[reader]
            if not reader.transport.is_closing():
                reader.transport.resume_reading()
