"""A module's files, behind accesses: turns are asked for, answers taken, logs read on and appended to, blocks read
ahead and written. Decides nothing: `sharing` says when and whether again, the head's decision module all of an access.

Loop and clock are handed in, and so is `access`, which makes one access and gives its result.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Protocol

import msgspec

from pebblehinge.rsync.sharing import Keeping, Share, Sharing, Turn, after_append
from pebblehinge.rsync.stream import FILE, PARTIAL, TIMEOUT, RsyncError
from pebblehinge.rsync.tree import (
    HOLE,
    INLINE,
    SPREAD,
    Entry,
    Folder,
    block_extent,
    block_sum,
    folder_extent,
    label_of,
    packed,
    slot_of,
    split,
    sums_of,
    whole_sum,
)
from pebblehinge.settings.schema import ModuleBlock
from pebblehinge.wire.frames import APPEND, APPENDED, READ, WRITE

PIECE = 256 << 10  # of a log in one access
MOST_APPEND = 128 << 10  # bytes of records in one append
FOLDERS = 4096  # logs that a head remembers


class Answer(Protocol):
    """How one access ended."""

    final: str
    stay_ms: float
    reason: str
    data: bytes


Access = Callable[..., Awaitable[Answer]]


class Refused(RsyncError):
    """An access got no better answer in the transfer's time; the text says which and why."""


class Turns:
    """Carries out what `Sharing` grants."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float], sharing: Sharing) -> None:
        self.loop, self.clock, self.sharing = loop, clock, sharing
        self.timer: asyncio.TimerHandle | None = None

    async def turn(self, share: Share, units: float) -> Turn:
        future = self.loop.create_future()
        turn = self.sharing.ask(share, units, future)
        return await self._granted(turn)

    async def again(self, turn: Turn, wait_ms: float) -> Turn:
        await self.sleep(wait_ms)
        turn.what = self.loop.create_future()
        self.sharing.again(turn)
        return await self._granted(turn)

    async def _granted(self, turn: Turn) -> Turn:
        self.grant()
        try:
            await turn.what
        except asyncio.CancelledError:
            if turn.granted_ms >= 0 and turn.what.done() and not turn.what.cancelled():
                self.ended(turn, "left", 0.0)  # it was granted as its transfer ended: nothing went out
            elif turn in turn.transfer.waiting:
                turn.transfer.waiting.remove(turn)
            raise
        return turn

    def ended(self, turn: Turn, final: str, stay_ms: float) -> None:
        self.sharing.ended(self.clock(), turn, final, stay_ms)
        self.grant()

    def grant(self) -> None:
        now = self.clock()
        for turn in self.sharing.grants(now):
            if turn.what.cancelled():
                self.sharing.ended(now, turn, "left", 0.0)
            else:
                turn.what.set_result(None)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        at = self.sharing.wake_ms(now)
        if at < float("inf"):
            self.timer = self.loop.call_later(max(0.5, at - now) / 1000.0, self.grant)

    async def sleep(self, ms: float) -> None:
        if ms > 0:
            future = self.loop.create_future()
            handle = self.loop.call_later(ms / 1000.0, lambda: future.done() or future.set_result(None))
            try:
                await future
            finally:
                handle.cancel()


class Place:
    """One module of one head: what its sessions share."""

    def __init__(
        self,
        name: str,
        block: ModuleBlock,
        slots: list[int],
        most_units: float,
        turns: Turns,
        access: Access,
        keeping: Keeping,
    ) -> None:
        self.name, self.block, self.slots, self.most_units = name, block, slots, most_units
        self.turns, self.access, self.keeping = turns, access, keeping
        self.folders: OrderedDict[bytes, _Log] = OrderedDict()
        self.landed = self.unsure = self.appends = 0

    def log(self, path: bytes) -> _Log:
        log = self.folders.get(path)
        if log is None:
            log = self.folders[path] = _Log(self, path)
            for old in list(self.folders):
                if len(self.folders) <= FOLDERS:
                    break
                if not self.folders[old].busy():
                    del self.folders[old]
        self.folders.move_to_end(path)
        return log


class _Log:
    """A directory's log: read on by one, appended to by one at a time; who comes meanwhile shares the next append."""

    def __init__(self, place: Place, path: bytes) -> None:
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


class Transfer:
    """One client's transfer over a place."""

    def __init__(self, place: Place, trace: str, patience_ms: float) -> None:
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
        """One attempt, pushed back ones apart: how it ended, whether it landed, the log's length."""
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

    async def sums(self, entry: Entry) -> list[bytes]:
        if not entry.deep:
            return sums_of(entry.sums)
        raw = b"".join([await self.block_of(s, SPREAD) for s in sums_of(entry.sums)])
        return sums_of(raw)[: -(-entry.size // entry.block)]  # a hole in the place of sums may be longer than they are

    async def block_of(self, sum_: bytes, length: int) -> bytes:
        if sum_ == HOLE:
            return bytes(length)
        data = await self.read(block_extent(self.place.name, sum_), 0, length)
        if block_sum(data) != sum_:
            raise RsyncError("a block is not what its sum says: a shelf gave back something else", FILE)
        return data

    async def content(self, entry: Entry, sums: list[bytes] | None = None) -> AsyncIterator[bytes]:
        """A file's bytes, block by block, some read ahead."""
        if entry.data or not entry.size:
            if entry.data:
                yield entry.data
            return
        sums = sums if sums is not None else await self.sums(entry)
        ahead: list[asyncio.Task[bytes]] = []
        most = max(1, self.block.ahead // entry.block)
        at, left = 0, entry.size
        try:
            while at < len(sums) or ahead:
                while at < len(sums) and len(ahead) < most:
                    length = min(entry.block, entry.size - at * entry.block)
                    ahead.append(self.spawn(self.block_of(sums[at], length)))
                    at += 1
                data = await ahead.pop(0)
                left -= len(data)
                yield data
        finally:
            for task in ahead:
                task.cancel()
        if left:
            raise RsyncError("a file's blocks do not make up its length", FILE)

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


def _alike(a: Entry, b: Entry) -> bool:
    if a.kind == "d" and b.kind == "d":
        return not b.mtime or (a.mtime, a.mode) == (b.mtime, b.mode)
    return (a.kind, a.size, a.mtime, a.mode, a.digest, a.data) == (b.kind, b.size, b.mtime, b.mode, b.digest, b.data)


class Writer:
    """A file that comes in pieces: whole blocks are written as they come, a few at a time; `done` gives its entry, not
    yet committed. `blocks` are those that stand, in order, for who wants to go on from there."""

    def __init__(self, transfer: Transfer, known: list[bytes] | None = None) -> None:
        self.transfer, self.block = transfer, transfer.block.block
        self.held = bytearray()
        self.size = 0
        self.sums: list[bytes] = []
        self.out: list[tuple[int, asyncio.Task[None]]] = []  # blocks on their way: their number, and the write
        self.known = dict.fromkeys(known or ())  # blocks that stand already
        self.most = max(1, transfer.block.ahead // self.block)

    async def put(self, data: bytes) -> None:
        self.held += data
        self.size += len(data)
        if 0 <= self.transfer.block.max_size < self.size:
            most = self.transfer.block.max_size
            raise RsyncError(f"a file of more than {most} bytes: this module takes no more", PARTIAL)
        while len(self.held) >= self.block:
            await self._one(bytes(self.held[: self.block]))
            del self.held[: self.block]

    async def _one(self, data: bytes) -> None:
        sum_ = block_sum(data)
        self.sums.append(sum_)
        if sum_ == HOLE or sum_ in self.known:
            return
        self.known[sum_] = None
        while len(self.out) >= self.most:
            await self.out.pop(0)[1]
        transfer = self.transfer
        write = transfer.spawn(transfer.write(block_extent(transfer.place.name, sum_), data))
        self.out.append((len(self.sums) - 1, write))

    async def standing(self) -> list[bytes]:
        """Sums of the first blocks that surely stand, once those on their way have come to their end."""
        while self.out:
            number, task = self.out.pop(0)
            try:
                await task
            except RsyncError:
                return self.sums[:number]
        return self.sums

    def drop(self) -> None:
        for _, task in self.out:
            task.cancel()

    async def done(self, mtime: int, mode: int) -> Entry:
        if self.size <= INLINE:
            data = bytes(self.held)
            digest = whole_sum(self.size, [block_sum(data)])
            return Entry("f", b"", self.size, mtime, mode & 0o7777, digest, data=data)
        if self.held:
            data = bytes(self.held)
            self.held.clear()
            await self._one(data)
        while self.out:
            await self.out.pop(0)[1]
        raw, deep = b"".join(self.sums), False
        if len(raw) > SPREAD:
            deep, pieces = True, [raw[at : at + SPREAD] for at in range(0, len(raw), SPREAD)]
            for piece in pieces:
                sum_ = block_sum(piece)
                if sum_ != HOLE:
                    await self.transfer.write(block_extent(self.transfer.place.name, sum_), piece)
            raw = b"".join(block_sum(piece) for piece in pieces)
        digest = whole_sum(self.size, self.sums)
        return Entry("f", b"", self.size, mtime, mode & 0o7777, digest, self.block, raw, deep)
