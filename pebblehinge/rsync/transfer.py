"""One client's transfer over a module: accesses in their turns, and the directory entries that it reads and commits.

Decides nothing: `sharing` says when and whether again, the head's decision module all of an access. The loop, the clock
and `access`, which makes one access and gives its result, are handed in.
"""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from pebblehinge.rsync.module_state import Answer, ModuleState, Refused
from pebblehinge.rsync.stream import FILE, TIMEOUT, RsyncError
from pebblehinge.rsync.tree import Entry, Folder, label_of, slot_of, split
from pebblehinge.wire.frames import APPEND, APPENDED, READ, WRITE


def _alike(a: Entry, b: Entry) -> bool:
    if a.kind == "d" and b.kind == "d":
        return not b.mtime or (a.mtime, a.mode) == (b.mtime, b.mode)
    return (a.kind, a.size, a.mtime, a.mode, a.digest, a.data) == (b.kind, b.size, b.mtime, b.mode, b.digest, b.data)


class Transfer:
    """One client's transfer over a place."""

    def __init__(self, place: ModuleState, trace: str, patience_ms: float) -> None:
        self.place, self.block, self.turns, self.trace = place, place.block, place.turns, trace
        self.loop, self.clock = self.turns.loop, self.turns.clock
        self.share = self.turns.sharing.begin(self.clock(), patience_ms)
        self.count = 0
        self.tasks: dict[asyncio.Task[Any], None] = {}

    def end(self) -> None:
        """Whatever is left of it is called off."""
        for task in list(self.tasks):
            task.cancel()
        for turn in self.turns.sharing.end(self.share):
            turn.what.cancel()
        self.turns.grant()

    def spawn(self, coro: Any) -> asyncio.Task[Any]:
        task = self.loop.create_task(coro)
        self.tasks[task] = None
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self.tasks.pop(task, None)
        if not task.cancelled():
            task.exception()  # whoever awaits it sees it; one that is awaited by none any more was called off with it

    # ---- accesses

    async def _do(self, op: int, extent: str, profile: str, units: float, repeatable: bool, **more: Any) -> Answer:
        """One access, and again as long as that is right; the last answer."""
        units = max(1.0, min(units, self.place.most_units))
        turn = await self.turns.turn(self.share, units)
        while True:
            final, stay = "left", 0.0
            try:
                patience = self.turns.sharing.patience(self.clock(), self.share, self.block.patience)
                if not patience:
                    raise Refused("the transfer's time is over", TIMEOUT)
                self.count += 1
                answer = await self.place.access(
                    op=op,
                    extent=extent,
                    slot=slot_of(extent, self.place.slots),
                    profile=profile,
                    units=units,
                    patience_ms=patience,
                    trace=f"{self.trace}.{self.count}",
                    again=turn.tries > 0,
                    **more,
                )
                final, stay = answer.final, answer.stay_ms
            finally:
                self.turns.ended(turn, final, stay)
            wait = self.turns.sharing.after(self.clock(), turn, final, stay, repeatable)
            if wait is None:
                return answer
            turn = await self.turns.again(turn, wait)

    async def read(self, extent: str, offset: int, length: int) -> bytes:
        answer = await self._do(
            READ,
            extent,
            self.block.read,
            length / self.block.unit,
            True,
            offset=offset,
            length=length,
            data=b"",
            label=None,
        )
        if answer.final != "honoured":
            raise Refused(f"a read was {answer.final}: {answer.reason or 'no shelf could serve it in time'}", TIMEOUT)
        return answer.data

    async def write(self, extent: str, data: bytes) -> None:
        """A block: the same bytes at the same place do no harm twice."""
        answer = await self._do(
            WRITE,
            extent,
            self.block.write,
            len(data) / self.block.unit,
            True,
            offset=0,
            length=len(data),
            data=data,
            label=None,
        )
        if answer.final != "honoured":
            raise Refused(f"a write was {answer.final}: {answer.reason or 'no shelf could serve it in time'}", TIMEOUT)

    async def append(self, extent: str, end: int, data: bytes, label: str) -> tuple[str, bool | None, int]:
        """One attempt, rejected ones apart: how it ended, whether it landed, the log's length."""
        answer = await self._do(
            APPEND,
            extent,
            self.block.commit,
            len(data) / self.block.unit,
            False,
            offset=end,
            length=len(data),
            data=data,
            label=label or None,
        )
        if answer.final == "pushed back":
            raise Refused(f"a save was pushed back: {answer.reason or 'no shelf could take it in time'}", TIMEOUT)
        if answer.final != "honoured":
            return answer.final, None, -1
        landed, length = APPENDED.unpack(answer.data)
        return answer.final, bool(landed), length

    # ---- files

    async def folder(self, path: bytes) -> Folder:
        return await self.place.log(path).refresh(self)

    async def look(self, path: bytes) -> Entry | None:
        """What stands at a path; the top is a directory."""
        if not path:
            return Entry("d", b"", mode=0o755)
        above, name = split(path)
        return (await self.folder(above)).entries.get(name)

    async def commit(self, path: bytes, entry: Entry) -> bool:
        """Makes an entry hold under its path: by one record, once. False where it held already."""
        above, name = split(path)

        def make(folder: Folder) -> Entry | None:
            before = folder.entries.get(name)
            if before is not None and _alike(before, entry):
                return None  # an earlier attempt at this save, or another's save of the same
            label = label_of(path, entry, before.label if before is not None else "")
            return msgspec.structs.replace(entry, name=name, label=label)

        return await self.place.log(above).change(self, make) is not None

    async def remove(self, path: bytes) -> bool:
        above, name = split(path)

        def make(folder: Folder) -> Entry | None:
            before = folder.entries.get(name)
            if before is None:
                return None
            gone = Entry("x", name)
            return Entry("x", name, label=label_of(path, gone, before.label))

        return await self.place.log(above).change(self, make) is not None

    async def make_folders(self, path: bytes) -> None:
        """A directory with all above it."""
        parts = path.split(b"/") if path else []
        for n in range(1, len(parts) + 1):
            at = b"/".join(parts[:n])
            known = await self.look(at)
            if known is None:
                await self.commit(at, Entry("d", b"", mode=0o755))
            elif not known.folder:
                raise RsyncError(f"{at[:80]!r} is no directory", FILE)
