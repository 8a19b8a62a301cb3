"""Shares one fsync among all who wait for one: what comes while a batch is on its way goes with the next."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from pebblehinge.store.disk import StorageError
from pebblehinge.store.journal import Batch, Journal
from pebblehinge.store.records import Barrier, Done, Record, Write

MOST = 4 << 20  # bytes of writes in one batch


class Committer:
    """`lasts(batch)` is awaited: it appends and syncs, or raises OSError. After one failure nothing is written any
    more: what a failed fsync left on the disk is not known, and a later success would not mean that it is there."""

    def __init__(self, journal: Journal, lasts: Callable[[Batch], Awaitable[None]]) -> None:
        self.journal, self.lasts = journal, lasts
        self.waiting: list[tuple[Record, Callable[[bool], None]]] = []
        self.moved: dict[int, None] = {}  # numbers of live records on their way to a newer segment
        self.running = False
        self.failed = ""
        self.batches = self.records = 0

    def add(self, record: Record, told: Callable[[bool], None]) -> None:
        """`told(True)` once the record lasts, `told(False)` where that is not known and never will be."""
        self.waiting.append((record, told))

    def move(self, record: Write | Barrier) -> None:
        """A live record once more, so that its old segment can go."""
        if record.number not in self.moved:
            self.moved[record.number] = None
            self.waiting.append((record, lambda lasts: self.moved.pop(record.number, None)))

    def _is_over(self, record: Record) -> bool:
        """Whether it was to be moved on, and is done by now."""
        moved = not isinstance(record, Done) and record.number in self.moved
        return moved and record.number not in self.journal.where

    async def run(self) -> None:
        """Until nothing waits. One at a time: whoever adds and sees `running` need do nothing."""
        if self.running:
            return
        self.running = True
        try:
            while self.waiting:
                await self._one()
        finally:
            self.running = False

    async def _one(self) -> None:
        size = count = 0
        while count < len(self.waiting) and size < MOST:
            size += len(getattr(self.waiting[count][0], "data", b"")) + 100
            count += 1
        taken, self.waiting = self.waiting[:count], self.waiting[count:]
        for record, told in [row for row in taken if self._is_over(row[0])]:
            taken.remove((record, told))  # added again it would live for ever
            told(True)
        if not taken:
            return
        if not self.failed:
            batch = self.journal.add([record for record, _ in taken])
            try:
                await self.lasts(batch)
            except (OSError, StorageError) as error:
                why = getattr(error, "strerror", None) or error
                self.failed = f"the journal failed ({why}): this head buffers no more until it is started again"
            else:
                self.journal.synced(batch)
                self.batches += 1
                self.records += len(taken)
        for _, told in taken:
            told(not self.failed)
