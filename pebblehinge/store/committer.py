"""Group commit of journal records.

One fsync makes all pending records durable; records that arrive during an fsync join the next batch.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from pebblehinge.store.errors import JournalFailedError, StorageError
from pebblehinge.store.journal import Batch, Journal
from pebblehinge.store.records import Barrier, Completion, Record, Write

MAX_BATCH_BYTES = 4 << 20
RECORD_OVERHEAD_BYTES = 100  # estimated size of a record without its data


class PendingRecord(NamedTuple):
    """A record that is not yet appended.

    Attributes:
        record: The record.
        on_result: Called with True once the record is durable, or with False if its durability can't be known.
    """

    record: Record
    on_result: Callable[[bool], None]


class Committer:
    """Appends records to a journal in batches.

    After the first failure nothing more is written: what a failed fsync left on the disk is unknown, and a later
    success would not prove that the data is there.

    Attributes:
        pending: Records of the batches to come.
        pending_relocations: Numbers of live records that are queued for relocation to the current segment.
        is_running: Whether `run` is in progress.
        failure: The first failure, or None.
        batch_count: Number of batches made durable.
        record_count: Number of records in these batches.
    """

    def __init__(self, journal: Journal, write_batch: Callable[[Batch], Awaitable[None]]) -> None:
        """Creates a committer.

        Args:
            journal: The journal to append to.
            write_batch: Appends and syncs a batch; raises OSError or StorageError on failure.
        """
        self.journal = journal
        self.write_batch = write_batch
        self.pending: list[PendingRecord] = []
        self.pending_relocations: dict[int, None] = {}
        self.is_running = False
        self.failure: JournalFailedError | None = None
        self.batch_count = 0
        self.record_count = 0

    def add(self, record: Record, on_result: Callable[[bool], None]) -> None:
        """Queues a record for the next batch; the caller then has to start `run`."""
        self.pending.append(PendingRecord(record, on_result))

    def relocate(self, record: Write | Barrier) -> None:
        """Queues a live record to be appended again, so that its old segment can be removed."""
        number = record.number
        if number not in self.pending_relocations:
            self.pending_relocations[number] = None
            self.add(record, lambda is_durable: self.pending_relocations.pop(number, None))

    async def run(self) -> None:
        """Commits batches until no record is pending. Returns immediately if another call is in progress."""
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
            await self._write([pending.record for pending in batch])
        is_durable = self.failure is None
        for _, on_result in batch:
            on_result(is_durable)

    def _next_batch(self) -> list[PendingRecord]:
        """Removes the records of the next batch from the pending ones and returns them."""
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
        """Drops relocations of records that are no longer live: appended again they would stay live for ever."""
        if not self.pending_relocations:
            return batch
        obsolete = [pending for pending in batch if self._is_obsolete(pending.record)]
        for pending in obsolete:
            batch.remove(pending)
            pending.on_result(True)
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
            reason = getattr(error, "strerror", None) or error
            self.failure = JournalFailedError(
                f"the journal failed ({reason}): this head buffers no more until it is started again"
            )
        else:
            self.journal.mark_committed(batch)
            self.batch_count += 1
            self.record_count += len(records)
