"""Group commit: one fsync serves all records that wait; those that arrive meanwhile go with the next."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from pebblehinge.store.errors import JournalFailedError, StorageError
from pebblehinge.store.journal import Batch, Journal
from pebblehinge.store.records import Barrier, Completion, Record, Write

MAX_BATCH_BYTES = 4 << 20
RECORD_OVERHEAD_BYTES = 100  # estimate of what a record takes beside its data


class PendingRecord(NamedTuple):
    """A record that isn't appended yet; `on_result` gets True once it is durable, False if that can't be known."""

    record: Record
    on_result: Callable[[bool], None]


class Committer:
    """Appends records to a journal in batches.

    After one failure nothing is written any more: what a failed fsync left on the disk is unknown, and a later success
    would not mean that it is there.

    Attributes:
        waiting: The records of the next batches.
        relocating: Numbers of live records that are being written to a newer segment.
        running: Whether `run` is under way.
        failure: The first failure, None as long as there was none.
        batches: Batches that were made durable.
        records: Records in these.
    """

    def __init__(self, journal: Journal, write_batch: Callable[[Batch], Awaitable[None]]) -> None:
        """`write_batch` appends and syncs a batch; it raises OSError or StorageError if it can't."""
        self.journal = journal
        self.write_batch = write_batch
        self.pending: list[PendingRecord] = []
        self.pending_relocations: dict[int, None] = {}
        self.is_running = False
        self.failure: JournalFailedError | None = None
        self.batch_count = 0
        self.record_count = 0

    def add(self, record: Record, on_result: Callable[[bool], None]) -> None:
        """Takes a record for the next batch; `run` has to be called."""
        self.pending.append(PendingRecord(record, on_result))

    def relocate(self, record: Write | Barrier) -> None:
        """Takes a live record once more, so that its old segment can be removed."""
        number = record.number
        if number not in self.pending_relocations:
            self.pending_relocations[number] = None
            self.add(record, lambda durable: self.pending_relocations.pop(number, None))

    async def run(self) -> None:
        """Commits until nothing waits. Returns at once if it is running already."""
        if self.is_running:
            return
        self.is_running = True
        try:
            while self.pending:
                await self._commit_batch()
        finally:
            self.is_running = False

    async def _commit_batch(self) -> None:
        batch = self._drop_obsolete(self._next_batch())
        if not batch:
            return
        if self.failure is None:
            await self._write([row.record for row in batch])
        durable = self.failure is None
        for _, on_result in batch:
            on_result(durable)

    def _next_batch(self) -> list[PendingRecord]:
        """Takes the records of a batch off the waiting ones."""
        size = 0
        count = 0
        for record, _ in self.pending:
            if size >= MAX_BATCH_BYTES:
                break
            size += len(getattr(record, "data", b"")) + RECORD_OVERHEAD_BYTES
            count += 1
        batch = self.pending[:count]
        self.pending = self.pending[count:]
        return batch

    def _drop_obsolete(self, batch: list[PendingRecord]) -> list[PendingRecord]:
        """Drops records that were to be relocated and are done by now: written again they would live for ever."""
        if not self.pending_relocations:
            return batch
        obsolete = [row for row in batch if self._is_obsolete(row.record)]
        for row in obsolete:
            batch.remove(row)
            row.on_result(True)
        return batch

    def _is_obsolete(self, record: Record) -> bool:
        if isinstance(record, Completion) or record.number not in self.pending_relocations:
            return False
        return record.number not in self.journal.segment_of

    async def _write(self, records: list[Record]) -> None:
        batch = self.journal.prepare(records)
        try:
            await self.write_batch(batch)
        except (OSError, StorageError) as error:
            why = getattr(error, "strerror", None) or error
            self.failure = JournalFailedError(
                f"the journal failed ({why}): this head buffers no more until it is started again"
            )
        else:
            self.journal.mark_committed(batch)
            self.batch_count += 1
            self.record_count += len(records)
