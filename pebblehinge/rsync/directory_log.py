"""A directory's log: read on and appended to under a condition on its end, so that each record is appended once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from pebblehinge.rsync.module_state import ModuleState, Refused
from pebblehinge.rsync.sharing import after_append
from pebblehinge.rsync.stream import RsyncError
from pebblehinge.rsync.transfer import Transfer
from pebblehinge.rsync.tree import Entry, Folder, folder_extent, packed

PIECE = 256 << 10  # of a log in one access
MOST_APPEND = 128 << 10  # bytes of records in one append


class DirectoryLog:
    """A directory's log: read on by one, appended to by one at a time; who comes meanwhile shares the next append."""

    def __init__(self, place: ModuleState, path: bytes) -> None:
        self.place, self.path = place, path
        self.extent = folder_extent(place.name, path)
        self.folder = Folder()
        self.queue: list[tuple[Callable[[Folder], Entry | None], asyncio.Future[Entry | None], Transfer]] = []
        self.appending = False
        self.reading: asyncio.Future[None] | None = None

    def busy(self) -> bool:
        return self.appending or bool(self.queue) or self.reading is not None

    async def refresh(self, transfer: Transfer) -> Folder:
        """Reads what came since. Two who ask together read once, if the reading began after both asked."""
        while self.reading is not None:
            await asyncio.shield(self.reading)
        self.reading = transfer.loop.create_future()
        try:
            while True:
                at = self.folder.end
                data = await transfer.read(self.extent, at, PIECE)
                self.folder.feed_from(at, data)
                if len(data) < PIECE:
                    return self.folder
        finally:
            done, self.reading = self.reading, None
            done.set_result(None)

    async def change(self, transfer: Transfer, make: Callable[[Folder], Entry | None]) -> Entry | None:
        """Commits what `make` gives for the directory as it stands then; None: nothing is to be done. What it gives is
        appended once, whatever happens on the way, or RsyncError says that this is not known."""
        future: asyncio.Future[Entry | None] = transfer.loop.create_future()
        self.queue.append((make, future, transfer))
        if not self.appending:
            self.appending = True
            # A task of its own: it serves others too, and must not end with the transfer that happened to begin it.
            self.place.turns.loop.create_task(self._append_all())
        return await future

    async def _append_all(self) -> None:
        try:
            while self.queue:
                await self._append_some()
        finally:
            self.appending = False

    async def _append_some(self) -> None:
        # A transfer of its own: one whose client goes away meanwhile must not leave the others' records half way.
        self.place.appends += 1
        trace = f"{self.queue[0][2].trace}.s{self.place.appends}"
        first = Transfer(self.place, trace, 4 * self.place.block.patience)
        try:
            await self._append_by(first)
        finally:
            first.end()

    async def _append_by(self, first: Transfer) -> None:
        self.queue = [row for row in self.queue if not row[1].done()]  # clients that are gone want nothing saved
        taken: list[tuple[Callable[[Folder], Entry | None], asyncio.Future[Entry | None], Transfer]] = []
        try:
            if not self.folder.end:
                await self.refresh(first)
            state = Folder()
            state.entries = dict(self.folder.entries) if len(self.queue) > 1 else self.folder.entries
            raw, told = b"", []
            while self.queue and len(raw) < MOST_APPEND:
                taken.append(self.queue.pop(0))
                make, future, _ = taken[-1]
                entry = make(state)
                if entry is not None:
                    raw += packed(entry)
                    if len(self.queue) or len(taken) > 1:
                        state.apply(entry)
                told.append((future, entry))
            if raw and not await self._append(first, raw, [e for _, e in told if e is not None]):
                self.queue[:0] = taken  # another head's records came between: they may change what is to be done
                return
            for future, entry in told:
                if not future.done():
                    future.set_result(entry)
        except RsyncError as error:
            for _, future, _ in taken or self._all():
                if not future.done():
                    future.set_exception(error)

    def _all(self) -> list[Any]:
        taken, self.queue = self.queue, []
        return taken

    async def _append(self, transfer: Transfer, raw: bytes, entries: list[Entry]) -> bool:
        """True once the records stand in the log, False where it had grown. See `sharing.after_append`."""
        place, unsure = self.place, False
        labels = [e.label for e in entries]
        while True:
            at = self.folder.end
            try:
                final, landed, _ = await transfer.append(self.extent, at, raw, labels[0])
                step = after_append(final, landed)
                if step in ("look", "moved"):
                    unsure = unsure or step == "look"
                    place.unsure += step == "look"
                    await self.refresh(transfer)
            except Refused as error:
                if not unsure:
                    raise
                # An attempt may have run, and nobody could look: that is what must be said.
                text = f"it is not known whether this save stands, the same command again finds out ({error})"
                raise Refused(text, error.code) from None
            if step in ("look", "moved"):
                # All or none of them stand there; only some, where another head made the very same save.
                if all(self.folder.has(label) for label in labels):
                    step = "done"
                elif self.folder.end > at:
                    return False
            elif step == "done":
                self.folder.feed_from(at, raw)
            if step == "done":
                place.landed += len(entries)
                return True
