"""A directory's log: read on, and appended to at an end that the append names, so that each record lands once."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from pebblehinge.rsync.errors import RequestRejectedError, RsyncError
from pebblehinge.rsync.module_state import EntryChange, LogTransfer, ModuleState
from pebblehinge.rsync.request_scheduler import AppendStep, step_after_append
from pebblehinge.rsync.transfer import Transfer
from pebblehinge.rsync.tree import Directory, DirectoryEntry, directory_extent, encode_entry

READ_BYTES = 256 << 10
"""Bytes of a log in one read."""

MAX_APPEND_BYTES = 128 << 10
"""Bytes of records after which no further one joins an append."""

APPEND_PATIENCE = 4
"""Times the patience of a request that an append with its retries may take."""


@dataclass(slots=True)
class PendingChange:
    """A change that waits to be committed.

    Attributes:
        make: Returns the entry to commit.
        future: Gets the entry that was committed, or the error.
        transfer: Whose change it is.
    """

    make: EntryChange
    future: asyncio.Future[DirectoryEntry | None]
    transfer: LogTransfer


@dataclass(slots=True)
class Batch:
    """Changes that one append commits.

    Attributes:
        changes: The changes, in order.
        entries: What each of them commits, or None where nothing is to be done.
        records: The bytes to append.
    """

    changes: list[PendingChange] = field(default_factory=list)
    entries: list[DirectoryEntry | None] = field(default_factory=list)
    records: bytes = b""


class DirectoryLog:
    """A directory's log. One reads it or appends to it at a time; changes that come meanwhile share the next append.

    Attributes:
        extent: The name of its extent.
        directory: The directory, as far as the log was read.
    """

    def __init__(self, store: ModuleState, path: bytes) -> None:
        self.extent = directory_extent(store.name, path)
        self.directory = Directory()
        self._store = store
        self._queue: list[PendingChange] = []
        self._appending = False
        self._reading: asyncio.Future[None] | None = None

    def is_busy(self) -> bool:
        """Whether it is being read or changed."""
        return self._appending or bool(self._queue) or self._reading is not None

    async def refresh(self, transfer: LogTransfer) -> Directory:
        """Reads what was appended since, after a read that is under way; returns the directory."""
        while self._reading is not None:
            await asyncio.shield(self._reading)
        self._reading = transfer.loop.create_future()
        try:
            while True:
                offset = self.directory.end
                data = await transfer.read(self.extent, offset, READ_BYTES)
                self.directory.feed_from(offset, data)
                if len(data) < READ_BYTES:
                    return self.directory
        finally:
            done, self._reading = self._reading, None
            done.set_result(None)

    async def change(self, transfer: LogTransfer, make: EntryChange) -> DirectoryEntry | None:
        """Commits what `make` returns for the directory as it stands then.

        Returns:
            The entry, which was appended once; or None if nothing was to be done.

        Raises:
            RsyncError: The entry was not committed, or it is not known whether it was.
        """
        future: asyncio.Future[DirectoryEntry | None] = transfer.loop.create_future()
        self._queue.append(PendingChange(make, future, transfer))
        if not self._appending:
            self._appending = True
            # A task of its own: it serves others too, and must not end with the transfer that happened to begin it.
            self._store.scheduler.loop.create_task(self._append_all())
        return await future

    async def _append_all(self) -> None:
        try:
            while self._queue:
                await self._append_next()
        finally:
            self._appending = False

    async def _append_next(self) -> None:
        # A transfer of its own: one whose client goes away meanwhile must not leave the others' records half way.
        self._store.appends += 1
        trace = f"{self._queue[0].transfer.trace}.s{self._store.appends}"
        transfer = Transfer(self._store, trace, APPEND_PATIENCE * self._store.block.patience)
        try:
            await self._append_batch(transfer)
        finally:
            transfer.end()

    async def _append_batch(self, transfer: Transfer) -> None:
        self._queue = [change for change in self._queue if not change.future.done()]  # the others' clients are gone
        batch = Batch()
        try:
            if not self.directory.end:
                await self.refresh(transfer)
            self._fill(batch)
            entries = [entry for entry in batch.entries if entry is not None]
            if batch.records and not await self._append(transfer, batch.records, entries):
                self._queue[:0] = batch.changes  # another gateway's records came between: they may change the entries
                return
            for change, entry in zip(batch.changes, batch.entries, strict=True):
                if not change.future.done():
                    change.future.set_result(entry)
        except RsyncError as error:
            for change in batch.changes or self._take_queue():
                if not change.future.done():
                    change.future.set_exception(error)

    def _fill(self, batch: Batch) -> None:
        """Moves changes from the queue to a batch; each sees the directory as those before it leave it."""
        state = Directory()
        state.entries = dict(self.directory.entries) if len(self._queue) > 1 else self.directory.entries
        while self._queue and len(batch.records) < MAX_APPEND_BYTES:
            change = self._queue.pop(0)
            batch.changes.append(change)
            entry = change.make(state)
            if entry is not None:
                batch.records += encode_entry(entry)
                if self._queue or len(batch.changes) > 1:
                    state.apply(entry)
            batch.entries.append(entry)

    def _take_queue(self) -> list[PendingChange]:
        taken, self._queue = self._queue, []
        return taken

    async def _append(self, transfer: Transfer, records: bytes, entries: list[DirectoryEntry]) -> bool:
        """Returns True once the records stand in the log, False if others were appended. See `step_after_append`."""
        is_uncertain = False
        labels = [entry.label for entry in entries]
        while True:
            end = self.directory.end
            try:
                answer = await transfer.append(self.extent, end, records, labels[0])
                step = step_after_append(answer.final, answer.appended)
                if step in (AppendStep.LOOK, AppendStep.MOVED):
                    is_uncertain = is_uncertain or step is AppendStep.LOOK
                    self._store.uncertain += step is AppendStep.LOOK
                    await self.refresh(transfer)
            except RequestRejectedError as error:
                if not is_uncertain:
                    raise
                # An attempt may have run, and nobody could look: that is what must be said.
                text = f"it is not known whether this save stands, the same command again finds out ({error})"
                raise RequestRejectedError(text, error.code) from None
            if step in (AppendStep.LOOK, AppendStep.MOVED):
                # All or none of them stand there; only some, where another gateway made the very same commit.
                if all(self.directory.has_label(label) for label in labels):
                    step = AppendStep.DONE
                elif self.directory.end > end:
                    return False
            elif step is AppendStep.DONE:
                self.directory.feed_from(end, records)
            if step is AppendStep.DONE:
                self._store.committed += len(entries)
                return True
